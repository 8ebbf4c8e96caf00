//go:build review

package main

import (
	"sync"
	"time"
)

func init() {
	scenarios["hopeless"] = hopeless
	scenarios["long"] = long
}

// hopeless plays one patient job whose tasks all fail after some seconds of work, a few of them on each worker, among urgent lookups.
// The rule is LOST, as for stall.
func hopeless(rg *rig) verdict {
	const (
		work      = 5 * time.Second
		cores     = 2
		perWorker = 3
	)
	return rg.playPatientJob(step{
		Count: workerCount * perWorker, CPU: cores * 1000, MB: 1024, PerWorker: perWorker, EstimatedMS: int(work.Milliseconds()),
	}, func(rn *run) { rn.takes, rn.milli, rn.fails = work, cores*1000, true })
}

// long plays one patient job with a long task on each worker among urgent lookups. The rule is LOST, as for stall.
func long(rg *rig) verdict {
	const (
		work  = 10 * time.Minute
		cores = 2
	)
	return rg.playPatientJob(step{
		Count: workerCount, CPU: cores * 1000, MB: 1024, PerWorker: 1, EstimatedMS: int(work.Milliseconds()),
	}, func(rn *run) { rn.takes, rn.milli = work, cores*1000 })
}

// playPatientJob plays a patient job of one step among urgent lookups.
func (rg *rig) playPatientJob(st step, behavior func(rn *run)) verdict {
	const (
		perSecond = 8
		calm      = 8 * time.Second
		traffic   = 45 * time.Second
		finish    = 14 * time.Second
	)
	rg.deploy(func(_ *worker, rn *run) {
		if rn.spec == "lookup" {
			rn.takes, rn.milli = lookupTime, 5600
			return
		}
		behavior(rn)
	})
	began := rg.rec.now()
	var group sync.WaitGroup
	group.Go(func() { rg.sendLookups(perSecond, began+traffic) })
	time.Sleep(calm)
	var disturbances []time.Duration
	if rg.trouble {
		disturbances = append(disturbances, rg.rec.now())
		rg.clients.submit(hostName, batches, request{Spec: "patient", Steps: []step{st}})
	}
	group.Wait()
	time.Sleep(finish)
	defer rg.keepLogs()
	return rg.judgeLost(began, disturbances)
}
