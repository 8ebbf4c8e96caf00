package cell_test

import (
	"fmt"
	"testing"
	"time"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/size"
	"tackbeam.example/policy/work"
)

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
			for _, sr := range cl.Take().Starts {
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
				for _, qn := range cl.Take().Questions {
					cl.Advised(now, qn, third(qn), time.Second)
				}
			}
			const gap = 5 * time.Millisecond // between two plans
			b.ResetTimer()
			for b.Loop() {
				now += gap
				for n := range workers { // or they count as silent
					if now%time.Second < gap {
						cl.Report(now, fmt.Sprintf("w%03d", n), 0, nil, nil)
					}
				}
				cl.Plan(now)
				cl.Take()
			}
		})
	}
}

// third allows each third worker of a question.
func third(qn cell.Question) []cell.Ticket {
	var list []cell.Ticket
	for at, id := range qn.Workers {
		if at%3 == 0 {
			list = append(list, cell.Ticket{Worker: id, Text: "t"})
		}
	}
	return list
}
