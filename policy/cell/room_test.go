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

// flow is a cell whose runs have given lengths; workers report all the time.
type flow struct {
	cl        *cell.Cell
	now       time.Duration
	runs      map[work.Task]*flowRun
	seq       map[incarnation.ID]int
	len       func(work.Task) time.Duration
	ids       []incarnation.ID
	begun     map[string]time.Duration
	startOn   map[work.Task]incarnation.ID
	questions func(cell.AdviceRequest)
}
type flowRun struct {
	worker      incarnation.ID
	num         int
	begun, over time.Duration
}

func newFlow(workers int, length func(work.Task) time.Duration) *flow {
	fl := &flow{cl: crowd(workers), runs: map[work.Task]*flowRun{}, seq: map[incarnation.ID]int{}, len: length, begun: map[string]time.Duration{}, startOn: map[work.Task]incarnation.ID{}}
	for n := range workers {
		fl.ids = append(fl.ids, incarnation.ID(fmt.Sprintf("w%03d", n)))
	}
	return fl
}

func (fl *flow) pass(span time.Duration, each func()) {
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
				if fl.now >= rn.over {
					fl.seq[id]++
					ends = append(ends, cell.End{Seq: fl.seq[id], Run: cell.Run{Task: tk, Number: rn.num}, Result: cell.ResultDone})
					delete(fl.runs, tk)
					continue
				}
				pc := int(100 * (fl.now - rn.begun) / (rn.over - rn.begun))
				if tk.Job == "serve" {
					pc = 100 // lasting, at work
				}
				runs = append(runs, cell.Run{Task: tk, Number: rn.num, Percent: pc})
			}
			fl.cl.Report(fl.now, id, fl.now, runs, ends)
		}
		fl.cl.SetCommitted(fl.cl.RecordCount())
		if fl.now%(50*time.Millisecond) == 0 {
			fl.cl.Tick(fl.now, fl.now)
		}
		fl.cl.Plan(fl.now)
		out := fl.cl.TakeOutput()
		for _, qn := range out.AdviceRequests {
			if fl.questions != nil {
				fl.questions(qn)
			}
		}
		for _, sr := range out.Starts {
			fl.runs[sr.Task] = &flowRun{sr.Worker, sr.Run, fl.now, fl.now + fl.len(sr.Task)}
			fl.cl.Started(fl.now, sr)
			if _, ok := fl.begun[sr.Task.Job]; !ok {
				fl.begun[sr.Task.Job] = fl.now
			}
			fl.startOn[sr.Task] = sr.Worker
		}
	}
}

func plainQ(name string, prio int, stretch float64) work.Queue {
	return work.Queue{Name: name, Service: "svc", Attempts: 3, Priority: prio, Stretch: stretch, Target: time.Second}
}

// TestLateTasksBehindGangs has single tasks that are late wait beside gangs in time that lack room. Late steps
// counted as having a minute to spare and were passed over for as long.
func TestLateTasksBehindGangs(t *testing.T) {
	for name, age := range map[string]time.Duration{"late by 40 s": 50 * time.Second, "late by 55 s": 65 * time.Second} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			half := size.New(32000, 100, 0)
			fl := newFlow(4, func(tk work.Task) time.Duration {
				switch tk.Job {
				case "base":
					return 200 * time.Second
				case "short":
					return 2 * time.Second
				}
				return 4 * time.Second
			})
			fl.cl.Add(0, &work.Job{ID: "base", Spec: "s", Queue: plainQ("base", 0, 2), Steps: []work.Step{{Count: 6, Need: half, Estimate: 200 * time.Second}}}, false)
			fl.cl.Add(0, &work.Job{ID: "short", Spec: "s", Queue: plainQ("short", 0, 2), Steps: []work.Step{{Count: 2, Need: half, Estimate: 2 * time.Second}}}, false)
			fl.pass(100*time.Millisecond, nil)
			fl.cl.AddAged(fl.now, age, &work.Job{ID: "late", Spec: "s", Queue: plainQ("p", 2, 2), Steps: []work.Step{{Count: 2, Need: half, Estimate: 4 * time.Second}}})
			n := 0
			each := func() {
				if (fl.now-110*time.Millisecond)%(3*time.Second) == 0 { // a gang that is in time, and doesn't fit now
					n++
					fl.cl.Add(fl.now, &work.Job{ID: fmt.Sprintf("gang%d", n), Spec: "s", Queue: plainQ("g", 1, 3), Steps: []work.Step{{Count: 4, Gang: true, Need: half, Estimate: 4 * time.Second}}}, false)
				}
			}
			fl.pass(12*time.Second, each)
			t.Logf("late begun: %v", fl.begun["late"])
			_, ok := fl.begun["late"]
			is.True(ok)
		})
	}
}

