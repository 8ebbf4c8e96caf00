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
	// Waits is how long the other side may hold its answer back before it is at work.
	Waits time.Duration
	// Again is set for calls that may be carried out twice: one that is overdue is sent
	// again beside the first, and the first answer counts.
	Again bool
}

// Response is the answer to a call.
type Response struct {
	Status int
	Body   []byte
	// Open is set where another try of the call has no answer: it may have been carried
	// out, or may be yet.
	Open bool
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
	// overdue is how long an answer may take, beyond the call's Waits, before the
	// connection is in doubt: a slow store takes 0.25 s, a lost packet is sent again
	// after 0.2 s.
	overdue = 300 * time.Millisecond
	// mostTimes is how many times the connections that an address may have there are at
	// most, where those of overdue calls do not count as such.
	mostTimes = 3
)

// Idle is how long the other side should keep an unused connection: somewhat longer than
// this side, so that no call meets its end.
const Idle = idle + idle/2

// Caller keeps the connections to any number of addresses.
type Caller struct {
	maxConns int
	mu       sync.Mutex
	hosts    map[string]*host
}

// host is the connections to one address.
type host struct {
	pool     *fasthttp.HostClient
	maxConns int
	mu       sync.Mutex
	// late is the number of calls that are overdue and still waited for.
	late int
	// doubt is when the latest call was sent that was overdue: connections that have not
	// answered since then may be silent.
	doubt time.Time
}

// New returns a caller with at most maxConns connections to one address.
func New(maxConns int) *Caller {
	return &Caller{maxConns: maxConns, hosts: map[string]*host{}}
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
		ho = &host{maxConns: cl.maxConns, pool: &fasthttp.HostClient{
			Addr: address, MaxConns: cl.maxConns, MaxIdleConnDuration: idle, DialTimeout: dial,
			NoDefaultUserAgentHeader: true, MaxConnWaitTimeout: dialTimeout,
		}}
		cl.hosts[address] = ho
	}
	return ho
}

// dial makes a connection that notices a silent other side, within a time unless that is 0.
func dial(address string, within time.Duration) (net.Conn, error) {
	if within <= 0 || within > dialTimeout {
		within = dialTimeout
	}
	dialer := net.Dialer{Timeout: within, Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		if ctlErr := raw.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
		}); ctlErr != nil {
			return ctlErr
		}
		return err
	}}
	return dialer.Dial("tcp4", address)
}

// suspect puts the connections in doubt that have not answered since a time.
func (ho *host) suspect(since time.Time) {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	if since.After(ho.doubt) {
		ho.doubt = since
	}
}

// addLate has the connections of overdue calls not count as those that there may be.
func (ho *host) addLate(count int) {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	ho.late += count
	ho.pool.SetMaxConns(min(ho.maxConns+max(ho.late, 0), mostTimes*ho.maxConns))
}

// doubted reports whether a connection that was last used at a time is in doubt.
func (ho *host) doubted(used time.Time) bool {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	return !used.IsZero() && used.Before(ho.doubt) // a new one has not been used
}

// outcome is how a call ended.
type outcome struct {
	res Response
	err error
}

// Do makes a call and waits until its answer or the context's deadline.
func (cl *Caller) Do(ctx context.Context, rq Request) (Response, error) {
	if !rq.Polls && !rq.Again {
		return cl.do(ctx, rq)
	}
	const most = 2
	ts := &tries{caller: cl, ctx: ctx, rq: rq, began: time.Now(), done: make(chan outcome, most), left: 1}
	if rq.Again {
		ts.left = most
	}
	return ts.run()
}

// tries are the tries of one call, the second beside the first or after it.
type tries struct {
	caller *Caller
	ctx    context.Context
	rq     Request
	began  time.Time
	done   chan outcome
	// left is how many tries there may be yet, open how many wait for an answer.
	left, open int
	// lost is the error of a try that was sent.
	lost error
}

