//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"
)

// Names that the operator gives in the manifest.
const (
	hostName    = "nony24.example"
	serviceName = "huvo11a"
	lookups     = "/lohu930/"
	batches     = "/pufi791/"
	services    = "/puxa403/"
)

// Sizes of the deployment, as in the sheet of dnd-katalog.
const (
	nodeCount   = 7
	workerCount = 48
	rackSize    = 8
	workerMilli = 64000
	workerMB    = 131072
)

// route is a queue of the manifest.
type route struct {
	name, prefix      string
	priority          int
	targetMS          int
	attempts, stretch float64
}

// queues are the queues of all cases: urgent lookups, patient batches, and services that last.
var queues = []route{
	{"r-9n73hh2", lookups, 0, 250, 3, 1.5},
	{"r-b9wu3fe", batches, 2, 3000, 3, 4},
	{"r-ctnfzs9", services, 1, 2500, 3, 2.2},
}

// configure writes the manifest.
func (rg *rig) configure(version int) {
	rows := []map[string]any{}
	for _, qu := range queues {
		rows = append(rows, map[string]any{
			"name": qu.name, "host": hostName, "path-prefix": qu.prefix, "kind": "unsafe", "timeout-ms": 3000, "target-latency-ms": qu.targetMS,
			"priority": qu.priority, "service": serviceName, "max-attempts": qu.attempts, "stretch": qu.stretch,
		})
	}
	raw, err := json.Marshal(map[string]any{
		"version": version, "routes": rows,
		"services": []map[string]any{{
			"name": serviceName, "health-path": "/health", "max-connections": 64, "protocol": "h1", "tls": false, "admission-check": false, "headroom": false,
		}},
		"limits": map[string]int{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	if err != nil {
		panic(err)
	}
	rg.store.Set("op/config", raw)
}

// deploy starts the whole deployment and waits until the nodes answer.
func (rg *rig) deploy(behavior func(wk *worker, rn *run)) {
	rg.fleet.behavior = behavior
	rg.configure(1)
	for n := range workerCount {
		labels := []string{"a", fmt.Sprintf("r1-%d", n/rackSize)}
		if err := rg.fleet.add(fmt.Sprintf("i-%010x", 0x7a32711354+n*7919), serviceName, zones[n/rackSize%len(zones)], labels, workerMilli, workerMB); err != nil {
			panic(err)
		}
	}
	if err := rg.startNodes(nodeCount); err != nil {
		panic(err)
	}
	rg.clients.awaitReady(hostName, lookups)
	rg.rec.write("case", "the nodes answer")
}

// step is a step of a job, as clients send it. What is 0, false or empty is left out.
type step struct {
	Count       int   `json:"count"`
	CPU         int   `json:"cpu,omitempty"`
	MB          int   `json:"mem-mb,omitempty"`
	EstimatedMS int   `json:"estimated-ms,omitempty"`
	After       []int `json:"after,omitempty"`
	LongRunning bool  `json:"long-running,omitempty"`
	PerWorker   int   `json:"anti-affinity,omitempty"`
	Fills       bool  `json:"fills,omitempty"`
}

// request is a job, as clients send it.
type request struct {
	Spec  string `json:"spec"`
	Steps []step `json:"steps"`
}

// lookup is a short urgent job.
func lookup() request {
	return request{Spec: "lookup", Steps: []step{{Count: lookupTasks, CPU: 5600, MB: 2048, EstimatedMS: 640}}}
}

// lookupTasks is the number of tasks of a lookup, lookupTime how long each works.
const (
	lookupTasks = 2
	lookupTime  = 640 * time.Millisecond
)

// sendLookups hands in lookups at a rate until a time, and waits for the answers.
func (rg *rig) sendLookups(perSecond int, until time.Duration) {
	done := make(chan struct{})
	count := 0
	for rg.rec.now() < until {
		count++
		go func() {
			rg.clients.submit(hostName, lookups, lookup())
			done <- struct{}{}
		}()
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	for range count {
		<-done
	}
}

// await waits for a condition, or panics after a time.
func (rg *rig) await(what string, limit time.Duration, holds func() bool) {
	for end := rg.rec.now() + limit; !holds(); time.Sleep(50 * time.Millisecond) {
		if rg.rec.now() > end {
			panic("waited in vain until " + what)
		}
	}
	rg.rec.write("case", "%s", what)
}

// running counts the runs of jobs with a spec that are there now.
func (fl *fleet) runningOf(spec string) int {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	count := 0
	for _, rn := range fl.runs {
		if rn.over == 0 && strings.HasPrefix(rn.spec, spec) {
			count++
		}
	}
	return count
}

// busiest returns the worker with most runs of jobs with a spec.
func (fl *fleet) busiest(spec string) string {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	counts := map[string]int{}
	best := ""
	for _, rn := range fl.runs {
		if rn.over > 0 || !strings.HasPrefix(rn.spec, spec) {
			continue
		}
		if counts[rn.worker]++; best == "" || counts[rn.worker] > counts[best] {
			best = rn.worker
		}
	}
	return best
}

// endsBy counts the runs that ended in a way within a stretch of time.
func (fl *fleet) endsBy(how string, sp span) int {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	count := 0
	for _, rn := range fl.runs {
		if rn.how == how && rn.over >= sp.from && rn.over <= sp.to {
			count++
		}
	}
	return count
}
