// Package memworkers implements an in-memory fake of workers and their agents. Their runs end with the lease, they keep
// ends until these are acknowledged, refuse orders with a lower fencing token than the highest seen, and have injected
// faults.
package memworkers

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/work"

	"tackbeam.example/tackbeam/internal/agent"
)

// Fault is a fault injected into an order to a worker.
type Fault int

// The faults; none of these orders is answered. With RequestLost, an order is not executed; with ResponseLost, it is
// executed; with Delayed, it is executed after DelayedBy.
const (
	None Fault = iota
	RequestLost
	ResponseLost
	Delayed
)

// DelayedBy is the delay of orders with the fault Delayed, unless SetDelay sets another one.
const DelayedBy = 3 * time.Second

// Fleet is a set of workers.
type Fleet struct {
	clock clockwork.Clock
	log   logr.Logger

	mu      sync.Mutex
	workers map[string]*worker
	changed chan struct{}
	fault   func(worker, order string) Fault
	// run is the run time of each task, slow the factors by which it is longer on some workers.
	run   time.Duration
	slow  map[string]int
	crash crashRule
	// behavior and refusal, if not nil, decide how runs behave and which starts are refused.
	behavior func(worker string, sr cell.Start) Behavior
	refusal  func(worker string, sr cell.Start) cell.Refusal
	gangs    map[gangKey]*gang
	// delay is the delay of orders with the fault Delayed.
	delay time.Duration
	// gangTimeout is how long the members of a gang wait for the others.
	gangTimeout time.Duration
	// onStart, if not nil, is called with each executed start and the fencing token that it carried.
	onStart func(token uint64, sr cell.Start)
	// starts are all executed starts in order.
	starts []cell.Start
	// startLog describes each start in starts, with its time.
	startLog   []string
	violations []string
	// done are the tasks whose successful end was acknowledged, latestStart is when each task was last started.
	done        map[work.Task]bool
	latestStart map[work.Task]time.Time
	// lostRuns counts, for each job, the runs that were lost because an incarnation ended.
	lostRuns map[string]int
	limit    Limit
	// maxEnds is the maximum number of ends in a report.
	maxEnds int
	// mostEnds is the highest number of ends that a worker had to report at once.
	mostEnds int
	// stopTime is how long workers take to stop a run.
	stopTime time.Duration
}

// defaultMaxEnds is the maximum number of ends in a report of a platform's worker.
const defaultMaxEnds = 500

type worker struct {
	id        string
	startedAt time.Time
	// clockRate is how fast the worker's monotonic clock runs.
	clockRate float64
	token     uint64
	deadline  time.Duration
	runs      map[work.Task]run
	fenced    map[work.Task]int
	ends      []cell.End
	// endedAt is when the runs ended of which the worker has the ends, by sequence number; lapsedAt is when the lease last
	// expired.
	endedAt  map[int]time.Time
	lapsedAt time.Time
	// gangEnds has the gangs of the ends of members, by sequence number.
	gangEnds map[int]*gang
	seq      int
	state    workerState
	capacity taskCapacity
	// sessions are the fencing tokens of the sessions that have called this incarnation. closedSessions are those
	// that called an earlier one, whose connections closed with it; the value is true until a call has failed for
	// that reason.
	sessions, closedSessions map[uint64]bool
	// contacted is set once a session that called no earlier incarnation has called this one. delayed is set while
	// an order sent to an earlier incarnation is executed before that: no session could have fenced it here.
	// executingDelayed is set while any order with the fault Delayed is executed.
	contacted, delayed, executingDelayed bool
}

type run struct {
	number    int
	startedAt time.Time
	takes     time.Duration
	// hangsAfter is how long the run works until it makes no more progress, 0 if it does not hang.
	hangsAfter time.Duration
	fails      bool
	// gang is nil if the task belongs to none.
	gang *gang
	// delayed is set for a run that was started by such an order (see worker.delayed).
	delayed bool
	// stopping is set while the worker stops the run.
	stopping bool
}

