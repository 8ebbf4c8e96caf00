package cell_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/size"
	"tackbeam.example/policy/work"
)

// TestPatientLeavesRoom has a gang wait for room on the two workers that it may run on,
// while another is free: steps with time to spare leave it for the gangs to come, others
// take it, and where most workers are idle nothing is left.
func TestPatientLeavesRoom(t *testing.T) {
	whole := size.New(64000, 100, 0)
	plain := work.Queue{Name: "q", Service: "svc", Attempts: 3, Priority: 1, Stretch: 2}
	tests := map[string]struct {
		stretch float64
		def     work.Step
		idle    bool
		starts  int
	}{
		"with time to spare":               {stretch: 30, def: work.Step{Count: 1, Need: whole}, starts: 0},
		"with little time":                 {stretch: 3, def: work.Step{Count: 1, Need: whole}, starts: 1},
		"lasting":                          {stretch: 30, def: work.Step{Count: 1, Need: whole, LongRunning: true}, starts: 1},
		"with time to spare, idle workers": {stretch: 30, def: work.Step{Count: 1, Need: whole}, idle: true, starts: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			const workers = 8
			cl := crowd(workers)
			busy := workers - 1
			if tt.idle {
				busy = 2
			}
			submit(cl, "busy", work.Step{Count: busy, Need: whole, Estimate: time.Minute}, plain)
			cl.Plan(0)
			for _, sr := range cl.TakeOutput().Starts {
				cl.Started(0, sr)
			}
			advised := plain
			advised.Advised = true
			submit(cl, "gang", work.Step{Count: 2, Gang: true, Need: whole, Estimate: 5 * time.Second}, advised)
			cl.Plan(0)
			questions := cl.TakeOutput().AdviceRequests
			is.Equal(len(questions), 1)
			cl.AddAdvice(0, questions[0], []cell.Ticket{{Worker: "w000", Text: "t"}, {Worker: "w001", Text: "t"}}, time.Minute)
			patient := work.Queue{Name: "p", Service: "svc", Attempts: 3, Priority: 2, Stretch: tt.stretch}
			tt.def.Estimate = time.Second
			const later = time.Second
			cl.Add(later, &work.Job{ID: "job", Spec: "s", Queue: patient, Steps: []work.Step{tt.def}}, false)
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
