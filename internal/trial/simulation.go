// Package trial simulates a workload trace with a scheduling policy in virtual time and measures the results. It does
// not model networks or nodes: tasks run as long as the trace says, and orders take a fixed time.
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

// Fixed times and limits of a trial.
const (
	// journalLatency is the time that the journal takes to store an intent.
	journalLatency = 20 * time.Millisecond
	// orderLatency is the time that an order to a worker takes.
	orderLatency = 2 * time.Millisecond
	// failureTime is the time after which tasks and lookups fail on a failing worker.
	failureTime = 10 * time.Millisecond
	// leaseExpiryTime is the time after a worker's loss when its lease has surely expired and all its tasks have ended.
	leaseExpiryTime = 35 * time.Second
	// tickInterval is the period of the decider's ticks.
	tickInterval = 25 * time.Millisecond
	// maxFailures is the number of failed attempts after which a repeatable job fails.
	maxFailures = 3
)

// job is a job of the trace and its state.
type job struct {
	trace.Job
	submitted     time.Duration
	placed        time.Duration
	remaining     time.Duration // run time after the last checkpoint
	startedAt     time.Duration
	attempt       int
	failures      int
	attemptFailed bool
	running       map[string]string // worker by task
	ended         bool
	waiting       bool
	counted       bool // in the metrics as waiting
	starts        int
}

// lookup is a lookup that has not ended.
type lookup struct {
	id          string
	workspace   string
	submittedAt time.Duration
	deadline    time.Duration
	run         time.Duration
	worker      string
}

// decider makes the scheduling decisions. The simulation calls its functions; it calls the simulation's start, stop,
// send and shed.
type decider struct {
	workerUp   func(wk ledger.Worker)
	workerGone func(name string, lost bool)
	limits     func(lm trace.Limits)
	// submit queues a job. It returns why the job can never run, or "".
	submit func(jb *job) string
	cancel func(jb *job)
	// requeue queues a job again after an attempt.
	requeue      func(jb *job)
	taskEnded    func(jb *job, task, worker string, failed bool)
	removed      func(jb *job)
	submitLookup func(lk *lookup)
	lookupDone   func(lk *lookup, failed bool)
	tick         func()
}

// simulation is the state of the simulated cluster.
type simulation struct {
	clock
	decider
	trace    *trace.Trace
	workers  map[string]ledger.Worker
	failing  map[string]bool
	lost     map[string]bool
	jobs     map[string]*job
	lookups  map[string]*lookup
	openJobs int
	metrics  *metrics
}

// run simulates the trace until its span is over and every job has ended, but at most for twice the span.
func (sim *simulation) run() {
	head := sim.trace.Header()
	for _, ev := range sim.trace.Events() {
		sim.at(ev.At, func() { sim.applyEvent(ev) })
	}
	sim.at(0, sim.runTicks)
	for {
		at, act, ok := sim.next()
		if !ok || at > 2*head.Span || at > head.Span && sim.openJobs == 0 {
			break
		}
		sim.metrics.advance(sim, at)
		sim.now = at
		act()
	}
	for _, jb := range sim.jobs {
		if !jb.ended {
			sim.end(jb, unfinished)
		}
	}
}

func (sim *simulation) runTicks() {
	sim.tick()
	sim.after(tickInterval, sim.runTicks)
}

// applyEvent applies an event of the trace.
func (sim *simulation) applyEvent(ev trace.Event) {
	switch {
	case ev.Workers != nil:
		sim.addWorkers(*ev.Workers)
	case ev.HallLost != nil:
		sim.loseHall(ev.HallLost.Hall)
	case ev.Limits != nil:
		sim.metrics.weight(ev.Limits.Workspace, ev.Limits.Weight)
		sim.limits(*ev.Limits)
	case ev.Job != nil:
		sim.submitJob(*ev.Job)
	case ev.Cancel != nil:
		if jb := sim.jobs[ev.Cancel.Job]; jb != nil && !jb.ended && jb.waiting {
			sim.cancel(jb)
			sim.end(jb, cancelled)
		}
	case ev.Lookups != nil:
		st := &stream{Lookups: *ev.Lookups, rd: rand.New(rand.NewPCG(ev.Lookups.Seed, 1)), until: sim.now + ev.Lookups.Duration}
		sim.nextLookup(st)
	case ev.Failing != nil:
		for i := range ev.Failing.Count {
			sim.failing[workerName(ev.Failing.Hall, i)] = !ev.Failing.Healthy
		}
	}
}

func workerName(hall string, i int) string { return fmt.Sprintf("%s-w%03d", hall, i+1) }

func (sim *simulation) addWorkers(ws trace.Workers) {
	for i := range ws.Count {
		wk := ledger.Worker{
			Name: workerName(ws.Hall, i), Hall: ws.Hall, Rack: fmt.Sprintf("r%02d", i/max(1, ws.Rack)+1),
			Capacity: ws.Size, Slots: ws.Slots,
		}
		delete(sim.lost, wk.Name)
		sim.workers[wk.Name] = wk
		sim.metrics.capacity = sim.metrics.capacity.Add(wk.Capacity)
		sim.workerUp(wk)
	}
}

