package httpcall

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// outcome is the result of one attempt.
type outcome struct {
	res Response
	err error
}

// attempts are the attempts of one call. The second one runs in parallel with the first or after it.
type attempts struct {
	caller    *Caller
	ctx       context.Context
	rq        Request
	startedAt time.Time
	done      chan outcome
	// remaining is how many more attempts are allowed, pending how many have not ended.
	remaining, pending int
	// lostErr is the error of an attempt that was sent.
	lostErr error
}

func (as *attempts) run() (Response, error) {
	as.start()
	var overdue <-chan time.Time
	if as.remaining > 0 {
		timer := time.NewTimer(as.rq.ServerWait + overdueAfter)
		defer timer.Stop()
		overdue = timer.C
	}
	ctxDone := as.ctx.Done()
	for {
		select {
		case out := <-as.done:
			as.pending--
			if out.err == nil {
				out.res.UnansweredAttempt = as.pending > 0 || as.lostErr != nil
				return out.res, nil
			}
			if err := as.handleError(out.err); err != nil {
				return Response{}, err
			}
		case <-overdue:
			as.retry()
		case <-ctxDone:
			deadlinePassed := errors.Is(as.ctx.Err(), context.DeadlineExceeded)
			if deadlinePassed && as.rq.Streamed && as.rq.streaming.Load() {
				ctxDone = nil // a streamed response has its own deadline
				continue
			}
			if deadlinePassed {
				as.caller.host(as.rq.Address).markSuspect(as.startedAt) // takes effect before the caller's next call
			}
			return Response{}, errors.WithStack(as.ctx.Err())
		}
	}
}

func (as *attempts) start() {
	as.remaining--
	as.pending++
	go func() {
		res, err := as.caller.do(as.ctx, as.rq)
		as.done <- outcome{res, err}
	}()
}

// retry starts another attempt, if allowed, on a new connection, since others to the address may be unresponsive or
// closed as well.
func (as *attempts) retry() {
	if as.remaining == 0 {
		return
	}
	as.caller.host(as.rq.Address).markSuspect(as.startedAt)
	as.start()
}

// handleError processes the error of an attempt. It returns the call's error if no other attempt is pending or started.
// If the request was sent on a closed connection, another attempt starts at once, because all idle connections are
// closed together when the server restarts.
func (as *attempts) handleError(err error) error {
	if !errors.Is(err, ErrNotSent) {
		as.lostErr = err
		as.retry()
	}
	switch {
	case as.pending > 0:
		return nil
	case as.lostErr != nil:
		return as.lostErr
	}
	return err
}
