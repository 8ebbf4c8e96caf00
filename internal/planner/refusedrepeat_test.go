package planner_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"tackbeam.example/policy/cell"

	"tackbeam.example/tackbeam/internal/agent"
	"tackbeam.example/tackbeam/internal/kv"
	"tackbeam.example/tackbeam/internal/standin/memworkers"
)

// attempt is an attempt to send a start.
type attempt struct {
	cell.Start
	// number counts the attempts of the start from 1.
	number int
	// pass sends the attempt to the worker.
	pass func() (agent.StartAnswer, error)
}

// wrapStarts has the testbed's nodes send starts through a function.
func (bd *testbed) wrapStarts(wrap func(at attempt) (agent.StartAnswer, error)) {
	var mu sync.Mutex
	attempts := map[cell.Run]int{}
	fleet := bd.fleet.Agents()
	start := func(ctx context.Context, to agent.Target, token uint64, deadline time.Duration, sr cell.Start) (agent.StartAnswer, error) {
		run := cell.Run{Task: sr.Task, Number: sr.Run}
		mu.Lock()
		attempts[run]++
		at := attempt{sr, attempts[run], func() (agent.StartAnswer, error) { return fleet.Start(ctx, to, token, deadline, sr) }}
		mu.Unlock()
		return wrap(at)
	}
	bd.wrapStore = func(st *kv.Store) *kv.Store { return st }
	bd.agents = &agent.Agents{Hold: fleet.Hold, Start: start, Stop: fleet.Stop, Pace: fleet.Pace}
}

// delayReports makes workers' answers to holds arrive after a delay.
func (bd *testbed) delayReports(delay time.Duration) {
	hold := bd.agents.Hold
	bd.agents.Hold = func(ctx context.Context, to agent.Target, hd agent.Hold) (agent.Report, error) {
		report, err := hold(ctx, to, hd)
		time.Sleep(delay)
		return report, err
	}
}

// TestSecondRunAfterRefusedRepeat: the first attempt of a start gets no answer, and is carried out; the next is refused.
func TestSecondRunAfterRefusedRepeat(t *testing.T) {
	const delay = 300 * time.Millisecond
	for name, tc := range map[string]struct {
		run   time.Duration
		first memworkers.Fault
		// refusal is the answer to the second attempt, empty if the worker decides.
		refusal cell.Refusal
		// reports is by how much reports are late.
		reports time.Duration
	}{
		"run has ended":                  {run: 20 * time.Millisecond, first: memworkers.ResponseLost, reports: delay},
		"run has ended, refused as late": {20 * time.Millisecond, memworkers.ResponseLost, cell.RefusedLate, delay},
		"late, refused for room":         {run: 10 * time.Second, first: memworkers.Delayed, refusal: cell.RefusedNoCapacity},
		"late, refused for the ticket":   {run: 10 * time.Second, first: memworkers.Delayed, refusal: cell.RefusedTicket},
		"late, refused as unhealthy":     {run: 10 * time.Second, first: memworkers.Delayed, refusal: cell.RefusedUnhealthy},
		"late, refused as invalid":       {run: 10 * time.Second, first: memworkers.Delayed, refusal: cell.RefusedInvalid},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				bd := newTestbed(t, tc.run, "w1", "w2")
				defer bd.end()
				bd.setStopTime(longestStop)
				var repeatRefused atomic.Bool
				bd.wrapStarts(func(at attempt) (agent.StartAnswer, error) {
					switch {
					case at.Run > 1:
					case at.number == 1:
						bd.failNextStart(tc.first)
					case tc.refusal != "":
						repeatRefused.Store(true)
						return agent.StartAnswer{Refusal: tc.refusal}, nil
					default:
						answer, err := at.pass()
						repeatRefused.Store(answer.Refusal != "")
						return answer, err
					}
					return at.pass()
				})
				bd.delayReports(tc.reports)
				nd := bd.addNode("n1")
				time.Sleep(time.Second)
				bd.submit(nd, "a", 1)
				bd.await("a", cell.Succeeded, 3*tc.run+5*time.Second)
				time.Sleep(time.Second) // the ends are acknowledged
				if !repeatRefused.Load() {
					t.Error("no repeated start was refused")
				}
			})
		})
	}
}

// failNextStart injects a fault into the next start that reaches a worker.
func (bd *testbed) failNextStart(fault memworkers.Fault) {
	failed := false
	bd.fleet.SetFault(func(_, order string) memworkers.Fault {
		if order != "start" || failed {
			return memworkers.None
		}
		failed = true
		return fault
	})
}

// TestGangRestartsWhileMemberStops: the repeated start of a member is refused because its run is being stopped.
func TestGangRestartsWhileMemberStops(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const (
			slowAnswer   = 40 * time.Millisecond // the planner then waits longer than the repeated start takes
			otherRefused = 5 * time.Millisecond
			repeatTakes  = 100 * time.Millisecond
		)
		bd := newTestbed(t, time.Second, "w1", "w2")
		defer bd.end()
		bd.setStopTime(longestStop)
		var repeatRefused atomic.Bool
		bd.wrapStarts(func(at attempt) (agent.StartAnswer, error) {
			switch {
			case at.Task.Job == "slow":
				time.Sleep(slowAnswer)
			case at.Run > 1:
			case at.Task.Index == 1:
				time.Sleep(otherRefused)
				return agent.StartAnswer{Refusal: cell.RefusedLate}, nil
			case at.number == 1:
				if _, err := at.pass(); err != nil {
					return agent.StartAnswer{}, err
				}
				return agent.StartAnswer{}, agent.ErrNoAnswer
			default:
				time.Sleep(repeatTakes)
				answer, err := at.pass()
				repeatRefused.Store(answer.Refusal == cell.RefusedStale)
				return answer, err
			}
			return at.pass()
		})
		nd := bd.addNode("n1")
		bd.submit(nd, "slow", 8)
		bd.await("slow", cell.Succeeded, 5*time.Second)
		jb := newJob(bd.accepted, "a", 2)
		jb.Steps[0].Gang = true
		bd.submitJob(nd, jb)
		bd.await("a", cell.Succeeded, 10*time.Second)
		if !repeatRefused.Load() {
			t.Error("no repeated start was refused")
		}
	})
}
