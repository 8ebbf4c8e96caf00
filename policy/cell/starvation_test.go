package cell_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/incarnation"
	"tackbeam.example/policy/size"
	"tackbeam.example/policy/work"
)

// fixedLengthTestbed is a cell whose runs have given lengths and whose workers report in every step.
type fixedLengthTestbed struct {
	cl        *cell.Cell
	now       time.Duration
	runs      map[work.Task]*fixedLengthRun
	seq       map[incarnation.ID]int
	runLength func(work.Task) time.Duration
	ids       []incarnation.ID
	startedAt map[string]time.Duration
	startedOn map[work.Task]incarnation.ID
	onRequest func(cell.AdviceRequest)
}
type fixedLengthRun struct {
	worker            incarnation.ID
	number            int
	startedAt, endsAt time.Duration
}

func newFixedLengthTestbed(workers int, length func(work.Task) time.Duration) *fixedLengthTestbed {
	fl := &fixedLengthTestbed{cl: newTestCell(workers), runs: map[work.Task]*fixedLengthRun{}, seq: map[incarnation.ID]int{}, runLength: length, startedAt: map[string]time.Duration{}, startedOn: map[work.Task]incarnation.ID{}}
	for n := range workers {
		fl.ids = append(fl.ids, incarnation.ID(fmt.Sprintf("w%03d", n)))
	}
	return fl
}

func (fl *fixedLengthTestbed) advance(span time.Duration, each func()) {
	for end := fl.now + span; fl.now < end; {
		fl.now += 10 * time.Millisecond
		if each != nil {
			each()
		}
		for _, id := range fl.ids {
			var runs []cell.Run
			var ends []cell.End
			for tk, rn := range fl.runs {
				if rn.worker != id {
					continue
				}
				if fl.now >= rn.endsAt {
					fl.seq[id]++
					ends = append(ends, cell.End{Seq: fl.seq[id], Run: cell.Run{Task: tk, Number: rn.number}, Result: cell.ResultDone})
					delete(fl.runs, tk)
					continue
				}
				pc := int(100 * (fl.now - rn.startedAt) / (rn.endsAt - rn.startedAt))
				if tk.Job == "serve" {
					pc = 100 // long-running and at work
				}
				runs = append(runs, cell.Run{Task: tk, Number: rn.number, Percent: pc})
			}
			fl.cl.Report(fl.now, id, fl.now, runs, ends)
		}
		fl.cl.SetCommitted(fl.cl.RecordCount())
		if fl.now%(50*time.Millisecond) == 0 {
			fl.cl.Tick(fl.now, fl.now)
		}
		fl.cl.Plan(fl.now)
		out := fl.cl.TakeOutput()
		for _, req := range out.AdviceRequests {
			if fl.onRequest != nil {
				fl.onRequest(req)
			}
		}
		for _, sr := range out.Starts {
			fl.runs[sr.Task] = &fixedLengthRun{sr.Worker, sr.Run, fl.now, fl.now + fl.runLength(sr.Task)}
			fl.cl.Started(fl.now, sr)
			if _, ok := fl.startedAt[sr.Task.Job]; !ok {
				fl.startedAt[sr.Task.Job] = fl.now
			}
			fl.startedOn[sr.Task] = sr.Worker
		}
	}
}

func plainQueue(name string, prio int, stretch float64) work.Queue {
	return work.Queue{Name: name, Service: "svc", Attempts: 3, Priority: prio, Stretch: stretch, Target: time.Second}
}

