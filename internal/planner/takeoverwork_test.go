package planner_test

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/size"
	"tackbeam.example/policy/work"

	"tackbeam.example/tackbeam/internal/standin/memkv"
	"tackbeam.example/tackbeam/internal/standin/memworkers"
)

// TestTakeoversOfWork draws from a seed how terms end while short tasks and gangs run, fail, make no progress and are
// cancelled, with faults of the store, of orders and of workers. It guards against two runs of a task at a time, and against
// a start of a task whose end was acknowledged.
//
// With TACKBEAM_WORK_RESTARTS=1, workers also restart under their ids.
//
//	TACKBEAM_WORK_SEEDS=100 go test ./internal/planner -run TestTakeoversOfWork -timeout 1h
func TestTakeoversOfWork(t *testing.T) {
	first := seedCount(t, "TACKBEAM_WORK_FIRST", "0")
	for seed := range seedCount(t, "TACKBEAM_WORK_SEEDS", "1") {
		t.Run(fmt.Sprint(first+seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { playWork(t, first+seed) })
		})
	}
}

// workPlay is one seed of TestTakeoversOfWork.
type workPlay struct {
	*testbed
	seed uint64

	mu  sync.Mutex
	rnd *rand.Rand
	// live are the nodes that take jobs, names counts the names of nodes.
	live  []string
	names int
	// bursts counts the calls of writeRecords.
	bursts int
	// silent are the processes that the store does not answer, allSilent is set while it answers none. A share of calls,
	// unheard, is carried out without an answer, at once or late.
	silent    map[string]bool
	allSilent bool
	unheard   float64
	// workers are the running workers, dark are those that get no orders.
	workers map[string]bool
	dark    map[string]bool
	// orderShare is the share of orders that are lost, unanswered or late; only, if set, are the orders that this is
	// limited to.
	orderShare float64
	only       string
	// slowest is the longest time for which orders and answers are under way, in milliseconds, for a share of them.
	slowest int
	// refused is the share of starts that are refused.
	refused float64
	// restarts is set if workers may restart under their ids.
	restarts bool
	// room is the capacity of a worker.
	room string
	// pace is the longest time between two jobs, in milliseconds.
	pace int
	// stops counts the runs that workers have begun to stop, faults the orders that failed.
	stops, faults atomic.Int64
	// termBegan is when a planner last read the journal, in nanoseconds since 1970.
	termBegan atomic.Int64
}

// Kinds of jobs, which begin their ids.
const (
	quickJobs     = "quick"
	hangingJobs   = "hang"
	failingJobs   = "fail"
	gangJobs      = "gang"
	lastingJobs   = "last"
	recurringJobs = "repeat"
	cancelledJobs = "void"
)

func playWork(t *testing.T, seed uint64) {
	const (
		workers = 6
		slowest = 0.98
		events  = 25
	)
	wp := &workPlay{
		testbed: newTestbed(t, time.Hour), seed: seed, rnd: rand.New(rand.NewPCG(seed, 5)),
		silent: map[string]bool{}, workers: map[string]bool{}, dark: map[string]bool{},
	}
	defer wp.end()
	wp.setStopTime(longestStop)
	wp.logged = wp.count
	wp.fleet.SetGangTimeout(2 * time.Second)
	wp.fleet.SetDelay(time.Duration([]int{100, 300, 500, 1000, 2000, 3000, 3000}[wp.draw(7)]) * time.Millisecond)
	wp.retention = []time.Duration{10 * time.Second, 2 * time.Minute}[wp.draw(2)]
	wp.restarts = os.Getenv("TACKBEAM_WORK_RESTARTS") != ""
	wp.room = []string{"8", "40"}[wp.draw(2)]
	wp.pace = []int{150, 400}[wp.draw(2)]
	wp.fleet.SetBehavior(wp.behavior)
	wp.fleet.SetFault(wp.orderFault)
	wp.fleet.SetRefusal(wp.refusal)
	wp.transit = wp.orderTransit
	wp.store.SetFault(wp.storeFault)
	for n := range workers {
		wp.newWorker(fmt.Sprint("w", n))
		wp.fleet.SetClockRate(fmt.Sprint("w", n), slowest+wp.rnd.Float64()*(1-slowest))
	}
	for range 3 + wp.draw(2) {
		wp.join("")
	}
	time.Sleep(time.Second)
	var callers sync.WaitGroup
	over := make(chan struct{})
	callers.Go(func() { wp.submitWork(&callers, over) })
	time.Sleep(wp.drawTime(500, 12000))
	callers.Go(func() { wp.disturbWork(over) })
	for range events {
		wp.awaitMoment()
		wp.endTerm()
		time.Sleep(wp.drawTime(0, 4000))
	}
	close(over)
	callers.Wait()
	wp.heal()
	time.Sleep(20 * time.Second)
}

