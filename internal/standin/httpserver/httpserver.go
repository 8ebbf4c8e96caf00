// Package httpserver runs an HTTP server on a free port of the loopback interface, for stand-ins that serve HTTP.
package httpserver

import (
	"net"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// Server is a running HTTP server.
type Server struct{ listener net.Listener }

// New starts a server with the given handler.
func New(handler fasthttp.RequestHandler) (*Server, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	server := &fasthttp.Server{Handler: handler}
	go func() { _ = server.Serve(ln) }() // returns when the listener is closed
	return &Server{ln}, nil
}

// Address returns the listen address.
func (sr *Server) Address() string { return sr.listener.Addr().String() }

// Close closes the listener; open connections stay open.
func (sr *Server) Close() error { return errors.Wrap(sr.listener.Close(), "close server") }
