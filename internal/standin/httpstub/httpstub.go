// Package httpstub is a server for tests that answers every call in one way and
// keeps the last one that was asked.
package httpstub

import (
	"net"
	"sync"

	"github.com/valyala/fasthttp"

	"tackbeam.example/tackbeam/internal/standin/httpserver"
)

// NoResponse is the status that stands for an answer that is lost: the connection closes.
const NoResponse = 0

// Stub is one server.
type Stub struct {
	*httpserver.Server
	header string

	mu    sync.Mutex
	asked string
}

// New returns a server on a free port of this machine, which answers with a status and
// a body. Asked includes the request's header of the name, if one is given.
func New(status int, body, header string) (*Stub, error) {
	sb := &Stub{header: header}
	var err error
	sb.Server, err = httpserver.New(func(rc *fasthttp.RequestCtx) {
		sb.keep(rc)
		if status == NoResponse {
			rc.HijackSetNoResponse(true)
			rc.Hijack(func(net.Conn) {}) // closes without an answer
			return
		}
		rc.SetStatusCode(status)
		rc.SetBodyString(body)
	})
	return sb, err
}

func (sb *Stub) keep(rc *fasthttp.RequestCtx) {
	asked := string(rc.Method()) + " " + string(rc.RequestURI()) + " "
	if sb.header != "" {
		asked += string(rc.Request.Header.Peek(sb.header)) + " "
	}
	sb.mu.Lock()
	defer sb.mu.Unlock()
	sb.asked = asked + string(rc.PostBody())
}

// LastRequest returns the last call: its method, path, header and body.
func (sb *Stub) LastRequest() string {
	sb.mu.Lock()
	defer sb.mu.Unlock()
	return sb.asked
}
