package planner_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/size"
	"tackbeam.example/policy/work"

	"tackbeam.example/tackbeam/internal/standin/memworkers"
)

// TestWorkersBeginAgain has workers crash and begin again under their ids. Callers saw tasks run a
// second time whose first run had ended done, an end that had been noted.
//
// The worker's next life counts its ends from 1, while the planner kept by the id up to which number it
// had taken them in. It told the next life to forget ends up to there, which nobody had read, and passed
// over those that came: a run looked as if it had gone without an end, and its task was begun again.
// What proved it: on such workers starts were answered and no line of an end followed, and the first one
// that did was number 14, where the earlier life had left off. Here the log gave both numbers.
func TestWorkersBeginAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bd := newBed(t, 200*time.Millisecond, "w1", "w2", "w3")
		defer bd.end()
		bd.addNode("n1")
		time.Sleep(time.Second)
		bd.submitMany(10, "before")
		time.Sleep(2 * time.Second)
		bd.beginAgain(500*time.Millisecond, "w1", "w2")
		time.Sleep(time.Second)
		bd.submitMany(10, "after")
		for n := range 10 {
			bd.await(fmt.Sprintf("after%d", n), cell.Succeeded, 5*time.Second)
		}
		if starts := len(bd.fleet.Starts()); starts != 40 {
			t.Errorf("%d starts of 40 tasks, none of which ran when a worker crashed", starts)
		}
	})
}

// TestNextStepAfterWorkersBeganAgain has a job whose second step may begin once all of its first has
// ended. Callers saw jobs that stood still with most of the workers' room free after all workers had
// crashed and begun again under their ids.
//
// The cause is that of TestWorkersBeginAgain. A gang whose ends are passed over has lost its members
// each time its work is done: it was stopped and begun again, up to 13 times, until each worker had counted up
// to where its earlier life was, and the step after it did not begin. What proved it: tasks of the first
// step on their ninth run, "gang lost a member" as the reason of all stops, and no end from any of their workers.
func TestNextStepAfterWorkersBeganAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bd := newBed(t, 200*time.Millisecond, "w1", "w2", "w3")
		defer bd.end()
		bd.addNode("n1")
		time.Sleep(time.Second)
		bd.submitMany(40, "before")
		time.Sleep(4 * time.Second)
		bd.beginAgain(500*time.Millisecond, "w1", "w2", "w3")
		time.Sleep(time.Second)
		need := size.New(1000, 1000, 0)
		bd.submitJob(bd.leader(), &work.Job{ID: "steps", Spec: "steps", Queue: bd.accepted, Steps: []work.Step{
			{Count: 4, Need: need, Estimate: time.Second, Gang: true},
			{Count: 4, Need: need, Estimate: time.Second, After: []int{0}},
		}})
		bd.await("steps", cell.Succeeded, 3*time.Second)
	})
}

// submitMany hands in jobs of two tasks each, one after the other.
func (bd *bed) submitMany(count int, name string) {
	for n := range count {
		bd.submit(bd.leader(), fmt.Sprint(name, n), 2)
	}
}

// TestLateStartInNextLife has a start go unanswered, its worker crash and begin again under its id, and
// the start be carried out there seconds later, when the task has run elsewhere.
//
// Orders name a worker by its id, and what was barred in one life is not in the next. What proved it: the
// start that the log gives as run 1 of w1's first life is stopped as run 1 of its second one, 2 s after run 2
// had ended done on w2. A start with its end noted is what callers see.
func TestLateStartInNextLife(t *testing.T) {
	for name, tt := range map[string]struct {
		// quiet is for how long the next life answers nobody after its first answer.
		quiet time.Duration
	}{
		"next life answers":                   {0},
		"next life answers once, then nobody": {4 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				bd := newBed(t, time.Second, "w1")
				defer bd.end()
				bd.addNode("n1")
				time.Sleep(time.Second)
				bd.fleet.SetFault(func(_, order string) memworkers.Fault {
					if order == "start" {
						return memworkers.Late
					}
					return memworkers.None
				})
				bd.submit(bd.leader(), "a", 1)
				time.Sleep(50 * time.Millisecond) // the start is on its way
				bd.beginAgain(200*time.Millisecond, "w1")
				bd.addWorker("w2")
				time.Sleep(200 * time.Millisecond)
				answers := 0
				var since time.Time
				bd.fleet.SetFault(func(worker, order string) memworkers.Fault {
					if worker != "w1" || order != "hold" || tt.quiet == 0 {
						return memworkers.None
					}
					if answers++; answers == 1 {
						since = bd.clock.Now()
						return memworkers.None
					}
					if bd.clock.Since(since) < tt.quiet {
						return memworkers.Silent
					}
					return memworkers.None
				})
				bd.await("a", cell.Succeeded, 8*time.Second)
				time.Sleep(memworkers.LateBy)
			})
		})
	}
}

// TestEndsOfNextLifeAreRead has a late start be carried out in its worker's next life, and end there,
// before the planner has heard of that life: the end is taken in, not forgotten unread.
//
// A silent worker was asked for reports with the number of the last end that it need not report. Its next
// life had ended the run as number 1 by then, and forgot it. What proved it: the first line of an end
// of the next life is run 2's with number 2, after run 1's start had no answer.
func TestEndsOfNextLifeAreRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bd := newBed(t, 5*time.Millisecond, "w1")
		defer bd.end()
		bd.addNode("n1")
		time.Sleep(time.Second)
		bd.submitMany(4, "before")
		time.Sleep(time.Second)
		bd.fleet.SetFault(func(_, order string) memworkers.Fault {
			if order == "start" {
				return memworkers.Late
			}
			return memworkers.None
		})
		bd.submit(bd.leader(), "a", 1)
		time.Sleep(30 * time.Millisecond) // the start is on its way
		bd.fleet.End("w1")
		bd.fleet.SetFault(func(_, order string) memworkers.Fault { return memworkers.None })
		bd.clock.AfterFunc(memworkers.LateBy-35*time.Millisecond, func() { bd.fleet.Add("w1") })
		bd.clock.AfterFunc(memworkers.LateBy, func() { bd.list("w1") })
		bd.await("a", cell.Succeeded, 10*time.Second)
	})
}
