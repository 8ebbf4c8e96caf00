package cell_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/incarnation"
	"tackbeam.example/policy/size"
	"tackbeam.example/policy/work"
)

// BenchmarkPlanCalm times a plan of 1,100 workers between two of which ten tasks end and begin:
// 0.15 ms while the workers were sorted anew for each, 0.07 ms now.
func BenchmarkPlanCalm(b *testing.B) {
	const workers, changed = 1100, 10
	cl := crowd(workers)
	queue := work.Queue{Name: "f", Service: "svc", Attempts: 3, Priority: 1, Stretch: 2}
	now := time.Duration(0)
	runs := map[string]cell.Run{}
	var order []string
	plan := func() {
		cl.Plan(now)
		for _, sr := range cl.TakeOutput().Starts {
			cl.Started(now, sr)
			runs[sr.Task.String()] = cell.Run{Task: sr.Task, Number: sr.Run}
			order = append(order, string(sr.Worker)+"/"+sr.Task.String())
		}
	}
	submit(cl, "full", work.Step{Count: workers * 2, Need: size.New(16000, 100, 0), Estimate: time.Minute}, queue)
	plan()
	seqs := map[string]int{}
	for n := 0; b.Loop(); n++ {
		b.StopTimer()
		now += 5 * time.Millisecond
		for at := range changed {
			name := order[(n*changed+at*97)%len(order)]
			worker, task, _ := strings.Cut(name, "/")
			seqs[worker]++
			cl.Report(now, incarnation.ID(worker), 0, nil, []cell.End{{Seq: seqs[worker], Run: runs[task], Result: cell.ResultStopped}})
		}
		b.StartTimer()
		plan()
	}
}

// BenchmarkPlanBacklog times a plan of a full cell of 350 workers while many late gangs
// wait, each with some thirty workers that it may run on. Looking at all of them in each
// plan took 0.18, 1.7, 18 and 91 ms; it takes 0.11, 0.56, 2.3 and 14 ms.
func BenchmarkPlanBacklog(b *testing.B) {
	for _, gangs := range []int{10, 100, 1000, 5000} {
		b.Run(fmt.Sprint(gangs), func(b *testing.B) {
			const workers = 350
			cl := crowd(workers)
			plain := work.Queue{Name: "f", Service: "svc", Attempts: 3, Priority: 1, Stretch: 2}
			submit(cl, "full", work.Step{Count: workers * 4, Need: size.New(15000, 100, 0), Estimate: time.Minute}, plain)
			cl.Plan(0)
			for _, sr := range cl.TakeOutput().Starts {
				cl.Started(0, sr)
			}
			advised := work.Queue{
				Name: "q", Service: "svc", Attempts: 3, Advised: true, Priority: 1, Stretch: 2,
				AdviceBase: 540 * time.Millisecond, AdviceEach: 7 * time.Millisecond,
			}
			step := work.Step{Count: 20, Gang: true, Need: size.New(18000, 100, 0), Estimate: 100 * time.Millisecond}
			for n := range gangs {
				submit(cl, fmt.Sprintf("gang%04d", n), step, advised)
			}
			now := time.Duration(0)
			for range 2 * gangs / 8 { // a plan puts eight questions
				now += 100 * time.Microsecond
				cl.Plan(now)
				for _, qn := range cl.TakeOutput().AdviceRequests {
					cl.AddAdvice(now, qn, third(qn), time.Second)
				}
			}
			const gap = 5 * time.Millisecond // between two plans
			b.ResetTimer()
			for b.Loop() {
				now += gap
				for n := range workers { // or they count as silent
					if now%time.Second < gap {
						cl.Report(now, incarnation.ID(fmt.Sprintf("w%03d", n)), 0, nil, nil)
					}
				}
				cl.Plan(now)
				cl.TakeOutput()
			}
		})
	}
}

// third allows each third worker of a question.
func third(qn cell.AdviceRequest) []cell.Ticket {
	var list []cell.Ticket
	for at, id := range qn.Workers {
		if at%3 == 0 {
			list = append(list, cell.Ticket{Worker: id, Text: "t"})
		}
	}
	return list
}

