//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Bounds of the workers, as in the sheet of the site.
const (
	heartbeat   = 1500 * time.Millisecond
	maxHold     = 6 * time.Second
	stopTime    = 200 * time.Millisecond
	maxEnds     = 500
	longestWait = 2 * time.Second
	fullPercent = 100
)

// fleet is the set of workers. All state of the workers is under its lock.
type fleet struct {
	rig *rig

	mu      sync.Mutex
	workers map[string]*worker
	// behavior decides how a started task behaves.
	behavior func(wk *worker, rn *run)
	// runs are all runs that ever began, in the order of their starts.
	runs []*run
	// used is the processor use of the runs at work, in thousandths of a core, sampled.
	used []usage
	done chan struct{}
}

// usage is the use of the service's processors at one time.
type usage struct {
	at    time.Duration
	milli int64
}

// worker is one life of a worker.
type worker struct {
	fleet     *fleet
	id        string
	zone      string
	labels    []string
	service   string
	milli, mb int64
	server    *http.Server
	address   string
	startedAt time.Time
	sequence  int
	gone      bool

	token    uint64
	deadline time.Duration
	running  map[string]*run
	fenced   map[string]int
	ends     []end
	count    int
	changed  chan struct{}
}

// run is one start of a task.
type run struct {
	task   string
	number int
	worker string
	spec   string
	began  time.Duration
	// takes is how much work the run needs at full pace, 0 if it lasts. fails is set if it ends failed after that work.
	takes time.Duration
	fails bool
	milli int64
	pace  int
	// worked is the work done up to the time updated.
	worked, updated time.Duration
	// stopping is set from the order to stop on, until stopped.
	stopping bool
	stopped  time.Duration
	// over is when the run ended, 0 before; how says how.
	over time.Duration
	how  string
}

// job returns the id of the run's job.
func (rn *run) job() string { return rn.task[:strings.IndexByte(rn.task, '.')] }

type end struct {
	number int
	run    *run
}

func newFleet(rg *rig) *fleet {
	fl := &fleet{rig: rg, workers: map[string]*worker{}, done: make(chan struct{})}
	go fl.loop()
	return fl
}

// add starts a worker that serves on a free port and registers itself.
func (fl *fleet) add(id, service, zone string, labels []string, milli, mb int64) error {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	wk := &worker{
		fleet: fl, id: id, service: service, zone: zone, labels: labels, milli: milli, mb: mb, address: ln.Addr().String(), startedAt: time.Now(),
		running: map[string]*run{}, fenced: map[string]int{}, changed: make(chan struct{}),
	}
	wk.server = &http.Server{Handler: wk}
	go func() { _ = wk.server.Serve(ln) }()
	fl.mu.Lock()
	fl.workers[id] = wk
	fl.mu.Unlock()
	go wk.beat()
	return nil
}

// crash ends a worker without notice. Its entry goes after three heartbeats of silence.
func (fl *fleet) crash(id string) {
	fl.mu.Lock()
	wk := fl.workers[id]
	wk.gone = true
	now := fl.rig.rec.now()
	for _, rn := range wk.running {
		rn.over, rn.how = now, "crashed"
	}
	fl.rig.rec.write("worker", "%s crashes with %d runs", id, len(wk.running))
	wk.running = map[string]*run{}
	fl.mu.Unlock()
	_ = wk.server.Close()
	time.AfterFunc(3*heartbeat, func() { fl.rig.store.Delete("servers/" + id) })
}

// close ends all workers.
func (fl *fleet) close() {
	close(fl.done)
	fl.mu.Lock()
	defer fl.mu.Unlock()
	for _, wk := range fl.workers {
		wk.gone = true
		_ = wk.server.Close()
	}
}