// TestGatherOnceAWorker has a step that may use each worker once gather room: it gathered all of it on one
// worker, which it could not use, and did not begin in 100 s.
func TestGatherOnceAWorker(t *testing.T) {
	for _, gang := range []bool{true, false} {
		t.Run(fmt.Sprint("gang ", gang), func(t *testing.T) {
			is := is.New(t)
			fl := newFlow(6, nil)
			for _, id := range []incarnation.ID{"w002", "w003", "w004", "w005"} {
				fl.cl.PutWorker(0, cell.Worker{ID: id, Service: "svc", Labels: []string{"s"}, Capacity: size.New(64000, 128000, 0)})
			}
			fl.len = func(tk work.Task) time.Duration {
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
					fl.cl.Add(fl.now, &work.Job{ID: fmt.Sprintf("small%d", n), Spec: "s", Queue: plainQ("small", 2, 4), Steps: []work.Step{{Count: 7, Label: "s", Need: size.New(5000, 1, 0), Estimate: 2 * time.Second}}}, false)
				}
			}
			fl.pass(5*time.Second, each)
			fl.cl.Add(fl.now, &work.Job{ID: "spread", Spec: "s", Queue: plainQ("g", 1, 2), Steps: []work.Step{{Count: 4, Gang: gang, PerWorker: 1, Need: size.New(30000, 1, 0), Estimate: 3 * time.Second}}}, false)
			fl.pass(100*time.Second, each)
			on := 0
			for tk := range fl.startOn {
				if tk.Job == "spread" {
					on++
				}
			}
			t.Logf("begun %v, tasks %d, %d small", fl.begun["spread"], on, n)
			is.Equal(on, 4)
		})
	}
}

// TestGatherBesideLastingTasks has a gang that needs a whole worker gather room beside a task that lasts: such a
// task at work counted as about to end, and the gang did not begin in 100 s.
func TestGatherBesideLastingTasks(t *testing.T) {
	is := is.New(t)
	fl := newFlow(2, nil)
	fl.len = func(tk work.Task) time.Duration {
		if tk.Job == "serve" {
			return 100 * time.Hour
		}
		return 2 * time.Second
	}
	fl.cl.Add(0, &work.Job{ID: "serve", Spec: "s", Queue: plainQ("serve", 0, 2), Steps: []work.Step{{Count: 1, Need: size.New(10000, 1, 0), Estimate: time.Second, LongRunning: true}}}, false)
	fl.pass(50*time.Millisecond, nil)
	n := 0
	each := func() {
		if fl.now%(100*time.Millisecond) == 0 {
			n++
			fl.cl.Add(fl.now, &work.Job{ID: fmt.Sprintf("small%d", n), Spec: "s", Queue: plainQ("small", 2, 4), Steps: []work.Step{{Count: 1 + n%2/1, Need: size.New(5000, 1, 0), Estimate: 2 * time.Second}}}, false)
		}
	}
	fl.pass(5*time.Second, each)
	fl.cl.Add(fl.now, &work.Job{ID: "whole", Spec: "s", Queue: plainQ("g", 1, 2), Steps: []work.Step{{Count: 1, Gang: true, Need: full, Estimate: 3 * time.Second}}}, false)
	fl.pass(100*time.Second, each)
	t.Logf("whole begun %v", fl.begun["whole"])
	_, ok := fl.begun["whole"]
	is.True(ok)
}

