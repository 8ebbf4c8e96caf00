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

// flow is a connection during one call, with the deadline of what is to come next.
type flow struct {
	net.Conn
	rq Request
	// end is the call's deadline, until that of what is to come next.
	end, until time.Time
	// began is called as soon as an answer that flows has begun.
	began func()
	// came counts the bytes of the answer.
	came int
}

// begin sets the deadline of the answer, or of its first byte.
func (fl *flow) begin(sent time.Time) error {
	if fl.rq.Begins > 0 {
		return fl.extend(sent.Add(fl.rq.Waits + fl.rq.Begins))
	}
	return fl.extend(fl.end)
}

// extend sets the deadline, which the call's own one bounds.
func (fl *flow) extend(until time.Time) error {
	if until.After(fl.end) {
		until = fl.end
	}
	fl.until = until
	return fl.SetDeadline(until)
}

// Read reads what has come, which gives an answer that flows more time.
func (fl *flow) Read(room []byte) (int, error) {
	count, err := fl.Conn.Read(room)
	fl.came += count
	if count > 0 && fl.rq.Begins > 0 {
		fl.began()
		if err := fl.extend(time.Now().Add(stall)); err != nil {
			return count, errors.WithStack(err)
		}
	}
	return count, err
}

// over reports whether the present deadline has passed.
func (fl *flow) over() bool { return !time.Now().Before(fl.until) }

// explain returns an error that says how much of the answer had come, nil for nil.
func (fl *flow) explain(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return errors.Wrapf(ErrTooLarge, "over %d bytes", fl.rq.Most)
	case fl.came > 0:
		return errors.Wrapf(err, "after %d bytes of the answer", fl.came)
	}
	return errors.WithStack(err)
}
