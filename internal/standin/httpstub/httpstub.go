// Package httpstub is a server for tests that answers every call in one way and
// keeps the last one that was asked.
package httpstub

import (
	"net"
	"sync"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// Lost is the status that stands for an answer that is lost: the connection closes.
const Lost = 0

// Stub is one server.
type Stub struct {
	listener net.Listener
	header   string

	mu    sync.Mutex
	asked string
}

// New returns a server on a free port of this machine, which answers with a status and
// a body. Asked includes the request's header of the name, if one is given.
func New(status int, body, header string) (*Stub, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	sb := &Stub{listener: ln, header: header}
	server := &fasthttp.Server{Handler: func(rc *fasthttp.RequestCtx) {
		sb.keep(rc)
		if status == Lost {
			rc.HijackSetNoResponse(true)
			rc.Hijack(func(net.Conn) {}) // closes without an answer
			return
		}
		rc.SetStatusCode(status)
		rc.SetBodyString(body)
	}}
	go func() { _ = server.Serve(ln) }() // ends with the listener
	return sb, nil
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

// Address returns where the server listens.
func (sb *Stub) Address() string { return sb.listener.Addr().String() }

// Asked returns the last call: its method, path, header and body.
func (sb *Stub) Asked() string {
	sb.mu.Lock()
	defer sb.mu.Unlock()
	return sb.asked
}

// Close ends the server.
func (sb *Stub) Close() error { return errors.Wrap(sb.listener.Close(), "close stub") }
