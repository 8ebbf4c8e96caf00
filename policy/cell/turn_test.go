package cell_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/size"
	"tackbeam.example/policy/work"
)

// TestEveryStepGetsItsTurn has one job that needs whole workers come into a cell which a
// stream of small tasks keeps full. Callers saw such jobs wait as long as the stream went
// on. Tasks of 2 s used the room that was kept, since they would end before it was full;
// each of them moved that time back by as much, so it never came. And only gangs had room
// gathered for them, single tasks of any width none, and with advice they asked only about
// workers that had room already.
//
// Evidence: none of the six jobs began in 90 s with 99% of the processors in use; with 98%
// five ended within 21 s, the tasks with advice not.
func TestEveryStepGetsItsTurn(t *testing.T) {
	const (
		workers = 40
		// turn is the longest wait: a late step goes first when it is a minute late.
		turn = 90 * time.Second
	)
	advised := work.Queue{Name: "one", Service: "svc", Priority: 1, Attempts: 3, Stretch: 2, Target: time.Second, Advised: true,
		AdviceBase: 500 * time.Millisecond, AdviceEach: 5 * time.Millisecond}
	plain := advised
	plain.Advised = false
	tests := map[string]struct {
		queue work.Queue
		def   work.Step
	}{
		"gang":                {queue: plain, def: work.Step{Count: 8, Gang: true}},
		"gang with advice":    {queue: advised, def: work.Step{Count: 5, Gang: true}},
		"tasks":               {queue: plain, def: work.Step{Count: 8}},
		"tasks with advice":   {queue: advised, def: work.Step{Count: 5}},
		"tasks spread thinly": {queue: plain, def: work.Step{Count: 8, PerWorker: 1}},
		"one task":            {queue: plain, def: work.Step{Count: 1}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			small := stream{
				queue: work.Queue{Name: "small", Service: "svc", Priority: 2, Attempts: 3, Stretch: 4, Target: 3 * time.Second},
				each:  23 * time.Millisecond, width: 12, most: 40, cores: 2.6, memory: 1000, run: 2 * time.Second, off: 0.2,
			}
			bd := newBusyDay(1, workers, 9, []stream{small, {queue: tt.queue, each: time.Hour, good: 0.4, run: 3 * time.Second}})
			bd.next[1] = time.Hour // none but the one below
			bd.pass(10*time.Second, true)
			tt.def.Need, tt.def.Estimate = size.New(workerCores, 1000, 0), 3*time.Second
			one := &arrival{stream: 1, at: bd.now, run: 3 * time.Second, left: tt.def.Count, spec: &work.Job{
				ID: "one", Queue: tt.queue, Steps: []work.Step{tt.def},
			}}
			bd.jobs["one"] = one
			bd.order = append(bd.order, one)
			bd.cell.Add(bd.now, one.spec, false)
			for one.ended == 0 && bd.now-one.at < turn {
				bd.pass(time.Second, true)
			}
			t.Logf("%.2f in use; begun after %s, ended after %s", bd.inUse(), one.started-one.at, one.ended-one.at)
			phase, _ := bd.cell.Phase("one", "")
			is.Equal(phase, cell.Succeeded)
		})
	}
}
