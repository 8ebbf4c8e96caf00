package httpcall

import (
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// stall is the longest time in which nothing may come of an answer that may be of any size: a
// lost packet is sent again after 0.2 s, and once more after 0.4 s. One limit for the whole answer
// would have to know its size and the link: 1.07 MB takes 0.93 s at 10 Mbit/s and 0.05 s at
// 200 Mbit/s, and nodes that gave it 1.1 s received 10.6 MB in 9 s without an answer. What tells
// a silent connection from a slow one is that nothing comes.
const stall = time.Second

// longest bounds the time that an answer takes after its beginning.
const longest = 10 * time.Second

// flow is a connection during one call, with the deadline of what is to come next.
type flow struct {
	net.Conn
	rq Request
	// until is the present deadline, end the last one of an answer that flows.
	until, end time.Time
	// began is called as soon as an answer that flows has begun.
	began func()
	// came counts the bytes of the answer.
	came int
}

// Read reads what has come, which gives an answer that flows more time.
func (fl *flow) Read(room []byte) (int, error) {
	count, err := fl.Conn.Read(room)
	if count == 0 || !fl.rq.Streamed {
		return count, err
	}
	if fl.came == 0 {
		fl.begin()
	}
	fl.came += count
	fl.until = time.Now().Add(stall)
	if fl.until.After(fl.end) {
		fl.until = fl.end
	}
	if err := fl.SetReadDeadline(fl.until); err != nil {
		return count, errors.WithStack(err)
	}
	return count, err
}

func (fl *flow) begin() {
	fl.end = time.Now().Add(longest)
	fl.began()
	if fl.rq.flowing != nil {
		fl.rq.flowing.Store(true)
	}
}

// over reports whether the present deadline has passed.
func (fl *flow) over() bool { return !time.Now().Before(fl.until) }

// explain returns an error that says how much of the answer had come, nil for nil.
func (fl *flow) explain(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return errors.Wrapf(ErrTooLarge, "over %d bytes", fl.rq.MaxBody)
	case fl.came > 0:
		return errors.Wrapf(err, "after %d bytes of the answer", fl.came)
	}
	return errors.WithStack(err)
}