// TestWidestGangBeginsOnce has a gang that needs most of the cell wait beside a stream of narrow ones.
func TestWidestGangBeginsOnce(t *testing.T) {
	for _, gap := range []time.Duration{800, 760, 740, 700} {
		t.Run(fmt.Sprint(gap), func(t *testing.T) { playWidest(t, gap*time.Millisecond) })
	}
}

func playWidest(t *testing.T, gap time.Duration) {
	is := is.New(t)
	const workers = 12
	fl := newFlow(workers, func(work.Task) time.Duration { return 3 * time.Second })
	n := 0
	each := func() {
		if fl.now%gap == 0 { // 3 workers for 3 s each 0.8 s: 94%
			n++
			fl.cl.Add(fl.now, &work.Job{ID: fmt.Sprintf("narrow%04d", n), Spec: "s", Queue: plainQ("n", 1, 2), Steps: []work.Step{{Count: 3, Gang: true, Need: full, Estimate: 3 * time.Second}}}, false)
		}
	}
	fl.pass(5*time.Second, each)
	fl.cl.Add(fl.now, &work.Job{ID: "wide", Spec: "s", Queue: plainQ("w", 1, 2), Steps: []work.Step{{Count: 10, Gang: true, Need: full, Estimate: 3 * time.Second}}}, false)
	at := fl.now
	fl.pass(180*time.Second, each)
	t.Logf("wide begun %v after %v, %d narrow", fl.begun["wide"], fl.begun["wide"]-at, n)
	_, ok := fl.begun["wide"]
	is.True(ok)
}

// TestSkippedStepGivesRoomBack has a late step keep a worker and then be passed over: its worker stood idle
// and neither it nor the gang that needed the worker began in 9 s.
func TestSkippedStepGivesRoomBack(t *testing.T) {
	is := is.New(t)
	fl := newFlow(4, func(tk work.Task) time.Duration {
		switch tk.Job {
		case "base":
			return 200 * time.Second
		case "short":
			return 2 * time.Second
		}
		return 4 * time.Second
	})
	fl.cl.PutWorker(0, cell.Worker{ID: "w000", Service: "svc", Labels: []string{"big"}, Capacity: size.New(64000, 128000, 0)})
	fl.cl.Add(0, &work.Job{ID: "short", Spec: "s", Queue: plainQ("short", 0, 2), Steps: []work.Step{{Count: 1, Label: "big", Need: full, Estimate: 2 * time.Second}}}, false)
	fl.pass(20*time.Millisecond, nil)
	fl.cl.Add(0, &work.Job{ID: "base", Spec: "s", Queue: plainQ("base", 0, 2), Steps: []work.Step{{Count: 3, Need: full, Estimate: 200 * time.Second}}}, false)
	fl.pass(80*time.Millisecond, nil)
	fl.cl.AddAged(fl.now, 20*time.Second, &work.Job{ID: "late", Spec: "s", Queue: plainQ("p", 2, 2), Steps: []work.Step{{Count: 1, Label: "big", Need: full, Estimate: 4 * time.Second}}})
	fl.pass(900*time.Millisecond, nil)
	fl.cl.Add(fl.now, &work.Job{ID: "gang", Spec: "s", Queue: plainQ("g", 1, 5), Steps: []work.Step{{Count: 1, Gang: true, Label: "big", Need: full, Estimate: 4 * time.Second}}}, false)
	fl.pass(9*time.Second, nil)
	for _, wt := range fl.cl.LongestWaiting(fl.now, 0, 9) {
		t.Logf("%+v", wt)
	}
	t.Logf("begun: gang %v late %v", fl.begun["gang"], fl.begun["late"])
	is.True(fl.begun["gang"] > 0 || fl.begun["late"] > 0) // w000 is idle since 2 s
}

