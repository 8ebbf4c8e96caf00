// Package jsonhttp reads and writes JSON bodies of HTTP requests and responses for the stand-ins.
package jsonhttp

import (
	"encoding/json"

	"github.com/valyala/fasthttp"
)

// Read decodes the request's body. If that fails, it responds with status 400 and returns false.
func Read(ctx *fasthttp.RequestCtx, into any) bool {
	if err := json.Unmarshal(ctx.PostBody(), into); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return false
	}
	return true
}

// Write responds with a value encoded as JSON.
func Write(ctx *fasthttp.RequestCtx, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(raw)
}