// draw returns a random number below most.
func (wp *workPlay) draw(most int) int {
	wp.mu.Lock()
	defer wp.mu.Unlock()
	return wp.rnd.IntN(most)
}

// drawTime returns a random duration in milliseconds.
func (wp *workPlay) drawTime(minMS, maxMS int) time.Duration {
	return time.Duration(minMS+wp.draw(maxMS-minMS)) * time.Millisecond
}

// hash returns a number in [0, 1) that depends on the seed and what it is for only, not on the order of calls.
func (wp *workPlay) hash(of ...any) float64 {
	sum := fnv.New64a()
	_, _ = fmt.Fprint(sum, wp.seed, of) // never fails
	return rand.New(rand.NewPCG(sum.Sum64(), 6)).Float64()
}

// count counts log lines that events wait for.
func (wp *workPlay) count(line string) {
	switch {
	case strings.Contains(line, "Run is being stopped.") && !strings.Contains(line, quickJobs) && !strings.Contains(line, lastingJobs):
		wp.stops.Add(1)
	case strings.Contains(line, "Journal has been read."):
		wp.termBegan.Store(wp.clock.Now().UnixNano())
	case strings.Contains(line, "Order fails."):
		wp.faults.Add(1)
	}
}

// behavior decides how a run behaves.
func (wp *workPlay) behavior(worker string, sr cell.Start) memworkers.Behavior {
	const shortest, longest = 600 * time.Millisecond, 5 * time.Second
	kind := strings.TrimRight(sr.Task.Job, "0123456789-")
	bh := memworkers.Behavior{Takes: shortest + time.Duration(wp.hash("time", sr.Task.Job, sr.Task.Step)*float64(longest-shortest))}
	if gang, of, found := strings.Cut(sr.Task.Job, "-"); found {
		kind = strings.TrimRight(gang, "0123456789")
		bh.Gang, _ = strconv.Atoi(of) // always valid
	}
	luck := wp.hash("run", sr.Task, sr.Run, worker)
	switch {
	case kind == hangingJobs && luck < 0.7, kind == gangJobs && luck < 0.05:
		bh.Takes = time.Hour
	case kind == failingJobs && luck < 0.5, kind == gangJobs && luck < 0.15:
		bh.Fails = true
	case kind == lastingJobs:
		bh.Takes = time.Hour
	}
	return bh
}

// orderFault decides on the fault of an order.
func (wp *workPlay) orderFault(worker, order string) memworkers.Fault {
	wp.mu.Lock()
	defer wp.mu.Unlock()
	luck := wp.hash("order", worker, order, wp.clock.Now().UnixMilli())
	switch {
	case wp.dark[worker]:
		return memworkers.RequestLost
	case wp.only != "" && wp.only != order || luck >= wp.orderShare:
		return memworkers.None
	case luck < wp.orderShare/3:
		return memworkers.RequestLost
	case luck < wp.orderShare*2/3:
		return memworkers.ResponseLost
	}
	return memworkers.Delayed
}