// TestLateGangTakesRoomFromBehind has the first gang in the order need workers that narrower ones behind it keep: in a
// full cell it did not begin in 60 s.
func TestLateGangTakesRoomFromBehind(t *testing.T) {
	for _, gap := range []time.Duration{1500, 1750, 2000, 2200} {
		for _, count := range []int{8, 10, 12} {
			t.Run(fmt.Sprintf("load %.2f needs %d of 12", 10.5/gap.Seconds()/12/1e6*1e3, count), func(t *testing.T) {
				is := is.New(t)
				fl := newFlow(12, func(work.Task) time.Duration { return 3 * time.Second })
				n := 0
				each := func() {
					if fl.now%(gap*time.Millisecond) == 0 {
						n++
						for m := range 2 {
							fl.cl.Add(fl.now, &work.Job{ID: fmt.Sprintf("narrow%04d-%d", n, m), Spec: "s", Queue: plainQ("n", 1, 2), Steps: []work.Step{{Count: 3 + m, Gang: true, Need: full, Estimate: 3 * time.Second}}}, false)
						}
					}
				}
				fl.pass(20*time.Second, each)
				at := fl.now
				fl.cl.AddAged(fl.now, 100*time.Second, &work.Job{ID: "wide", Spec: "s", Queue: plainQ("w", 1, 2), Steps: []work.Step{{Count: count, Gang: true, Need: full, Estimate: 3 * time.Second}}})
				fl.pass(60*time.Second, each)
				t.Logf("wide begun after %v, %d narrow", fl.begun["wide"]-at, n)
				is.True(fl.begun["wide"] > 0)
				is.True(fl.begun["wide"]-at < 10*time.Second) // it is the first in the order, runs take 3 s
			})
		}
	}
}

// TestUrgentQuestionsPause has urgent questions find the advisor busy: 50 steps put 10,000 a second.
func TestUrgentQuestionsPause(t *testing.T) {
	is := is.New(t)
	cl := crowd(40)
	qu := work.Queue{Name: "u", Service: "svc", Attempts: 3, Advised: true, Stretch: 2}
	for n := range 50 {
		submit(cl, fmt.Sprintf("u%d", n), work.Step{Count: 2, Need: size.New(1000, 1, 0), Estimate: time.Second}, qu)
	}
	count := 0
	for now := time.Duration(0); now < time.Second; now += 5 * time.Millisecond {
		cl.Plan(now)
		for _, qn := range cl.TakeOutput().AdviceRequests {
			count++
			cl.AdviceDeferred(now, qn)
		}
	}
	t.Logf("%d urgent questions put off in 1 s by 50 steps", count)
	is.True(count <= 50*10+50) // with a pause of 100 ms each
}

// TestSilentAdvisorIdlesNoCell has a gang that gathered most of a cell never get its tickets: nine tenths of the
// cell stood idle for it without an end.
func TestSilentAdvisorIdlesNoCell(t *testing.T) {
	is := is.New(t)
	fl := newFlow(10, func(work.Task) time.Duration { return 2 * time.Second })
	advised := work.Queue{Name: "a", Service: "svc", Attempts: 3, Priority: 1, Stretch: 2, Target: time.Second, Advised: true, AdviceBase: 500 * time.Millisecond, AdviceEach: time.Millisecond}
	n := 0
	each := func() {
		if fl.now%(100*time.Millisecond) == 0 {
			n++
			fl.cl.Add(fl.now, &work.Job{ID: fmt.Sprintf("small%d", n), Spec: "s", Queue: plainQ("small", 2, 4), Steps: []work.Step{{Count: 5, Need: size.New(6400, 1, 0), Estimate: 2 * time.Second}}}, false)
		}
	}
	fl.pass(3*time.Second, each)
	fl.cl.Add(fl.now, &work.Job{ID: "wide", Spec: "s", Queue: advised, Steps: []work.Step{{Count: 9, Gang: true, Need: full, Estimate: 3 * time.Second}}}, false)
	// allowed on all workers, but the tickets are never given again
	fl.cl.Plan(fl.now)
	out := fl.cl.TakeOutput()
	is.True(len(out.AdviceRequests) > 0)
	for _, qn := range out.AdviceRequests {
		fl.cl.AddAdvice(fl.now, qn, rows(qn), 0)
	}
	fl.pass(20*time.Second, each) // questions of the bed stay unanswered
	busy := 0
	for range fl.runs {
		busy++
	}
	t.Logf("%d of 100 places in use, %d small jobs", busy, n)
	is.True(busy >= 80)
}

