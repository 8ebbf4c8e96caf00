package httpcall

import (
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"tackbeam.example/tackbeam/internal/connlimit"
)

// host manages the connections to one address.
type host struct {
	pool     *fasthttp.HostClient
	maxConns int
	limit    *connlimit.Limit
	noWait   bool
	// open is the dial function of the caller.
	open func(address string, timeout time.Duration) (net.Conn, error)
	mu   sync.Mutex
	// overdueCalls is the number of calls that are overdue and not yet ended.
	overdueCalls int
	// suspectBefore is when the latest overdue call was sent. Connections that have not answered since then may be
	// unresponsive.
	suspectBefore time.Time
}

// dial opens a TCP connection with a user timeout, so that an unresponsive peer is detected.
func dial(address string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, Control: func(_, _ string, raw syscall.RawConn) error {
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

// minDialTimeout is the shortest timeout for dialing after a wait for the connection limit.
const minDialTimeout = 50 * time.Millisecond

// dial opens a connection that counts against the limit. Unless noWait is set, it waits at the limit.
func (ho *host) dial(address string, timeout time.Duration) (net.Conn, error) {
	if timeout <= 0 || timeout > dialTimeout {
		timeout = dialTimeout
	}
	startedAt := time.Now()
	if ho.noWait {
		ho.limit.Add()
	} else if err := ho.limit.Acquire(timeout); err != nil {
		return nil, err
	}
	conn, err := ho.open(address, max(timeout-time.Since(startedAt), minDialTimeout))
	if err != nil {
		ho.limit.Release()
		return nil, err
	}
	return ho.limit.ReleaseOnClose(conn), nil
}

// markSuspect marks the connections as suspect that have not answered since a time.
func (ho *host) markSuspect(since time.Time) {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	if since.After(ho.suspectBefore) {
		ho.suspectBefore = since
	}
}

// addOverdue changes the number of overdue calls, whose connections do not count against the maximum.
func (ho *host) addOverdue(count int) {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	ho.overdueCalls += count
	ho.pool.SetMaxConns(min(ho.maxConns+max(ho.overdueCalls, 0), maxConnsFactor*ho.maxConns))
}

// isSuspect reports whether a connection that was last used at a time is suspect.
func (ho *host) isSuspect(lastUsed time.Time) bool {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	return !lastUsed.IsZero() && lastUsed.Before(ho.suspectBefore) // zero for a new connection
}

// exchange sends a request on a connection that is not suspect, and reads the response.
func (ho *host) exchange(req *fasthttp.Request, res *fasthttp.Response, deadline time.Time, rq Request) error {
	remaining := time.Until(deadline)
	if remaining <= 0 {
		return errors.Wrap(ErrNotSent, "deadline passed")
	}
	cc, err := ho.pool.AcquireConn(remaining, false)
	for err == nil && ho.isSuspect(cc.LastUseTime()) {
		ho.pool.CloseConn(cc)
		cc, err = ho.pool.AcquireConn(remaining, false)
	}
	if err != nil {
		return acquireError(err)
	}
	sent := time.Now()
	stopTracking := ho.trackOverdue(sent, min(rq.ServerWait+overdueAfter, deadline.Sub(sent)))
	defer stopTracking()
	cn := &callConn{Conn: cc.Conn(), deadline: deadline, rq: rq, onFirstByte: stopTracking}
	if err := cn.SetDeadline(deadline); err != nil {
		ho.pool.CloseConn(cc)
		return errors.Wrap(ErrNotSent, err.Error())
	}
	writer := ho.pool.AcquireWriter(cn)
	if err = req.Write(writer); err == nil {
		err = writer.Flush()
	}
	ho.pool.ReleaseWriter(writer)
	if err == nil {
		reader := ho.pool.AcquireReader(cn)
		err = res.ReadLimitBody(reader, rq.MaxBody)
		ho.pool.ReleaseReader(reader)
	}
	if err != nil && cn.expired() {
		ho.markSuspect(sent) // for any kind of error, even if the timer has not fired yet
	}
	if err != nil || res.ConnectionClose() {
		ho.pool.CloseConn(cc)
	} else {
		ho.pool.ReleaseConn(cc)
		ho.limit.MarkIdle(ho.pool)
	}
	return cn.wrapError(err)
}

// acquireError returns the error of a call for which no connection could be acquired.
func acquireError(err error) error {
	if errors.Is(err, connlimit.ErrLimitReached) || errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
		return errors.Wrap(ErrNoDescriptor, err.Error())
	}
	return errors.Wrap(ErrNotSent, err.Error())
}

// trackOverdue counts a call that was sent at a time as overdue after a delay, until the returned function is called.
// If that happens before the delay, the call is never counted.
func (ho *host) trackOverdue(sent time.Time, delay time.Duration) (stop func()) {
	timer := time.AfterFunc(delay, func() {
		ho.markSuspect(sent)
		ho.addOverdue(1)
	})
	return sync.OnceFunc(func() {
		if !timer.Stop() {
			ho.addOverdue(-1)
		}
	})
}