// New returns a fleet without workers. Each task runs for the given time.
func New(clock clockwork.Clock, run time.Duration) *Fleet {
	return &Fleet{
		clock: clock, log: logr.Discard(), workers: map[string]*worker{}, changed: make(chan struct{}), run: run, slow: map[string]int{},
		fault: func(string, string) Fault { return None }, done: map[work.Task]bool{}, latestStart: map[work.Task]time.Time{}, lostRuns: map[string]int{},
		gangs: map[gangKey]*gang{}, gangTimeout: defaultGangTimeout,
		crash: crashRule{triggers: func(cell.Start) bool { return false }, onRestart: func(string) {}}, maxEnds: defaultMaxEnds, delay: DelayedBy,
	}
}

// SetMaxEnds sets the maximum number of ends in a report. Further ones are reported once some have been acknowledged.
func (fl *Fleet) SetMaxEnds(count int) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.maxEnds = count
}

// SetStopTime sets how long workers take to stop a run. Their reports omit the run meanwhile, although it still runs.
func (fl *Fleet) SetStopTime(stopTime time.Duration) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.stopTime = stopTime
}

// SetDelay sets the delay of orders with the fault Delayed.
func (fl *Fleet) SetDelay(delay time.Duration) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.delay = delay
}

// SetLog sets the logger of what the workers carry out. It is called before the first call to a worker.
func (fl *Fleet) SetLog(log logr.Logger) { fl.log = log }

// SetFault sets the function that decides on the fault of each order.
func (fl *Fleet) SetFault(fault func(worker, order string) Fault) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.fault = fault
}

// SetOnStart sets a function that is called, with the fleet's lock, with each executed start and its fencing token.
func (fl *Fleet) SetOnStart(onStart func(token uint64, sr cell.Start)) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.onStart = onStart
}

// Starts returns the executed starts in order.
func (fl *Fleet) Starts() []cell.Start {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return slices.Clone(fl.starts)
}

// Runs reports whether any worker runs a task.
func (fl *Fleet) Runs(task work.Task) bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	for _, wk := range fl.workers {
		fl.advance(wk)
		if _, found := wk.runs[task]; found {
			return true
		}
	}
	return false
}

// Stopping reports whether a worker is stopping a run of a task.
func (fl *Fleet) Stopping(task work.Task) bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	for _, wk := range fl.workers {
		if wk.runs[task].stopping {
			return true
		}
	}
	return false
}

// StartLog describes the executed starts of a job's tasks in order.
func (fl *Fleet) StartLog(job string) []string {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	var log []string
	for n, sr := range fl.starts {
		if sr.Task.Job == job {
			log = append(log, fl.startLog[n])
		}
	}
	return log
}

// MostEnds returns the highest number of ends that a worker had to report at once.
func (fl *Fleet) MostEnds() int {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.mostEnds
}

// Violations returns the violated invariants: two concurrent runs of a task, a start of a task whose successful end was
// acknowledged or is later, or a start over a limit or a worker's capacity.
func (fl *Fleet) Violations() []string {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return slices.Clone(fl.violations)
}

// Agents returns the interface through which a scheduler sends orders to the workers.
func (fl *Fleet) Agents() *agent.Agents {
	return &agent.Agents{Hold: fl.hold, Start: fl.start, Stop: fl.stop, Pace: fl.pace}
}

// deliver executes an order subject to the injected faults.
func (fl *Fleet) deliver(ctx context.Context, id, order string, act func(wk *worker) error) error {
	const latency = time.Millisecond
	fl.clock.Sleep(latency)
	fl.mu.Lock()
	wk := fl.workers[id]
	fault := fl.fault(id, order)
	if wk == nil {
		fault = RequestLost
	}
	if err := wk.callError(); err != nil {
		fl.mu.Unlock()
		return err
	}
	var err error
	if fault == None || fault == ResponseLost {
		fl.advance(wk)
		err = act(wk)
	}
	if fault != None || err != nil {
		fl.log.Info("Order fails.", "worker", id, "order", order, "fault", fault, "error", err)
	}
	if fault == Delayed {
		fl.clock.AfterFunc(fl.delay, func() {
			fl.mu.Lock()
			defer fl.mu.Unlock()
			wk := fl.workers[id] // the current incarnation
			if wk.callError() != nil {
				return
			}
			fl.advance(wk)
			wk.executingDelayed, wk.delayed = true, !wk.contacted
			err := act(wk) // the caller no longer waits for the answer
			fl.log.Info("Executed delayed order.", "worker", id, "born", wk.born(), "order", order, "contacted", wk.contacted, "error", err)
			wk.executingDelayed, wk.delayed = false, false
		})
	}
	fl.mu.Unlock()
	if fault != None {
		<-ctx.Done()
		return agent.ErrNoAnswer
	}
	return err
}

