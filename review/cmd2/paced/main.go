//go:build review

// Command paced plays a task that fills beside one that serves, and checks that the system lets it go on working once
// nothing speaks against it. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"

	"tackbeam.example/tackbeam/internal/standin/memkv"
	"tackbeam.example/tackbeam/review/standin"
)

const (
	host, prefix = "nony24.example", "/lohu930/"
	serveJob     = "5c0e7a21d94b36f8"
	fillJob      = "7b1f00d2c3a4e596"
	// The serving task's tail is 30 ms and has a target of 100 ms; the task that fills adds 80 ms at full speed.
	serveBody = `{"spec":"{\"base_ms\":30,\"loaded_ms\":110}","steps":[{"count":1,"cpu":2000,"mem-mb":1024,"estimated-ms":500,"long-running":true,"image":"captions","target_ms":100}]}`
	fillBody  = `{"spec":"{\"work_ms\":6000,\"disturb_ms\":80}","steps":[{"count":1,"cpu":1000,"mem-mb":512,"estimated-ms":6000,"fills":true,"image":"cleanup"}]}`
	// idle is how long the task that fills may stand still with the worker's capacity free: the rule says 3 s.
	idle = 3 * time.Second
	// patience is when the script ends.
	patience = 60 * time.Second
)

func main() {
	code, err := play()
	if err != nil {
		fmt.Println("the case could not run:", err)
		code = 2
	}
	os.Exit(code)
}

func play() (int, error) {
	root, out := os.Args[1], os.Args[2]
	trouble, kill := os.Getenv("TROUBLE") != "0", os.Getenv("VARIANT") == "planner"
	rc, err := standin.NewRecord(out)
	if err != nil {
		return 2, err
	}
	dir, err := os.MkdirTemp("", "tackbeam-review-")
	if err != nil {
		return 2, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	store := memkv.New(clockwork.NewRealClock())
	store.Set("op/config", fmt.Appendf(nil, `{"version":3,"routes":[{"name":"r-captions","host":%q,"path-prefix":%q,"service":"minutes-desk","priority":1,"max-attempts":3,"stretch":2.2,"target-latency-ms":2500}],"services":[{"name":"minutes-desk","admission-check":false}],"limits":{"max-body-bytes":262144}}`, host, prefix))
	wk, err := standin.NewWorker(rc, store, "i-7f3a91c2", "minutes-desk", 8)
	if err != nil {
		return 2, err
	}
	var nodes []*standin.Node
	defer func() {
		for _, nd := range nodes {
			nd.Kill()
		}
	}()
	for n := 1; n <= 2; n++ {
		nd, err := standin.StartNode(root, dir, n, store)
		if err != nil {
			return 2, err
		}
		nodes = append(nodes, nd)
	}
	cl := &standin.Client{Record: rc, Host: host, Prefix: prefix, Nodes: func() []*standin.Node {
		var running []*standin.Node
		for _, nd := range nodes {
			if nd.Running() {
				running = append(running, nd)
			}
		}
		return running
	}}
	began := time.Now()
	const startUp, settle = 20 * time.Second, 10 * time.Second
	if status, _ := cl.Do(http.MethodPost, serveJob, serveBody, startUp); status != http.StatusOK {
		return 2, fmt.Errorf("the serving job was answered with %d", status)
	}
	if !await(settle, func() bool { st, ok := wk.Status(serveJob + ".0.0.0"); return ok && st.DonePercent == 100 }) {
		return 2, fmt.Errorf("the serving task is not at work")
	}
	if status, _ := cl.Do(http.MethodPost, fillJob, fillBody, startUp); status != http.StatusOK {
		return 2, fmt.Errorf("the filling job was answered with %d", status)
	}
	fill := fillJob + ".0.0.0"
	if !await(settle, func() bool { _, ok := wk.Status(fill); return ok }) {
		return 2, fmt.Errorf("the filling task does not run")
	}
	wk.SetLoaded(true)
	if !await(settle, func() bool { st, ok := wk.Status(fill); return ok && st.Pace == 0 }) {
		return 2, fmt.Errorf("the filling task is not paced down under load")
	}
	time.Sleep(time.Second)
	if trouble {
		disturb(rc, cl, nodes, kill)
	}
	if !kill {
		time.Sleep(2 * time.Second)
	}
	wk.SetLoaded(false)
	return judge(rc, cl, wk, fill, began), nil
}

// disturb cancels the serving job, or kills the planner.
func disturb(rc *standin.Record, cl *standin.Client, nodes []*standin.Node, kill bool) {
	const within = 10 * time.Second
	if !kill {
		cl.Do(http.MethodDelete, serveJob, "", within)
		return
	}
	for _, nd := range nodes {
		if nd.LeadsNow() {
			rc.Printf("SIGKILL to the planner, %s", nd.Name)
			nd.Signal(syscall.SIGKILL)
			return
		}
	}
	rc.Printf("no planner was found")
}

// judge watches the filling task until its job has succeeded or the time is over.
func judge(rc *standin.Record, cl *standin.Client, wk *standin.Worker, fill string, began time.Time) int {
	const look = 500 * time.Millisecond
	lastWork, still, longest := -1.0, time.Now(), time.Duration(0)
	for time.Since(began) < patience {
		time.Sleep(look)
		st, ok := wk.Status(fill)
		if !ok {
			break
		}
		if st.Work != lastWork {
			lastWork, still = st.Work, time.Now()
		}
		longest = max(longest, time.Since(still))
	}
	const settle = 2 * time.Second
	time.Sleep(settle)
	phase := cl.Phase(fillJob)
	st, running := wk.Status(fill)
	rc.Printf("the filling job is %s; its task runs: %v, %d percent done, paced to %.0f percent; it stood still for %v at the most; runs on the worker: %d",
		phase, running, st.DonePercent, st.Pace, longest.Round(look), wk.Runs())
	if phase != "succeeded" && running && longest > idle {
		rc.Printf("BROKEN: nothing of the accepted job works, and nothing lets it work again")
		return 1
	}
	if phase != "succeeded" {
		rc.Printf("the job is neither done nor standing still")
		return 2
	}
	rc.Printf("held")
	return 0
}

func await(within time.Duration, holds func() bool) bool {
	const pause = 20 * time.Millisecond
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(pause) {
		if holds() {
			return true
		}
	}
	return false
}
