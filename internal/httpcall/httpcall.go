// Package httpcall makes HTTP calls over kept connections, with deadlines that hold
// even where the other side is silent, and says whether a failed call was sent.
//
// A connection may go silent for good without a reset, and others of its address with it.
// So a call that is overdue puts every connection in doubt that has not answered since that
// call was sent: it is not used again. Of kept connections that are all silent at once, only
// those are waited for that calls took before the first of them was overdue.
package httpcall

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"tackbeam.example/tackbeam/internal/connlimit"
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
	// LongPoll is set for calls whose answer may wait for an event: they are given up
	// as soon as the context ends.
	LongPoll bool
	// ServerWait is how long the other side may hold its answer back before it is at work.
	ServerWait time.Duration
	// Idempotent is set for calls that may be carried out twice: one that is overdue is sent
	// again beside the first, and the first answer counts.
	Idempotent bool
	// Streamed is set for calls whose answer may be of any size: it has to begin before the context's
	// deadline, and is then waited for as long as it keeps coming.
	Streamed bool
	// MaxBody is the size of the largest body that is taken, in bytes; 0 is any. The connection of
	// a larger one closes before it has come.
	MaxBody int

	// flowing is set once an answer that flows has begun.
	flowing *atomic.Bool
}

// Response is the answer to a call.
type Response struct {
	Status int
	Body   []byte
	// UnansweredAttempt is set where another try of the call has no answer: it may have been carried
	// out, or may be yet.
	UnansweredAttempt bool
}

var (
	// ErrNotSent means that the call surely did not reach the other side.
	ErrNotSent = errors.New("the call was not sent")
	// ErrNoDescriptor is an ErrUnsent caused by this process, not by the other side: it has reached its limit of
	// connections or file descriptors.
	ErrNoDescriptor = fmt.Errorf("%w: no file descriptor available", ErrNotSent)
	// ErrTooLarge means that the answer is larger than the caller takes.
	ErrTooLarge = errors.New("the answer is larger than asked for")
)

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
	// overdue is how long an answer may take, beyond the call's Waits, before the
	// connection is in doubt: a slow store takes 0.25 s, a lost packet is sent again
	// after 0.2 s.
	overdue = 300 * time.Millisecond
	// mostTimes is how many times the connections that an address may have there are at
	// most, where those of overdue calls do not count as such.
	mostTimes = 3
)

// ServerIdleTimeout is how long the other side should keep an unused connection: somewhat longer than
// this side, so that no call meets its end.
const ServerIdleTimeout = idle + idle/2

// Caller keeps the connections to any number of addresses.
type Caller struct {
	maxConns int
	limit    *connlimit.Limit
	// noWait is set if connections are opened without waiting, even above the limit.
	noWait bool
	mu     sync.Mutex
	hosts  map[string]*host
}

// New returns a caller with at most maxConns connections to one address.
func New(maxConns int) *Caller {
	return &Caller{maxConns: maxConns, hosts: map[string]*host{}}
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

// Forget closes the idle connections to an address that is gone.
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
		ho = &host{maxConns: cl.maxConns, limit: cl.limit, noWait: cl.noWait}
		ho.pool = &fasthttp.HostClient{
			Addr: address, MaxConns: cl.maxConns, MaxIdleConnDuration: idle, DialTimeout: ho.dial,
			NoDefaultUserAgentHeader: true, MaxConnWaitTimeout: dialTimeout,
		}
		cl.hosts[address] = ho
	}
	return ho
}

// Do makes a call and waits until its answer or the context's deadline.
func (cl *Caller) Do(ctx context.Context, rq Request) (Response, error) {
	if !rq.LongPoll && !rq.Idempotent {
		return cl.do(ctx, rq)
	}
	const most = 2
	rq.flowing = &atomic.Bool{}
	ts := &tries{caller: cl, ctx: ctx, rq: rq, began: time.Now(), done: make(chan outcome, most), left: 1}
	if rq.Idempotent {
		ts.left = most
	}
	return ts.run()
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
	if err := cl.host(rq.Address).exchange(req, res, deadline, rq); err != nil {
		return Response{}, err
	}
	return Response{Status: res.StatusCode(), Body: append([]byte(nil), res.Body()...)}, nil
}

// LibraryLogger returns a logger of the HTTP library that tells of nothing but oddities.
func LibraryLogger(log logr.Logger) fasthttp.Logger { return quiet{log} }

type quiet struct{ log logr.Logger }

// Printf logs what the library says at the verbosity that operators do not need.
func (qu quiet) Printf(format string, args ...any) {
	qu.log.V(1).Info("HTTP library.", "says", errors.Errorf(format, args...).Error())
}
