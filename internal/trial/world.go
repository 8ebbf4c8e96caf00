// Package trial runs a workload trace through the decisions in virtual time and
// measures what comes of it. It models no network and no node: tasks run as long
// as the trace says, and orders take a fixed time.
package trial

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"tackbeam.example/policy/ledger"
	"tackbeam.example/policy/owner"
	"tackbeam.example/policy/size"
	"tackbeam.example/tackbeam/internal/trace"
)

// The fixed times of a trial.
const (
	// keepTime is how long the journal takes to keep an intent.
	keepTime = 20 * time.Millisecond
	// orderTime is how long an order to a worker takes.
	orderTime = 2 * time.Millisecond
	// failTime is how long a worker takes that fails all it starts.
	failTime = 10 * time.Millisecond
	// lapseTime is how long after its loss a worker's tasks surely have ended.
	lapseTime = 35 * time.Second
	// tickTime is the period in which the decisions are told that time passes.
	tickTime = 25 * time.Millisecond
	// maxFailures is the number of failed attempts that end a repeatable job.
	maxFailures = 3
)

// job is one job of the trace and how far it has come.
type job struct {
	trace.Job
	submitted time.Duration
	placed    time.Duration
	left      time.Duration // the run time that checkpoints have not saved
	began     time.Duration
	attempt   int
	failures  int
	broken    bool
	running   map[string]string // task to worker
	over      bool
	waits     bool
	counted   bool // as waiting
	starts    int
}

// lookup is one lookup under way.
type lookup struct {
	id        string
	workspace string
	since     time.Duration
	deadline  time.Duration
	run       time.Duration
	worker    string
}

// decider is what decides in a trial. The world calls its functions; it calls the
// world's start, stop, send and shed.
type decider struct {
	workerUp   func(wk ledger.Worker)
	workerGone func(name string, lost bool)
	limits     func(lm trace.Limits)
	// submit returns why a job can never run, or "".
	submit func(jb *job) string
	cancel func(jb *job)
	// again lets a job wait once more after an attempt that ended.
	again func(jb *job)
	ended func(jb *job, task, worker string, failed bool)
	gone  func(jb *job)
	ask   func(lk *lookup)
	done  func(lk *lookup, failed bool)
	tick  func()
}

// world is what the decisions act on.
type world struct {
	clock
	decider
	trace   *trace.Trace
	workers map[string]ledger.Worker
	bad     map[string]bool
	lost    map[string]bool
	jobs    map[string]*job
	lookups map[string]*lookup
	open    int
	measure *measure
}

// run plays the trace until its span is over and every job has ended, at most for
// twice the span.
func (wo *world) run() {
	head := wo.trace.Header()
	for _, ev := range wo.trace.Events() {
		wo.at(ev.At, func() { wo.happen(ev) })
	}
	wo.at(0, wo.ticks)
	for {
		at, act, ok := wo.next()
		if !ok || at > 2*head.Span || at > head.Span && wo.open == 0 {
			break
		}
		wo.measure.pass(wo, at)
		wo.now = at
		act()
	}
	for _, jb := range wo.jobs {
		if !jb.over {
			wo.end(jb, unfinished)
		}
	}
}

func (wo *world) ticks() {
	wo.tick()
	wo.after(tickTime, wo.ticks)
}

// happen carries one event of the trace out.
func (wo *world) happen(ev trace.Event) {
	switch {
	case ev.Workers != nil:
		wo.addWorkers(*ev.Workers)
	case ev.HallLost != nil:
		wo.loseHall(ev.HallLost.Hall)
	case ev.Limits != nil:
		wo.measure.weight(ev.Limits.Workspace, ev.Limits.Weight)
		wo.limits(*ev.Limits)
	case ev.Job != nil:
		wo.arrive(*ev.Job)
	case ev.Cancel != nil:
		if jb := wo.jobs[ev.Cancel.Job]; jb != nil && !jb.over && jb.waits {
			wo.cancel(jb)
			wo.end(jb, cancelled)
		}
	case ev.Lookups != nil:
		st := &stream{Lookups: *ev.Lookups, rd: rand.New(rand.NewPCG(ev.Lookups.Seed, 1)), until: wo.now + ev.Lookups.Duration}
		wo.nextLookup(st)
	case ev.Failing != nil:
		for i := range ev.Failing.Count {
			wo.bad[workerName(ev.Failing.Hall, i)] = !ev.Failing.Healthy
		}
	}
}

func workerName(hall string, i int) string { return fmt.Sprintf("%s-w%03d", hall, i+1) }

func (wo *world) addWorkers(ws trace.Workers) {
	for i := range ws.Count {
		wk := ledger.Worker{
			Name: workerName(ws.Hall, i), Hall: ws.Hall, Rack: fmt.Sprintf("r%02d", i/max(1, ws.Rack)+1),
			Capacity: ws.Size, Slots: ws.Slots,
		}
		delete(wo.lost, wk.Name)
		wo.workers[wk.Name] = wk
		wo.measure.capacity = wo.measure.capacity.Add(wk.Capacity)
		wo.workerUp(wk)
	}
}

