package feed

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"tackbeam.example/tackbeam/internal/kv"
)

// callStore makes a call that the store may hold back for wait. Other nodes are asked meanwhile for versions that this node has
// heard of. If the timeout has grown, they are also asked as often as if it had not: they may reach the store.
func (fd *Feed) callStore(ctx context.Context, wait time.Duration, call func() error) error {
	asking, stopAsking := context.WithCancel(ctx)
	defer stopAsking()
	result := make(chan error, 1)
	go func() {
		err := call()
		if isAnswer(err) {
			stopAsking() // a node that does not answer must not delay the store's answer
		}
		result <- err
	}()
	var overdue <-chan time.Time
	if firstByteTimeout.Delay(fd.timeouts-1) > firstByte {
		overdue = fd.clock.After(wait + firstByte)
	}
	announced := fd.announcedDue()
	for {
		select {
		case err := <-result:
			return err
		case <-fd.heard:
			announced = fd.announcedDue()
		case <-announced:
			fd.requestAnnounced(asking)
			announced = fd.announcedRetry()
		case <-overdue:
			fd.askNodes(asking)
			overdue = fd.clock.After(firstByte)
		}
	}
}

// askNodes asks other nodes for what the copy lacks, or for the age of their copies.
func (fd *Feed) askNodes(ctx context.Context) {
	if !fd.Behind() {
		fd.checkPeers(ctx)
		return
	}
	if err := fd.requestChanges(ctx); err != nil {
		fd.log.V(1).Info("Another node did not send the change.", "reason", err.Error())
	}
}

// isAnswer reports whether a call with this result was answered by the store.
func isAnswer(err error) bool {
	return err == nil || errors.Is(err, kv.ErrTooLarge) || errors.Is(err, kv.ErrCompacted)
}

// recordCall records whether a call to the store timed out, resets the timeout count after an answer, and logs a
// failed call.
func (fd *Feed) recordCall(call context.Context, name string, sent time.Time, err error) {
	if isAnswer(err) {
		fd.timeouts, fd.timedOut = 0, false
		return
	}
	fd.timedOut = errors.Is(call.Err(), context.DeadlineExceeded)
	fd.log.V(1).Info("Call to the store failed.", "call", name, "duration", fd.clock.Since(sent).String(),
		"timeouts", fd.timeouts, "reason", err.Error())
}