// now returns the time of the worker's monotonic clock.
func (fl *Fleet) now(wk *worker) time.Duration {
	return time.Duration(float64(fl.clock.Since(wk.startedAt)) * wk.clockRate)
}

// SetClockRate sets how fast a worker's monotonic clock runs; 1 is the true rate. It is called before the first call to the
// worker.
func (fl *Fleet) SetClockRate(id string, rate float64) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.workers[id].clockRate = rate
}

// advance ends the runs that are done or whose lease has expired.
func (fl *Fleet) advance(wk *worker) {
	leaseEnd := wk.startedAt.Add(time.Duration(float64(wk.deadline) / wk.clockRate))
	if fl.clock.Now().After(leaseEnd) {
		wk.lapsedAt = leaseEnd
	}
	for name, rn := range wk.runs {
		done := rn.startedAt.Add(rn.takes)
		switch {
		case rn.gang == nil && rn.hangsAfter == 0 && !rn.stopping && !done.After(fl.clock.Now()) && !done.After(leaseEnd):
			fl.end(wk, name, rn.result())
		case fl.clock.Now().After(leaseEnd):
			fl.end(wk, name, cell.ResultLeaseExpired)
		}
	}
}

// result is how a run without a gang ends by itself.
func (rn run) result() cell.Result {
	if rn.fails {
		return cell.ResultFailed
	}
	return cell.ResultDone
}

func (fl *Fleet) end(wk *worker, name work.Task, result cell.Result) {
	rn := wk.runs[name]
	number := rn.number
	delete(wk.runs, name)
	defer fl.breakGang(rn.gang)
	wk.fenced[name] = max(wk.fenced[name], number)
	wk.seq++
	wk.endedAt[wk.seq] = fl.clock.Now()
	if result == cell.ResultDone && rn.gang == nil {
		wk.endedAt[wk.seq] = rn.startedAt.Add(rn.takes) // advance may be called later
	}
	if rn.gang != nil {
		wk.gangEnds[wk.seq] = rn.gang
	}
	wk.ends = append(wk.ends, cell.End{Seq: wk.seq, Run: cell.Run{Task: name, Number: number}, Result: result})
	fl.mostEnds = max(fl.mostEnds, len(wk.ends))
	fl.log.Info("Run ended.", "worker", wk.id, "born", wk.born(), "task", name.String(), "run", number, "seq", wk.seq, "result", result)
	fl.wakeHolds()
}

// wakeHolds makes waiting holds check for changes.
func (fl *Fleet) wakeHolds() {
	close(fl.changed)
	fl.changed = make(chan struct{})
}

// maxLease is the longest lease that a worker accepts, by its own clock. A longer one is cut down to it.
const maxLease = 6 * time.Second

// extend extends the lease of everything that runs. It is never shortened.
func (wk *worker) extend(deadline, now time.Duration) {
	wk.deadline = max(wk.deadline, min(deadline, now+maxLease))
}

func (fl *Fleet) hold(ctx context.Context, to agent.Target, hd agent.Hold) (agent.Report, error) {
	timeout := fl.clock.After(hd.Wait)
	var reached *worker // the incarnation that the call reached first
	for {
		var report agent.Report
		var changed chan struct{}
		waits := false
		err := fl.deliver(ctx, to.Incarnation.WorkerID(), "hold", func(wk *worker) error {
			if reached == nil {
				reached = wk
			}
			if wk != reached {
				return agent.ErrNoAnswer // the connection closed when that incarnation ended
			}
			if err := wk.admit(hd.Token); err != nil {
				return err
			}
			wk.extend(hd.Deadline, fl.now(wk))
			fl.ackEnds(wk, hd.Acked)
			report = fl.report(wk)
			changed = fl.changed
			waits = len(wk.runs) > 0
			return nil
		})
		if err != nil {
			return agent.Report{}, err // not the variable report: a delayed hold may still write it
		}
		if len(report.Ends) > 0 {
			return report, nil
		}
		var next <-chan time.Time
		if waits {
			next = fl.clock.After(fl.run / 10)
		}
		select {
		case <-timeout:
			return report, nil
		case <-changed:
		case <-next:
		case <-ctx.Done():
			return report, agent.ErrNoAnswer
		}
	}
}

