//go:build review

package main

import (
	"fmt"
	"time"
)

func init() { scenarios["room"] = room }

// restartBound is how long after its last run a task that lasts may be without one before the rule LOST looks at it.
const restartBound = 6 * time.Second

// room plays services with one large task that lasts each, small batch tasks on all workers beside them, and the crash of a
// worker that runs a service. The rule is LOST: a task that lasts has no run for 3 s, from 6 s after its last one.
func room(rg *rig) verdict {
	const (
		serviceJobs, serviceCores = 4, 48
		batchCores, perWorker     = 2, 13
		batchTime                 = 16 * time.Second
		calm                      = 2 * time.Second
		finish                    = 32 * time.Second
	)
	rg.deploy(func(_ *worker, rn *run) {
		rn.milli = serviceCores * 1000
		if rn.spec == "batch" {
			rn.takes, rn.milli = batchTime, batchCores*1000
		}
	})
	service := request{Spec: "service", Steps: []step{{Count: 1, CPU: serviceCores * 1000, MB: 4096, LongRunning: true, EstimatedMS: 60000}}}
	for range serviceJobs {
		if rg.clients.submit(hostName, services, service) == nil {
			panic("a service was not accepted")
		}
	}
	rg.await("all services run", 15*time.Second, func() bool { return rg.fleet.runningOf("service") == serviceJobs })
	const workerCores = workerMilli / 1000
	total := (workerCount-serviceJobs)*perWorker + serviceJobs*((workerCores-serviceCores)/batchCores)
	batch := request{Spec: "batch", Steps: []step{{
		Count: total, CPU: batchCores * 1000, MB: 1024, PerWorker: perWorker, EstimatedMS: int(batchTime.Milliseconds()),
	}}}
	if rg.clients.submit(hostName, batches, batch) == nil {
		panic("the batch was not accepted")
	}
	rg.await("all tasks of the batch run", 10*time.Second, func() bool { return rg.fleet.runningOf("batch") == total })
	time.Sleep(calm)
	var disturbances []time.Duration
	if rg.trouble {
		disturbances = append(disturbances, rg.rec.now())
		rg.fleet.crash(rg.fleet.busiest("service"))
	}
	time.Sleep(finish)
	defer rg.keepLogs()
	return rg.judgeServices(disturbances)
}

// judgeServices judges the rule LOST for jobs of one task that lasts.
func (rg *rig) judgeServices(disturbances []time.Duration) verdict {
	now := rg.rec.now()
	count, lost := 0, 0
	var worst span
	for _, jb := range rg.clients.list() {
		if jb.route != services {
			continue
		}
		count++
		for _, idle := range idleSpans(rg.fleet.runsOf(jb.id), jb.accepted, now) {
			late := span{idle.from + restartBound, idle.to}
			sp := calmFrom(late, disturbances)
			if sp.to-sp.from < standstill {
				continue
			}
			lost++
			rg.rec.write("judge", "LOST: the task of job %s has no run from %.3f to %.3f, of which %.3f to %.3f counts; at most %.0f%% of the processors are in use",
				jb.id, idle.from.Seconds(), idle.to.Seconds(), sp.from.Seconds(), sp.to.Seconds(), 100*rg.fleet.mostUsed(sp))
			if idle.to-idle.from > worst.to-worst.from {
				worst = idle
			}
		}
	}
	return verdict{lost > 0, fmt.Sprintf("of %d tasks that last %d had no run for 3 s or more from 6 s after their last one, in calm; the longest was without for %.1f s",
		count, lost, (worst.to - worst.from).Seconds())}
}
