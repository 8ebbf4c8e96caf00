//go:build review

// Command ends plays case 1: a worker has more ends to list than one answer holds when a new planner takes over.
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
	Priority: 2, Attempts: 2, TargetMS: 3000, Stretch: 4,
}

const (
	workers = 48
	// Tasks of 0.1 cores: a worker of 64 cores has room for 640 of them.
	tasks   = 1200
	taskCPU = 100
	taskMem = 64
	spec    = "run 4000..5000"
	// manyRuns is how many runs the busiest worker must have before the planner's process is killed.
	manyRuns = 600
	// killAfter is when that is, after the job was accepted: shortly before the first task ends.
	killAfter = 3800 * time.Millisecond
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
	id := rig.NewID()
	job := map[string]any{"spec": spec, "steps": []map[string]any{{"count": tasks, "cpu": taskCPU, "mem-mb": taskMem, "estimated-ms": 4000}}}
	if err := rg.Submit(route, id, job, 10*time.Second); err != nil {
		rd.Say("cannot run: %v", err)
		return notRun
	}
	rd.Say("job %s with %d tasks is accepted", id, tasks)
	accepted := time.Now()
	busiest, ok := awaitRuns(rg, manyRuns, 15*time.Second)
	if !ok {
		rd.Say("cannot run: no worker has %d runs", manyRuns)
		return notRun
	}
	rd.Say("worker %s has %d runs; all workers have %d", busiest.ID, busiest.Running(), rg.Fleet.Running())
	time.Sleep(time.Until(accepted.Add(killAfter)))
	rd.Say("all workers have %d runs", rg.Fleet.Running())
	planner := rg.LastActed()
	if trouble {
		planner.Signal(syscall.SIGKILL)
		time.Sleep(time.Second)
		if err := planner.Start(); err != nil {
			rd.Say("cannot run: %v", err)
			return notRun
		}
	}
	phase, most := "", 0
	for until := time.Now().Add(45 * time.Second); time.Now().Before(until) && phase != "succeeded"; time.Sleep(50 * time.Millisecond) {
		for _, wk := range rg.Fleet.Workers() {
			most = max(most, wk.Ends())
		}
		if phase == "" || time.Now().UnixMilli()%1000 < 60 {
			phase = rg.Phase(route, id, 5*time.Second)
		}
	}
	time.Sleep(2 * time.Second) // until the last ends are taken note of
	rd.Say("job is shown as %s; a worker had %d ends to list at once", phase, most)
	lines := rd.Twice()
	for at, line := range lines {
		if at < 10 {
			rd.Say("TWICE: %s", line)
		} else {
			rd.Note("TWICE: %s", line)
		}
	}
	rd.Say("%d starts break the rule TWICE", len(lines))
	switch {
	case len(lines) > 0:
		return broken
	case phase != "succeeded":
		rd.Say("cannot judge: the job has not succeeded")
		return notRun
	}
	return held
}

// awaitRuns waits until a worker has a number of runs.
func awaitRuns(rg *rig.Rig, count int, within time.Duration) (*rig.Worker, bool) {
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		for _, wk := range rg.Fleet.Workers() {
			if wk.Running() >= count {
				return wk, true
			}
		}
	}
	return nil, false
}
