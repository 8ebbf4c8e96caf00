package term

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"tackbeam.example/tackbeam/internal/joblog"
	"tackbeam.example/tackbeam/internal/loop"
)

// A planner that earlier ones did not have to ask for permission asks any node that they did have to ask. One answer is
// enough, since each permission is one of all nodes.

const (
	// askedAtOnce is the number of nodes that a planner asks at the same time.
	askedAtOnce = 8
	askTimeout  = 250 * time.Millisecond
	askPause    = 50 * time.Millisecond
)

// Reasons why a node does not tell about its permissions.
var (
	errLeads      = errors.New("the node has not noticed the end of its own term")
	errNotStarted = errors.New("the node has not started to take part in elections")
)

// PermissionsLeft returns for how much longer earlier planners than the one of a term can use permissions of this node. It
// gives them none from now on.
func (er *Elector) PermissionsLeft(token uint64) (time.Duration, error) {
	er.mu.Lock()
	defer er.mu.Unlock()
	switch {
	case er.current != nil:
		return 0, errLeads
	case er.startedAt.IsZero():
		return 0, errNotStarted // another process of the node may have given one just before
	}
	er.gracelessBefore = max(er.gracelessBefore, token)
	return max(er.permissionsEnd().Sub(er.clock.Now()), 0), nil
}

// askForRenewalsEnd asks nodes in the record until when earlier planners can have renewed leases of workers, until one
// answers or it does not matter any more. It returns the given time if none knows better.
func (er *Elector) askForRenewalsEnd(ctx context.Context, rt *runningTerm, rec joblog.GraceRecord, worst time.Time) time.Time {
	for er.opts.RequestPermissionsLeft != nil && len(rec.Nodes) > 0 && er.clock.Now().Before(worst) {
		if left, ok := er.askForPermissionsLeft(ctx, rt, rec.Nodes); ok {
			er.mu.Lock()
			defer er.mu.Unlock()
			return earliest(worst, latest(er.aloneUntil(rt), er.clock.Now().Add(left)))
		}
		if !loop.Sleep(ctx, er.clock, askPause) {
			break
		}
	}
	return worst
}

// askForPermissionsLeft asks some of the nodes at the same time, and returns the first answer.
func (er *Elector) askForPermissionsLeft(ctx context.Context, rt *runningTerm, nodes []joblog.NodeID) (time.Duration, bool) {
	call, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	count := min(askedAtOnce, len(nodes))
	answers := make(chan time.Duration, count)
	failures := make(chan error, count)
	for _, at := range rand.Perm(len(nodes))[:count] {
		go func() {
			left, err := er.opts.RequestPermissionsLeft(call, joblog.Member{Node: nodes[at].Node, PeerAddr: nodes[at].PeerAddr}, rt.token)
			if err != nil {
				failures <- err
				return
			}
			answers <- left
		}()
	}
	for range count {
		select {
		case left := <-answers:
			return left, true
		case <-failures:
		}
	}
	return 0, false
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
