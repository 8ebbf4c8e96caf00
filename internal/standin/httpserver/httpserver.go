// Package httpserver is what the stand-ins that serve HTTP share: a server on a free port of this
// machine.
package httpserver

import (
	"net"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// Server serves one handler.
type Server struct{ listener net.Listener }

// New returns a server that answers by a handler.
func New(handler fasthttp.RequestHandler) (*Server, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	server := &fasthttp.Server{Handler: handler}
	go func() { _ = server.Serve(ln) }() // ends with the listener
	return &Server{ln}, nil
}

// Address returns where the server listens.
func (sr *Server) Address() string { return sr.listener.Addr().String() }

// Close ends the server; connections that are open stay.
func (sr *Server) Close() error { return errors.Wrap(sr.listener.Close(), "close server") }
