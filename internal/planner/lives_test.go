package planner_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
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
// Orders name a worker by its id, and what was fenced in one life is not in the next. What proved it: the
// start that the log gives as run 1 of w1's first life is stopped as run 1 of its second one, 2 s after run 2
// had ended done on w2. A start with its end noted is what callers see.
func TestLateStartInNextLife(t *testing.T) {
	for name, tt := range map[string]struct {
		// late is how many tries of the start are late.
		late int
		// quiet is for how long the next life answers nobody after its first answer.
		quiet time.Duration
		// run is how long the task runs, ends when its worker's life ends after it was handed in.
		run, ends time.Duration
		// starts are those that are carried out.
		starts int
	}{
		"next life answers":                            {3, 0, time.Second, 150 * time.Millisecond, 1},
		"next life answers once, then nobody":          {3, 4 * time.Second, time.Second, 150 * time.Millisecond, 1},
		"the second try is answered, the run reported": {1, 4 * time.Second, 2500 * time.Millisecond, 1500 * time.Millisecond, 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				bd := newBed(t, tt.run, "w1")
				defer bd.end()
				bd.addNode("n1")
				time.Sleep(time.Second)
				tries := 0
				bd.fleet.SetFault(func(_, order string) memworkers.Fault {
					if order != "start" {
						return memworkers.None
					}
					if tries++; tries <= tt.late {
						return memworkers.Late
					}
					return memworkers.None
				})
				bd.submit(bd.leader(), "a", 1)
				time.Sleep(tt.ends) // the first try is on its way
				bd.beginAgain(200*time.Millisecond, "w1")
				bd.addWorker("w2")
				time.Sleep(201 * time.Millisecond) // it has just begun
				calls := 0
				var since time.Time
				bd.fleet.SetFault(func(worker, order string) memworkers.Fault {
					if worker != "w1" || order != "hold" || tt.quiet == 0 {
						return memworkers.None
					}
					// The first call meets a connection that has ended, the second is answered.
					if calls++; calls <= 2 {
						since = bd.clock.Now()
						return memworkers.None
					}
					if bd.clock.Since(since) < tt.quiet {
						return memworkers.Silent
					}
					return memworkers.None
				})
				bd.await("a", cell.Succeeded, 10*time.Second)
				time.Sleep(memworkers.LateBy)
				if starts := len(bd.fleet.Starts()); starts != tt.starts {
					t.Errorf("%d starts, want %d", starts, tt.starts)
				}
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
		bd.calm()
		bd.clock.AfterFunc(memworkers.LateBy-35*time.Millisecond, func() { bd.fleet.Add("w1") })
		bd.clock.AfterFunc(memworkers.LateBy, func() { bd.list("w1") })
		bd.await("a", cell.Succeeded, 10*time.Second)
	})
}

// TestEntryOfAnotherLife has entries in the list that name another life of a worker than the one that
// answers. Only the worker itself says which life is there: what it runs goes on, and it gets more.
func TestEntryOfAnotherLife(t *testing.T) {
	for name, born := range map[string]string{
		"later, by another writer": "9999999999999", "earlier": "5", "time not known": "0",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				bd := newBed(t, 2*time.Second, "w1")
				defer bd.end()
				bd.addNode("n1")
				time.Sleep(time.Second)
				bd.submit(bd.leader(), "a", 4)
				time.Sleep(500 * time.Millisecond)
				bd.store.Set(workersPrefix+"w1", []byte("born "+born))
				time.Sleep(500 * time.Millisecond)
				bd.submit(bd.leader(), "b", 4)
				bd.await("a", cell.Succeeded, 2*time.Second)
				bd.await("b", cell.Succeeded, 3*time.Second)
				if starts := len(bd.fleet.Starts()); starts != 8 {
					t.Errorf("%d starts of 8 tasks", starts)
				}
			})
		})
	}
}

// TestLifeBeforeItsEntry has the worker's next life answer before its entry is in the list, and the entry
// of the earlier life go meanwhile: it gets tasks once it is listed, and none before.
func TestLifeBeforeItsEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bd := newBed(t, 300*time.Millisecond, "w1")
		defer bd.end()
		bd.addNode("n1")
		time.Sleep(time.Second)
		bd.fleet.End("w1")
		bd.fleet.Add("w1")
		time.Sleep(time.Second)
		bd.submit(bd.leader(), "a", 1)
		time.Sleep(500 * time.Millisecond)
		bd.store.Remove(workersPrefix + "w1")
		time.Sleep(500 * time.Millisecond)
		if starts := len(bd.fleet.Starts()); starts > 0 {
			t.Errorf("%d starts on a worker that is not listed", starts)
		}
		bd.list("w1")
		bd.await("a", cell.Succeeded, 2*time.Second)
	})
}

// TestOldTasksWaitForNextLife has a planner start a task in a life of a worker that it has not heard of,
// and die. The next planner's first answer from the worker is of that life, while its entry and the records
// are of the one before. The task ran twice at a time: with the earlier life the planner took its place in the
// list of workers that may hold old tasks away, and began the task elsewhere before it had read the
// next life's first report. What proved it: "Whereabouts of all tasks are known" stood before any report.
func TestOldTasksWaitForNextLife(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bd := newBed(t, 3*time.Second, "w1")
		defer bd.end()
		first, second := bd.addTwo()
		time.Sleep(time.Second)
		bd.fleet.SetFault(func(worker, order string) memworkers.Fault {
			if worker == "w1" && order == "hold" {
				return memworkers.Silent
			}
			return memworkers.None
		})
		time.Sleep(1010 * time.Millisecond) // the hold that waits is answered, the next one is swallowed
		bd.fleet.End("w1")
		bd.fleet.Add("w1")
		bd.submit(second, "a", 1)
		time.Sleep(100 * time.Millisecond)
		bd.cutOff("n1")
		first.cancel()
		bd.addWorker("w2")
		answers := 0
		bd.fleet.SetFault(func(worker, order string) memworkers.Fault {
			if worker != "w1" || order != "hold" {
				return memworkers.None
			}
			if answers++; answers == 2 {
				return memworkers.Silent
			}
			return memworkers.None
		})
		bd.await("a", cell.Succeeded, 12*time.Second)
	})
}

