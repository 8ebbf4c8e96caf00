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

// BenchmarkPlanSteadyState measures a plan for 1,100 workers with ten tasks ending and starting between two plans:
// 0.07 ms, and 0.15 ms if the workers are sorted anew for each plan.
func BenchmarkPlanSteadyState(b *testing.B) {
	const workers, changed = 1100, 10
	cl := newTestCell(workers)
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
	submitStep(cl, "full", work.Step{Count: workers * 2, Need: size.New(16000, 100, 0), Estimate: time.Minute}, queue)
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

// BenchmarkPlanBacklog measures a plan for a full cell of 350 workers with a backlog of late gangs that are allowed
// on some thirty workers each: 0.11, 0.56, 2.3 and 14 ms, and 0.18, 1.7, 18 and 91 ms if each plan examines all gangs.
func BenchmarkPlanBacklog(b *testing.B) {
	for _, gangs := range []int{10, 100, 1000, 5000} {
		b.Run(fmt.Sprint(gangs), func(b *testing.B) {
			const workers = 350
			cl := newTestCell(workers)
			plain := work.Queue{Name: "f", Service: "svc", Attempts: 3, Priority: 1, Stretch: 2}
			submitStep(cl, "full", work.Step{Count: workers * 4, Need: size.New(15000, 100, 0), Estimate: time.Minute}, plain)
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
				submitStep(cl, fmt.Sprintf("gang%04d", n), step, advised)
			}
			now := time.Duration(0)
			for range 2 * gangs / 8 { // a plan sends eight advice requests
				now += 100 * time.Microsecond
				cl.Plan(now)
				for _, req := range cl.TakeOutput().AdviceRequests {
					cl.AddAdvice(now, req, allowEveryThird(req), time.Second)
				}
			}
			const gap = 5 * time.Millisecond // pause between two plans
			b.ResetTimer()
			for b.Loop() {
				now += gap
				for n := range workers { // workers without a report get no new runs
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

// allowEveryThird returns tickets for every third worker of an advice request.
func allowEveryThird(req cell.AdviceRequest) []cell.Ticket {
	var list []cell.Ticket
	for at, id := range req.Workers {
		if at%3 == 0 {
			list = append(list, cell.Ticket{Worker: id, Text: "t"})
		}
	}
	return list
}

// BenchmarkPlanAdvisedGangs measures plans while 100, 300 and 1,000 gangs reserve capacity that the advisor allows on
// a quarter of the workers: 0.5, 1.3 and 4.7 ms per plan, and 2.0, 5.0 and 14 ms if each gang chooses its
// reservations anew in each plan.
func BenchmarkPlanAdvisedGangs(b *testing.B) {
	for _, gangs := range []int{100, 300, 1000} {
		b.Run(fmt.Sprint("gangs ", gangs), func(b *testing.B) {
			cl := newTestCell(350)
			submitStep(cl, "full", work.Step{Count: 350 * 8, Need: size.New(8000, 100, 0), Estimate: time.Hour}, work.Queue{Name: "f", Service: "svc", Attempts: 3})
			cl.Plan(0)
			by := map[incarnation.ID][]cell.Run{}
			for _, sr := range cl.TakeOutput().Starts {
				cl.Started(0, sr)
				by[sr.Worker] = append(by[sr.Worker], cell.Run{Task: sr.Task, Number: sr.Run, Percent: 5})
			}
			qu := work.Queue{Name: "wide", Service: "svc", Priority: 1, Attempts: 3, Stretch: 2.2, Target: time.Second, Advised: true, AdviceBase: 540 * time.Millisecond, AdviceEach: 7700 * time.Microsecond}
			for n := range gangs {
				submitStep(cl, fmt.Sprintf("g%04d", n), work.Step{Count: 20, Gang: true, Need: size.New(18000, 100, 0), Estimate: 6 * time.Second}, qu)
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
				for _, req := range cl.TakeOutput().AdviceRequests {
					var rows []cell.Ticket
					for _, id := range req.Workers {
						if advisorAllows(req.Step.StepName(), id, 0.25) {
							rows = append(rows, cell.Ticket{Worker: id, Text: "t"})
						}
					}
					cl.AddAdvice(now, req, rows, ticketTTL)
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

// BenchmarkPlanManyGangs measures plans of 1,000 gangs without advice, some of them too wide for the cell: 2.2 to
// 16 ms per plan, and 14 to 279 ms if each plan repeats a failed search for capacity.
func BenchmarkPlanManyGangs(b *testing.B) {
	for _, need := range []int64{18000, 64000} {
		for _, count := range []int{8, 60, 400} {
			b.Run(fmt.Sprintf("cores %d count %d", need/1000, count), func(b *testing.B) {
				cl := newTestCell(350)
				// 350*8 tasks of 8 cores fill the cell
				submitStep(cl, "full", work.Step{Count: 350 * 8, Need: size.New(8000, 100, 0), Estimate: time.Hour}, work.Queue{Name: "f", Service: "svc", Attempts: 3})
				cl.Plan(0)
				starts := cl.TakeOutput().Starts
				by := map[incarnation.ID][]cell.Run{}
				for _, sr := range starts {
					cl.Started(0, sr)
					by[sr.Worker] = append(by[sr.Worker], cell.Run{Task: sr.Task, Number: sr.Run, Percent: 5})
				}
				for n := range 1000 {
					submitStep(cl, fmt.Sprintf("g%d", n), work.Step{Count: count, Gang: true, Need: size.New(need, 100, 0), Estimate: 5 * time.Second}, plainQueue("g", 1, 2))
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

// BenchmarkTickManyWorkers measures the periodic work for 3,000 workers without tasks.
func BenchmarkTickManyWorkers(b *testing.B) {
	const workers = 3000
	cl := newTestCell(workers)
	for b.Loop() {
		cl.Tick(time.Second, 0)
	}
}

// BenchmarkPlanManyWorkers measures a plan for 3,000 workers, of which a tenth run a task, with one task ending and
// another one starting between two plans. Each worker reports once per second.
func BenchmarkPlanManyWorkers(b *testing.B) {
	const workers, interval, gap = 3000, time.Second, 5 * time.Millisecond
	cl := newTestCell(workers)
	queue := work.Queue{Name: "f", Service: "svc", Attempts: 3, Priority: 1, Stretch: 2}
	var ids []incarnation.ID
	for n := range workers {
		ids = append(ids, incarnation.ID(fmt.Sprintf("w%03d", n)))
	}
	now := time.Duration(0)
	runs, seqs := map[incarnation.ID][]cell.Run{}, map[incarnation.ID]int{}
	var order []incarnation.ID // of the workers with the oldest runs
	plan := func() {
		cl.Plan(now)
		for _, sr := range cl.TakeOutput().Starts {
			cl.Started(now, sr)
			runs[sr.Worker] = append(runs[sr.Worker], cell.Run{Task: sr.Task, Number: sr.Run, Percent: 5})
			order = append(order, sr.Worker)
		}
	}
	submitStep(cl, "first", work.Step{Count: workers / 10, Need: size.New(32000, 100, 0), Estimate: time.Minute}, queue)
	plan()
	for n := 0; b.Loop(); n++ {
		b.StopTimer()
		now += gap
		oldest := order[0]
		order = order[1:]
		seqs[oldest]++
		ended := cell.End{Seq: seqs[oldest], Run: runs[oldest][0], Result: cell.ResultDone}
		runs[oldest] = runs[oldest][1:]
		cl.Report(now, oldest, now, runs[oldest], []cell.End{ended})
		for at := range workers * int(gap) / int(interval) {
			id := ids[(n*workers*int(gap)/int(interval)+at)%workers]
			cl.Report(now, id, now, runs[id], nil)
		}
		submitStep(cl, fmt.Sprint("job", n), work.Step{Count: 1, Need: size.New(32000, 100, 0), Estimate: time.Minute}, queue)
		cl.SetCommitted(cl.RecordCount())
		b.StartTimer()
		plan()
	}
}