// TestLateTasksBehindGangs has late single tasks wait beside gangs that can be on time but lack capacity. If late steps
// counted as having a minute of slack, they would be deferred for that long.
func TestLateTasksBehindGangs(t *testing.T) {
	for name, age := range map[string]time.Duration{"late by 40 s": 50 * time.Second, "late by 55 s": 65 * time.Second} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			half := size.New(32000, 100, 0)
			fl := newFixedLengthTestbed(4, func(tk work.Task) time.Duration {
				switch tk.Job {
				case "base":
					return 200 * time.Second
				case "short":
					return 2 * time.Second
				}
				return 4 * time.Second
			})
			fl.cl.Add(0, &work.Job{ID: "base", Spec: "s", Queue: plainQueue("base", 0, 2), Steps: []work.Step{{Count: 6, Need: half, Estimate: 200 * time.Second}}}, false)
			fl.cl.Add(0, &work.Job{ID: "short", Spec: "s", Queue: plainQueue("short", 0, 2), Steps: []work.Step{{Count: 2, Need: half, Estimate: 2 * time.Second}}}, false)
			fl.advance(100*time.Millisecond, nil)
			fl.cl.AddAged(fl.now, age, &work.Job{ID: "late", Spec: "s", Queue: plainQueue("p", 2, 2), Steps: []work.Step{{Count: 2, Need: half, Estimate: 4 * time.Second}}})
			n := 0
			each := func() {
				if (fl.now-110*time.Millisecond)%(3*time.Second) == 0 { // a gang that can be on time and does not fit now
					n++
					fl.cl.Add(fl.now, &work.Job{ID: fmt.Sprintf("gang%d", n), Spec: "s", Queue: plainQueue("g", 1, 3), Steps: []work.Step{{Count: 4, Gang: true, Need: half, Estimate: 4 * time.Second}}}, false)
				}
			}
			fl.advance(12*time.Second, each)
			t.Logf("late job began at %v", fl.startedAt["late"])
			_, ok := fl.startedAt["late"]
			is.True(ok)
		})
	}
}

// TestReserveOncePerWorker has a step with at most one task per worker reserve capacity. Reservations that were all
// on one worker could not be used, and the step did not begin within 100 s.
func TestReserveOncePerWorker(t *testing.T) {
	for _, gang := range []bool{true, false} {
		t.Run(fmt.Sprint("gang ", gang), func(t *testing.T) {
			is := is.New(t)
			fl := newFixedLengthTestbed(6, nil)
			for _, id := range []incarnation.ID{"w002", "w003", "w004", "w005"} {
				fl.cl.PutWorker(0, cell.Worker{ID: id, Service: "svc", Labels: []string{"s"}, Capacity: size.New(64000, 128000, 0)})
			}
			fl.runLength = func(tk work.Task) time.Duration {
				if tk.Job == "base" {
					return 100 * time.Hour
				}
				if tk.Job == "spread" {
					return 60 * time.Second
				}
				return 2 * time.Second
			}
			n := 0
			each := func() {
				if fl.now%(250*time.Millisecond) == 0 {
					n++
					fl.cl.Add(fl.now, &work.Job{ID: fmt.Sprintf("small%d", n), Spec: "s", Queue: plainQueue("small", 2, 4), Steps: []work.Step{{Count: 7, Label: "s", Need: size.New(5000, 1, 0), Estimate: 2 * time.Second}}}, false)
				}
			}
			fl.advance(5*time.Second, each)
			fl.cl.Add(fl.now, &work.Job{ID: "spread", Spec: "s", Queue: plainQueue("g", 1, 2), Steps: []work.Step{{Count: 4, Gang: gang, PerWorker: 1, Need: size.New(30000, 1, 0), Estimate: 3 * time.Second}}}, false)
			fl.advance(100*time.Second, each)
			startedCount := 0
			for tk := range fl.startedOn {
				if tk.Job == "spread" {
					startedCount++
				}
			}
			t.Logf("began at %v with %d tasks, %d small jobs", fl.startedAt["spread"], startedCount, n)
			is.Equal(startedCount, 4)
		})
	}
}

// TestReserveBesideLongRunningTasks has a gang that needs a whole worker reserve capacity beside a long-running task.
// When such a task counted as about to end, the gang did not begin within 100 s.
func TestReserveBesideLongRunningTasks(t *testing.T) {
	is := is.New(t)
	fl := newFixedLengthTestbed(2, nil)
	fl.runLength = func(tk work.Task) time.Duration {
		if tk.Job == "serve" {
			return 100 * time.Hour
		}
		return 2 * time.Second
	}
	fl.cl.Add(0, &work.Job{ID: "serve", Spec: "s", Queue: plainQueue("serve", 0, 2), Steps: []work.Step{{Count: 1, Need: size.New(10000, 1, 0), Estimate: time.Second, LongRunning: true}}}, false)
	fl.advance(50*time.Millisecond, nil)
	n := 0
	each := func() {
		if fl.now%(100*time.Millisecond) == 0 {
			n++
			fl.cl.Add(fl.now, &work.Job{ID: fmt.Sprintf("small%d", n), Spec: "s", Queue: plainQueue("small", 2, 4), Steps: []work.Step{{Count: 1 + n%2/1, Need: size.New(5000, 1, 0), Estimate: 2 * time.Second}}}, false)
		}
	}
	fl.advance(5*time.Second, each)
	fl.cl.Add(fl.now, &work.Job{ID: "whole", Spec: "s", Queue: plainQueue("g", 1, 2), Steps: []work.Step{{Count: 1, Gang: true, Need: fullWorker, Estimate: 3 * time.Second}}}, false)
	fl.advance(100*time.Second, each)
	t.Logf("gang began at %v", fl.startedAt["whole"])
	_, ok := fl.startedAt["whole"]
	is.True(ok)
}

