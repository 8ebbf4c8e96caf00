package planner_test

import (
	"testing"
	"testing/synctest"
	"time"

	"tackbeam.example/policy/cell"

	"tackbeam.example/tackbeam/internal/standin/memworkers"
)

// TestForeignEntries adds entries to the list of workers that must not be used. Nothing may call their addresses, and
// the other workers must go on.
func TestForeignEntries(t *testing.T) {
	for name, value := range map[string]string{"cannot be decoded": unreadable, "service not in use": "of another"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				bd := newTestbed(t, time.Second, "w1", "w2")
				defer bd.end()
				bd.fleet.Add("stranger")
				bd.store.Set(workersPrefix+"stranger", []byte(value))
				bd.fleet.SetFault(func(worker, _ string) memworkers.Fault {
					if worker == "stranger" {
						t.Error("a worker that must not be used was called")
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

// TestServiceComesIntoUse checks that the workers of a service are used once the configuration names the service.
func TestServiceComesIntoUse(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		bd := newTestbed(t, time.Second)
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

// TestEntryTurnsUnreadable overwrites the entry of a worker that runs tasks. The runs must go on to their end, and the
// worker gets no new ones until it has written its entry again.
func TestEntryTurnsUnreadable(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		bd := newTestbed(t, 8*time.Second, "w1")
		defer bd.end()
		nd := bd.addNode("n1")
		bd.submit(nd, "a", 1)
		bd.await("a", cell.Running, 2*time.Second)
		bd.store.Set(workersPrefix+"w1", []byte(unreadable))
		time.Sleep(time.Second)
		bd.submit(nd, "b", 1)
		bd.await("a", cell.Succeeded, 10*time.Second) // longer than the worker's lease
		if phase, err := nd.planner.JobPhase(t.Context(), "b", ""); phase != cell.Queued {
			t.Errorf("the job submitted meanwhile is %q, %v", phase, err)
		}
		bd.store.Set(workersPrefix+"w1", nil)
		bd.await("b", cell.Succeeded, 10*time.Second)
	})
}
