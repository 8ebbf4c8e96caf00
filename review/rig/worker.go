//go:build review

package rig

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the workers, as PROTOCOL.md and the bounds of a small deployment have them.
const (
	// maxEndsListed is how many ends one answer to a hold lists.
	maxEndsListed = 500
	maxHold       = 6 * time.Second
	stopTime      = 50 * time.Millisecond
	maxWait       = 2 * time.Second
	heartbeat     = 1500 * time.Millisecond
	lapseAfter    = 3*heartbeat - 100*time.Millisecond
)

// Worker is a stand-in for one life of a worker. It follows PROTOCOL.md, "Running tasks". The time that a task runs is
// the number of milliseconds after the word "run" in its job's spec.
type Worker struct {
	ID      string
	Address string

	fleet  *Fleet
	bootAt time.Time

	mu       sync.Mutex
	fence    uint64
	deadline time.Duration // on the worker's clock
	runs     map[string]*run
	// barred is the highest run of each task that was stopped or that ended here.
	barred  map[string]int
	ends    []end
	lastEnd int
	changed chan struct{}
	dead    bool
	server  *http.Server
	// cut is set while the worker has no path to the store. Its entry goes after three heartbeats of silence.
	cut bool
	// dark is closed when the worker falls silent for good: it is gone, and nothing answers.
	dark   chan struct{}
	isDark bool
}

// run is a run of a task on a worker.
type run struct {
	task     string
	num      int
	began    time.Time
	length   time.Duration
	stopping bool
}

// end is an entry of ended-at.
type end struct {
	num  int
	task string
	run  int
	how  string
	at   time.Time
}

func (wk *Worker) clock() time.Duration { return time.Since(wk.bootAt) + time.Second }