// TestNextLifeIsRecorded has a planner hear of a worker's next life before its entry is in the list, and die.
// The life runs a task, which the one that follows must not begin again: the earlier life is gone in the
// records, and where the next one was in none nobody waited for what it runs.
func TestNextLifeIsRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bd := newBed(t, 9*time.Second, "w1")
		defer bd.end()
		first, second := bd.addTwo()
		time.Sleep(time.Second)
		quiet := func(worker, order string) memworkers.Fault {
			if worker == "w1" && order == "hold" {
				return memworkers.Silent
			}
			return memworkers.None
		}
		bd.fleet.SetFault(quiet)
		time.Sleep(1010 * time.Millisecond) // the hold that waits is answered, the next one is swallowed
		bd.fleet.End("w1")
		bd.fleet.Add("w1")
		bd.submit(second, "a", 1)
		time.Sleep(100 * time.Millisecond)
		bd.calm()
		time.Sleep(2 * time.Second) // the planner hears of the next life, and that it runs the task
		bd.fleet.SetFault(quiet)
		bd.cutOff("n1")
		first.cancel()
		bd.addWorker("w2")
		time.Sleep(4 * time.Second) // the planner that follows asks in vain
		bd.calm()
		bd.await("a", cell.Succeeded, 6*time.Second)
		if starts := len(bd.fleet.Starts()); starts != 1 {
			t.Errorf("%d starts of one task", starts)
		}
	})
}

// TestOldTasksWaitForNoEarlierLife has a worker begin again, and be listed so, while no planner is there. The
// next planner does not wait until the earlier life, which the records name, has surely lapsed.
func TestOldTasksWaitForNoEarlierLife(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bd := newBed(t, 2*time.Second, "w1")
		defer bd.end()
		first, second := bd.addTwo()
		time.Sleep(time.Second)
		bd.submit(second, "a", 4)
		time.Sleep(500 * time.Millisecond)
		bd.cutOff("n1")
		first.cancel()
		bd.beginAgain(100*time.Millisecond, "w1")
		bd.await("a", cell.Succeeded, 7*time.Second)
	})
}

// TestLives draws from a seed how workers end and begin again under their ids (alone, a few, all; at
// once, after a beat, after their lease), with orders that are lost, swallowed or late, a store that is
// silent and planners that change meanwhile. No task runs twice, and every job ends well.
//
//	TACKBEAM_LIVES_SEEDS=200 go test ./internal/planner -run TestLives
func TestLives(t *testing.T) {
	seeds, err := strconv.ParseUint(cmp.Or(os.Getenv("TACKBEAM_LIVES_SEEDS"), "12"), 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playLives(t, rand.New(rand.NewPCG(seed, 1))) })
		})
	}
}

// playLives plays one seed of TestLives.
func playLives(t *testing.T, rnd *rand.Rand) {
	const workers, jobs = 6, 60
	need := size.New(1000, 1000, 0)
	var ids []string
	for n := range workers {
		ids = append(ids, fmt.Sprint("w", n))
	}
	bd := newBed(t, time.Duration(50+rnd.IntN(900))*time.Millisecond, ids...)
	defer bd.end()
	bd.addTwo()
	time.Sleep(time.Second)
	odds := rnd.Float64() / 4
	var mu sync.Mutex
	bd.fleet.SetFault(func(string, string) memworkers.Fault {
		mu.Lock()
		defer mu.Unlock()
		if rnd.Float64() >= odds {
			return memworkers.None
		}
		return []memworkers.Fault{memworkers.Silent, memworkers.Lost, memworkers.Late}[rnd.IntN(3)]
	})
	draw := func(most int) int {
		mu.Lock()
		defer mu.Unlock()
		return rnd.IntN(most)
	}
	for n := range jobs {
		steps := []work.Step{{Count: 1 + draw(3), Need: need, Estimate: time.Second, Gang: draw(4) == 0}}
		if draw(3) == 0 {
			steps = append(steps, work.Step{Count: 1 + draw(3), Need: need, Estimate: time.Second, After: []int{0}})
		}
		id := fmt.Sprint("j", n)
		bd.submitJob(bd.nodes["n2"], &work.Job{ID: id, Spec: id, Queue: bd.accepted, Steps: steps})
		time.Sleep(time.Duration(draw(150)) * time.Millisecond)
		if draw(12) == 0 {
			away := []time.Duration{0, 100 * time.Millisecond, time.Second, 7 * time.Second}[draw(4)]
			first := draw(workers)
			bd.beginAgain(away, ids[first:min(first+1+draw(workers), workers)]...)
		}
		if nd := bd.leader(); nd != nil && draw(12) == 0 {
			nd.reign().Yield("the test says so")
		}
	}
	bd.calm()
	time.Sleep(40 * time.Second)
	for n := range jobs {
		id := fmt.Sprint("j", n)
		phase, err := bd.leader().planner.JobPhase(t.Context(), id, "")
		switch {
		case phase == cell.Succeeded:
		case phase == cell.Failed && bd.fleet.Losses(id) >= mostLosses:
		default:
			t.Errorf("job %s is %q, %v, and %d lives ended under it", id, phase, err, bd.fleet.Losses(id))
		}
	}
}

// mostLosses is how many lives may end under a job before it may fail.
const mostLosses = 3