// TestTimedRoundsKeepTheirAge has a new planner open a round that was due long ago: its age began anew.
func TestTimedRoundsKeepTheirAge(t *testing.T) {
	is := is.New(t)
	cl := crowd(1)
	plain := plainQ("q", 1, 2)
	wall := 1000 * time.Hour
	timed := &work.Job{ID: "timed", Spec: "s", Queue: plain, Repeat: &work.Repeat{Start: wall - 5*time.Minute, Every: time.Hour, Count: 1}, Steps: []work.Step{{Count: 1, Need: full, Estimate: time.Minute}}}
	cl.AddAged(0, 6*time.Minute, timed)
	cl.AddAged(0, 3*time.Minute, &work.Job{ID: "other", Spec: "s", Queue: plain, Steps: []work.Step{{Count: 1, Need: full, Estimate: time.Minute}}})
	cl.Tick(0, wall)
	cl.Plan(0)
	is.Equal(cl.TakeOutput().Starts[0].Task.Job, "timed") // due 5 min ago, the other came 3 min ago
}

// TestWideTickets has a gang need tickets of more workers than one question names: each question named
// the same first 100, and with all workers empty the gang never began.
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
			fl := newFlow(tt.workers, func(tk work.Task) time.Duration {
				if tk.Job == "base" {
					return 10*time.Second + time.Duration(tk.Index)*time.Millisecond
				}
				return 5 * time.Second
			})
			fl.cl.Add(0, &work.Job{ID: "base", Spec: "s", Queue: plainQ("base", 0, 2), Steps: []work.Step{{Count: tt.workers, Need: full, Estimate: 10 * time.Second}}}, false)
			fl.pass(100*time.Millisecond, nil)
			qu := work.Queue{Name: "a", Service: "svc", Attempts: 3, Priority: 1, Stretch: 2, Target: time.Second, Advised: true, AdviceBase: tt.base, AdviceEach: tt.each}
			fl.cl.Add(fl.now, &work.Job{ID: "wide", Spec: "s", Queue: qu, Steps: []work.Step{{Count: tt.count, Gang: true, Need: full, Estimate: 5 * time.Second}}}, false)
			type open struct {
				at time.Duration
				qn cell.AdviceRequest
			}
			var asks []open
			count := 0
			fl.questions = func(qn cell.AdviceRequest) {
				count++
				asks = append(asks, open{fl.now + qn.Takes, qn})
			}
			fl.pass(40*time.Second, func() {
				for len(asks) > 0 && asks[0].at <= fl.now {
					fl.cl.AddAdvice(fl.now, asks[0].qn, rows(asks[0].qn), ticketValid)
					asks = asks[1:]
				}
			})
			t.Logf("begun %v, %d questions", fl.begun["wide"], count)
			is.True(fl.begun["wide"] > 0 && fl.begun["wide"] < 14*time.Second)
		})
	}
}

// TestRoomOfStepThatWaitsNoMore has the last waiting task of a step turn up on a worker: the room that the step
// kept elsewhere stood idle for good.
func TestRoomOfStepThatWaitsNoMore(t *testing.T) {
	is := is.New(t)
	cl := crowd(2)
	submit(cl, "base", work.Step{Count: 2, Need: full, Estimate: time.Minute}, plainQ("base", 0, 2))
	cl.Plan(0)
	var on []cell.Start
	for _, sr := range cl.TakeOutput().Starts {
		cl.Started(0, sr)
		on = append(on, sr)
	}
	cl.AddAged(0, time.Minute, &work.Job{ID: "late", Spec: "s", Queue: plainQ("p", 1, 2), Steps: []work.Step{{Count: 1, Need: full, Estimate: time.Second}}})
	now := time.Second
	cl.Plan(now)
	_, kept := cl.OldestWait(now)
	is.Equal(kept, 1)
	// a run of it shows up on the other worker (a start that was given up)
	other := on[1]
	name := work.Task{Job: "late"}
	cl.Report(now, other.Worker, now, []cell.Run{{Task: other.Task, Number: other.Run}, {Task: name, Number: 1}}, nil)
	cl.SetCommitted(cl.RecordCount())
	cl.Plan(now + 500*time.Millisecond)
	_, kept = cl.OldestWait(now)
	is.Equal(kept, 0)
}

