// Package httpcall makes HTTP calls over persistent connections. Its deadlines hold even if the server is unresponsive,
// and its errors tell whether a failed call was sent.
//
// A connection may become unresponsive for good without a reset, along with others to the same address. If a call is
// overdue, every connection that has not answered since the call was sent is therefore suspect and not used again. If
// all connections become unresponsive at once, calls fail only on those that were in use before the first call was
// overdue.
package httpcall

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"tackbeam.example/tackbeam/internal/connlimit"
)

// Request is the request of a call.
type Request struct {
	Method  string
	Address string
	// Path includes the query.
	Path string
	// ContentType is the content type of the body, or empty for none.
	ContentType string
	// Header holds alternating names and values of further headers.
	Header []string
	Body   []byte
	// LongPoll marks calls whose response may wait for an event. They return as soon as the context ends.
	LongPoll bool
	// ServerWait is how long the server may wait before it works on the request.
	ServerWait time.Duration
	// Idempotent marks calls that may be carried out twice. If one is overdue, it is sent again in parallel, and the
	// first response counts.
	Idempotent bool
	// Streamed marks calls with a response of any size. It must begin before the context's deadline and may then take
	// longer, as long as data keeps arriving.
	Streamed bool
	// MaxBody is the maximum size of the response body in bytes; 0 means no limit. The connection is closed without
	// reading a larger body to its end.
	MaxBody int

	// streaming is set once a streamed response has begun.
	streaming *atomic.Bool
}

// Response is the response to a call.
type Response struct {
	Status int
	Body   []byte
	// UnansweredAttempt is set if another attempt of the call has no response: it may have been carried out, or may
	// still be.
	UnansweredAttempt bool
}

var (
	// ErrNotSent means that the call certainly did not reach the server.
	ErrNotSent = errors.New("call not sent")
	// ErrNoDescriptor is an ErrNotSent caused by this process, not by the server: it has reached its limit of
	// connections or file descriptors.
	ErrNoDescriptor = fmt.Errorf("%w: no file descriptor available", ErrNotSent)
	// ErrTooLarge means that the response is larger than MaxBody.
	ErrTooLarge = errors.New("response larger than the limit")
)

const (
	// dialTimeout bounds the opening of a connection. Links take a few ms; a lost packet of the handshake is sent again
	// after a second.
	dialTimeout = 600 * time.Millisecond
	// userTimeout is how long sent data may remain unacknowledged.
	userTimeout = 3 * time.Second
	// idleTimeout is how long an unused connection is kept open, because opening a new one is expensive.
	idleTimeout = 2 * time.Minute
	// defaultTimeout applies if the context has no deadline.
	defaultTimeout = 10 * time.Second
	// overdueAfter is how long a response may take, in addition to ServerWait, before the connection is suspect. A slow
	// store takes 0.25 s, and a lost packet is sent again after 0.2 s.
	overdueAfter = 300 * time.Millisecond
	// maxConnsFactor limits the connections to an address, including those of overdue calls, to a multiple of the
	// maximum that applies without them.
	maxConnsFactor = 3
)

// ServerIdleTimeout is how long a server should keep an unused connection open. It exceeds the client's timeout, so
// that no call meets a connection that the server is closing.
const ServerIdleTimeout = idleTimeout + idleTimeout/2

// Caller makes calls to any number of addresses and keeps connections to them.
type Caller struct {
	maxConns int
	limit    *connlimit.Limit
	// noWait is set if connections are opened without waiting, even above the limit.
	noWait bool
	// dial opens a connection: over TCP unless WithDial was called.
	dial func(address string, timeout time.Duration) (net.Conn, error)
	// readBuffer and writeBuffer are the sizes of the buffers of a connection in bytes, 0 for the default of 4 KiB.
	readBuffer, writeBuffer int
	mu                      sync.Mutex
	hosts                   map[string]*host
}

// New returns a caller with at most maxConns connections to one address.
func New(maxConns int) *Caller {
	return &Caller{maxConns: maxConns, dial: dial, hosts: map[string]*host{}}
}

