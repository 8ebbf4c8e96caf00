// Package memworkers is a stand-in of workers and their agents in memory: they lease
// what runs, remember ends until they are noted, follow the highest fencing token,
// and fail as a test says.
package memworkers

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/work"

	"tackbeam.example/tackbeam/internal/agent"
)

// Fault is what happens to an order to a worker.
type Fault int

// The faults. Silent orders are not carried out and not answered, Lost ones are
// carried out, Late ones are carried out after LateBy.
const (
	None Fault = iota
	Silent
	Lost
	Late
)

// LateBy is how late a late order is carried out.
const LateBy = 3 * time.Second

// Fleet is a number of workers.
type Fleet struct {
	clock clockwork.Clock

	mu      sync.Mutex
	workers map[string]*worker
	changed chan struct{}
	fault   func(worker, order string) Fault
	// run is how long a task runs.
	run   time.Duration
	crash crash
	// starts are all starts that a worker carried out, in order.
	starts  []cell.Start
	trouble []string
	// done are the tasks that have ended done, as somebody has noted.
	done map[work.Task]bool
	// losses counts, for each job, the lives that ended with its tasks.
	losses map[string]int
	limit  Limit
}

type worker struct {
	id       string
	began    time.Time
	token    uint64
	deadline time.Duration
	runs     map[work.Task]run
	fenced   map[work.Task]int
	ends     []cell.End
	seq      int
	life     life
	room     room
	// callers are the tokens of the sessions that have called this life. cut are those that have called
	// an earlier one, whose connections ended with it: true until a call has failed for that.
	callers, cut map[uint64]bool
	// met is set once a session of its own has called this life. Orders of an earlier one that are carried
	// out before that are delayed: nobody could have fenced them here. late is set during any late order.
	met, delayed, late bool
}

type run struct {
	number int
	began  time.Time
	// delayed is set for a run that began by a delayed order.
	delayed bool
}

// New returns a fleet without workers whose tasks run for a time.
func New(clock clockwork.Clock, run time.Duration) *Fleet {
	return &Fleet{
		clock: clock, workers: map[string]*worker{}, changed: make(chan struct{}), run: run,
		fault: func(string, string) Fault { return None }, done: map[work.Task]bool{}, losses: map[string]int{},
		crash: crash{by: func(cell.Start) bool { return false }, back: func(string) {}},
	}
}

// SetFault sets what happens to each order from now on.
func (fl *Fleet) SetFault(fault func(worker, order string) Fault) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.fault = fault
}

// Starts returns the starts that were carried out.
func (fl *Fleet) Starts() []cell.Start {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return slices.Clone(fl.starts)
}

// Trouble returns what should never have happened: two runs of a task at once, or a
// start of a task that has ended done.
func (fl *Fleet) Trouble() []string {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return slices.Clone(fl.trouble)
}

// Agents returns the orders to the workers.
func (fl *Fleet) Agents() *agent.Agents {
	return &agent.Agents{Hold: fl.hold, Start: fl.start, Stop: fl.stop, Pace: fl.pace}
}

// deliver carries an order out as the faults say.
func (fl *Fleet) deliver(ctx context.Context, id, order string, act func(wk *worker) error) error {
	const latency = time.Millisecond
	fl.clock.Sleep(latency)
	fl.mu.Lock()
	wk := fl.workers[id]
	fault := fl.fault(id, order)
	if wk == nil {
		fault = Silent
	}
	if err := wk.gone(); err != nil {
		fl.mu.Unlock()
		return err
	}
	var err error
	if fault == None || fault == Lost {
		fl.advance(wk)
		err = act(wk)
	}
	if fault == Late {
		fl.clock.AfterFunc(LateBy, func() {
			fl.mu.Lock()
			defer fl.mu.Unlock()
			wk := fl.workers[id] // the life that is there by now
			if wk.gone() != nil {
				return
			}
			fl.advance(wk)
			wk.late, wk.delayed = true, !wk.met
			_ = act(wk) // nobody waits for the answer any more
			wk.late, wk.delayed = false, false
		})
	}
	fl.mu.Unlock()
	if fault != None {
		<-ctx.Done()
		return agent.ErrNoAnswer
	}
	return err
}

// now is the worker's steady clock.
func (fl *Fleet) now(wk *worker) time.Duration { return fl.clock.Since(wk.began) }

// advance ends the runs whose work is done or whose lease is over.
func (fl *Fleet) advance(wk *worker) {
	for name, rn := range wk.runs {
		over := wk.began.Add(wk.deadline)
		done := rn.began.Add(fl.run)
		switch {
		case !done.After(fl.clock.Now()) && !done.After(over):
			fl.end(wk, name, cell.ResultDone)
		case fl.clock.Now().After(over):
			fl.end(wk, name, cell.ResultLeaseExpired)
		}
	}
}

func (fl *Fleet) end(wk *worker, name work.Task, how cell.Result) {
	number := wk.runs[name].number
	delete(wk.runs, name)
	wk.fenced[name] = max(wk.fenced[name], number)
	wk.seq++
	wk.ends = append(wk.ends, cell.End{Seq: wk.seq, Run: cell.Run{Task: name, Number: number}, Result: how})
	fl.wakeHolds()
}

// wakeHolds has the holds that wait look again.
func (fl *Fleet) wakeHolds() {
	close(fl.changed)
	fl.changed = make(chan struct{})
}

