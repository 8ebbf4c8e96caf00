package planner_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/incarnation"
	"tackbeam.example/policy/work"

	"tackbeam.example/tackbeam/internal/agent"
	"tackbeam.example/tackbeam/internal/kv"
	"tackbeam.example/tackbeam/internal/standin/memworkers"
)

// lateAckBed is a testbed with one worker that restarts under its id. The first acknowledgement of ends is late: it
// arrives when the next incarnation has ended a run. Until then that incarnation answers no hold.
type lateAckBed struct {
	*testbed
	// delay is how long the acknowledgement takes, onAck is called when it is sent.
	delay time.Duration
	onAck func()
	// delayStart, if not nil, returns how long an attempt of a start takes. Stops take delayStop.
	delayStart func(sr cell.Start) time.Duration
	delayStop  time.Duration

	ackSent, silent, stopFenced atomic.Bool
}

func newLateAckBed(t *testing.T, run, delay time.Duration) *lateAckBed {
	lb := &lateAckBed{testbed: newTestbed(t, run, "w1"), delay: delay, onAck: func() {}}
	lb.wrapStore = func(st *kv.Store) *kv.Store { return st }
	fleet := lb.fleet.Agents()
	lb.agents = &agent.Agents{Hold: lb.wrapHold(fleet.Hold), Start: lb.wrapStart(fleet.Start), Pace: fleet.Pace}
	lb.agents.Stop = func(ctx context.Context, to agent.Target, token uint64, sp cell.Stop) error {
		_, err := deliverLate(ctx, lb.testbed, lb.delayStop, func(ctx context.Context) (struct{}, error) {
			return struct{}{}, fleet.Stop(ctx, to, token, sp)
		})
		if errors.Is(err, agent.ErrFenced) {
			lb.stopFenced.Store(true)
		}
		return err
	}
	return lb
}

func (lb *lateAckBed) wrapHold(hold holdFunc) holdFunc {
	return func(ctx context.Context, to agent.Target, hd agent.Hold) (agent.Report, error) {
		if hd.Acked > 0 && lb.ackSent.CompareAndSwap(false, true) {
			lb.onAck()
			return deliverLate(ctx, lb.testbed, lb.delay, func(ctx context.Context) (agent.Report, error) { return hold(ctx, to, hd) })
		}
		if lb.silent.Load() {
			<-ctx.Done()
			return agent.Report{}, agent.ErrNoAnswer
		}
		return hold(ctx, to, hd)
	}
}

type startFunc = func(ctx context.Context, to agent.Target, token uint64, deadline time.Duration, sr cell.Start) (agent.StartAnswer, error)

func (lb *lateAckBed) wrapStart(start startFunc) startFunc {
	return func(ctx context.Context, to agent.Target, token uint64, deadline time.Duration, sr cell.Start) (agent.StartAnswer, error) {
		delay := time.Duration(0)
		if lb.delayStart != nil {
			delay = lb.delayStart(sr)
		}
		return deliverLate(ctx, lb.testbed, delay, func(ctx context.Context) (agent.StartAnswer, error) {
			return start(ctx, to, token, deadline, sr)
		})
	}
}

// deliverLate delivers a call after a delay, even if its caller does not wait that long. A call on a connection of an
// earlier incarnation fails, and is delivered on another one.
func deliverLate[T any](ctx context.Context, bd *testbed, delay time.Duration, call func(ctx context.Context) (T, error)) (T, error) {
	const timeout = time.Second
	type answer struct {
		value T
		err   error
	}
	answers := make(chan answer, 1)
	go func() {
		time.Sleep(delay)
		late, cancel := context.WithTimeout(bd.t.Context(), timeout)
		defer cancel()
		value, err := call(late)
		if errors.Is(err, memworkers.ErrConnectionClosed) {
			value, err = call(late)
		}
		answers <- answer{value, err}
	}()
	select {
	case got := <-answers:
		return got.value, got.err
	case <-ctx.Done():
		var none T
		return none, agent.ErrNoAnswer
	}
}