// beat writes the worker's entry.
func (wk *worker) beat() {
	for {
		wk.fleet.mu.Lock()
		gone := wk.gone
		wk.sequence++
		raw := fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":8,"phase":"ready","cold-remaining-ms":0,`+
			`"capacity":{"cpu":%d,"mem-mb":%d,"gpu":0},"labels":[%q,%q],"clock-ms":%d,"sequence":%d}`,
			wk.service, wk.address, wk.zone, wk.milli, wk.mb, wk.labels[0], wk.labels[1], wk.clock().Milliseconds(), wk.sequence)
		wk.fleet.mu.Unlock()
		if gone {
			return
		}
		wk.fleet.rig.store.Set("servers/"+wk.id, raw)
		select {
		case <-wk.fleet.done:
			return
		case <-time.After(heartbeat):
		}
	}
}

// clock is the worker's steady clock.
func (wk *worker) clock() time.Duration { return time.Since(wk.startedAt) }

// loop ends runs that are done or whose lease has expired, and samples the use of processors.
func (fl *fleet) loop() {
	const interval = 10 * time.Millisecond
	for n := 0; ; n++ {
		select {
		case <-fl.done:
			return
		case <-time.After(interval):
		}
		fl.mu.Lock()
		now := fl.rig.rec.now()
		var milli int64
		for _, wk := range fl.workers {
			wk.advance(now)
			for _, rn := range wk.running {
				milli += rn.milli
			}
		}
		if n%10 == 0 {
			fl.used = append(fl.used, usage{now, milli})
		}
		fl.mu.Unlock()
	}
}

// advance applies the passage of time. The caller holds the lock.
func (wk *worker) advance(now time.Duration) {
	lapsed := wk.clock() > wk.deadline
	for _, rn := range wk.running {
		if !rn.stopping {
			rn.worked += (now - rn.updated) * time.Duration(rn.pace) / fullPercent
			rn.updated = now
		}
		switch {
		case rn.stopping && now >= rn.stopped:
			wk.end(rn, now, "stopped")
		case lapsed:
			wk.end(rn, now, "lapsed")
		case !rn.stopping && rn.takes > 0 && rn.worked >= rn.takes && rn.fails:
			wk.end(rn, now, "failed")
		case !rn.stopping && rn.takes > 0 && rn.worked >= rn.takes:
			wk.end(rn, now, "done")
		}
	}
}

// end ends a run. The caller holds the lock.
func (wk *worker) end(rn *run, now time.Duration, how string) {
	delete(wk.running, rn.task)
	rn.over, rn.how = now, how
	wk.fenced[rn.task] = max(wk.fenced[rn.task], rn.number)
	wk.count++
	wk.ends = append(wk.ends, end{wk.count, rn})
	close(wk.changed)
	wk.changed = make(chan struct{})
	wk.fleet.rig.rec.write("end", "%s run %d on %s: %s", rn.task, rn.number, wk.id, how)
}

