package planner_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"tackbeam.example/policy/cell"

	"tackbeam.example/tackbeam/internal/standin/memworkers"
)

// TestUnansweredStartsAreRepeated loses the answers of one order in eight, as workers do that
// carry orders out late. Jobs with half a second to spare are in time all the same: what is
// not answered is sent again to the same worker, which knows a run that it has. A run that is
// shorter than the wait ends before the second try, which is refused then and proves nothing.
func TestUnansweredStartsAreRepeated(t *testing.T) {
	faults := map[string]memworkers.Fault{
		"carried out, not answered": memworkers.Lost,
		"carried out late":          memworkers.Late,
		"never carried out":         memworkers.Silent,
	}
	runs := map[string]time.Duration{"of 0.6 s": 600 * time.Millisecond, "shorter than the wait": 20 * time.Millisecond}
	for what, fault := range faults {
		for long, run := range runs {
			t.Run(what+", runs "+long, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					const spare = 300 * time.Millisecond
					bd := newBed(t, run, "w1", "w2", "w3")
					defer bd.end()
					nd := bd.addNode("n1")
					bd.submit(nd, "first", 1)
					bd.await("first", cell.Succeeded, 5*time.Second)
					count := 0
					bd.fleet.SetFault(func(_, order string) memworkers.Fault {
						if order != "start" {
							return memworkers.None
						}
						if count++; count%8 == 0 {
							return fault
						}
						return memworkers.None
					})
					for n := range 8 {
						id := fmt.Sprintf("a%d", n)
						bd.submit(nd, id, 4)
						bd.await(id, cell.Succeeded, run+spare)
					}
					if starts := len(bd.fleet.Starts()); starts != 1+8*4 {
						t.Errorf("%d starts of %d tasks", starts, 1+8*4)
					}
				})
			})
		}
	}
}

// TestLostHoldsHideNoEnds loses one call in twelve of all kinds. Callers saw jobs of 0.6 s take
// 2.3 s in the mean: nobody saw the ends on a worker for 1.7 s after each hold that was lost.
func TestLostHoldsHideNoEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const run, spare, jobs = 600 * time.Millisecond, 200 * time.Millisecond, 30
		bd := newBed(t, run, "w1", "w2", "w3")
		defer bd.end()
		nd := bd.addNode("n1")
		count := 0
		bd.fleet.SetFault(func(string, string) memworkers.Fault {
			if count++; count%12 == 0 {
				return memworkers.Late
			}
			return memworkers.None
		})
		for n := range 8 { // until it is known that calls are lost
			id := fmt.Sprintf("first%d", n)
			bd.submit(nd, id, 6)
			bd.await(id, cell.Succeeded, 6*time.Second)
		}
		began := time.Now()
		for n := range jobs {
			id := fmt.Sprintf("a%d", n)
			bd.submit(nd, id, 4)
			bd.await(id, cell.Succeeded, 6*time.Second)
		}
		mean := time.Since(began) / jobs
		t.Logf("a job takes %v in the mean", mean)
		if mean > run+spare {
			t.Errorf("a job takes %v in the mean, more than %v", mean, run+spare)
		}
	})
}