// order has the fields of the calls to a worker.
type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run-id"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline-ms"`
	Token    uint64 `json:"fencing-token"`
	LastSeen int    `json:"last-seen"`
	Wait     int64  `json:"wait-ms"`
}

func (wk *Worker) serve(w http.ResponseWriter, r *http.Request) {
	select {
	case <-wk.dark:
		<-r.Context().Done() // the caller gives up
		panic(http.ErrAbortHandler)
	default:
	}
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", wk.ID)
		return
	}
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var od order
	if err := json.Unmarshal(raw, &od); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wk.mu.Lock()
	status, body := wk.handle(r, od)
	silent := wk.isDark
	wk.mu.Unlock()
	if silent {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}

// handle carries out a call. The caller holds the lock, which a hold that waits releases meanwhile.
func (wk *Worker) handle(r *http.Request, od order) (int, map[string]any) {
	if want := r.Header.Get("Expect-Instance"); wk.dead || want != "" && want != wk.ID {
		return http.StatusMisdirectedRequest, nil
	}
	answer := map[string]any{"clock-ms": wk.clock().Milliseconds()}
	reject := func(reason string) (int, map[string]any) {
		answer["reason"] = reason
		return http.StatusConflict, answer
	}
	if od.Token < wk.fence {
		return reject("fence")
	}
	wk.fence = od.Token
	wk.expire()
	switch r.URL.Path {
	case "/-/run-start":
		wk.extend(od.Deadline)
		rn := wk.runs[od.Task]
		switch {
		case rn != nil && rn.num == od.Run:
			return http.StatusOK, answer
		case od.Run <= wk.barred[od.Task] || rn != nil && od.Run < rn.num:
			return reject("old")
		case time.Duration(od.Deadline)*time.Millisecond <= wk.clock():
			return reject("late")
		}
		wk.start(od)
		return http.StatusOK, answer
	case "/-/run-stop":
		wk.barred[od.Task] = max(wk.barred[od.Task], od.Run)
		if rn := wk.runs[od.Task]; rn != nil && rn.num == od.Run && !rn.stopping {
			rn.stopping = true
			time.AfterFunc(stopTime, func() { wk.finish(rn, "stopped") })
		}
		return http.StatusOK, answer
	case "/-/pace":
		return http.StatusOK, answer
	case "/-/hold":
		wk.extend(od.Deadline)
		wk.forget(od.LastSeen)
		wk.await(r, time.Duration(od.Wait)*time.Millisecond)
		if wk.dead {
			return http.StatusMisdirectedRequest, nil
		}
		return http.StatusOK, wk.account()
	}
	return http.StatusNotFound, nil
}

// extend sets the time until which everything may run. It is never shortened.
func (wk *Worker) extend(ms int64) {
	until := min(time.Duration(ms)*time.Millisecond, wk.clock()+maxHold)
	wk.deadline = max(wk.deadline, until)
}

// expire kills everything once the lease is over.
func (wk *Worker) expire() {
	if wk.clock() <= wk.deadline {
		return
	}
	for _, rn := range wk.sorted() {
		wk.endRun(rn, "lapsed")
	}
}

func (wk *Worker) sorted() []*run {
	var list []*run
	for _, rn := range wk.runs {
		list = append(list, rn)
	}
	slices.SortFunc(list, func(a, b *run) int { return cmp.Compare(a.task, b.task) })
	return list
}

// start begins a run. The worker does not check its room (admission-check is false).
func (wk *Worker) start(od order) {
	rn := &run{task: od.Task, num: od.Run, began: time.Now(), length: wk.fleet.lengthOf(od.Task, od.Spec)}
	wk.runs[od.Task] = rn
	wk.fleet.record.started(wk.ID, od.Task, od.Run, od.Token)
	time.AfterFunc(rn.length, func() { wk.finish(rn, "done") })
}

// finish ends a run that is still there.
func (wk *Worker) finish(rn *run, how string) {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	if wk.dead || wk.runs[rn.task] != rn {
		return
	}
	wk.expire()
	if wk.runs[rn.task] == rn {
		wk.endRun(rn, how)
	}
}

func (wk *Worker) endRun(rn *run, how string) {
	delete(wk.runs, rn.task)
	wk.barred[rn.task] = max(wk.barred[rn.task], rn.num)
	wk.lastEnd++
	wk.ends = append(wk.ends, end{wk.lastEnd, rn.task, rn.num, how, time.Now()})
	wk.fleet.record.ended(wk.ID, rn.task, rn.num, how, wk.lastEnd)
	close(wk.changed)
	wk.changed = make(chan struct{})
}

// forget forgets the ends up to a number. The system has taken note of them.
func (wk *Worker) forget(upTo int) {
	for len(wk.ends) > 0 && wk.ends[0].num <= upTo {
		wk.fleet.record.noted(wk.ID, wk.ends[0].task, wk.ends[0].run, wk.ends[0].how)
		wk.ends = wk.ends[1:]
	}
}

// await holds an answer until an end occurs.
func (wk *Worker) await(r *http.Request, wait time.Duration) {
	timer := time.NewTimer(min(wait, maxWait))
	defer timer.Stop()
	for len(wk.ends) == 0 && !wk.dead {
		changed := wk.changed
		wk.mu.Unlock()
		over := false
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			over = true
		}
		wk.mu.Lock()
		if over {
			return
		}
	}
}

// account is the answer to a hold.
func (wk *Worker) account() map[string]any {
	running, ended := [][]any{}, [][]any{}
	for _, rn := range wk.sorted() {
		percent := min(100*time.Since(rn.began)/rn.length, 100)
		running = append(running, []any{rn.task, rn.num, "", int(percent), 0})
	}
	for _, en := range wk.ends[:min(len(wk.ends), maxEndsListed)] {
		ended = append(ended, []any{en.num, en.task, en.run, en.how, ""})
	}
	return map[string]any{"clock-ms": wk.clock().Milliseconds(), "running": running, "ended-at": ended}
}

// GoDark ends the worker for good: everything that runs is gone, and its address is silent. Its entry goes after three
// heartbeats.
func (wk *Worker) GoDark() {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	wk.dead, wk.isDark = true, true
	close(wk.dark)
	for _, rn := range wk.sorted() {
		wk.fleet.record.ended(wk.ID, rn.task, rn.num, "lost", 0)
	}
	wk.runs = map[string]*run{}
	close(wk.changed)
	wk.changed = make(chan struct{})
	time.AfterFunc(lapseAfter, func() { wk.fleet.remove("servers/" + wk.ID) })
}

// Cut takes the worker's path to the store away, or gives it back.
func (wk *Worker) Cut(cut bool) {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	wk.cut = cut
}

// Tasks returns the names of the tasks that the worker runs.
func (wk *Worker) Tasks() []string {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	var names []string
	for _, rn := range wk.sorted() {
		if !rn.stopping {
			names = append(names, rn.task)
		}
	}
	return names
}

// Running returns how many runs the worker has.
func (wk *Worker) Running() int {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	return len(wk.runs)
}

// Ends returns how many ends the worker keeps because nobody has taken note of them.
func (wk *Worker) Ends() int {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	return len(wk.ends)
}

// Fleet is a number of workers of one service that register in the store.
type Fleet struct {
	record  *Record
	put     func(key string, value []byte)
	remove  func(key string)
	zones   []string
	service string
	stop    chan struct{}

	mu      sync.Mutex
	workers []*Worker
	count   int
}

// Length is how long the tasks of a job run by its spec: "run MS" or "run MS..MS", spread evenly by the task's index.
func (fl *Fleet) lengthOf(task, spec string) time.Duration {
	fields := strings.Fields(spec)
	if len(fields) < 2 || fields[0] != "run" {
		return time.Second
	}
	low, high, spread := strings.Cut(fields[1], "..")
	least, _ := strconv.Atoi(low)
	if !spread {
		return time.Duration(least) * time.Millisecond
	}
	most, _ := strconv.Atoi(high)
	index, _ := strconv.Atoi(task[strings.LastIndexByte(task, '.')+1:])
	return time.Duration(least+index%(most-least+1)) * time.Millisecond
}

// Capacity of a worker, as in the site file of dnd-katalog.
const (
	workerCPU = 64000
	workerMem = 131072
	rackSize  = 8
)

// Add starts a worker at an address, or at a free port of the loopback interface.
func (fl *Fleet) Add(address string) (*Worker, error) {
	ln, err := net.Listen("tcp4", cmp.Or(address, "127.0.0.1:0"))
	if err != nil {
		return nil, err
	}
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.count++
	wk := &Worker{
		ID: fmt.Sprintf("i-%010x", 0x5a0000+fl.count), Address: ln.Addr().String(), fleet: fl, bootAt: time.Now(),
		runs: map[string]*run{}, barred: map[string]int{}, changed: make(chan struct{}), dark: make(chan struct{}),
	}
	wk.server = &http.Server{Handler: http.HandlerFunc(wk.serve)}
	go func() { _ = wk.server.Serve(ln) }()
	go wk.beat(fl.zones[fl.count%len(fl.zones)], fl.count/rackSize)
	fl.workers = append(fl.workers, wk)
	return wk, nil
}

// beat writes the worker's entry, and kills what runs once its lease is over.
func (wk *Worker) beat(zone string, rack int) {
	beaten := time.Now()
	for sequence := 1; ; sequence++ {
		wk.mu.Lock()
		dead, cut := wk.dead, wk.cut
		wk.mu.Unlock()
		if dead {
			return
		}
		raw, _ := json.Marshal(map[string]any{
			"service": wk.fleet.service, "address": wk.Address, "zone": zone, "version": "v1", "slots": 8, "phase": "ready",
			"cold-remaining-ms": 0, "capacity": map[string]int{"cpu": workerCPU, "mem-mb": workerMem, "gpu": 0},
			"labels": []string{"a", fmt.Sprintf("r1-%d", rack)}, "clock-ms": wk.clock().Milliseconds(), "sequence": sequence,
		})
		if !cut {
			wk.fleet.put("servers/"+wk.ID, raw)
			beaten = time.Now()
		} else if time.Since(beaten) >= lapseAfter {
			wk.fleet.remove("servers/" + wk.ID)
		}
		for until := time.Now().Add(heartbeat); time.Now().Before(until); {
			select {
			case <-wk.fleet.stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
			wk.mu.Lock()
			wk.expire()
			wk.mu.Unlock()
		}
	}
}

// Workers returns all workers.
func (fl *Fleet) Workers() []*Worker {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return slices.Clone(fl.workers)
}

// Running returns how many runs all workers have.
func (fl *Fleet) Running() int {
	sum := 0
	for _, wk := range fl.Workers() {
		sum += wk.Running()
	}
	return sum
}