// orderTransit decides how long an order and its answer are under way.
func (wp *workPlay) orderTransit(worker, order string) (there, back time.Duration) {
	wp.mu.Lock()
	defer wp.mu.Unlock()
	now := wp.clock.Now().UnixMilli()
	draw := func(way string) time.Duration {
		if luck := wp.hash(way, worker, order, now); luck < 0.5 && wp.slowest > 0 {
			return time.Duration(2*luck*float64(wp.slowest)) * time.Millisecond
		}
		return 0
	}
	return draw("there"), draw("back")
}

// refusal decides whether a start is refused.
func (wp *workPlay) refusal(worker string, sr cell.Start) cell.Refusal {
	wp.mu.Lock()
	defer wp.mu.Unlock()
	luck := wp.hash("refusal", worker, sr.Task, wp.clock.Now().UnixMilli())
	switch {
	case luck >= wp.refused:
		return ""
	case luck < wp.refused/2:
		return cell.RefusedNoCapacity
	}
	return cell.RefusedUnhealthy
}

// storeFault decides on the fault of a call to the store.
func (wp *workPlay) storeFault(client, call string) memkv.Fault {
	wp.mu.Lock()
	defer wp.mu.Unlock()
	luck := wp.hash("store", client, call, wp.clock.Now().UnixMilli())
	switch {
	case wp.allSilent || wp.silent[client]:
		return memkv.RequestLost
	case luck >= wp.unheard:
		return memkv.None
	case luck < wp.unheard/2:
		return memkv.ResponseLost
	}
	return memkv.Delayed
}

// set changes what the fault functions read.
func (wp *workPlay) set(change func()) {
	wp.mu.Lock()
	change()
	wp.mu.Unlock()
	wp.store.SetFault(wp.storeFault) // also for calls that wait
}

// setFor changes it for a time.
func (wp *workPlay) setFor(span time.Duration, change, undo func()) {
	wp.set(change)
	wp.clock.AfterFunc(span, func() { wp.set(undo) })
}

// newWorker adds a worker, which keeps its id until it ends.
func (wp *workPlay) newWorker(id string) {
	wp.set(func() { wp.workers[id] = true })
	wp.addWorker(id)
	wp.list(id, "room", wp.room)
}

// relist writes the entry of a worker that still runs.
func (wp *workPlay) relist(id string) {
	wp.mu.Lock()
	_, runs := wp.workers[id]
	wp.mu.Unlock()
	if runs {
		wp.list(id, "room", wp.room)
	}
}

// someWorkers returns running workers: one, half of them, or all.
func (wp *workPlay) someWorkers() []string {
	wp.mu.Lock()
	defer wp.mu.Unlock()
	var ids []string
	for id := range wp.workers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	wp.rnd.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids[:[]int{1, 1, len(ids) / 2, len(ids)}[wp.rnd.IntN(4)]]
}

// join adds a node under a name, or under a new one.
func (wp *workPlay) join(name string) {
	wp.mu.Lock()
	if name == "" {
		wp.names++
		name = fmt.Sprint("n", wp.names)
	}
	wp.mu.Unlock()
	wp.addNode(name)
	wp.mu.Lock()
	wp.live = append(wp.live, name)
	wp.mu.Unlock()
	time.Sleep(20 * time.Millisecond)
}

// node returns the latest process of a node.
func (wp *workPlay) node(name string) *node {
	wp.testbed.mu.Lock()
	defer wp.testbed.mu.Unlock()
	return wp.nodes[name]
}

// target returns the name of the node that plans, mostly, or another one; empty if there is none.
func (wp *workPlay) target() string {
	wp.mu.Lock()
	defer wp.mu.Unlock()
	if len(wp.live) == 0 {
		return ""
	}
	if wp.rnd.IntN(6) > 0 {
		for _, name := range wp.live {
			if nd := wp.node(name); nd.term.Leading() && nd.latest.Load() != nil {
				return name
			}
		}
	}
	return wp.live[wp.rnd.IntN(len(wp.live))]
}