// ackEnds drops the ends up to a sequence number. After that, a task that ended successfully must not start again.
func (fl *Fleet) ackEnds(wk *worker, number int) {
	wk.ends = slices.DeleteFunc(wk.ends, func(en cell.End) bool {
		if en.Seq <= number && en.Result == cell.ResultDone && !wk.delayed {
			fl.checkRestarted(wk, en)
			fl.done[en.Task] = true
			if gg := wk.gangEnds[en.Seq]; gg != nil { // one such end counts for all members
				for name := range gg.members {
					fl.done[name] = true
				}
			}
		}
		if en.Seq <= number {
			fl.log.Info("End acknowledged.", "worker", wk.id, "born", wk.born(), "task", en.Task.String(), "run", en.Number, "seq", en.Seq,
				"upTo", number, "token", wk.token, "delayed", wk.executingDelayed, "contacted", wk.contacted)
		}
		return en.Seq <= number
	})
}

// checkRestarted records a violation if a task was started again after the run whose successful end is acknowledged now.
// An end from before the worker's lease expired does not count.
func (fl *Fleet) checkRestarted(wk *worker, en cell.End) {
	ended := wk.endedAt[en.Seq]
	if fl.latestStart[en.Task].After(ended) && !wk.lapsedAt.After(ended) {
		fl.violations = append(fl.violations, fmt.Sprintf("%s was started at %s although its run %d had ended on %s at %s, which is acknowledged now",
			en.Task, fl.latestStart[en.Task].Format("05.000"), en.Number, wk.id, ended.Format("05.000")))
	}
}

func (fl *Fleet) report(wk *worker) agent.Report {
	const fullPercent = 100
	report := agent.Report{Clock: fl.now(wk), StartedAt: wk.startedAt.UnixMilli(), Ends: slices.Clone(wk.ends[:min(len(wk.ends), fl.maxEnds)])}
	report.MoreEnds = len(report.Ends) == fl.maxEnds
	for name, rn := range wk.runs {
		if rn.stopping {
			continue
		}
		percent := int(fullPercent * min(fl.workedFor(rn), rn.takes) / rn.takes)
		report.Runs = append(report.Runs, cell.Run{Task: name, Number: rn.number, Percent: percent})
	}
	return report
}