// TestHopelessGangsHoldNobodyUp has gangs that fit into no cell come all the time: late tasks of a core waited for 39 s
// with 30% of the cell free.
func TestHopelessGangsHoldNobodyUp(t *testing.T) {
	is := is.New(t)
	fl := newFlow(10, func(tk work.Task) time.Duration {
		if tk.Job == "base" {
			return 200 * time.Second
		}
		return 2 * time.Second
	})
	fl.cl.Add(0, &work.Job{ID: "base", Spec: "s", Queue: plainQ("base", 0, 2), Steps: []work.Step{{Count: 7, Need: full, Estimate: 200 * time.Second}}}, false)
	fl.pass(50*time.Millisecond, nil)
	n := 0
	each := func() {
		if fl.now%(3*time.Second) == 0 {
			n++
			fl.cl.Add(fl.now, &work.Job{ID: fmt.Sprintf("hopeless%d", n), Spec: "s", Queue: plainQ("g", 1, 3), Steps: []work.Step{{Count: 20, Gang: true, Need: full, Estimate: 5 * time.Second}}}, false)
		}
	}
	fl.pass(5*time.Second, each)
	fl.cl.AddAged(fl.now, 15*time.Second, &work.Job{ID: "late", Spec: "s", Queue: plainQ("p", 2, 2), Steps: []work.Step{{Count: 2, Need: size.New(1000, 1, 0), Estimate: 2 * time.Second}}})
	at := fl.now
	fl.pass(60*time.Second, each)
	t.Logf("begun after %v with 30%% of the cell free", fl.begun["late"]-at)
	is.True(fl.begun["late"]-at < 3*time.Second)
}

// TestUrgentGangsLeaveTheFirstItsTurn has urgent gangs gather all the time: the first of the others gathers all the same.
func TestUrgentGangsLeaveTheFirstItsTurn(t *testing.T) {
	for _, gap := range []time.Duration{1200, 1000, 800} {
		t.Run(fmt.Sprint(gap), func(t *testing.T) {
			is := is.New(t)
			fl := newFlow(20, func(tk work.Task) time.Duration { return 2 * time.Second })
			n := 0
			each := func() {
				if fl.now%(gap*time.Millisecond) == 0 {
					n++
					fl.cl.Add(fl.now, &work.Job{ID: fmt.Sprintf("urgent%d", n), Spec: "s", Queue: plainQ("u", 0, 2), Steps: []work.Step{{Count: 4, Gang: true, Need: full, Estimate: 2 * time.Second}}}, false)
				}
				if fl.now%(100*time.Millisecond) == 0 {
					fl.cl.Add(fl.now, &work.Job{ID: fmt.Sprintf("small%d", fl.now), Spec: "s", Queue: plainQ("small", 2, 4), Steps: []work.Step{{Count: 6, Need: size.New(6400, 1, 0), Estimate: 2 * time.Second}}}, false)
				}
			}
			fl.pass(10*time.Second, each)
			at := fl.now
			fl.cl.Add(fl.now, &work.Job{ID: "patient", Spec: "s", Queue: plainQ("p", 1, 2), Steps: []work.Step{{Count: 6, Gang: true, Need: full, Estimate: 3 * time.Second}}}, false)
			fl.pass(100*time.Second, each)
			t.Logf("patient gang of 6 of 20 begun after %v", fl.begun["patient"]-at)
			is.True(fl.begun["patient"] > 0 && fl.begun["patient"]-at < 75*time.Second)
		})
	}
}
