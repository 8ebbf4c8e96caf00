// Package httpstub implements an HTTP server for tests that gives the same response to every request and keeps the last
// request.
package httpstub

import (
	"net"
	"sync"

	"github.com/valyala/fasthttp"

	"tackbeam.example/tackbeam/internal/standin/httpserver"
)

// NoResponse as the status makes the server close the connection without a response.
const NoResponse = 0

// Stub is an HTTP server with a fixed response.
type Stub struct {
	*httpserver.Server
	header string

	mu          sync.Mutex
	lastRequest string
}

// New starts a server on a free port of the loopback interface that responds with the given status and body. If header
// is not empty, LastRequest includes the request's header of that name.
func New(status int, body, header string) (*Stub, error) {
	sb := &Stub{header: header}
	var err error
	sb.Server, err = httpserver.New(func(rc *fasthttp.RequestCtx) {
		sb.recordRequest(rc)
		if status == NoResponse {
			rc.HijackSetNoResponse(true)
			rc.Hijack(func(net.Conn) {}) // closes the connection without a response
			return
		}
		rc.SetStatusCode(status)
		rc.SetBodyString(body)
	})
	return sb, err
}

func (sb *Stub) recordRequest(rc *fasthttp.RequestCtx) {
	request := string(rc.Method()) + " " + string(rc.RequestURI()) + " "
	if sb.header != "" {
		request += string(rc.Request.Header.Peek(sb.header)) + " "
	}
	sb.mu.Lock()
	defer sb.mu.Unlock()
	sb.lastRequest = request + string(rc.PostBody())
}

// LastRequest returns the last request: method, path, header and body.
func (sb *Stub) LastRequest() string {
	sb.mu.Lock()
	defer sb.mu.Unlock()
	return sb.lastRequest
}
