//go:build review

// Command cancels plays case 2 on real processes: jobs are cancelled while workers that run their tasks are not listed
// and the planner has changed.
package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"

	"tackbeam.example/tackbeam/review/rig"
)

// Exit codes of a case.
const (
	held = iota
	broken
	notRun
)

func main() { os.Exit(play(os.Args[1], os.Args[2])) }

var route = rig.Route{
	Name: "r-73d3zji", Host: "ficu95.example", Prefix: "/pufi791/", Service: "huvo11a",
	Priority: 1, Attempts: 3, TargetMS: 2500, Stretch: 2.2,
}

const (
	workers = 48
	jobs    = 40
	// The workers lose the store for cutTime. Their entries go after three heartbeats; the planner is killed then.
	cutTime   = 7500 * time.Millisecond
	killAfter = 5 * time.Second
	// Cancels are sent from cancelAfter on, one each cancelGap.
	cancelAfter = 500 * time.Millisecond
	cancelGap   = 80 * time.Millisecond
	// Bounds of the deployment: a task of a cancelled job has to be gone after both.
	cancelBound = 3000 * time.Millisecond
	stopBound   = 200 * time.Millisecond
	// calm is how long nothing has happened when the tasks are looked at.
	calm = 10 * time.Second
)

func play(root, folder string) int {
	rd, err := rig.NewRecord(folder + "/record.txt")
	if err != nil {
		fmt.Println(err)
		return notRun
	}
	defer rd.Close()
	trouble := os.Getenv("TROUBLE") != "0"
	rd.Say("trouble: %v", trouble)
	rg, err := rig.New(root, rd, workers, []rig.Route{route})
	if err != nil {
		rd.Say("cannot run: %v", err)
		return notRun
	}
	defer rg.Close()
	if err := rg.StartAll(20 * time.Second); err != nil {
		rd.Say("cannot run: %v", err)
		return notRun
	}
	time.Sleep(2 * time.Second)
	var ids []string
	for range jobs {
		id := rig.NewID()
		job := map[string]any{"spec": "run 600000", "steps": []map[string]any{{
			"count": 1, "cpu": 8000, "mem-mb": 4096, "estimated-ms": 500, "long-running": true,
		}}}
		if err := rg.Submit(route, id, job, 10*time.Second); err != nil {
			rd.Say("cannot run: %v", err)
			return notRun
		}
		ids = append(ids, id)
	}
	time.Sleep(3 * time.Second)
	rd.Say("%d jobs with a task that lasts are accepted; %d tasks run", jobs, rg.Fleet.Running())
	if rg.Fleet.Running() != jobs {
		return notRun
	}
	began := time.Now()
	if trouble {
		cut := 0
		for _, wk := range rg.Fleet.Workers() {
			if wk.Running() > 0 {
				wk.Cut(true)
				cut++
				time.AfterFunc(cutTime, func() { wk.Cut(false) })
			}
		}
		rd.Say("%d workers lose the store for %v", cut, cutTime)
	}
	time.Sleep(killAfter)
	if trouble {
		planner := rg.LastActed()
		planner.Signal(syscall.SIGKILL)
		time.AfterFunc(time.Second, func() { _ = planner.Start() })
	}
	time.Sleep(cancelAfter)
	acked := cancelAll(rg, rd, ids)
	rd.Say("%d of %d cancels are acknowledged, %.1f s after the beginning", len(acked), jobs, time.Since(began).Seconds())
	time.Sleep(time.Until(latest(acked).Add(cancelBound + stopBound + calm)))
	lines := 0
	for _, wk := range rg.Fleet.Workers() {
		for _, task := range wk.Tasks() {
			id, _, _ := strings.Cut(task, ".")
			if at, ok := acked[id]; ok {
				lines++
				rd.Say("UNASKED: %s runs on at %s; its cancel was acknowledged at %.3f s, %.1f s ago; job is %s",
					task, wk.ID, rd.Seconds(at), time.Since(at).Seconds(), rg.Phase(route, id, 3*time.Second))
			}
		}
	}
	rd.Say("%d tasks of cancelled jobs run on", lines)
	switch {
	case lines > 0:
		return broken
	case len(acked) < jobs:
		rd.Say("cannot judge: not all cancels were acknowledged")
		return notRun
	}
	return held
}

// cancelAll cancels the jobs one after the other, each again until it is acknowledged, and returns when that was.
func cancelAll(rg *rig.Rig, rd *rig.Record, ids []string) map[string]time.Time {
	type ack struct {
		id string
		at time.Time
	}
	acks := make(chan ack, len(ids))
	for at, id := range ids {
		time.AfterFunc(time.Duration(at)*cancelGap, func() {
			for try := range 40 {
				status, _ := rg.Nodes[(at+try)%len(rg.Nodes)].Call(http.MethodDelete, route, id, nil)
				if status/100 == 2 || status == http.StatusGone {
					acks <- ack{id, time.Now()}
					return
				}
				time.Sleep(300 * time.Millisecond)
			}
			acks <- ack{}
		})
	}
	acked := map[string]time.Time{}
	for range ids {
		if one := <-acks; one.id != "" {
			acked[one.id] = one.at
		} else {
			rd.Say("a cancel was not acknowledged")
		}
	}
	return acked
}

func latest(acked map[string]time.Time) time.Time {
	var last time.Time
	for _, at := range acked {
		if at.After(last) {
			last = at
		}
	}
	return last
}