// loseHall removes a hall's workers. Their tasks end when their leases have surely expired.
func (sim *simulation) loseHall(hall string) {
	for _, name := range slices.Sorted(maps.Keys(sim.workers)) {
		wk := sim.workers[name]
		if wk.Hall != hall {
			continue
		}
		delete(sim.workers, name)
		sim.lost[name] = true
		sim.metrics.capacity = sim.metrics.capacity.Sub(wk.Capacity)
		sim.workerGone(name, false)
		sim.after(leaseExpiryTime, func() { sim.expireLease(name) })
	}
}

// expireLease ends the tasks of a lost worker.
func (sim *simulation) expireLease(name string) {
	if sim.lost[name] {
		sim.workerGone(name, true)
	}
	for _, jb := range sim.jobsInOrder() {
		for _, task := range tasksOn(jb, name) {
			sim.finish(jb, task, true)
		}
	}
}

func (sim *simulation) submitJob(tj trace.Job) {
	jb := &job{Job: tj, submitted: sim.now, remaining: tj.RunTime, running: map[string]string{}, waiting: true}
	sim.jobs[tj.ID] = jb
	sim.openJobs++
	sim.startWaiting(jb)
	if reason := sim.submit(jb); reason != "" {
		sim.end(jb, refused)
		return
	}
	if jb.Deadline > 0 {
		sim.after(jb.Deadline, func() { sim.expire(jb) })
	}
}

// expire ends a job that is still waiting at its deadline.
func (sim *simulation) expire(jb *job) {
	if jb.ended || !jb.waiting {
		return
	}
	sim.cancel(jb)
	sim.end(jb, missed)
}

// start starts all tasks of a job on their workers.
func (sim *simulation) start(jb *job, places []owner.Place) {
	sim.stopWaiting(jb)
	jb.attemptFailed, jb.startedAt = false, sim.now
	jb.starts++
	if jb.placed == 0 {
		jb.placed = sim.now
		sim.metrics.jobWait(jb, sim.now-jb.submitted)
	}
	attempt := jb.attempt
	for _, pl := range places {
		jb.running[pl.Task] = pl.Worker
		sim.metrics.addRunning(jb, 1)
		run, fails := jb.remaining, sim.failing[pl.Worker]
		if fails {
			run = failureTime
		}
		sim.after(orderLatency+run, func() {
			if jb.attempt == attempt && jb.running[pl.Task] == pl.Worker && !sim.lost[pl.Worker] {
				sim.finish(jb, pl.Task, fails)
			}
		})
	}
}

// finish ends a task. A failure also ends the job's other tasks; the last task ends the attempt.
func (sim *simulation) finish(jb *job, task string, failed bool) {
	worker, ok := jb.running[task]
	if !ok {
		return
	}
	delete(jb.running, task)
	sim.metrics.addRunning(jb, -1)
	sim.taskEnded(jb, task, worker, failed)
	if failed && !jb.attemptFailed {
		jb.attemptFailed = true
		jb.failures++
		for _, other := range tasksOn(jb, "") {
			sim.after(orderLatency, func() { sim.finish(jb, other, true) })
		}
	}
	if len(jb.running) == 0 {
		sim.endAttempt(jb)
	}
}

// stop preempts a task, and with it the whole job, in favor of an urgent one. The progress was saved by a checkpoint.
func (sim *simulation) stop(task string) {
	sim.after(2*orderLatency, func() {
		for _, jb := range sim.jobs {
			if _, ok := jb.running[task]; !ok {
				continue
			}
			sim.metrics.preempted++
			jb.remaining = max(time.Millisecond, jb.remaining-(sim.now-jb.startedAt))
			for _, each := range tasksOn(jb, "") {
				worker := jb.running[each]
				delete(jb.running, each)
				sim.metrics.addRunning(jb, -1)
				sim.taskEnded(jb, each, worker, false)
			}
			sim.retry(jb)
			return
		}
	})
}

// endAttempt retries or ends a job whose last task has ended.
func (sim *simulation) endAttempt(jb *job) {
	switch {
	case jb.attemptFailed && jb.Repeatable && jb.failures < maxFailures:
		sim.metrics.lostWork += time.Duration(jb.Tasks) * (sim.now - jb.startedAt)
		sim.retry(jb)
	case jb.attemptFailed:
		sim.end(jb, failed)
	case jb.Deadline > 0 && sim.now > jb.submitted+jb.Deadline:
		sim.end(jb, missed)
	default:
		sim.end(jb, ran)
	}
}

func (sim *simulation) retry(jb *job) {
	jb.waiting = true
	sim.startWaiting(jb)
	sim.requeue(jb)
}

// startWaiting counts a job as waiting for resources once it has waited longer than a placed job waits for its intent
// to be stored.
func (sim *simulation) startWaiting(jb *job) {
	attempt := jb.starts
	sim.after(5*journalLatency, func() {
		if jb.waiting && !jb.ended && !jb.counted && jb.starts == attempt {
			jb.counted = true
			sim.metrics.addWaiting(jb, 1)
		}
	})
}

// stopWaiting stops counting a job as waiting.
func (sim *simulation) stopWaiting(jb *job) {
	if jb.counted {
		sim.metrics.addWaiting(jb, -1)
	}
	jb.waiting, jb.counted = false, false
}

func (sim *simulation) end(jb *job, result outcome) {
	sim.stopWaiting(jb)
	jb.ended = true
	sim.openJobs--
	sim.metrics.count(jb, result)
	if sim.removed != nil {
		sim.removed(jb)
	}
}

// total returns the resources of all tasks of a job.
func (jb *job) total() size.Size { return jb.Size.Times(int64(jb.Tasks)) }