// submitWork submits jobs, and cancels some of them, until over is closed.
func (wp *workPlay) submitWork(callers *sync.WaitGroup, over <-chan struct{}) {
	kinds := []string{quickJobs, quickJobs, quickJobs, hangingJobs, hangingJobs, failingJobs, gangJobs, gangJobs, lastingJobs, recurringJobs}
	for n := 0; ; n++ {
		select {
		case <-over:
			return
		case <-time.After(wp.drawTime(10, wp.pace)):
		}
		kind := kinds[wp.draw(len(kinds))]
		id, tasks := fmt.Sprintf("%s%d%05d", kind, wp.seed, n), 1+wp.draw(4)
		st := work.Step{Count: tasks, Need: size.New(1000, 1000, 0), Estimate: 2 * time.Second}
		switch kind {
		case gangJobs:
			st.Gang = true
			id += fmt.Sprint("-", tasks)
		case lastingJobs:
			st.LongRunning, st.Count = true, 1
		}
		steps := []work.Step{st}
		if kind == quickJobs && wp.draw(3) == 0 {
			steps = append(steps, work.Step{Count: 1, Need: size.New(1000, 1000, 0), Estimate: 2 * time.Second, After: []int{0}})
		}
		queue := wp.accepted
		queue.Attempts = 5
		if wp.draw(2) == 0 { // its runs may be stopped in favour of others
			queue.Name, queue.Priority = "patient", 1
		}
		var repeat *work.Repeat
		if kind == recurringJobs {
			repeat = &work.Repeat{Count: 2 + wp.draw(4), Start: time.Duration(time.Now().UnixNano()), Every: wp.drawTime(300, 3000)}
		}
		cancelled := kind == lastingJobs || wp.draw(4) == 0
		again, after := wp.draw(8) == 0, wp.drawTime(200, 5000)
		callers.Go(func() {
			wp.call(func(ctx context.Context, nd *node) error {
				return nd.intake.Submit(ctx, &work.Job{ID: id, Spec: id, Queue: queue, Steps: steps, Repeat: repeat})
			})
			if again {
				time.Sleep(after)
				wp.call(func(ctx context.Context, nd *node) error {
					return nd.intake.Submit(ctx, &work.Job{ID: id, Spec: id, Queue: queue, Steps: steps, Repeat: repeat})
				})
			}
			if cancelled {
				time.Sleep(after)
				wp.call(func(ctx context.Context, nd *node) error { return nd.intake.Cancel(ctx, id, "") })
			}
		})
	}
}

