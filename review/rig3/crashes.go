//go:build review

package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { scenarios["crashes"] = crashes }

// crashes plays a service of tasks that last, and a patient job of one task. A worker that runs a task of each is lost three
// times, one worker at a time. The rule is LOST: no job may show as failed without cause, and only ends failed count as
// attempts. No run ever ends failed here.
func crashes(rg *rig) verdict {
	const (
		losses   = 3
		atWork   = 2 * time.Second
		workTime = 20 * time.Second
		limit    = 15 * time.Second
	)
	rg.deploy(func(_ *worker, rn *run) {
		rn.milli = 2000
		if rn.spec == "batch" {
			rn.takes = workTime
		}
	})
	service := rg.clients.submit(hostName, services, request{Spec: "service", Steps: []step{{Count: 3, CPU: 2000, MB: 1024, LongRunning: true, EstimatedMS: 60000}}})
	batch := rg.clients.submit(hostName, batches, request{Spec: "batch", Steps: []step{{Count: 1, CPU: 2000, MB: 1024, EstimatedMS: int(workTime.Milliseconds())}}})
	if service == nil || batch == nil {
		panic("a job was not accepted")
	}
	for loss := range losses {
		for _, jb := range []*job{service, batch} {
			task := jb.id + ".0.0.0"
			if rg.fleet.lossesOf(task) > loss {
				continue // the loss of a worker that had a task of each
			}
			var rn *run
			what := fmt.Sprintf("%s runs for %s, before loss %d", task, atWork, loss+1)
			rg.await(what, limit, func() bool {
				rn = rg.fleet.current(task)
				return rn != nil && rg.rec.now()-rn.began > atWork
			})
			if rg.trouble && rg.fleet.isUp(rn.worker) {
				rg.fleet.crash(rn.worker)
			}
		}
	}
	time.Sleep(limit + workTime)
	defer rg.keepLogs()
	failed := 0
	for _, jb := range []*job{service, batch} {
		phase, status := "", 0
		for range 1 + retries {
			if phase, status = rg.clients.ask(jb); status == http.StatusOK {
				break
			}
		}
		if phase == "failed" {
			failed++
			rg.rec.write("judge", "LOST: job %s shows as failed", jb.id)
		}
	}
	ends := rg.fleet.endsBy("failed", span{0, rg.rec.now()})
	return verdict{failed > 0 && ends == 0, fmt.Sprintf(
		"%d of 2 jobs show as failed after %d losses of a worker under one of their tasks; %d runs ended failed; max-attempts is 3; %d tasks of the service run",
		failed, losses, ends, rg.fleet.runningOf("service"))}
}

// current returns the present run of a task, or nil.
func (fl *fleet) current(task string) *run {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	for _, rn := range fl.runs {
		if rn.task == task && rn.over == 0 {
			return rn
		}
	}
	return nil
}

// lossesOf counts the runs of a task that were lost with their workers.
func (fl *fleet) lossesOf(task string) int {
	count := 0
	for _, rn := range fl.runsOfTask(task) {
		if rn.how == "crashed" {
			count++
		}
	}
	return count
}

// isUp reports whether a worker has not crashed.
func (fl *fleet) isUp(id string) bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return !fl.workers[id].gone
}