// loseHall takes a hall's workers away; their tasks surely have ended after their
// leases ran out.
func (wo *world) loseHall(hall string) {
	for _, name := range slices.Sorted(maps.Keys(wo.workers)) {
		wk := wo.workers[name]
		if wk.Hall != hall {
			continue
		}
		delete(wo.workers, name)
		wo.lost[name] = true
		wo.measure.capacity = wo.measure.capacity.Sub(wk.Capacity)
		wo.workerGone(name, false)
		wo.after(lapseTime, func() { wo.lapse(name) })
	}
}

// lapse ends what ran on a lost worker.
func (wo *world) lapse(name string) {
	if wo.lost[name] {
		wo.workerGone(name, true)
	}
	for _, jb := range wo.ordered() {
		for _, task := range tasksOn(jb, name) {
			wo.finish(jb, task, true)
		}
	}
}

// arrive submits a job.
func (wo *world) arrive(tj trace.Job) {
	jb := &job{Job: tj, submitted: wo.now, left: tj.RunTime, running: map[string]string{}, waits: true}
	wo.jobs[tj.ID] = jb
	wo.open++
	wo.waits(jb)
	if why := wo.submit(jb); why != "" {
		wo.end(jb, refused)
		return
	}
	if jb.Deadline > 0 {
		wo.after(jb.Deadline, func() { wo.expire(jb) })
	}
}

// expire ends a job that still waits at its deadline.
func (wo *world) expire(jb *job) {
	if jb.over || !jb.waits {
		return
	}
	wo.cancel(jb)
	wo.end(jb, missed)
}

// start begins all tasks of a job at their places.
func (wo *world) start(jb *job, places []owner.Place) {
	wo.waitsNoMore(jb)
	jb.broken, jb.began = false, wo.now
	jb.starts++
	if jb.placed == 0 {
		jb.placed = wo.now
		wo.measure.wait(jb, wo.now-jb.submitted)
	}
	attempt := jb.attempt
	for _, pl := range places {
		jb.running[pl.Task] = pl.Worker
		wo.measure.runs(jb, 1)
		run, fails := jb.left, wo.bad[pl.Worker]
		if fails {
			run = failTime
		}
		wo.after(orderTime+run, func() {
			if jb.attempt == attempt && jb.running[pl.Task] == pl.Worker && !wo.lost[pl.Worker] {
				wo.finish(jb, pl.Task, fails)
			}
		})
	}
}

// finish ends one task; the last one ends the attempt.
func (wo *world) finish(jb *job, task string, failed bool) {
	worker, ok := jb.running[task]
	if !ok {
		return
	}
	delete(jb.running, task)
	wo.measure.runs(jb, -1)
	wo.ended(jb, task, worker, failed)
	if failed && !jb.broken {
		jb.broken = true
		jb.failures++
		for _, other := range tasksOn(jb, "") {
			wo.after(orderTime, func() { wo.finish(jb, other, true) })
		}
	}
	if len(jb.running) == 0 {
		wo.attemptOver(jb)
	}
}

// stop ends a task that gives way to an urgent one; its work was saved before.
func (wo *world) stop(task string) {
	wo.after(2*orderTime, func() {
		for _, jb := range wo.jobs {
			if _, ok := jb.running[task]; !ok {
				continue
			}
			wo.measure.preempted++
			jb.left = max(time.Millisecond, jb.left-(wo.now-jb.began))
			for _, each := range tasksOn(jb, "") {
				worker := jb.running[each]
				delete(jb.running, each)
				wo.measure.runs(jb, -1)
				wo.ended(jb, each, worker, false)
			}
			wo.retry(jb)
			return
		}
	})
}

// attemptOver goes on with a job whose last task has ended.
func (wo *world) attemptOver(jb *job) {
	switch {
	case jb.broken && jb.Repeatable && jb.failures < maxFailures:
		wo.measure.lostWork += time.Duration(jb.Tasks) * (wo.now - jb.began)
		wo.retry(jb)
	case jb.broken:
		wo.end(jb, failed)
	case jb.Deadline > 0 && wo.now > jb.submitted+jb.Deadline:
		wo.end(jb, missed)
	default:
		wo.end(jb, ran)
	}
}

func (wo *world) retry(jb *job) {
	jb.waits = true
	wo.waits(jb)
	wo.again(jb)
}

// waits counts a job as waiting for room once it has waited longer than a job with
// room does, for its intent to be kept.
func (wo *world) waits(jb *job) {
	attempt := jb.starts
	wo.after(5*keepTime, func() {
		if jb.waits && !jb.over && !jb.counted && jb.starts == attempt {
			jb.counted = true
			wo.measure.waits(jb, 1)
		}
	})
}

// waitsNoMore ends what waits began.
func (wo *world) waitsNoMore(jb *job) {
	if jb.counted {
		wo.measure.waits(jb, -1)
	}
	jb.waits, jb.counted = false, false
}

func (wo *world) end(jb *job, how outcome) {
	wo.waitsNoMore(jb)
	jb.over = true
	wo.open--
	wo.measure.count(jb, how)
	if wo.gone != nil {
		wo.gone(jb)
	}
}

// total is the room of all tasks of a job.
func (jb *job) total() size.Size { return jb.Size.Times(int64(jb.Tasks)) }
