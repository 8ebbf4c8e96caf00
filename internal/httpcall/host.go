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

// host is the connections to one address.
type host struct {
	pool     *fasthttp.HostClient
	maxConns int
	limit    *connlimit.Limit
	noWait   bool
	mu       sync.Mutex
	// late is the number of calls that are overdue and still waited for.
	late int
	// doubt is when the latest call was sent that was overdue: connections that have not
	// answered since then may be silent.
	doubt time.Time
}

// dial opens a TCP connection with a user timeout, so that an unresponsive peer is detected.
func dial(address string, within time.Duration) (net.Conn, error) {
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

// minDialTimeout is the shortest timeout for dialing after a wait for the connection limit.
const minDialTimeout = 50 * time.Millisecond

// dial opens a connection that counts against the limit. Unless noWait is set, it waits at the limit.
func (ho *host) dial(address string, within time.Duration) (net.Conn, error) {
	if within <= 0 || within > dialTimeout {
		within = dialTimeout
	}
	began := time.Now()
	if ho.noWait {
		ho.limit.Add()
	} else if err := ho.limit.Acquire(within); err != nil {
		return nil, err
	}
	conn, err := dial(address, max(within-time.Since(began), minDialTimeout))
	if err != nil {
		ho.limit.Release()
		return nil, err
	}
	return ho.limit.ReleaseOnClose(conn), nil
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

// exchange sends a request on a connection that is not in doubt, and reads the answer.
func (ho *host) exchange(req *fasthttp.Request, res *fasthttp.Response, deadline time.Time, rq Request) error {
	left := time.Until(deadline)
	if left <= 0 {
		return errors.Wrap(ErrNotSent, "the deadline is over")
	}
	cc, err := ho.pool.AcquireConn(left, false)
	for err == nil && ho.doubted(cc.LastUseTime()) {
		ho.pool.CloseConn(cc)
		cc, err = ho.pool.AcquireConn(left, false)
	}
	if err != nil {
		return acquireError(err)
	}
	sent := time.Now()
	onTime := ho.watch(sent, min(rq.ServerWait+overdue, deadline.Sub(sent)))
	defer onTime()
	fl := &flow{Conn: cc.Conn(), until: deadline, rq: rq, began: onTime}
	if err := fl.SetDeadline(deadline); err != nil {
		ho.pool.CloseConn(cc)
		return errors.Wrap(ErrNotSent, err.Error())
	}
	writer := ho.pool.AcquireWriter(fl)
	if err = req.Write(writer); err == nil {
		err = writer.Flush()
	}
	ho.pool.ReleaseWriter(writer)
	if err == nil {
		reader := ho.pool.AcquireReader(fl)
		err = res.ReadLimitBody(reader, rq.MaxBody)
		ho.pool.ReleaseReader(reader)
	}
	if err != nil && fl.over() {
		ho.suspect(sent) // whatever the error is called, and though the timer has not gone off yet
	}
	if err != nil || res.ConnectionClose() {
		ho.pool.CloseConn(cc)
	} else {
		ho.pool.ReleaseConn(cc)
		ho.limit.MarkIdle(ho.pool)
	}
	return fl.explain(err)
}

// acquireError returns the error of a call for which no connection could be acquired.
func acquireError(err error) error {
	if errors.Is(err, connlimit.ErrLimitReached) || errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
		return errors.Wrap(ErrNoDescriptor, err.Error())
	}
	return errors.Wrap(ErrNotSent, err.Error())
}

// watch has a call that was sent at a time count as overdue after a while. The function that it
// returns ends that.
func (ho *host) watch(sent time.Time, after time.Duration) (end func()) {
	late := time.AfterFunc(after, func() {
		ho.suspect(sent)
		ho.addLate(1)
	})
	return sync.OnceFunc(func() {
		if !late.Stop() {
			ho.addLate(-1)
		}
	})
}
