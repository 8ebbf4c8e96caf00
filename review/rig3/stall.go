//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { scenarios["stall"] = stall }

// stall plays services that fill what other tasks leave unused, urgent lookups beside them, and the crash of one worker. The
// rule is LOST: for 3 s a job has nothing running while the turn of its tasks has come and the workers are nearly empty.
func stall(rg *rig) verdict {
	const (
		fillJobs, fillTasks = 4, 12
		perSecond           = 8
		calm                = 8 * time.Second
		traffic             = 45 * time.Second
		finish              = 14 * time.Second
	)
	rg.deploy(func(_ *worker, rn *run) {
		if rn.spec == "lookup" {
			rn.takes, rn.milli = lookupTime, 5600
			return
		}
		rn.milli = 0 // what others leave unused
	})
	for range fillJobs {
		fill := request{Spec: "fill", Steps: []step{{Count: fillTasks, CPU: 2000, LongRunning: true, Fills: true, EstimatedMS: 60000}}}
		if rg.clients.submit(hostName, services, fill) == nil {
			panic("a service was not accepted")
		}
	}
	rg.await("all tasks of the services run", 15*time.Second, func() bool { return rg.fleet.runningOf("fill") == fillJobs*fillTasks })
	began := rg.rec.now()
	var group sync.WaitGroup
	group.Go(func() { rg.sendLookups(perSecond, began+traffic) })
	time.Sleep(calm)
	var disturbances []time.Duration
	if rg.trouble {
		disturbances = append(disturbances, rg.rec.now())
		rg.fleet.crash(rg.fleet.busiest("fill"))
	}
	group.Wait()
	time.Sleep(finish)
	defer rg.keepLogs()
	return rg.judgeLost(began, disturbances)
}

// judgeLost asks for all jobs, and judges the rule LOST for the lookups.
func (rg *rig) judgeLost(began time.Duration, disturbances []time.Duration) verdict {
	now := rg.rec.now()
	list := rg.clients.list()
	unanswered := rg.clients.askAll(list)
	count, lost := 0, 0
	worst := span{}
	for _, jb := range list {
		if jb.route != lookups {
			continue
		}
		count++
		runs := rg.fleet.runsOf(jb.id)
		until := now
		if done, all := allDone(runs); all {
			until = done
		}
		for _, idle := range idleSpans(runs, jb.accepted, until) {
			sp := calmFrom(idle, disturbances)
			used := rg.fleet.mostUsed(sp)
			if sp.to-sp.from < standstill || used >= 0.5 {
				continue
			}
			lost++
			rg.rec.write("judge", "LOST: job %s, accepted at %.3f, has nothing running from %.3f to %.3f, of which %.3f to %.3f is calm; at most %.0f%% of the processors are in use",
				jb.id, jb.accepted.Seconds(), idle.from.Seconds(), idle.to.Seconds(), sp.from.Seconds(), sp.to.Seconds(), 100*used)
			if sp.to-sp.from > worst.to-worst.from {
				worst = sp
			}
		}
	}
	lapsed := rg.fleet.endsBy("lapsed", span{began, now})
	return verdict{lost+unanswered > 0, fmt.Sprintf(
		"of %d lookups %d had nothing running for 3 s or more in calm, the longest for %.1f s; %d of %d jobs got no answer with a phase at the end; %d runs on sound workers lapsed",
		count, lost, (worst.to - worst.from).Seconds(), unanswered, len(list), lapsed)}
}

// askAll asks for the phases of jobs, some at a time, each with the client's retries. It returns how many got no answer with one.
func (cs *clients) askAll(list []*job) (unanswered int) {
	const atOnce = 64
	var mu sync.Mutex
	var group sync.WaitGroup
	slots := make(chan struct{}, atOnce)
	for _, jb := range list {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			for range 1 + retries {
				if phase, _ := cs.ask(jb); phase != "" {
					return
				}
				time.Sleep(300 * time.Millisecond)
			}
			mu.Lock()
			unanswered++
			mu.Unlock()
			cs.rig.rec.write("judge", "LOST: job %s got no answer with a phase", jb.id)
		})
	}
	group.Wait()
	return unanswered
}

// allDone reports whether all tasks of a lookup have ended done, and when the last of them did.
func allDone(runs []*run) (at time.Duration, all bool) {
	tasks := map[string]bool{}
	for _, rn := range runs {
		if rn.how == "done" {
			tasks[rn.task] = true
			at = max(at, rn.over)
		}
	}
	return at, len(tasks) == lookupTasks
}
