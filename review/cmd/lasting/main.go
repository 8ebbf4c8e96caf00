//go:build review

// Command lasting plays case 3 on real processes: workers fall silent for good, and the planner's machine is lost before it
// has noticed.
package main

import (
	"fmt"
	"os"
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
	jobs    = 16 // on two workers
	// The planner's process is killed killAfter the workers have fallen silent, and does not come back.
	killAfter = 300 * time.Millisecond
	// LOST counts for a task that lasts from afterRun after its last run, over a span without a run and with the time
	// before it calm.
	afterRun   = 6 * time.Second
	span       = 3 * time.Second
	calmBefore = 4 * time.Second
	watched    = 25 * time.Second
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
	for range jobs {
		job := map[string]any{"spec": "run 600000", "steps": []map[string]any{{
			"count": 1, "cpu": 8000, "mem-mb": 4096, "estimated-ms": 500, "long-running": true,
		}}}
		if err := rg.Submit(route, rig.NewID(), job, 10*time.Second); err != nil {
			rd.Say("cannot run: %v", err)
			return notRun
		}
	}
	time.Sleep(5 * time.Second) // calm
	rd.Say("%d jobs with a task that lasts are accepted; %d tasks run", jobs, rg.Fleet.Running())
	if rg.Fleet.Running() != jobs {
		return notRun
	}
	if trouble {
		gone := 0
		for _, wk := range rg.Fleet.Workers() {
			if wk.Running() > 0 {
				wk.GoDark()
				gone++
			}
		}
		rd.Say("%d of %d workers fall silent for good", gone, workers)
		time.Sleep(killAfter)
		rg.LastActed().Signal(syscall.SIGKILL)
	}
	disturbed := time.Now()
	time.Sleep(watched)
	return judge(rd, trouble, disturbed)
}

// judge applies the rule to each task: it has no run from a moment on that is afterRun after its last run, and calmBefore
// after the last disturbance, for a span.
func judge(rd *rig.Record, trouble bool, disturbed time.Time) int {
	lines, lostRuns := 0, 0
	for task, runs := range rd.History() {
		for at, rn := range runs {
			if rn.EndedAt.IsZero() {
				continue
			}
			lostRuns++
			next := time.Now()
			if at+1 < len(runs) {
				next = runs[at+1].Began
			}
			from := rn.EndedAt.Add(afterRun)
			if calm := disturbed.Add(calmBefore); calm.After(from) {
				from = calm
			}
			if next.Sub(from) >= span {
				lines++
				rd.Say("LOST: %s had no run from %.3f s to %.3f s, %.1f s", task, rd.Seconds(rn.EndedAt), rd.Seconds(next), next.Sub(rn.EndedAt).Seconds())
			} else {
				rd.Say("%s had no run for %.1f s", task, next.Sub(rn.EndedAt).Seconds())
			}
		}
	}
	rd.Say("%d runs were lost; %d tasks break the rule LOST", lostRuns, lines)
	switch {
	case lines > 0:
		return broken
	case trouble && lostRuns == 0:
		rd.Say("cannot judge: no run was lost")
		return notRun
	}
	return held
}
