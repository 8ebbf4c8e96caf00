// Package httpcall makes HTTP calls over kept connections, with deadlines that hold
// even where the other side is silent, and says whether a failed call was sent.
package httpcall

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"
)

// Request is one call.
type Request struct {
	Method  string
	Address string
	// Path with its query.
	Path string
	// ContentType of the body; empty where there is none to tell.
	ContentType string
	// Header holds further names and values by turns.
	Header []string
	Body   []byte
	// Polls is set for calls whose answer may wait for an event: they are given up
	// as soon as the context ends.
	Polls bool
}

// Response is the answer to a call.
type Response struct {
	Status int
	Body   []byte
}

// ErrUnsent means that the call surely did not reach the other side.
var ErrUnsent = errors.New("the call was not sent")

// Times of connections.
const (
	// dialTimeout bounds the making of a connection: links take a few ms, a lost
	// packet of the handshake is sent again after a second.
	dialTimeout = 600 * time.Millisecond
	// userTimeout is how long sent bytes may stay without acknowledgement.
	userTimeout = 3 * time.Second
	// idle is how long an unused connection is kept: new ones are dear.
	idle = 2 * time.Minute
	// forever stands in for a missing deadline.
	forever = 10 * time.Second
)

// Caller keeps the connections to any number of addresses.
type Caller struct {
	maxConns int
	mu       sync.Mutex
	hosts    map[string]*fasthttp.HostClient
}

// New returns a caller with at most maxConns connections to one address.
func New(maxConns int) *Caller {
	return &Caller{maxConns: maxConns, hosts: map[string]*fasthttp.HostClient{}}
}

// Forget closes the idle connections to an address that is gone.
func (cl *Caller) Forget(address string) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if host, ok := cl.hosts[address]; ok {
		host.CloseIdleConnections()
		delete(cl.hosts, address)
	}
}

func (cl *Caller) host(address string) *fasthttp.HostClient {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	host, ok := cl.hosts[address]
	if !ok {
		host = &fasthttp.HostClient{
			Addr: address, MaxConns: cl.maxConns, MaxIdleConnDuration: idle, Dial: dial,
			NoDefaultUserAgentHeader: true, MaxIdemponentCallAttempts: 1,
			MaxConnWaitTimeout: dialTimeout,
			RetryIfErr: func(*fasthttp.Request, int, error) (resetTimeout, retry bool) {
				return false, false
			},
		}
		cl.hosts[address] = host
	}
	return host
}

// dial makes a connection that notices a silent other side.
func dial(address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		if ctlErr := raw.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
		}); ctlErr != nil {
			return ctlErr
		}
		return err
	}}
	conn, err := dialer.Dial("tcp4", address)
	if err != nil {
		return nil, errors.Wrap(ErrUnsent, err.Error())
	}
	return conn, nil
}

// Do makes a call and waits until its answer or the context's deadline.
func (cl *Caller) Do(ctx context.Context, rq Request) (Response, error) {
	if !rq.Polls {
		return cl.do(ctx, rq)
	}
	type outcome struct {
		res Response
		err error
	}
	done := make(chan outcome, 1)
	go func() {
		res, err := cl.do(ctx, rq)
		done <- outcome{res, err}
	}()
	select {
	case out := <-done:
		return out.res, out.err
	case <-ctx.Done():
		return Response{}, errors.WithStack(ctx.Err())
	}
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
		deadline = time.Now().Add(forever)
	}
	if err := cl.host(rq.Address).DoDeadline(req, res, deadline); err != nil {
		if errors.Is(err, fasthttp.ErrNoFreeConns) {
			return Response{}, errors.Wrap(ErrUnsent, err.Error())
		}
		return Response{}, errors.WithStack(err)
	}
	return Response{Status: res.StatusCode(), Body: append([]byte(nil), res.Body()...)}, nil
}

// Quiet returns a logger of the HTTP library that tells of nothing but oddities.
func Quiet(log logr.Logger) fasthttp.Logger { return quiet{log} }

type quiet struct{ log logr.Logger }

// Printf logs what the library says at the verbosity that operators do not need.
func (qu quiet) Printf(format string, args ...any) {
	qu.log.V(1).Info("HTTP library.", "says", errors.Errorf(format, args...).Error())
}
