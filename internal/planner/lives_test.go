package planner_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/size"
	"tackbeam.example/policy/work"
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
