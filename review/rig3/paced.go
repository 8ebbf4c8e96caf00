//go:build review

package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { scenarios["paced"] = paced }

// paced plays a serving task with a target beside a task that fills, on the one worker that both may use. The planner paces the
// filling task down to 0, and is killed at that moment. The rule is LOST: for 3 s a job has nothing running while the turn of
// its task has come. A run that is paced to 0 does no work; it counts as not running here.
func paced(rg *rig) verdict {
	const (
		kind       = "b"
		target     = 200
		calmTail   = 60
		shakenTail = 190
		work       = 1800 * time.Millisecond
		watched    = 45 * time.Second
	)
	var filling *run
	rg.deploy(func(wk *worker, rn *run) {
		if rn.spec == "fill" {
			rn.takes, filling = work, rn
			return
		}
		rn.milli = 8000
		rn.tail = func() int {
			for _, other := range wk.running {
				if other.spec == "fill" && other.pace > 0 && !other.stopping {
					return shakenTail
				}
			}
			return calmTail
		}
	})
	if err := rg.fleet.add("i-00000000b1", serviceName, zones[0], []string{kind, "r1-0"}, workerMilli, workerMB); err != nil {
		panic(err)
	}
	zero := make(chan struct{}, 1)
	rg.fleet.onPace = func(percent int) {
		if percent > 0 {
			return
		}
		select {
		case zero <- struct{}{}:
		default:
		}
	}
	serving := rg.clients.submit(hostName, services, request{Spec: "serve", Steps: []step{{
		Count: 1, CPU: 8000, MB: 2048, EstimatedMS: 60000, LongRunning: true, TargetMS: target, Requires: kind, Image: "shop",
	}}})
	if serving == nil {
		panic("the service was not accepted")
	}
	rg.await("the service runs", 15*time.Second, func() bool { return rg.fleet.runningOf("serve") == 1 })
	fill := rg.clients.submit(hostName, batches, request{Spec: "fill", Steps: []step{{
		Count: 1, CPU: 4000, MB: 512, EstimatedMS: int(work.Milliseconds()), Fills: true, Requires: kind, Image: "report",
	}}})
	if fill == nil {
		panic("the filling job was not accepted")
	}
	select {
	case <-zero:
	case <-time.After(15 * time.Second):
		panic("the filling task was not paced to 0")
	}
	began := rg.rec.now()
	if rg.trouble {
		leader := rg.leader()
		if leader == nil {
			panic("there is no planner")
		}
		leader.signal(syscall.SIGKILL)
	}
	for rg.rec.now() < began+watched {
		time.Sleep(500 * time.Millisecond)
		if phase, _ := rg.clients.ask(fill); phase == "succeeded" {
			break
		}
	}
	defer rg.keepLogs()
	phase, _ := rg.clients.ask(fill)
	rg.fleet.mu.Lock()
	defer rg.fleet.mu.Unlock()
	still := rg.rec.now() - began - calmBefore
	broken := phase != "succeeded" && filling.over == 0 && filling.pace == 0 && still > standstill
	return verdict{broken, fmt.Sprintf("the filling job shows as %q %.1f s later; its run %d has pace %d%% and has done %d ms of %d ms of work",
		phase, (rg.rec.now() - began).Seconds(), filling.number, filling.pace, filling.worked.Milliseconds(), work.Milliseconds())}
}
