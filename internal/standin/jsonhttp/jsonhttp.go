// Package jsonhttp is what the stand-ins share of HTTP: JSON bodies both ways.
package jsonhttp

import (
	"encoding/json"

	"github.com/valyala/fasthttp"
)

// Read decodes a request's body; it answers 400 and reports false where it cannot.
func Read(ctx *fasthttp.RequestCtx, into any) bool {
	if err := json.Unmarshal(ctx.PostBody(), into); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return false
	}
	return true
}

// Write answers with a value in JSON.
func Write(ctx *fasthttp.RequestCtx, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(raw)
}