// TestWidestGangBegins checks that a gang that needs most of the cell begins beside a stream of narrow ones.
func TestWidestGangBegins(t *testing.T) {
	for _, gap := range []time.Duration{800, 760, 740, 700} {
		t.Run(fmt.Sprint(gap), func(t *testing.T) { checkWidestGang(t, gap*time.Millisecond) })
	}
}

func checkWidestGang(t *testing.T, gap time.Duration) {
	is := is.New(t)
	const workers = 12
	fl := newFixedLengthTestbed(workers, func(work.Task) time.Duration { return 3 * time.Second })
	n := 0
	each := func() {
		if fl.now%gap == 0 { // 3 workers for 3 s every 0.8 s are 94% of the cell
			n++
			fl.cl.Add(fl.now, &work.Job{ID: fmt.Sprintf("narrow%04d", n), Spec: "s", Queue: plainQueue("n", 1, 2), Steps: []work.Step{{Count: 3, Gang: true, Need: fullWorker, Estimate: 3 * time.Second}}}, false)
		}
	}
	fl.advance(5*time.Second, each)
	fl.cl.Add(fl.now, &work.Job{ID: "wide", Spec: "s", Queue: plainQueue("w", 1, 2), Steps: []work.Step{{Count: 10, Gang: true, Need: fullWorker, Estimate: 3 * time.Second}}}, false)
	submittedAt := fl.now
	fl.advance(180*time.Second, each)
	t.Logf("wide gang began at %v after %v, %d narrow gangs", fl.startedAt["wide"], fl.startedAt["wide"]-submittedAt, n)
	_, ok := fl.startedAt["wide"]
	is.True(ok)
}

// TestSkippedStepReleasesReservation has a late step reserve a worker before a gang needs it. If the step is then
// deferred in favour of the gang but keeps its reservation, the worker stays idle, and neither begins within 9 s.
func TestSkippedStepReleasesReservation(t *testing.T) {
	is := is.New(t)
	fl := newFixedLengthTestbed(4, func(tk work.Task) time.Duration {
		switch tk.Job {
		case "base":
			return 200 * time.Second
		case "short":
			return 2 * time.Second
		}
		return 4 * time.Second
	})
	fl.cl.PutWorker(0, cell.Worker{ID: "w000", Service: "svc", Labels: []string{"big"}, Capacity: size.New(64000, 128000, 0)})
	fl.cl.Add(0, &work.Job{ID: "short", Spec: "s", Queue: plainQueue("short", 0, 2), Steps: []work.Step{{Count: 1, Label: "big", Need: fullWorker, Estimate: 2 * time.Second}}}, false)
	fl.advance(20*time.Millisecond, nil)
	fl.cl.Add(0, &work.Job{ID: "base", Spec: "s", Queue: plainQueue("base", 0, 2), Steps: []work.Step{{Count: 3, Need: fullWorker, Estimate: 200 * time.Second}}}, false)
	fl.advance(80*time.Millisecond, nil)
	fl.cl.AddAged(fl.now, 20*time.Second, &work.Job{ID: "late", Spec: "s", Queue: plainQueue("p", 2, 2), Steps: []work.Step{{Count: 1, Label: "big", Need: fullWorker, Estimate: 4 * time.Second}}})
	fl.advance(900*time.Millisecond, nil)
	fl.cl.Add(fl.now, &work.Job{ID: "gang", Spec: "s", Queue: plainQueue("g", 1, 5), Steps: []work.Step{{Count: 1, Gang: true, Label: "big", Need: fullWorker, Estimate: 4 * time.Second}}}, false)
	fl.advance(9*time.Second, nil)
	for _, wt := range fl.cl.LongestWaiting(fl.now, 0, 9) {
		t.Logf("%+v", wt)
	}
	t.Logf("gang began at %v, late job at %v", fl.startedAt["gang"], fl.startedAt["late"])
	is.True(fl.startedAt["gang"] > 0 || fl.startedAt["late"] > 0) // w000 is idle from 2 s on
}

