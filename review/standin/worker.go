//go:build review

package standin

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"tackbeam.example/tackbeam/internal/standin/memkv"
)

// Limits of the deployment's sheet (lagon-verbatim).
const (
	maxHold   = 10 * time.Second
	stopTime  = 400 * time.Millisecond
	paceFrom  = 100 * time.Millisecond
	heartbeat = 1500 * time.Millisecond
	tick      = 10 * time.Millisecond
	maxEnds   = 500
	maxWait   = 2 * time.Second
)

// Task is what the spec of a job tells a worker about its tasks.
type Task struct {
	// WorkMS is the work of a task in milliseconds at full speed. A task without it lasts.
	WorkMS float64 `json:"work_ms"`
	// BaseMS and LoadedMS are the tail of a task that serves, in normal times and under load.
	BaseMS   float64 `json:"base_ms,omitempty"`
	LoadedMS float64 `json:"loaded_ms,omitempty"`
	// DisturbMS is by how much the task lengthens the tail of those that serve beside it, at full speed.
	DisturbMS float64 `json:"disturb_ms,omitempty"`
}

type run struct {
	Task
	name    string
	number  int
	began   time.Time
	done    float64
	pace    float64
	stopped bool
}

type end struct {
	number int
	task   string
	run    int
	how    string
}

// Worker speaks what the page on running tasks says. It starts whatever it is told to, as with admission-check false.
type Worker struct {
	ID, Address string

	record   *Record
	store    *memkv.Store
	server   *http.Server
	crashed  chan struct{}
	startAt  time.Time
	mu       sync.Mutex
	changed  chan struct{}
	token    uint64
	deadline time.Duration
	loaded   bool
	runs     map[string]*run
	over     map[string]int // the highest run of a task that was stopped or ended
	ends     []end
	all      []end // also those that were taken note of
	ended    int
}

// NewWorker starts a worker on a loopback address, which writes its entry into the store.
func NewWorker(rc *Record, store *memkv.Store, id, service string, cores int) (*Worker, error) {
	return NewWorkerAt(rc, store, id, service, cores, "127.0.0.1:0")
}

