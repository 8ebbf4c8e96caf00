package httpcall

import (
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// stallTimeout is how long a response of any size may pause: a lost packet is sent again after 0.2 s, and once more
// after 0.4 s. A single timeout for the whole response would depend on its size and the link: 1.07 MB takes 0.93 s at
// 10 Mbit/s and 0.05 s at 200 Mbit/s, and nodes with a timeout of 1.1 s received 10.6 MB in 9 s without a complete
// response. Unlike a slow connection, an unresponsive one delivers nothing at all.
const stallTimeout = time.Second

// maxStreamTime bounds the time from the first byte of a response to its end.
const maxStreamTime = 10 * time.Second

// callConn is a connection during one call. It extends the read deadline while a streamed response arrives.
type callConn struct {
	net.Conn
	rq Request
	// deadline is the current deadline, maxDeadline the latest one for a streamed response.
	deadline, maxDeadline time.Time
	// onFirstByte is called when the first bytes of a streamed response arrive.
	onFirstByte func()
	// received is the number of bytes received.
	received int
}

// Read reads from the connection, and extends the deadline if the response is streamed.
func (cn *callConn) Read(buf []byte) (int, error) {
	count, err := cn.Conn.Read(buf)
	if count == 0 || !cn.rq.Streamed {
		return count, err
	}
	if cn.received == 0 {
		cn.start()
	}
	cn.received += count
	cn.deadline = time.Now().Add(stallTimeout)
	if cn.deadline.After(cn.maxDeadline) {
		cn.deadline = cn.maxDeadline
	}
	if err := cn.SetReadDeadline(cn.deadline); err != nil {
		return count, errors.WithStack(err)
	}
	return count, err
}

func (cn *callConn) start() {
	cn.maxDeadline = time.Now().Add(maxStreamTime)
	cn.onFirstByte()
	if cn.rq.streaming != nil {
		cn.rq.streaming.Store(true)
	}
}

// expired reports whether the current deadline has passed.
func (cn *callConn) expired() bool { return !time.Now().Before(cn.deadline) }

// wrapError adds to an error how much of the response was received. It returns nil for nil.
func (cn *callConn) wrapError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return errors.Wrapf(ErrTooLarge, "limit of %d bytes", cn.rq.MaxBody)
	case cn.received > 0:
		return errors.Wrapf(err, "after %d bytes of the response", cn.received)
	}
	return errors.WithStack(err)
}