// TestLateGangTakesLowerRankedReservations has the first gang in the order need workers that narrower gangs after it
// have reserved. If it cannot take them, it does not begin within 60 s in a full cell.
func TestLateGangTakesLowerRankedReservations(t *testing.T) {
	for _, gap := range []time.Duration{1500, 1750, 2000, 2200} {
		for _, count := range []int{8, 10, 12} {
			t.Run(fmt.Sprintf("load %.2f needs %d of 12", 10.5/gap.Seconds()/12/1e6*1e3, count), func(t *testing.T) {
				is := is.New(t)
				fl := newFixedLengthTestbed(12, func(work.Task) time.Duration { return 3 * time.Second })
				batches := 0
				each := func() {
					if fl.now%(gap*time.Millisecond) == 0 {
						batches++
						for m := range 2 {
							fl.cl.Add(fl.now, &work.Job{ID: fmt.Sprintf("narrow%04d-%d", batches, m), Spec: "s", Queue: plainQueue("n", 1, 2), Steps: []work.Step{{Count: 3 + m, Gang: true, Need: fullWorker, Estimate: 3 * time.Second}}}, false)
						}
					}
				}
				fl.advance(20*time.Second, each)
				submittedAt := fl.now
				fl.cl.AddAged(fl.now, 100*time.Second, &work.Job{ID: "wide", Spec: "s", Queue: plainQueue("w", 1, 2), Steps: []work.Step{{Count: count, Gang: true, Need: fullWorker, Estimate: 3 * time.Second}}})
				fl.advance(60*time.Second, each)
				t.Logf("wide gang began after %v, %d narrow gangs", fl.startedAt["wide"]-submittedAt, batches)
				is.True(fl.startedAt["wide"] > 0)
				is.True(fl.startedAt["wide"]-submittedAt < 10*time.Second) // it is the first in the order, runs take 3 s
			})
		}
	}
}

// TestUrgentRequestsBackOff has urgent advice requests find the advisor busy. Without a pause 50 steps sent 10,000
// requests a second.
func TestUrgentRequestsBackOff(t *testing.T) {
	is := is.New(t)
	cl := newTestCell(40)
	qu := work.Queue{Name: "u", Service: "svc", Attempts: 3, Advised: true, Stretch: 2}
	for n := range 50 {
		submitStep(cl, fmt.Sprintf("u%d", n), work.Step{Count: 2, Need: size.New(1000, 1, 0), Estimate: time.Second}, qu)
	}
	count := 0
	for now := time.Duration(0); now < time.Second; now += 5 * time.Millisecond {
		cl.Plan(now)
		for _, req := range cl.TakeOutput().AdviceRequests {
			count++
			cl.AdviceDeferred(now, req)
		}
	}
	t.Logf("%d urgent advice requests deferred in 1 s by 50 steps", count)
	is.True(count <= 50*10+50) // with a pause of 100 ms each
}

// TestMissingTicketsReleaseReservations has a gang that has reserved most of a cell never get its tickets. Nine tenths
// of the cell stood idle for it without bound.
func TestMissingTicketsReleaseReservations(t *testing.T) {
	is := is.New(t)
	fl := newFixedLengthTestbed(10, func(work.Task) time.Duration { return 2 * time.Second })
	advised := work.Queue{Name: "a", Service: "svc", Attempts: 3, Priority: 1, Stretch: 2, Target: time.Second, Advised: true, AdviceBase: 500 * time.Millisecond, AdviceEach: time.Millisecond}
	n := 0
	each := func() {
		if fl.now%(100*time.Millisecond) == 0 {
			n++
			fl.cl.Add(fl.now, &work.Job{ID: fmt.Sprintf("small%d", n), Spec: "s", Queue: plainQueue("small", 2, 4), Steps: []work.Step{{Count: 5, Need: size.New(6400, 1, 0), Estimate: 2 * time.Second}}}, false)
		}
	}
	fl.advance(3*time.Second, each)
	fl.cl.Add(fl.now, &work.Job{ID: "wide", Spec: "s", Queue: advised, Steps: []work.Step{{Count: 9, Gang: true, Need: fullWorker, Estimate: 3 * time.Second}}}, false)
	// allowed on all workers, but the tickets are never renewed
	fl.cl.Plan(fl.now)
	out := fl.cl.TakeOutput()
	is.True(len(out.AdviceRequests) > 0)
	for _, req := range out.AdviceRequests {
		fl.cl.AddAdvice(fl.now, req, allowAll(req), 0)
	}
	fl.advance(20*time.Second, each) // the testbed answers no advice requests
	busy := 0
	for range fl.runs {
		busy++
	}
	t.Logf("%d of 100 slots in use, %d small jobs", busy, n)
	is.True(busy >= 80)
}

