//go:build review

package main

import (
	"sync"
	"time"
)

func init() { scenarios["graph"] = graph }

// graph plays large jobs that come at once among urgent lookups: each is a graph of many steps with a task each. The rule is LOST, as for stall.
func graph(rg *rig) verdict {
	const (
		perSecond = 8
		calm      = 8 * time.Second
		traffic   = 45 * time.Second
		finish    = 14 * time.Second
		// Three jobs at once, each within the 10,000 tasks that a node accepts and the 262,144 bytes of the manifest.
		jobs, steps = 3, 9000
	)
	rg.deploy(func(_ *worker, rn *run) {
		rn.takes, rn.milli = lookupTime, 5600
		if rn.spec != "lookup" {
			rn.takes, rn.milli = 300*time.Millisecond, 10
		}
	})
	began := rg.rec.now()
	var group sync.WaitGroup
	group.Go(func() { rg.sendLookups(perSecond, began+traffic) })
	time.Sleep(calm)
	var disturbances []time.Duration
	if rg.trouble {
		disturbances = append(disturbances, rg.rec.now())
		large := request{Spec: "large"}
		for range steps {
			large.Steps = append(large.Steps, step{Count: 1, CPU: 10})
		}
		for range jobs {
			rg.clients.submit(hostName, batches, large)
		}
	}
	group.Wait()
	time.Sleep(finish)
	defer rg.keepLogs()
	return rg.judgeLost(began, disturbances)
}
