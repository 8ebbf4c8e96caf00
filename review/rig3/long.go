//go:build review

package main

import (
	"sync"
	"time"
)

func init() { scenarios["long"] = long }

// long plays one patient job with a long task on each worker among urgent lookups. The rule is LOST, as for stall.
func long(rg *rig) verdict {
	const (
		perSecond = 8
		calm      = 8 * time.Second
		traffic   = 45 * time.Second
		finish    = 14 * time.Second
		longTime  = 10 * time.Minute
		longCores = 2
	)
	rg.deploy(func(_ *worker, rn *run) {
		rn.takes, rn.milli = lookupTime, 5600
		if rn.spec != "lookup" {
			rn.takes, rn.milli = longTime, longCores*1000
		}
	})
	began := rg.rec.now()
	var group sync.WaitGroup
	group.Go(func() { rg.sendLookups(perSecond, began+traffic) })
	time.Sleep(calm)
	var disturbances []time.Duration
	if rg.trouble {
		disturbances = append(disturbances, rg.rec.now())
		rg.clients.submit(hostName, batches, request{Spec: "long", Steps: []step{{
			Count: workerCount, CPU: longCores * 1000, MB: 1024, PerWorker: 1, EstimatedMS: int(longTime.Milliseconds()),
		}}})
	}
	group.Wait()
	time.Sleep(finish)
	defer rg.keepLogs()
	return rg.judgeLost(began, disturbances)
}