// TestTimedRoundsKeepTheirAge has a new planner open a round that was due some time ago. Its age must count from the
// time at which it was due.
func TestTimedRoundsKeepTheirAge(t *testing.T) {
	is := is.New(t)
	cl := newTestCell(1)
	plain := plainQueue("q", 1, 2)
	wall := 1000 * time.Hour
	timed := &work.Job{ID: "timed", Spec: "s", Queue: plain, Repeat: &work.Repeat{Start: wall - 5*time.Minute, Every: time.Hour, Count: 1}, Steps: []work.Step{{Count: 1, Need: fullWorker, Estimate: time.Minute}}}
	cl.AddAged(0, 6*time.Minute, timed)
	cl.AddAged(0, 3*time.Minute, &work.Job{ID: "other", Spec: "s", Queue: plain, Steps: []work.Step{{Count: 1, Need: fullWorker, Estimate: time.Minute}}})
	cl.Tick(0, wall)
	cl.Plan(0)
	is.Equal(cl.TakeOutput().Starts[0].Task.Job, "timed") // due 5 min ago, while the other arrived 3 min ago
}

// TestWideTickets has a gang need tickets for more workers than one advice request names. When each request named the
// same first 100 workers, the gang never began although all workers were empty.
func TestWideTickets(t *testing.T) {
	for _, tt := range []struct {
		count, workers int
		each, base     time.Duration
	}{
		{90, 130, 7700 * time.Microsecond, 540 * time.Millisecond},
		{110, 130, 7700 * time.Microsecond, 540 * time.Millisecond},
		{110, 130, 1100 * time.Microsecond, 80 * time.Millisecond},
		{150, 160, 7700 * time.Microsecond, 540 * time.Millisecond},
		{150, 160, 1100 * time.Microsecond, 80 * time.Millisecond},
	} {
		t.Run(fmt.Sprintf("%d of %d, %v", tt.count, tt.workers, tt.base), func(t *testing.T) {
			is := is.New(t)
			fl := newFixedLengthTestbed(tt.workers, func(tk work.Task) time.Duration {
				if tk.Job == "base" {
					return 10*time.Second + time.Duration(tk.Index)*time.Millisecond
				}
				return 5 * time.Second
			})
			fl.cl.Add(0, &work.Job{ID: "base", Spec: "s", Queue: plainQueue("base", 0, 2), Steps: []work.Step{{Count: tt.workers, Need: fullWorker, Estimate: 10 * time.Second}}}, false)
			fl.advance(100*time.Millisecond, nil)
			qu := work.Queue{Name: "a", Service: "svc", Attempts: 3, Priority: 1, Stretch: 2, Target: time.Second, Advised: true, AdviceBase: tt.base, AdviceEach: tt.each}
			fl.cl.Add(fl.now, &work.Job{ID: "wide", Spec: "s", Queue: qu, Steps: []work.Step{{Count: tt.count, Gang: true, Need: fullWorker, Estimate: 5 * time.Second}}}, false)
			type open struct {
				at  time.Duration
				req cell.AdviceRequest
			}
			var pending []open
			count := 0
			fl.onRequest = func(req cell.AdviceRequest) {
				count++
				pending = append(pending, open{fl.now + req.Takes, req})
			}
			fl.advance(40*time.Second, func() {
				for len(pending) > 0 && pending[0].at <= fl.now {
					fl.cl.AddAdvice(fl.now, pending[0].req, allowAll(pending[0].req), ticketTTL)
					pending = pending[1:]
				}
			})
			t.Logf("began at %v, %d advice requests", fl.startedAt["wide"], count)
			is.True(fl.startedAt["wide"] > 0 && fl.startedAt["wide"] < 14*time.Second)
		})
	}
}

