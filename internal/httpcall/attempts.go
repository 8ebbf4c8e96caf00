package httpcall

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// outcome is how a call ended.
type outcome struct {
	res Response
	err error
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
	timer := time.NewTimer(ts.rq.ServerWait + overdue)
	defer timer.Stop()
	given := ts.ctx.Done()
	for {
		select {
		case out := <-ts.done:
			ts.open--
			if out.err == nil {
				out.res.UnansweredAttempt = ts.open > 0 || ts.lost != nil
				return out.res, nil
			}
			if err := ts.failed(out.err); err != nil {
				return Response{}, err
			}
		case <-timer.C:
			ts.again()
		case <-given:
			late := errors.Is(ts.ctx.Err(), context.DeadlineExceeded)
			if late && ts.rq.flowing.Load() {
				given = nil // it has its own end
				continue
			}
			if late {
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
	if !errors.Is(err, ErrNotSent) {
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