// restartSilently restarts the worker. Its next incarnation answers no hold for some time.
func (lb *lateAckBed) restartSilently(silence time.Duration) {
	lb.silent.Store(true)
	lb.clock.AfterFunc(silence, func() { lb.silent.Store(false) })
	lb.restart(0, "w1")
}

// awaitEnd returns a function that waits until the planner has read the end of a task's run.
func (lb *lateAckBed) awaitEnd(task string) func() {
	ended := make(chan struct{})
	var once atomic.Bool
	lb.logged = func(line string) {
		if strings.Contains(line, "Run has ended.") && strings.Contains(line, task) && once.CompareAndSwap(false, true) {
			close(ended)
		}
	}
	return func() { <-ended }
}

// checkRuns waits until the jobs have succeeded, and checks that no task has run again.
func (lb *lateAckBed) checkRuns(jobs ...string) {
	lb.t.Helper()
	for _, id := range jobs {
		lb.await(id, cell.Succeeded, 10*time.Second)
	}
	runs := map[work.Task]int{}
	for _, sr := range lb.fleet.Starts() {
		if run, ran := runs[sr.Task]; ran && run != sr.Run {
			lb.t.Errorf("%s was started as run %d after run %d", sr.Task, sr.Run, run)
		}
		runs[sr.Task] = sr.Run
	}
}

// TestStartDuringAcknowledgement guards against a task that runs again because its start and an acknowledgement that was
// sent before it both reached its worker's next incarnation, the acknowledgement last.
func TestStartDuringAcknowledgement(t *testing.T) {
	for name, tt := range map[string]struct {
		delay time.Duration
		// entry is the worker's entry, if it is not the usual one.
		entry string
	}{
		"100 ms":                    {delay: 100 * time.Millisecond},
		"250 ms":                    {delay: 250 * time.Millisecond},
		"400 ms":                    {delay: 400 * time.Millisecond},
		"beyond its timeout":        {delay: 900 * time.Millisecond},
		"start time not in entries": {delay: 250 * time.Millisecond, entry: "room 8"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				lb := newLateAckBed(t, 50*time.Millisecond, tt.delay)
				defer lb.end()
				if tt.entry != "" {
					lb.store.Set(workersPrefix+"w1", []byte(tt.entry))
				}
				restarted := make(chan struct{})
				lb.onAck = func() {
					lb.restartSilently(tt.delay + 10*time.Millisecond)
					close(restarted)
				}
				lb.addNode("n1")
				time.Sleep(time.Second)
				lb.submit(lb.leader(), "a", 1)
				<-restarted
				lb.submit(lb.leader(), "b", 1)
				lb.checkRuns("a", "b")
			})
		})
	}
}

// TestAcknowledgementDuringStart guards against a task that runs again because an acknowledgement was sent while an
// attempt of the task's start was under way, and both reached the worker's next incarnation, the acknowledgement last.
func TestAcknowledgementDuringStart(t *testing.T) {
	for name, tt := range map[string]struct {
		// run is the duration of the tasks.
		run time.Duration
		// early is set if the second task is submitted before the first one ends.
		early bool
		// restart is the time from when the planner has read the end of the first task to the restart.
		restart time.Duration
		// start is how long the first attempt of the second task's start takes.
		start time.Duration
	}{
		"start is not answered yet":       {50 * time.Millisecond, false, 80 * time.Millisecond, 45 * time.Millisecond},
		"another attempt was carried out": {500 * time.Millisecond, true, 150 * time.Millisecond, 600 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				const delay = 1500 * time.Millisecond
				lb := newLateAckBed(t, tt.run, delay)
				defer lb.end()
				var attempts atomic.Int32
				lb.delayStart = func(sr cell.Start) time.Duration {
					if sr.Task.Job == "b" && attempts.Add(1) == 1 {
						return tt.start
					}
					return 0
				}
				awaitEnd := lb.awaitEnd("a.0.0.0")
				lb.addNode("n1")
				time.Sleep(time.Second)
				lb.submit(lb.leader(), "a", 1)
				if tt.early {
					time.Sleep(300 * time.Millisecond)
					lb.submit(lb.leader(), "b", 1)
				}
				awaitEnd()
				lb.clock.AfterFunc(tt.restart, func() { lb.restartSilently(delay) })
				if !tt.early {
					time.Sleep(45 * time.Millisecond)
					lb.submit(lb.leader(), "b", 1)
				}
				lb.checkRuns("a", "b")
			})
		})
	}
}