// call makes a call to some node, a few times if it fails.
func (wp *workPlay) call(act func(ctx context.Context, nd *node) error) {
	for range 5 {
		wp.mu.Lock()
		var nd *node
		if len(wp.live) > 0 {
			nd = wp.node(wp.live[wp.rnd.IntN(len(wp.live))])
		}
		wp.mu.Unlock()
		if nd != nil {
			ctx, cancel := context.WithTimeout(wp.t.Context(), time.Second)
			err := act(ctx, nd)
			cancel()
			if err == nil {
				return
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// disturbWork begins faults of workers and orders until over is closed.
func (wp *workPlay) disturbWork(over <-chan struct{}) {
	longest := []int{700, 2000, 6000}[wp.draw(3)]
	for {
		select {
		case <-over:
			return
		case <-time.After(wp.drawTime(100, longest)):
			wp.disturb()
		}
	}
}

// disturb begins a fault of workers or orders, which ends by itself.
func (wp *workPlay) disturb() {
	span := wp.drawTime(300, 5000)
	if wp.draw(8) == 0 {
		wp.writeRecords(span)
	}
	switch wp.draw(11) {
	case 9, 10:
		wp.setFor(span, func() { wp.slowest = []int{50, 200, 600, 2500}[wp.rnd.IntN(4)] }, func() { wp.slowest = 0 })
	case 0, 1:
		wp.unlist(wp.someWorkers(), wp.drawTime(50, 2000), span)
	case 2:
		wp.drain(wp.someWorkers()[0])
	case 3, 4, 5:
		wp.setFor(span, func() {
			wp.orderShare = []float64{0.1, 0.5, 0.9}[wp.rnd.IntN(3)]
			wp.only = []string{"", "start", "stop", "hold"}[wp.rnd.IntN(4)]
		}, func() { wp.orderShare, wp.only = 0, "" })
	case 6:
		ids := wp.someWorkers()
		wp.darken(span, ids)
	case 7:
		if wp.restarts {
			wp.restart(wp.drawTime(0, 2000), wp.someWorkers()[0])
		}
	case 8:
		wp.setFor(span, func() { wp.refused = 0.5 }, func() { wp.refused = 0 })
	}
}

// writeRecords makes the planner write records as often as it can for a time: jobs are cancelled at once.
func (wp *workPlay) writeRecords(span time.Duration) {
	const interval = 45 * time.Millisecond // more than between two writes
	wp.mu.Lock()
	wp.bursts++
	burst := wp.bursts
	wp.mu.Unlock()
	began := time.Now()
	go func() {
		for n := 0; time.Since(began) < span; n++ {
			id := fmt.Sprintf("%s%d%03d%03d", cancelledJobs, wp.seed, burst, n)
			go wp.call(func(ctx context.Context, nd *node) error {
				if err := nd.intake.Submit(ctx, newJob(wp.accepted, id, 1)); err != nil {
					return err
				}
				return nd.intake.Cancel(ctx, id, "")
			})
			time.Sleep(interval)
		}
	}()
}

// darken makes workers get no orders for a time.
func (wp *workPlay) darken(span time.Duration, ids []string) {
	wp.log("play").Info("Workers are cut off.", "workers", ids, "for", span.String())
	for _, id := range ids {
		wp.setFor(span, func() { wp.dark[id] = true }, func() { delete(wp.dark, id) })
	}
}

// unlist removes the entries of workers for a time. They may be cut off as well, from all nodes or from the planner.
func (wp *workPlay) unlist(ids []string, away, span time.Duration) {
	wp.log("play").Info("Workers have no entries.", "workers", ids, "for", away.String())
	for _, id := range ids {
		wp.store.Delete(workersPrefix + id)
		wp.clock.AfterFunc(away+wp.drawTime(0, 100), func() { wp.relist(id) })
	}
	switch name := wp.target(); wp.draw(3) {
	case 0:
		wp.darken(span, ids)
	case 1:
		if name != "" {
			nd := wp.node(name)
			nd.cut(ids...)
			wp.clock.AfterFunc(span, func() { nd.cut() })
		}
	}
}

// drain has a worker announce its end, and end some time later. Another one comes.
func (wp *workPlay) drain(id string) {
	wp.log("play").Info("Worker drains.", "worker", id)
	wp.list(id, "draining", "room", wp.room)
	wp.clock.AfterFunc(wp.drawTime(2000, 8000), func() {
		wp.mu.Lock()
		_, runs := wp.workers[id]
		delete(wp.workers, id)
		wp.mu.Unlock()
		if !runs {
			return
		}
		wp.fleet.Kill(id)
		wp.store.Delete(workersPrefix + id)
		wp.newWorker(id + "x")
	})
}

// awaitMoment waits until a worker has just begun to stop a run, or an order has failed, in most cases.
func (wp *workPlay) awaitMoment() {
	const longest = 3 * time.Second
	counter := &wp.stops
	if wp.draw(3) == 0 {
		counter = &wp.faults
	}
	switch wp.draw(8) {
	case 0, 1:
		time.Sleep(wp.drawTime(0, 2000))
		return
	case 2, 3: // until the planner has just removed old keys of the journal
		const interval = 10 * time.Second
		time.Sleep(interval - time.Since(time.Unix(0, wp.termBegan.Load()))%interval + wp.drawTime(10, 900))
		return
	}
	began, before := time.Now(), counter.Load()
	for counter.Load() == before && time.Since(began) < longest {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(wp.drawTime(0, []int{20, 300, 900}[wp.draw(3)]))
}

// endTerm ends the term in one of many ways.
func (wp *workPlay) endTerm() {
	name := wp.target()
	if name == "" {
		wp.join("")
		return
	}
	nd, span := wp.node(name), wp.drawTime(300, 5000)
	kind := []int{0, 1, 1, 1, 1, 2, 2, 2, 3, 3, 4, 5, 6, 6, 7, 8, 9, 10, 11}[wp.draw(19)]
	wp.log("play").Info("Term ends.", "kind", kind, "node", name, "span", span.String())
	switch kind {
	case 0:
		wp.resign(nd)
		wp.kill(false, name)
		wp.rejoin(wp.drawTime(0, 3000), name)
	case 1, 2:
		if nd.latest.Load() != nil {
			nd.currentTerm().StepDown("test")
		}
	case 3:
		if nd.latest.Load() != nil {
			nd.currentTerm().Yield("test")
		}
	case 4, 5:
		wp.kill(true, name)
		wp.rejoin(wp.drawTime(0, 3000), name)
	case 6:
		wp.mu.Lock()
		all := slices.Clone(wp.live)
		wp.mu.Unlock()
		wp.kill(true, all...)
		wp.rejoin(wp.drawTime(0, 6000), all...)
	case 7, 8:
		client := wp.clients[name]
		wp.setFor(span, func() { wp.silent[client] = true }, func() {
			if !nd.stopped.Load() {
				delete(wp.silent, client)
			}
		})
		if wp.draw(2) == 0 {
			nd.isolated.Store(true)
			wp.clock.AfterFunc(span, func() { nd.isolated.Store(false) })
		}
	case 9, 10:
		wp.silence()
	default:
		wp.setFor(span, func() { wp.unheard = []float64{0.2, 0.6}[wp.rnd.IntN(2)] }, func() { wp.unheard = 0 })
	}
}

// silence has the store answer nobody for a time. Leases and the entries of workers may be lost meanwhile.
func (wp *workPlay) silence() {
	span := wp.drawTime(500, 7000)
	wp.set(func() { wp.allSilent = true })
	time.Sleep(span)
	if wp.draw(2) == 0 {
		wp.store.RevokeLeases()
	}
	if wp.draw(2) == 0 {
		for _, id := range wp.someWorkers() {
			wp.store.Delete(workersPrefix + id)
			wp.clock.AfterFunc(wp.drawTime(0, 2000), func() { wp.relist(id) })
		}
	}
	wp.set(func() { wp.allSilent = false })
}

// kill ends the processes of nodes. The store executes no more calls of one that dies.
func (wp *workPlay) kill(dies bool, names ...string) {
	for _, name := range names {
		wp.set(func() {
			wp.live = slices.DeleteFunc(wp.live, func(one string) bool { return one == name })
			if dies {
				wp.silent[wp.clients[name]] = true
			}
		})
		wp.node(name).cancel()
	}
}

// rejoin has nodes begin another process some time later, under their names or as new nodes.
func (wp *workPlay) rejoin(after time.Duration, names ...string) {
	time.Sleep(after)
	for _, name := range names {
		if wp.draw(2) == 0 {
			name = ""
		}
		wp.join(name)
	}
}

// heal ends all faults.
func (wp *workPlay) heal() {
	const longestFault = 7 * time.Second
	time.Sleep(longestFault)
	wp.set(func() {
		wp.allSilent, wp.unheard, wp.orderShare, wp.only, wp.refused, wp.slowest = false, 0, 0, "", 0, 0
		clear(wp.dark)
	})
	wp.mu.Lock()
	defer wp.mu.Unlock()
	for _, name := range wp.live {
		delete(wp.silent, wp.clients[name])
		wp.node(name).isolated.Store(false)
		wp.node(name).cut()
	}
}