// NewWorkerAt is NewWorker at a given address.
func NewWorkerAt(rc *Record, store *memkv.Store, id, service string, cores int, address string) (*Worker, error) {
	ln, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	wk := &Worker{
		ID: id, Address: ln.Addr().String(), record: rc, store: store, crashed: make(chan struct{}), startAt: time.Now(), changed: make(chan struct{}),
		runs: map[string]*run{}, over: map[string]int{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/hold", wk.handle(wk.hold))
	mux.HandleFunc("POST /-/run-start", wk.handle(wk.start))
	mux.HandleFunc("POST /-/run-stop", wk.handle(wk.stop))
	mux.HandleFunc("POST /-/pace", wk.handle(wk.setPace))
	wk.server = &http.Server{Handler: mux}
	go func() { _ = wk.server.Serve(ln) }() // ends with a crash
	go wk.work()
	go func() {
		for sequence := 1; ; sequence++ {
			store.Set("servers/"+id, fmt.Appendf(nil,
				`{"service":%q,"address":%q,"zone":"hall-a","version":"v1","slots":8,"phase":"ready","cold-remaining-ms":0,"sequence":%d,"capacity":{"cpu":%d,"mem-mb":32768,"gpu":0},"labels":["a","r1-1"]}`,
				service, wk.Address, sequence, cores*1000))
			select {
			case <-time.After(heartbeat):
			case <-wk.crashed:
				return
			}
		}
	}()
	return wk, nil
}

// Crash ends the worker with all that runs there. It says nothing of that; its entry goes after three heartbeats.
func (wk *Worker) Crash() {
	const silentBeats = 3
	wk.mu.Lock()
	runs := len(wk.runs)
	wk.runs = map[string]*run{}
	close(wk.crashed)
	wk.mu.Unlock()
	_ = wk.server.Close()
	wk.record.Printf("worker %s crashes with %d runs", wk.ID, runs)
	time.AfterFunc(silentBeats*heartbeat, func() { wk.store.Delete("servers/" + wk.ID) })
}

// Has reports whether the worker has a run of a task, and since when.
func (wk *Worker) Has(task string) (time.Time, bool) {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	if rn, ok := wk.runs[task]; ok {
		return rn.began, true
	}
	return time.Time{}, false
}

// FailedEnds returns how many runs have ended failed.
func (wk *Worker) FailedEnds() int {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	count := 0
	for _, en := range wk.all {
		if en.how == "failed" {
			count++
		}
	}
	return count
}

// SetLoaded says whether the users of the tasks that serve press.
func (wk *Worker) SetLoaded(loaded bool) {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	wk.loaded = loaded
	wk.record.Printf("worker %s: load of serving tasks is high: %v", wk.ID, loaded)
}

// Status is the state of a task's run.
type Status struct {
	Run, DonePercent int
	Pace             float64
	// Work is the work done in milliseconds, Tail that of a task that serves.
	Work, Tail float64
}

// Status returns the state of the run of a task, or false if it has none here.
func (wk *Worker) Status(task string) (Status, bool) {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	rn, ok := wk.runs[task]
	if !ok {
		return Status{}, false
	}
	return Status{Run: rn.number, DonePercent: rn.percent(), Pace: rn.pace, Work: rn.done, Tail: wk.tail(rn)}, true
}

// Runs returns the number of runs.
func (wk *Worker) Runs() int {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	return len(wk.runs)
}

func (wk *Worker) clock() time.Duration { return time.Since(wk.startAt) }

func (rn *run) percent() int {
	const full, shortStart = 100, 500
	if rn.WorkMS == 0 {
		return min(full, int(rn.done*full/shortStart))
	}
	return min(full, int(rn.done*full/rn.WorkMS))
}

// tail returns the tail of a task that serves. The caller holds the lock.
func (wk *Worker) tail(rn *run) float64 {
	tail := rn.BaseMS
	if wk.loaded {
		tail = rn.LoadedMS
	}
	for _, other := range wk.runs {
		if !other.stopped {
			tail += other.DisturbMS * other.pace / 100
		}
	}
	return tail
}

// work lets the runs work, and ends them.
func (wk *Worker) work() {
	last := time.Now()
	for {
		time.Sleep(tick)
		now := time.Now()
		passed := float64(now.Sub(last)) / float64(time.Millisecond)
		last = now
		wk.mu.Lock()
		lapsed := wk.clock() > wk.deadline
		for _, rn := range wk.runs {
			switch {
			case lapsed:
				wk.end(rn, "lapsed")
			case rn.stopped:
			default:
				if rn.done += passed * rn.pace / 100; rn.WorkMS > 0 && rn.done >= rn.WorkMS {
					wk.end(rn, "done")
				}
			}
		}
		wk.mu.Unlock()
	}
}

// end ends a run. The caller holds the lock.
func (wk *Worker) end(rn *run, how string) {
	delete(wk.runs, rn.name)
	wk.ended++
	wk.ends = append(wk.ends, end{wk.ended, rn.name, rn.number, how})
	wk.all = append(wk.all, end{wk.ended, rn.name, rn.number, how})
	wk.over[rn.name] = max(wk.over[rn.name], rn.number)
	close(wk.changed)
	wk.changed = make(chan struct{})
	wk.record.Printf("worker %s: run %d of %s ended %s after %.0f ms of work", wk.ID, rn.number, rn.name, how, rn.done)
}

// order is the body of any call.
type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run-id"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline-ms"`
	Token    uint64 `json:"fencing-token"`
	LastSeen int    `json:"last-seen"`
	WaitMS   int64  `json:"wait-ms"`
	Percent  int    `json:"percent"`
}

// handle checks the life and the fencing token of a call.
func (wk *Worker) handle(act func(od order) (int, map[string]any)) http.HandlerFunc {
	return func(rw http.ResponseWriter, rq *http.Request) {
		var od order
		if err := json.NewDecoder(rq.Body).Decode(&od); err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		if life := rq.Header.Get("Expect-Instance"); life != "" && life != wk.ID {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		wk.mu.Lock()
		fenced := od.Token < wk.token
		wk.token = max(wk.token, od.Token)
		wk.mu.Unlock()
		status, body := http.StatusConflict, map[string]any{"reason": "fence"}
		if !fenced {
			status, body = act(od)
		}
		body["clock-ms"] = wk.clock().Milliseconds()
		rw.Header().Set("Content-Type", "application/json")
		rw.WriteHeader(status)
		_ = json.NewEncoder(rw).Encode(body) // the caller may be gone
	}
}

// extend applies a deadline. The caller holds the lock.
func (wk *Worker) extend(od order) {
	deadline := min(time.Duration(od.Deadline)*time.Millisecond, wk.clock()+maxHold)
	wk.deadline = max(wk.deadline, deadline)
}

func (wk *Worker) hold(od order) (int, map[string]any) {
	wk.mu.Lock()
	if od.Deadline > 0 {
		wk.extend(od)
	}
	for len(wk.ends) > 0 && wk.ends[0].number <= od.LastSeen {
		wk.ends = wk.ends[1:]
	}
	wait := min(time.Duration(od.WaitMS)*time.Millisecond, maxWait)
	if changed := wk.changed; len(wk.ends) == 0 && wait > 0 {
		wk.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(wait):
		}
		wk.mu.Lock()
	}
	defer wk.mu.Unlock()
	running, ended := [][]any{}, [][]any{}
	for _, rn := range wk.runs {
		if rn.stopped {
			continue
		}
		figure := 1000 * rn.pace / 100 // the cpu in use
		if rn.BaseMS > 0 {
			figure = wk.tail(rn)
		}
		running = append(running, []any{rn.name, rn.number, "", rn.percent(), int(figure)})
	}
	for _, en := range wk.ends[:min(len(wk.ends), maxEnds)] {
		ended = append(ended, []any{en.number, en.task, en.run, en.how, ""})
	}
	return http.StatusOK, map[string]any{"running": running, "ended-at": ended}
}

func (wk *Worker) start(od order) (int, map[string]any) {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	wk.extend(od)
	rn, exists := wk.runs[od.Task]
	switch {
	case exists && rn.number == od.Run:
		return http.StatusOK, map[string]any{}
	case od.Run <= wk.over[od.Task] || exists && od.Run < rn.number:
		return http.StatusConflict, map[string]any{"reason": "old"}
	case exists:
		return http.StatusConflict, map[string]any{"reason": "room"}
	case time.Duration(od.Deadline)*time.Millisecond < wk.clock():
		return http.StatusConflict, map[string]any{"reason": "late"}
	}
	rn = &run{name: od.Task, number: od.Run, began: time.Now(), pace: 100}
	if err := json.Unmarshal([]byte(od.Spec), &rn.Task); err != nil {
		return http.StatusBadRequest, map[string]any{}
	}
	wk.runs[od.Task] = rn
	wk.record.Printf("worker %s: run %d of %s starts", wk.ID, od.Run, od.Task)
	return http.StatusOK, map[string]any{}
}

func (wk *Worker) stop(od order) (int, map[string]any) {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	wk.over[od.Task] = max(wk.over[od.Task], od.Run)
	rn, exists := wk.runs[od.Task]
	if !exists || rn.number != od.Run || rn.stopped {
		return http.StatusOK, map[string]any{}
	}
	rn.stopped = true
	wk.record.Printf("worker %s: run %d of %s is told to stop", wk.ID, od.Run, od.Task)
	time.AfterFunc(stopTime/2, func() {
		wk.mu.Lock()
		defer wk.mu.Unlock()
		if wk.runs[od.Task] == rn {
			wk.end(rn, "stopped")
		}
	})
	return http.StatusOK, map[string]any{}
}

func (wk *Worker) setPace(od order) (int, map[string]any) {
	time.Sleep(paceFrom / 2)
	wk.mu.Lock()
	defer wk.mu.Unlock()
	if rn, exists := wk.runs[od.Task]; exists && rn.number == od.Run {
		rn.pace = float64(min(max(od.Percent, 0), 100))
		wk.record.Printf("worker %s: run %d of %s is paced to %d percent; %.0f ms of its work are done", wk.ID, od.Run, od.Task, od.Percent, rn.done)
	}
	return http.StatusOK, map[string]any{}
}