// TestRequestedReportAcknowledgesNothing guards against a task that runs again because a report that was requested beside
// the pending hold acknowledged ends, and the request reached the worker's next incarnation late.
func TestRequestedReportAcknowledgesNothing(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const delay = 2 * time.Second
		lb := newLateAckBed(t, 50*time.Millisecond, delay)
		defer lb.end()
		lb.ackSent.Store(true) // the session's own acknowledgement is not delayed
		lb.addNode("n1")
		time.Sleep(time.Second)
		lb.submit(lb.leader(), "a", 1)
		time.Sleep(time.Second)
		lb.ackSent.Store(false)
		lb.store.Set(workersPrefix+"w1", []byte("born 9999999999999")) // a report is requested
		time.Sleep(1200 * time.Millisecond)                            // the pending hold is answered
		lb.restartSilently(delay - time.Second)
		time.Sleep(time.Millisecond)
		lb.submit(lb.leader(), "b", 1)
		lb.checkRuns("a", "b")
	})
}

// TestOvertakenStopEndsNoTerm guards against a planner that takes its own higher token for that of a later planner: a stop
// is rejected because a hold that follows a lost acknowledgement has overtaken it.
func TestOvertakenStopEndsNoTerm(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		lb := newLateAckBed(t, 400*time.Millisecond, 2*time.Second)
		defer lb.end()
		lb.delayStop = 300 * time.Millisecond
		awaitEnd := lb.awaitEnd("a.0.0.0")
		nd := lb.addNode("n1")
		time.Sleep(time.Second)
		lb.submit(nd, "a", 1)
		time.Sleep(300 * time.Millisecond)
		lb.submit(nd, "b", 1)
		awaitEnd()
		led := nd.currentTerm().Token
		if err := nd.intake.Cancel(t.Context(), "b", ""); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
		if !lb.stopFenced.Load() {
			t.Error("no stop was overtaken")
		}
		if !nd.term.Leading() || nd.currentTerm().Token != led {
			t.Error("the term has ended")
		}
	})
}

// TestAcknowledgementsAndStartsDoNotMeet draws lost, unanswered and late orders and restarts from seeds, and checks the
// rules that make it safe to acknowledge ends of a worker that restarts under its id.
func TestAcknowledgementsAndStartsDoNotMeet(t *testing.T) {
	const seeds, workers, jobs = 20, 2, 40
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				rnd := rand.New(rand.NewPCG(seed, 2))
				bd := newTestbed(t, time.Duration(5+rnd.IntN(200))*time.Millisecond, "w0", "w1")
				defer bd.end()
				checkOrders(bd)
				bd.addNode("n1")
				time.Sleep(time.Second)
				var mu sync.Mutex
				draw := func(most int) int {
					mu.Lock()
					defer mu.Unlock()
					return rnd.IntN(most)
				}
				bd.fleet.SetFault(func(string, string) memworkers.Fault {
					if draw(8) > 0 {
						return memworkers.None
					}
					return []memworkers.Fault{memworkers.RequestLost, memworkers.ResponseLost, memworkers.Delayed}[draw(3)]
				})
				for n := range jobs {
					bd.submit(bd.leader(), fmt.Sprint("j", n), 1+draw(4))
					time.Sleep(time.Duration(draw(60)) * time.Millisecond)
					if draw(10) == 0 {
						bd.restart(time.Duration(draw(300))*time.Millisecond, fmt.Sprint("w", draw(workers)))
					}
				}
			})
		})
	}
}

// orderCheck checks the orders to one incarnation of a worker.
type orderCheck struct {
	// attempts counts the attempts of a start that may be under way.
	attempts map[cell.Run]int
	// ack is the token of the last acknowledgement if it was not answered, else 0.
	ack uint64
}