// BenchmarkPlanAdvisedGangs times plans while gangs gather that the advisor allows on a
// quarter of the workers: 100, 300 and 1,000 of them took 2.0, 5.0 and 14 ms a plan while each
// chose its room anew in each plan, and take 0.5, 1.3 and 4.7 ms.
func BenchmarkPlanAdvisedGangs(b *testing.B) {
	for _, gangs := range []int{100, 300, 1000} {
		b.Run(fmt.Sprint("gangs ", gangs), func(b *testing.B) {
			cl := crowd(350)
			submit(cl, "full", work.Step{Count: 350 * 8, Need: size.New(8000, 100, 0), Estimate: time.Hour}, work.Queue{Name: "f", Service: "svc", Attempts: 3})
			cl.Plan(0)
			by := map[incarnation.ID][]cell.Run{}
			for _, sr := range cl.TakeOutput().Starts {
				cl.Started(0, sr)
				by[sr.Worker] = append(by[sr.Worker], cell.Run{Task: sr.Task, Number: sr.Run, Percent: 5})
			}
			qu := work.Queue{Name: "wide", Service: "svc", Priority: 1, Attempts: 3, Stretch: 2.2, Target: time.Second, Advised: true, AdviceBase: 540 * time.Millisecond, AdviceEach: 7700 * time.Microsecond}
			for n := range gangs {
				submit(cl, fmt.Sprintf("g%04d", n), work.Step{Count: 20, Gang: true, Need: size.New(18000, 100, 0), Estimate: 6 * time.Second}, qu)
			}
			now := time.Second
			plan := func() (worst time.Duration) {
				now += 5 * time.Millisecond
				if now%time.Second == 0 {
					for id, runs := range by {
						cl.Report(now, id, now, runs, nil)
					}
				}
				at := time.Now()
				cl.Plan(now)
				worst = time.Since(at)
				for _, qn := range cl.TakeOutput().AdviceRequests {
					var rows []cell.Ticket
					for _, id := range qn.Workers {
						if allows(qn.Step.StepName(), id, 0.25) {
							rows = append(rows, cell.Ticket{Worker: id, Text: "t"})
						}
					}
					cl.AddAdvice(now, qn, rows, ticketValid)
				}
				return worst
			}
			for id, runs := range by {
				cl.Report(now, id, now, runs, nil)
			}
			for range 400 {
				plan()
			}
			var worst, sum time.Duration
			n := 0
			for b.Loop() {
				w := plan()
				worst = max(worst, w)
				sum += w
				n++
			}
			b.ReportMetric(float64(sum.Microseconds())/float64(n)/1000, "ms/plan")
			b.ReportMetric(float64(worst.Microseconds())/1000, "ms/worst")
		})
	}
}

// BenchmarkPlanManyGangs times plans of 1,000 gangs without advice, some of them too wide
// for the cell: 14 to 279 ms a plan before, 2.2 to 16 ms now.
func BenchmarkPlanManyGangs(b *testing.B) {
	for _, need := range []int64{18000, 64000} {
		for _, count := range []int{8, 60, 400} {
			b.Run(fmt.Sprintf("cores %d count %d", need/1000, count), func(b *testing.B) {
				cl := crowd(350)
				// fill: 350*8 tasks of 8 cores
				submit(cl, "full", work.Step{Count: 350 * 8, Need: size.New(8000, 100, 0), Estimate: time.Hour}, work.Queue{Name: "f", Service: "svc", Attempts: 3})
				cl.Plan(0)
				starts := cl.TakeOutput().Starts
				by := map[incarnation.ID][]cell.Run{}
				for _, sr := range starts {
					cl.Started(0, sr)
					by[sr.Worker] = append(by[sr.Worker], cell.Run{Task: sr.Task, Number: sr.Run, Percent: 5})
				}
				for n := range 1000 {
					submit(cl, fmt.Sprintf("g%d", n), work.Step{Count: count, Gang: true, Need: size.New(need, 100, 0), Estimate: 5 * time.Second}, plainQ("g", 1, 2))
				}
				now := time.Second
				for id, runs := range by {
					cl.Report(now, id, now, runs, nil)
				}
				b.ResetTimer()
				for b.Loop() {
					now += 5 * time.Millisecond
					if now%(time.Second) == 0 {
						for id, runs := range by {
							cl.Report(now, id, now, runs, nil)
						}
					}
					cl.Plan(now)
					cl.TakeOutput()
				}
			})
		}
	}
}