// TestStepWithoutWaitingTasksReleasesReservation has the last waiting task of a step turn up on a worker. If the step
// keeps its reservation elsewhere, that capacity stays idle for good.
func TestStepWithoutWaitingTasksReleasesReservation(t *testing.T) {
	is := is.New(t)
	cl := newTestCell(2)
	submitStep(cl, "base", work.Step{Count: 2, Need: fullWorker, Estimate: time.Minute}, plainQueue("base", 0, 2))
	cl.Plan(0)
	var starts []cell.Start
	for _, sr := range cl.TakeOutput().Starts {
		cl.Started(0, sr)
		starts = append(starts, sr)
	}
	cl.AddAged(0, time.Minute, &work.Job{ID: "late", Spec: "s", Queue: plainQueue("p", 1, 2), Steps: []work.Step{{Count: 1, Need: fullWorker, Estimate: time.Second}}})
	now := time.Second
	cl.Plan(now)
	_, kept := cl.OldestWait(now)
	is.Equal(kept, 1)
	// the other worker reports a run of it, whose start was given up
	other := starts[1]
	name := work.Task{Job: "late"}
	cl.Report(now, other.Worker, now, []cell.Run{{Task: other.Task, Number: other.Run}, {Task: name, Number: 1}}, nil)
	cl.SetCommitted(cl.RecordCount())
	cl.Plan(now + 500*time.Millisecond)
	_, kept = cl.OldestWait(now)
	is.Equal(kept, 0)
}

// TestOversizedGangsBlockNothing has a stream of gangs that do not fit into the cell. They delayed late one-core tasks
// by 39 s with 30% of the cell free.
func TestOversizedGangsBlockNothing(t *testing.T) {
	is := is.New(t)
	fl := newFixedLengthTestbed(10, func(tk work.Task) time.Duration {
		if tk.Job == "base" {
			return 200 * time.Second
		}
		return 2 * time.Second
	})
	fl.cl.Add(0, &work.Job{ID: "base", Spec: "s", Queue: plainQueue("base", 0, 2), Steps: []work.Step{{Count: 7, Need: fullWorker, Estimate: 200 * time.Second}}}, false)
	fl.advance(50*time.Millisecond, nil)
	n := 0
	each := func() {
		if fl.now%(3*time.Second) == 0 {
			n++
			fl.cl.Add(fl.now, &work.Job{ID: fmt.Sprintf("hopeless%d", n), Spec: "s", Queue: plainQueue("g", 1, 3), Steps: []work.Step{{Count: 20, Gang: true, Need: fullWorker, Estimate: 5 * time.Second}}}, false)
		}
	}
	fl.advance(5*time.Second, each)
	fl.cl.AddAged(fl.now, 15*time.Second, &work.Job{ID: "late", Spec: "s", Queue: plainQueue("p", 2, 2), Steps: []work.Step{{Count: 2, Need: size.New(1000, 1, 0), Estimate: 2 * time.Second}}})
	submittedAt := fl.now
	fl.advance(60*time.Second, each)
	t.Logf("late job began after %v with 30%% of the cell free", fl.startedAt["late"]-submittedAt)
	is.True(fl.startedAt["late"]-submittedAt < 3*time.Second)
}

// TestUrgentGangsDoNotStarveOthers has urgent gangs reserve capacity all the time: the first of the other gangs must be
// able to reserve capacity as well.
func TestUrgentGangsDoNotStarveOthers(t *testing.T) {
	for _, gap := range []time.Duration{1200, 1000, 800} {
		t.Run(fmt.Sprint(gap), func(t *testing.T) {
			is := is.New(t)
			fl := newFixedLengthTestbed(20, func(tk work.Task) time.Duration { return 2 * time.Second })
			n := 0
			each := func() {
				if fl.now%(gap*time.Millisecond) == 0 {
					n++
					fl.cl.Add(fl.now, &work.Job{ID: fmt.Sprintf("urgent%d", n), Spec: "s", Queue: plainQueue("u", 0, 2), Steps: []work.Step{{Count: 4, Gang: true, Need: fullWorker, Estimate: 2 * time.Second}}}, false)
				}
				if fl.now%(100*time.Millisecond) == 0 {
					fl.cl.Add(fl.now, &work.Job{ID: fmt.Sprintf("small%d", fl.now), Spec: "s", Queue: plainQueue("small", 2, 4), Steps: []work.Step{{Count: 6, Need: size.New(6400, 1, 0), Estimate: 2 * time.Second}}}, false)
				}
			}
			fl.advance(10*time.Second, each)
			submittedAt := fl.now
			fl.cl.Add(fl.now, &work.Job{ID: "patient", Spec: "s", Queue: plainQueue("p", 1, 2), Steps: []work.Step{{Count: 6, Gang: true, Need: fullWorker, Estimate: 3 * time.Second}}}, false)
			fl.advance(100*time.Second, each)
			t.Logf("deferrable gang of 6 of 20 workers began after %v", fl.startedAt["patient"]-submittedAt)
			is.True(fl.startedAt["patient"] > 0 && fl.startedAt["patient"]-submittedAt < 75*time.Second)
		})
	}
}