// reported removes the attempts that a report shows not to matter any more: those of runs that have ended, and of those
// that the worker has by their only attempt.
func (oc *orderCheck) reported(report agent.Report) {
	for _, en := range report.Ends {
		delete(oc.attempts, cell.Run{Task: en.Task, Number: en.Number})
	}
	for _, rn := range report.Runs {
		if key := (cell.Run{Task: rn.Task, Number: rn.Number}); oc.attempts[key] == 1 {
			delete(oc.attempts, key)
		}
	}
}

// checkOrders checks the orders of the testbed's nodes: no acknowledgement is sent while a start may be under way, and no
// start while an acknowledgement may be that the worker would still accept after the start.
func checkOrders(bd *testbed) {
	var mu sync.Mutex
	checks := map[incarnation.ID]*orderCheck{}
	check := func(to agent.Target, act func(oc *orderCheck)) {
		mu.Lock()
		defer mu.Unlock()
		if checks[to.Incarnation] == nil {
			checks[to.Incarnation] = &orderCheck{attempts: map[cell.Run]int{}}
		}
		act(checks[to.Incarnation])
	}
	fleet := bd.fleet.Agents()
	hold := func(ctx context.Context, to agent.Target, hd agent.Hold) (agent.Report, error) {
		check(to, func(oc *orderCheck) {
			if hd.Acked > 0 && len(oc.attempts) > 0 {
				bd.t.Errorf("ends up to %d are acknowledged to %s, and starts may be under way: %v", hd.Acked, to.Incarnation, oc.attempts)
			}
			if hd.Acked > 0 {
				oc.ack = hd.Token
			}
		})
		report, err := fleet.Hold(ctx, to, hd)
		if err == nil && report.StartedAt == to.Incarnation.StartedAt() {
			check(to, func(oc *orderCheck) {
				oc.reported(report)
				if hd.Acked > 0 {
					oc.ack = 0
				}
			})
		}
		return report, err
	}
	start := func(ctx context.Context, to agent.Target, token uint64, deadline time.Duration, sr cell.Start) (agent.StartAnswer, error) {
		run := cell.Run{Task: sr.Task, Number: sr.Run}
		check(to, func(oc *orderCheck) {
			oc.attempts[run]++
			if oc.ack >= token {
				bd.t.Errorf("%v is started on %s with token %d after an acknowledgement with %d", run, to.Incarnation, token, oc.ack)
			}
		})
		answer, err := fleet.Start(ctx, to, token, deadline, sr)
		if err == nil && answer.Refusal != "" {
			check(to, func(oc *orderCheck) {
				if oc.attempts[run] == 1 {
					delete(oc.attempts, run)
				}
			})
		}
		return answer, err
	}
	stop := func(ctx context.Context, to agent.Target, token uint64, sp cell.Stop) error {
		err := fleet.Stop(ctx, to, token, sp)
		if err == nil {
			check(to, func(oc *orderCheck) { delete(oc.attempts, cell.Run{Task: sp.Task, Number: sp.Run}) })
		}
		return err
	}
	bd.wrapStore = func(st *kv.Store) *kv.Store { return st }
	bd.agents = &agent.Agents{Hold: hold, Start: start, Stop: stop, Pace: fleet.Pace}
}

// TestAcknowledgementAfterTakeover guards against a task that runs again because the next planner acknowledged ends while
// a late attempt of its predecessor's start was under way, and both reached the worker's next incarnation.
func TestAcknowledgementAfterTakeover(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const run, delay = 800 * time.Millisecond, 2 * time.Second
		lb := newLateAckBed(t, run, delay)
		defer lb.end()
		var attempts atomic.Int32
		lb.delayStart = func(sr cell.Start) time.Duration {
			if sr.Task.Job == "b" && attempts.Add(1) == 1 {
				return time.Second
			}
			return 0
		}
		awaitEnd := lb.awaitEnd("a.0.0.0")
		first, second := lb.addTwo()
		time.Sleep(time.Second)
		lb.submit(second, "a", 1)
		time.Sleep(400 * time.Millisecond)
		lb.submit(second, "b", 1)
		time.Sleep(200 * time.Millisecond)
		first.currentTerm().Yield("test")
		awaitEnd()
		lb.clock.AfterFunc(150*time.Millisecond, func() { lb.restartSilently(delay) })
		lb.checkRuns("a", "b")
	})
}
