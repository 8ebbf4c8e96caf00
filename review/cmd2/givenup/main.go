//go:build review

// Command givenup plays a job of one task whose workers crash one after the other, and checks that the job is not shown as
// failed: no run of it ends so. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/jonboulle/clockwork"

	"tackbeam.example/tackbeam/internal/standin/memkv"
	"tackbeam.example/tackbeam/review/standin"
)

const (
	host, prefix = "nony24.example", "/lohu930/"
	id           = "5c0e7a21d94b36f8"
	body         = `{"spec":"{\"work_ms\":9000}","steps":[{"count":1,"cpu":6600,"mem-mb":19000,"estimated-ms":9000}]}`
	workers      = 12
	crashes      = 3
	// runsFor is how long the task has run when its worker crashes, backAfter how long that is down (at most 4.5 s on the site).
	runsFor, backAfter = 4 * time.Second, 2 * time.Second
	patience           = 80 * time.Second
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
	trouble := os.Getenv("TROUBLE") != "0"
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
	store.Set("op/config", fmt.Appendf(nil, `{"version":3,"routes":[{"name":"r-transcript","host":%q,"path-prefix":%q,"service":"minutes-desk","priority":2,"max-attempts":3,"stretch":4,"target-latency-ms":3000}],"services":[{"name":"minutes-desk","admission-check":false}],"limits":{"max-body-bytes":262144}}`, host, prefix))
	var fleet, all []*standin.Worker
	for n := range workers {
		wk, err := standin.NewWorker(rc, store, fmt.Sprintf("i-7f3a91%02x", n), "minutes-desk", 32)
		if err != nil {
			return 2, err
		}
		fleet, all = append(fleet, wk), append(all, wk)
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
	cl := &standin.Client{Record: rc, Host: host, Prefix: prefix, Nodes: func() []*standin.Node { return nodes }}
	began := time.Now()
	const startUp = 20 * time.Second
	if status, _ := cl.Do(http.MethodPost, id, body, startUp); status != http.StatusOK {
		return 2, fmt.Errorf("the job was answered with %d", status)
	}
	const look = 100 * time.Millisecond
	crashed, lastPhase := 0, time.Now()
	phase := ""
	for time.Since(began) < patience && phase != "succeeded" && phase != "failed" {
		time.Sleep(look)
		if time.Since(lastPhase) > time.Second {
			lastPhase, phase = time.Now(), cl.Phase(id)
		}
		if !trouble || crashed == crashes {
			continue
		}
		for n, wk := range fleet {
			since, runs := wk.Has(id + ".0.0.0")
			if !runs || time.Since(since) < runsFor {
				continue
			}
			wk.Crash()
			crashed++
			time.Sleep(backAfter)
			next, err := standin.NewWorkerAt(rc, store, fmt.Sprintf("i-%02d3a91%02x", crashed, n), "minutes-desk", 32, wk.Address)
			if err != nil {
				return 2, err
			}
			rc.Printf("worker %s is back as %s", wk.ID, next.ID)
			fleet[n], all = next, append(all, next)
			break
		}
	}
	failed := 0
	for _, wk := range all {
		failed += wk.FailedEnds()
	}
	rc.Printf("the job is %s; %d of %d workers crashed, one at a time; %d runs ended failed, 3 attempts are allowed", phase, crashed, workers, failed)
	switch {
	case phase == "failed" && failed == 0:
		rc.Printf("BROKEN: the job is shown as failed, and no run of it has ended so")
		return 1, nil
	case phase == "succeeded":
		rc.Printf("held")
		return 0, nil
	}
	return 2, fmt.Errorf("the job is %s at the end", phase)
}
