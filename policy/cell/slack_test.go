package cell_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/size"
	"tackbeam.example/policy/work"
)

// TestDeferrableStepsYieldToGangs has a gang wait for the two workers that it is allowed on while another worker is
// free. Steps with much slack leave the free worker to gangs, others take it, and while most workers are idle no step
// yields.
func TestDeferrableStepsYieldToGangs(t *testing.T) {
	whole := size.New(64000, 100, 0)
	plain := work.Queue{Name: "q", Service: "svc", Attempts: 3, Priority: 1, Stretch: 2}
	tests := map[string]struct {
		stretch float64
		def     work.Step
		idle    bool
		starts  int
	}{
		"much slack":               {stretch: 30, def: work.Step{Count: 1, Need: whole}, starts: 0},
		"little slack":             {stretch: 3, def: work.Step{Count: 1, Need: whole}, starts: 1},
		"long-running":             {stretch: 30, def: work.Step{Count: 1, Need: whole, LongRunning: true}, starts: 1},
		"much slack, idle workers": {stretch: 30, def: work.Step{Count: 1, Need: whole}, idle: true, starts: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			const workers = 8
			cl := newTestCell(workers)
			busy := workers - 1
			if tt.idle {
				busy = 2
			}
			submitStep(cl, "busy", work.Step{Count: busy, Need: whole, Estimate: time.Minute}, plain)
			cl.Plan(0)
			for _, sr := range cl.TakeOutput().Starts {
				cl.Started(0, sr)
			}
			advised := plain
			advised.Advised = true
			submitStep(cl, "gang", work.Step{Count: 2, Gang: true, Need: whole, Estimate: 5 * time.Second}, advised)
			cl.Plan(0)
			requests := cl.TakeOutput().AdviceRequests
			is.Equal(len(requests), 1)
			cl.AddAdvice(0, requests[0], []cell.Ticket{{Worker: "w000", Text: "t"}, {Worker: "w001", Text: "t"}}, time.Minute)
			deferrable := work.Queue{Name: "p", Service: "svc", Attempts: 3, Priority: 2, Stretch: tt.stretch}
			tt.def.Estimate = time.Second
			const later = time.Second
			cl.Add(later, &work.Job{ID: "job", Spec: "s", Queue: deferrable, Steps: []work.Step{tt.def}}, false)
			cl.Plan(later)
			starts := 0
			for _, sr := range cl.TakeOutput().Starts {
				is.Equal(sr.Task.Job, "job")
				starts++
			}
			is.Equal(starts, tt.starts)
			is.Equal(cl.LongestWaiting(later, 0, 9)[0].Step, work.Task{Job: "gang"})
		})
	}
}