func (fl *Fleet) start(
	ctx context.Context, to agent.Target, token uint64, deadline time.Duration, sr cell.Start,
) (agent.StartAnswer, error) {
	var answer agent.StartAnswer
	err := fl.deliver(ctx, to.Incarnation.WorkerID(), "start", func(wk *worker) error {
		refusal := fl.refusalOf(wk.id, sr)
		if refusal == cell.RefusedUnhealthy {
			answer.Refusal = refusal
			return nil
		}
		if err := wk.admit(token); err != nil {
			return err
		}
		answer.Clock = fl.now(wk)
		rn, found := wk.runs[sr.Task]
		switch {
		case found && rn.number == sr.Run && !rn.stopping:
			return nil
		case deadline <= fl.now(wk):
			answer.Refusal = cell.RefusedLate
			return nil
		case sr.Run <= wk.fenced[sr.Task]:
			answer.Refusal = cell.RefusedStale
			wk.extend(deadline, fl.now(wk))
			return nil
		case refusal != "":
			answer.Refusal = refusal
			if refusal == cell.RefusedNoCapacity {
				wk.extend(deadline, fl.now(wk))
			}
			return nil
		}
		fl.checkDuplicate(wk, sr)
		fl.checkCapacity(wk, sr)
		wk.extend(deadline, fl.now(wk))
		behavior := fl.behaviorOf(wk.id, sr)
		wk.runs[sr.Task] = run{number: sr.Run, startedAt: fl.clock.Now(), takes: behavior.Takes, hangsAfter: behavior.HangsAfter, fails: behavior.Fails, delayed: wk.delayed}
		fl.log.Info("Run started.", "worker", wk.id, "born", wk.born(), "task", sr.Task.String(), "run", sr.Run, "for", sr.Worker, "token", token,
			"delayed", wk.executingDelayed, "contacted", wk.contacted)
		if behavior.Gang > 0 {
			fl.joinGang(wk, sr, behavior)
		}
		fl.checkLimit(sr)
		fl.clock.AfterFunc(behavior.Takes, func() {
			fl.mu.Lock()
			defer fl.mu.Unlock()
			fl.wakeHolds() // the run is done
		})
		if !wk.delayed {
			fl.latestStart[sr.Task] = fl.clock.Now()
		}
		if fl.onStart != nil {
			fl.onStart(token, sr)
		}
		fl.starts = append(fl.starts, sr)
		fl.startLog = append(fl.startLog, fl.describeStart(wk, sr))
		if fl.crash.triggers(sr) {
			fl.clock.AfterFunc(crashDelay, func() { fl.Crash(to.Incarnation.WorkerID()) })
		}
		return nil
	})
	if errors.Is(err, ErrConnectionClosed) {
		fl.countLostStart(sr)
	}
	if err != nil {
		return agent.StartAnswer{}, err // not the variable answer: a delayed start may still write it
	}
	return answer, nil
}

func (fl *Fleet) checkDuplicate(wk *worker, sr cell.Start) {
	if wk.delayed {
		return // the next starts of the task are checked instead
	}
	if fl.done[sr.Task] {
		fl.violations = append(fl.violations, fl.describeStart(wk, sr)+" although its end was acknowledged")
	}
	for _, other := range fl.workers {
		fl.advance(other)
		if rn, found := other.runs[sr.Task]; found && (!rn.delayed || other.contacted) {
			fl.violations = append(fl.violations, fmt.Sprintf("%s while it runs on %s as run %d from %s, being stopped: %v",
				fl.describeStart(wk, sr), other.id, rn.number, rn.startedAt.Format("05.000"), rn.stopping))
		}
	}
}

// describeStart describes a start for a violation.
func (fl *Fleet) describeStart(wk *worker, sr cell.Start) string {
	return fmt.Sprintf("%s starts on %s at %s as run %d, delayed: %v,", sr.Task, wk.id, fl.clock.Now().Format("05.000"), sr.Run, wk.executingDelayed)
}

func (fl *Fleet) stop(ctx context.Context, to agent.Target, token uint64, sp cell.Stop) error {
	return fl.deliver(ctx, to.Incarnation.WorkerID(), "stop", func(wk *worker) error {
		if err := wk.admit(token); err != nil {
			return err
		}
		wk.fenced[sp.Task] = max(wk.fenced[sp.Task], sp.Run)
		if rn, found := wk.runs[sp.Task]; found && rn.number <= sp.Run && !rn.stopping {
			fl.beginStop(wk, sp.Task)
		}
		return nil
	})
}

// beginStop ends a run after the time that a stop takes.
func (fl *Fleet) beginStop(wk *worker, name work.Task) {
	if fl.stopTime == 0 {
		fl.end(wk, name, cell.ResultStopped)
		return
	}
	rn := wk.runs[name]
	rn.stopping = true
	wk.runs[name] = rn
	fl.log.Info("Run is being stopped.", "worker", wk.id, "born", wk.born(), "task", name.String(), "run", rn.number)
	fl.clock.AfterFunc(fl.stopTime, func() {
		fl.mu.Lock()
		defer fl.mu.Unlock()
		fl.advance(wk) // the lease may have expired
		if one, found := wk.runs[name]; found && one.number == rn.number {
			fl.end(wk, name, cell.ResultStopped)
		}
	})
}

func (fl *Fleet) pace(ctx context.Context, to agent.Target, token uint64, _ cell.Pace) error {
	return fl.deliver(ctx, to.Incarnation.WorkerID(), "pace", func(wk *worker) error { return wk.admit(token) })
}