// WithDial makes the caller open connections with dial instead of over TCP. It must be called before the first call, and
// returns the caller.
func (cl *Caller) WithDial(dial func(address string, timeout time.Duration) (net.Conn, error)) *Caller {
	cl.dial = dial
	return cl
}

// WithLimit makes the caller's connections subject to limit: at the limit, idle connections are closed and new ones
// wait. It must be called before the first call, and returns the caller.
func (cl *Caller) WithLimit(limit *connlimit.Limit) *Caller {
	cl.limit = limit
	return cl
}

// CountAgainst counts the caller's connections against limit, but opens them without waiting even above it. It must be
// called before the first call, and returns the caller.
func (cl *Caller) CountAgainst(limit *connlimit.Limit) *Caller {
	cl.limit, cl.noWait = limit, true
	return cl
}

// WithBuffers sets the sizes of the buffers of a connection, in bytes. The headers of a response must fit into the buffer for
// reading; bodies may be larger. It must be called before the first call, and returns the caller.
func (cl *Caller) WithBuffers(read, write int) *Caller {
	cl.readBuffer, cl.writeBuffer = read, write
	return cl
}

// Forget closes the idle connections to an address that is no longer used.
func (cl *Caller) Forget(address string) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if ho, ok := cl.hosts[address]; ok {
		ho.pool.CloseIdleConnections()
		delete(cl.hosts, address)
	}
}

func (cl *Caller) host(address string) *host {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	ho, ok := cl.hosts[address]
	if !ok {
		ho = &host{maxConns: cl.maxConns, limit: cl.limit, noWait: cl.noWait, open: cl.dial}
		ho.pool = &fasthttp.HostClient{
			Addr: address, MaxConns: cl.maxConns, MaxIdleConnDuration: idleTimeout, DialTimeout: ho.dial,
			NoDefaultUserAgentHeader: true, MaxConnWaitTimeout: dialTimeout,
			ReadBufferSize: cl.readBuffer, WriteBufferSize: cl.writeBuffer,
		}
		cl.hosts[address] = ho
	}
	return ho
}

// Do makes a call and waits for its response or the context's deadline.
func (cl *Caller) Do(ctx context.Context, rq Request) (Response, error) {
	if !rq.LongPoll && !rq.Idempotent {
		return cl.do(ctx, rq)
	}
	const maxAttempts = 2
	if rq.Streamed {
		rq.streaming = &atomic.Bool{}
	}
	as := &attempts{caller: cl, ctx: ctx, rq: rq, startedAt: time.Now(), done: make(chan outcome, maxAttempts), remaining: 1}
	if rq.Idempotent {
		as.remaining = maxAttempts
	}
	return as.run()
}

func (cl *Caller) do(ctx context.Context, rq Request) (Response, error) {
	req := fasthttp.AcquireRequest()
	res := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	req.Header.SetMethod(rq.Method)
	req.SetRequestURI("http://" + rq.Address + rq.Path)
	if rq.ContentType != "" {
		req.Header.SetContentType(rq.ContentType)
	}
	for at := 0; at+1 < len(rq.Header); at += 2 {
		req.Header.Set(rq.Header[at], rq.Header[at+1])
	}
	if len(rq.Body) > 0 {
		req.SetBody(rq.Body)
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(defaultTimeout)
	}
	if err := cl.host(rq.Address).exchange(req, res, deadline, rq); err != nil {
		return Response{}, err
	}
	return Response{Status: res.StatusCode(), Body: append([]byte(nil), res.Body()...)}, nil
}

// LibraryLogger returns a logger for fasthttp that logs only at verbosity 1.
func LibraryLogger(log logr.Logger) fasthttp.Logger { return libraryLogger{log} }

type libraryLogger struct{ log logr.Logger }

// Printf logs a message of the library at verbosity 1, since operators rarely need it.
func (ll libraryLogger) Printf(format string, args ...any) {
	ll.log.V(1).Info("HTTP library reported a problem.", "says", errors.Errorf(format, args...).Error())
}