func (fl *Fleet) hold(ctx context.Context, to agent.Target, hd agent.Hold) (agent.Report, error) {
	over := fl.clock.After(hd.Wait)
	var asked *worker // the life that the call reached
	for {
		var report agent.Report
		var changed chan struct{}
		waits := false
		err := fl.deliver(ctx, to.Incarnation.WorkerID(), "hold", func(wk *worker) error {
			if asked == nil {
				asked = wk
			}
			if wk != asked {
				return agent.ErrNoAnswer // its connections ended with it
			}
			if err := wk.admit(hd.Token); err != nil {
				return err
			}
			wk.deadline = max(wk.deadline, hd.Deadline)
			fl.note(wk, hd.Acked)
			report = fl.report(wk)
			changed = fl.changed
			waits = len(wk.runs) > 0
			return nil
		})
		if err != nil {
			return agent.Report{}, err // a late hold may still write its report
		}
		if len(report.Ends) > 0 {
			return report, nil
		}
		var next <-chan time.Time
		if waits {
			next = fl.clock.After(fl.run / 10)
		}
		select {
		case <-over:
			return report, nil
		case <-changed:
		case <-next:
		case <-ctx.Done():
			return report, agent.ErrNoAnswer
		}
	}
}

// note forgets the ends up to a number. From then on a task that has ended done must
// not start again.
func (fl *Fleet) note(wk *worker, number int) {
	wk.ends = slices.DeleteFunc(wk.ends, func(en cell.End) bool {
		if en.Seq <= number && en.Result == cell.ResultDone && !wk.delayed {
			fl.done[en.Task] = true
		}
		return en.Seq <= number
	})
}

func (fl *Fleet) report(wk *worker) agent.Report {
	const whole = 100
	report := agent.Report{Clock: fl.now(wk), StartedAt: wk.began.UnixMilli(), Ends: slices.Clone(wk.ends)}
	for name, rn := range wk.runs {
		percent := int(whole * fl.clock.Since(rn.began) / fl.run)
		report.Runs = append(report.Runs, cell.Run{Task: name, Number: rn.number, Percent: percent})
	}
	return report
}

func (fl *Fleet) start(
	ctx context.Context, to agent.Target, token uint64, deadline time.Duration, sr cell.Start,
) (cell.Refusal, error) {
	var refusal cell.Refusal
	err := fl.deliver(ctx, to.Incarnation.WorkerID(), "start", func(wk *worker) error {
		if err := wk.admit(token); err != nil {
			return err
		}
		rn, there := wk.runs[sr.Task]
		switch {
		case there && rn.number == sr.Run:
			return nil
		case deadline <= fl.now(wk):
			refusal = cell.RefusedLate
			return nil
		case sr.Run <= wk.fenced[sr.Task]:
			refusal = cell.RefusedStale
			return nil
		}
		fl.check(wk, sr)
		fl.checkRoom(wk, sr)
		wk.deadline = max(wk.deadline, deadline)
		wk.runs[sr.Task] = run{sr.Run, fl.clock.Now(), wk.delayed}
		fl.checkLimit(sr)
		fl.clock.AfterFunc(fl.run, func() {
			fl.mu.Lock()
			defer fl.mu.Unlock()
			fl.wakeHolds() // the run has ended
		})
		fl.starts = append(fl.starts, sr)
		if fl.crash.by(sr) {
			fl.clock.AfterFunc(crashAfter, func() { fl.Crash(to.Incarnation.WorkerID()) })
		}
		return nil
	})
	if errors.Is(err, ErrCut) {
		fl.lose(sr)
	}
	return refusal, err
}

func (fl *Fleet) check(wk *worker, sr cell.Start) {
	if wk.delayed {
		return // what is done about the run is checked with the starts that follow
	}
	if fl.done[sr.Task] {
		fl.trouble = append(fl.trouble, fl.tell(wk, sr)+" though its end was noted")
	}
	for _, other := range fl.workers {
		fl.advance(other)
		if rn, there := other.runs[sr.Task]; there && (!rn.delayed || other.met) {
			fl.trouble = append(fl.trouble, fl.tell(wk, sr)+" while it runs on "+other.id)
		}
	}
}

// tell tells of a start.
func (fl *Fleet) tell(wk *worker, sr cell.Start) string {
	return fmt.Sprintf("%s starts on %s at %s as run %d, late: %v,", sr.Task, wk.id, fl.clock.Now().Format("05.000"), sr.Run, wk.late)
}

func (fl *Fleet) stop(ctx context.Context, to agent.Target, token uint64, sp cell.Stop) error {
	return fl.deliver(ctx, to.Incarnation.WorkerID(), "stop", func(wk *worker) error {
		if err := wk.admit(token); err != nil {
			return err
		}
		wk.fenced[sp.Task] = max(wk.fenced[sp.Task], sp.Run)
		if rn, there := wk.runs[sp.Task]; there && rn.number <= sp.Run {
			fl.end(wk, sp.Task, cell.ResultStopped)
		}
		return nil
	})
}

func (fl *Fleet) pace(ctx context.Context, to agent.Target, token uint64, _ cell.Pace) error {
	return fl.deliver(ctx, to.Incarnation.WorkerID(), "pace", func(wk *worker) error { return wk.admit(token) })
}
