package planner_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"tackbeam.example/policy/work"

	"tackbeam.example/tackbeam/internal/joblog"
)

// TestRemovedRecordsOutlivePlanner guards against a crash without a record: the planner died after it had removed the
// records of the crashed worker, before the journal had that of the crash.
func TestRemovedRecordsOutlivePlanner(t *testing.T) {
	const from, to, step = 7500 * time.Millisecond, 8200 * time.Millisecond, 10 * time.Millisecond
	for submitted := from; submitted < to; submitted += step {
		t.Run(submitted.String(), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				bd := newTestbed(t, 700*time.Millisecond)
				defer bd.end()
				bd.crashOn(ownIDs, "bad")
				first := bd.addNode("n0")
				bd.awaitLeader(first)
				time.Sleep(time.Second)
				bd.addWorker("w1") // recorded in a write of its own
				time.Sleep(submitted - time.Second)
				bd.submit(first, "bad", 1)
				bd.awaitStarts("bad", 1)
				bd.awaitRemoval()
				bd.cutOff("n0")
				first.cancel()
				next := bd.addNode("n1")
				for n := 2; n <= 3; n++ {
					bd.awaitStarts("bad", n)
					time.Sleep(20 * time.Millisecond)
					next.cancel()
					bd.cutOff(fmt.Sprint("n", n-1))
					next = bd.addNode(fmt.Sprint("n", n))
				}
				time.Sleep(time.Minute)
				bd.checkBound("bad")
			})
		})
	}
}

// awaitStarts waits until the only task of a job was started a number of times, or will probably not be.
func (bd *testbed) awaitStarts(job string, count int) {
	for waited := 0; waited < maxPolls && bd.startsOf(job)[work.Task{Job: job}] < count; waited++ {
		time.Sleep(10 * time.Millisecond)
	}
}

// awaitRemoval waits until records are removed from the journal, for at most 4 s.
func (bd *testbed) awaitRemoval() {
	const most = 4000
	before := len(bd.store.Keys(joblog.Records))
	for range most {
		time.Sleep(time.Millisecond)
		now := len(bd.store.Keys(joblog.Records))
		if now < before {
			return
		}
		before = now
	}
}