// order has the fields of all orders.
type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run-id"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadline-ms"`
	Token      uint64 `json:"fencing-token"`
	Checkpoint string `json:"checkpoint"`
	Ticket     string `json:"ticket"`
	LastSeen   int    `json:"last-seen"`
	WaitMS     int64  `json:"wait-ms"`
	Percent    int    `json:"percent"`
}

func (wk *worker) ServeHTTP(w http.ResponseWriter, rq *http.Request) {
	if rq.Header.Get("Expect-Instance") != wk.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	raw, err := io.ReadAll(rq.Body)
	var od order
	if err != nil || json.Unmarshal(raw, &od) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var status int
	body := map[string]any{}
	switch rq.URL.Path {
	case "/-/run-start":
		status = wk.start(od, body)
	case "/-/run-stop":
		status = wk.stop(od, body)
	case "/-/pace":
		status = wk.setPace(od, body)
	case "/-/hold":
		status = wk.hold(od, body)
	default:
		status = http.StatusNotFound
	}
	body["clock-ms"] = wk.clock().Milliseconds()
	raw, _ = json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

// admit checks the fencing token of an order. The caller holds the lock.
func (wk *worker) admit(od order, body map[string]any) bool {
	if od.Token < wk.token {
		body["reason"] = "fence"
		return false
	}
	wk.token = od.Token
	return true
}

// extend extends the lease of everything that runs.
func (wk *worker) extend(od order) {
	deadline := time.Duration(od.DeadlineMS) * time.Millisecond
	wk.deadline = max(wk.deadline, min(deadline, wk.clock()+maxHold))
}

func (wk *worker) start(od order, body map[string]any) int {
	fl := wk.fleet
	fl.mu.Lock()
	defer fl.mu.Unlock()
	now := fl.rig.rec.now()
	wk.advance(now)
	if !wk.admit(od, body) {
		return http.StatusConflict
	}
	old, found := wk.running[od.Task]
	switch {
	case found && old.number == od.Run && !old.stopping:
		return http.StatusOK
	case od.DeadlineMS <= wk.clock().Milliseconds():
		body["reason"] = "late"
		return http.StatusConflict
	case od.Run <= wk.fenced[od.Task] || found:
		wk.extend(od)
		body["reason"] = "old"
		return http.StatusConflict
	}
	wk.extend(od)
	rn := &run{task: od.Task, number: od.Run, worker: wk.id, spec: od.Spec, began: now, updated: now, pace: fullPercent}
	fl.behavior(wk, rn)
	wk.running[od.Task] = rn
	fl.runs = append(fl.runs, rn)
	fl.rig.rec.write("start", "%s run %d on %s, token %d", od.Task, od.Run, wk.id, od.Token)
	return http.StatusOK
}

func (wk *worker) stop(od order, body map[string]any) int {
	fl := wk.fleet
	fl.mu.Lock()
	defer fl.mu.Unlock()
	now := fl.rig.rec.now()
	wk.advance(now)
	if !wk.admit(od, body) {
		return http.StatusConflict
	}
	wk.fenced[od.Task] = max(wk.fenced[od.Task], od.Run)
	if rn, found := wk.running[od.Task]; found && rn.number == od.Run && !rn.stopping {
		rn.stopping, rn.stopped = true, now+stopTime
		fl.rig.rec.write("stop", "%s run %d on %s", od.Task, od.Run, wk.id)
	}
	return http.StatusOK
}

func (wk *worker) setPace(od order, body map[string]any) int {
	fl := wk.fleet
	fl.mu.Lock()
	defer fl.mu.Unlock()
	wk.advance(fl.rig.rec.now())
	if !wk.admit(od, body) {
		return http.StatusConflict
	}
	rn, found := wk.running[od.Task]
	if !found || rn.number != od.Run {
		body["reason"] = "old"
		return http.StatusConflict
	}
	rn.pace = od.Percent
	fl.rig.rec.write("pace", "%s run %d on %s: %d%%", od.Task, od.Run, wk.id, od.Percent)
	return http.StatusOK
}

func (wk *worker) hold(od order, body map[string]any) int {
	fl := wk.fleet
	timeout := time.After(min(time.Duration(od.WaitMS)*time.Millisecond, longestWait))
	for first := true; ; first = false {
		fl.mu.Lock()
		wk.advance(fl.rig.rec.now())
		if first {
			if !wk.admit(od, body) {
				fl.mu.Unlock()
				return http.StatusConflict
			}
			wk.extend(od)
			for len(wk.ends) > 0 && wk.ends[0].number <= od.LastSeen {
				wk.ends = wk.ends[1:]
			}
		}
		pending, changed := len(wk.ends) > 0, wk.changed
		if pending || od.WaitMS == 0 {
			wk.report(body)
			fl.mu.Unlock()
			return http.StatusOK
		}
		fl.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			od.WaitMS = 0
		case <-fl.done:
			od.WaitMS = 0
		}
	}
}

// report adds what runs and what has ended. The caller holds the lock.
func (wk *worker) report(body map[string]any) {
	running, ended := [][]any{}, [][]any{}
	for _, rn := range wk.running {
		if rn.stopping {
			continue
		}
		percent, figure := fullPercent, int(rn.milli)
		if rn.takes > 0 {
			percent = min(int(rn.worked*fullPercent/rn.takes), fullPercent)
		}
		running = append(running, []any{rn.task, rn.number, "", percent, figure})
	}
	for _, en := range wk.ends[:min(len(wk.ends), maxEnds)] {
		ended = append(ended, []any{en.number, en.run.task, en.run.number, en.run.how, ""})
	}
	body["running"], body["ended-at"] = running, ended
}
