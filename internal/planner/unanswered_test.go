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