func (ts *tries) run() (Response, error) {
	ts.begin()
	timer := time.NewTimer(ts.rq.Waits + overdue)
	defer timer.Stop()
	for {
		select {
		case out := <-ts.done:
			ts.open--
			if out.err == nil {
				out.res.Open = ts.open > 0 || ts.lost != nil
				return out.res, nil
			}
			if err := ts.failed(out.err); err != nil {
				return Response{}, err
			}
		case <-timer.C:
			ts.again()
		case <-ts.ctx.Done():
			if errors.Is(ts.ctx.Err(), context.DeadlineExceeded) {
				ts.caller.host(ts.rq.Address).suspect(ts.began) // before the caller's next call
			}
			return Response{}, errors.WithStack(ts.ctx.Err())
		}
	}
}

func (ts *tries) begin() {
	ts.left--
	ts.open++
	go func() {
		res, err := ts.caller.do(ts.ctx, ts.rq)
		ts.done <- outcome{res, err}
	}()
}

// again begins another try, if there may be one, on a new connection: the others of the
// address may be silent or ended as well.
func (ts *tries) again() {
	if ts.left == 0 {
		return
	}
	ts.caller.host(ts.rq.Address).suspect(ts.began)
	ts.begin()
}

// failed takes in the error of a try. It returns the call's error where no other try is
// open or begins. A request that was sent on a connection that had ended is sent again at
// once: kept connections end all together when the other side starts anew.
func (ts *tries) failed(err error) error {
	if !errors.Is(err, ErrUnsent) {
		ts.lost = err
		ts.again()
	}
	switch {
	case ts.open > 0:
		return nil
	case ts.lost != nil:
		return ts.lost
	}
	return err
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
	if err := cl.host(rq.Address).exchange(req, res, deadline, rq.Waits); err != nil {
		return Response{}, err
	}
	return Response{Status: res.StatusCode(), Body: append([]byte(nil), res.Body()...)}, nil
}

// exchange sends a request on a connection that is not in doubt, and reads the answer.
func (ho *host) exchange(req *fasthttp.Request, res *fasthttp.Response, deadline time.Time, waits time.Duration) error {
	left := time.Until(deadline)
	if left <= 0 {
		return errors.Wrap(ErrUnsent, "the deadline is over")
	}
	cc, err := ho.pool.AcquireConn(left, false)
	for err == nil && ho.doubted(cc.LastUseTime()) {
		ho.pool.CloseConn(cc)
		cc, err = ho.pool.AcquireConn(left, false)
	}
	if err != nil {
		return errors.Wrap(ErrUnsent, err.Error())
	}
	sent := time.Now()
	late := time.AfterFunc(min(waits+overdue, deadline.Sub(sent)), func() {
		ho.suspect(sent)
		ho.addLate(1)
	})
	defer func() {
		if !late.Stop() {
			ho.addLate(-1)
		}
	}()
	conn := cc.Conn()
	if err := conn.SetDeadline(deadline); err != nil {
		ho.pool.CloseConn(cc)
		return errors.Wrap(ErrUnsent, err.Error())
	}
	writer := ho.pool.AcquireWriter(conn)
	if err = req.Write(writer); err == nil {
		err = writer.Flush()
	}
	ho.pool.ReleaseWriter(writer)
	if err == nil {
		reader := ho.pool.AcquireReader(conn)
		err = res.Read(reader)
		ho.pool.ReleaseReader(reader)
	}
	var silent net.Error
	if errors.As(err, &silent) && silent.Timeout() {
		ho.suspect(sent)
	}
	if err != nil || res.ConnectionClose() {
		ho.pool.CloseConn(cc)
	} else {
		ho.pool.ReleaseConn(cc)
	}
	return errors.WithStack(err)
}

// Quiet returns a logger of the HTTP library that tells of nothing but oddities.
func Quiet(log logr.Logger) fasthttp.Logger { return quiet{log} }

type quiet struct{ log logr.Logger }

// Printf logs what the library says at the verbosity that operators do not need.
func (qu quiet) Printf(format string, args ...any) {
	qu.log.V(1).Info("HTTP library.", "says", errors.Errorf(format, args...).Error())
}
