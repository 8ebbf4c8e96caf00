package planner_test

import (
	"testing"
	"testing/synctest"
	"time"

	"tackbeam.example/policy/cell"

	"tackbeam.example/tackbeam/internal/standin/memworkers"
)

// TestForeignEntries has entries in the list of workers that name none to use: nobody calls
// their addresses, and the others go on.
func TestForeignEntries(t *testing.T) {
	for name, value := range map[string]string{"cannot be read": unreadable, "service not in use": "of another"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				bd := newBed(t, time.Second, "w1", "w2")
				defer bd.end()
				bd.fleet.Add("stranger")
				bd.store.Set(workersPrefix+"stranger", []byte(value))
				bd.fleet.SetFault(func(worker, _ string) memworkers.Fault {
					if worker == "stranger" {
						t.Error("the stranger was called")
					}
					return memworkers.None
				})
				nd := bd.addNode("n1")
				bd.submit(nd, "a", 16)
				bd.await("a", cell.Succeeded, 4*time.Second)
			})
		})
	}
}

// TestServiceComesIntoUse calls the workers of a service once the configuration names it.
func TestServiceComesIntoUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bd := newBed(t, time.Second)
		defer bd.end()
		bd.serves.Store("")
		bd.addWorker("w1")
		nd := bd.addNode("n1")
		time.Sleep(3 * time.Second)
		bd.serves.Store("svc")
		time.Sleep(time.Second)
		bd.submit(nd, "a", 1)
		bd.await("a", cell.Succeeded, 2*time.Second)
	})
}

// TestEntryTurnsUnreadable has a worker's entry overwritten while it runs tasks: they end there,
// and it gets no new ones until it has written its entry again.
func TestEntryTurnsUnreadable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bd := newBed(t, 8*time.Second, "w1")
		defer bd.end()
		nd := bd.addNode("n1")
		bd.submit(nd, "a", 1)
		bd.await("a", cell.Running, 2*time.Second)
		bd.store.Set(workersPrefix+"w1", []byte(unreadable))
		time.Sleep(time.Second)
		bd.submit(nd, "b", 1)
		bd.await("a", cell.Succeeded, 10*time.Second) // longer than the worker's lease
		if phase, err := nd.planner.JobPhase(t.Context(), "b", ""); phase != cell.Queued {
			t.Errorf("the job handed in meanwhile is %q, %v", phase, err)
		}
		bd.store.Set(workersPrefix+"w1", nil)
		bd.await("b", cell.Succeeded, 10*time.Second)
	})
}
