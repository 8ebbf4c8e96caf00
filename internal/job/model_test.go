package job_test

import (
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"tackbeam.example/policy/attempt"
	"tackbeam.example/tackbeam/internal/job"
	"tackbeam.example/tackbeam/internal/workermsg"
)

func init() {
	_ = flag.Set("rapid.seed", "20261202") // the same verdict each time
	_ = flag.Set("rapid.checks", "5000")
	_ = flag.Set("rapid.nofailfile", "true")
}

// order is a message to a worker, or its reply, that may be late or lost.
type order struct {
	verb    string
	attempt int
	index   int
	reply   bool
	state   workermsg.State
	begun   bool
}

// place is one task of one attempt on the model's worker.
type place struct{ attempt, index int }

// world is a model of the workers and the network around the real decisions.
type world struct {
	rules    attempt.Rules
	tasks    int
	number   int
	statuses []attempt.Status
	kept     bool
	net      []order
	workers  map[place]workermsg.State
	begun    map[place]bool
	begins   map[int]int
	final    attempt.Action
}

func newWorld(tasks int, rl attempt.Rules) *world {
	return &world{
		rules: rl, tasks: tasks, final: attempt.Wait,
		workers: map[place]workermsg.State{}, begun: map[place]bool{}, begins: map[int]int{},
	}
}

// start begins a next attempt: its intent is kept, then its starts are sent.
func (wo *world) start() {
	wo.number++
	wo.kept = true
	wo.statuses = make([]attempt.Status, wo.tasks)
	for i := range wo.tasks {
		wo.net = append(wo.net, order{verb: "start", attempt: wo.number, index: i})
	}
}

// home takes the next step, as the home service does.
func (wo *world) home() {
	if !wo.kept || wo.final != attempt.Wait {
		return
	}
	switch step := attempt.Next(wo.statuses, wo.rules); step {
	case attempt.Query:
		wo.send("fence", attempt.Unknown)
	case attempt.Start:
		wo.send("go", attempt.Prepared)
	case attempt.Stop:
		wo.send("stop", attempt.Prepared)
		wo.send("stop", attempt.Running)
	case attempt.Retry:
		wo.rules.Started = wo.rules.Started || attempt.AnyStarted(wo.statuses)
		wo.start()
	case attempt.NotRun, attempt.Ran, attempt.Indeterminate:
		wo.final = step
	}
}

func (wo *world) send(verb string, to attempt.Status) {
	for i, st := range wo.statuses {
		if st == to {
			wo.net = append(wo.net, order{verb: verb, attempt: wo.number, index: i})
		}
	}
}

// deliver carries one message over; the worker acts on an order and replies.
func (wo *world) deliver(od order) {
	if od.reply {
		wo.learn(od)
		return
	}
	pl := place{od.attempt, od.index}
	state, known := wo.workers[pl]
	switch {
	case od.verb == "start" && !known && wo.tasks > 1:
		wo.workers[pl] = workermsg.Prepared
	case od.verb == "start" && !known:
		wo.begin(pl)
	case od.verb == "go" && state == workermsg.Prepared:
		wo.begin(pl)
	case od.verb == "stop" && known && !state.Ended():
		wo.workers[pl] = workermsg.Stopped
	case !known:
		wo.workers[pl] = workermsg.Never // fenced: a late start is refused
	}
	od.reply, od.state, od.begun = true, wo.workers[pl], wo.begun[pl]
	wo.net = append(wo.net, od)
}

func (wo *world) begin(pl place) {
	wo.workers[pl] = workermsg.Running
	wo.begun[pl] = true
	wo.begins[pl.index]++
}

func (wo *world) learn(od order) {
	if od.attempt != wo.number || !wo.kept || wo.statuses[od.index] >= attempt.NotStarted {
		return
	}
	st := job.StatusOf(od.state, od.begun)
	if st == attempt.Unknown || st == attempt.Prepared && wo.statuses[od.index] == attempt.Running {
		return
	}
	wo.statuses[od.index] = st
}

// end lets a running task end; its report is a message too.
func (wo *world) end(pl place, as workermsg.State) {
	if wo.workers[pl] != workermsg.Running {
		return
	}
	wo.workers[pl] = as
	wo.net = append(wo.net, order{attempt: pl.attempt, index: pl.index, reply: true, state: as, begun: true})
}

// crash loses the home; the next one has what the journal kept.
func (wo *world) crash() {
	if wo.kept {
		wo.statuses = make([]attempt.Status, wo.tasks)
	}
}

// lapse lets a worker's lease run out; whoever asks later is told that the task
// has surely ended.
func (wo *world) lapse(pl place) {
	switch wo.workers[pl] {
	case workermsg.Running, workermsg.Prepared:
		wo.workers[pl] = workermsg.Lapsed
	}
}

// check holds in every state of the model.
func (wo *world) check(rt *rapid.T) {
	for index, n := range wo.begins {
		if n > 1 && !wo.rules.Repeatable {
			rt.Fatalf("task %d began %d times", index, n)
		}
		running := 0
		for pl, st := range wo.workers {
			if pl.index == index && st == workermsg.Running {
				running++
			}
		}
		if running > 1 {
			rt.Fatalf("task %d runs twice at once", index)
		}
	}
	if wo.final == attempt.NotRun && len(wo.begins) > 0 {
		rt.Fatalf("said not-run, but %v began", wo.begins)
	}
	if wo.final == attempt.Ran && len(wo.begins) < wo.tasks {
		rt.Fatalf("said ran, but only %v began", wo.begins)
	}
}

// TestModel drives the decisions through random interleavings of late, lost and
// doubled messages, crashes of the home, ends, lapsed leases and a cancel. Once
// the faults end, every job comes to an answer.
func TestModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		wo := newWorld(rapid.IntRange(1, 3).Draw(rt, "tasks"), attempt.Rules{
			Gang: rapid.Bool().Draw(rt, "gang"), Repeatable: rapid.Bool().Draw(rt, "repeatable"),
		})
		wo.start()
		for range rapid.IntRange(0, 60).Draw(rt, "events") {
			wo.event(rt)
			wo.check(rt)
		}
		wo.settle(rt)
		wo.check(rt)
		if wo.final == attempt.Wait {
			rt.Fatalf("no answer: statuses %v of attempt %d, messages %v", wo.statuses, wo.number, wo.net)
		}
	})
}

// event lets one thing happen.
func (wo *world) event(rt *rapid.T) {
	at := func(what string) int { return rapid.IntRange(0, len(wo.net)-1).Draw(rt, what) }
	pl := place{wo.number, rapid.IntRange(0, wo.tasks-1).Draw(rt, "task")}
	switch kind := rapid.IntRange(0, 9).Draw(rt, "kind"); {
	case kind <= 3 && len(wo.net) > 0: // in any order
		i := at("deliver")
		od := wo.net[i]
		wo.net = append(wo.net[:i:i], wo.net[i+1:]...)
		wo.deliver(od)
	case kind == 4 && len(wo.net) > 0:
		i := at("lose")
		wo.net = append(wo.net[:i:i], wo.net[i+1:]...)
	case kind == 5 && len(wo.net) > 0:
		wo.net = append(wo.net, wo.net[at("double")])
	case kind == 6:
		wo.crash()
	case kind == 7:
		wo.end(pl, rapid.SampledFrom([]workermsg.State{workermsg.OK, workermsg.Failed}).Draw(rt, "end"))
	case kind == 8:
		wo.lapse(pl)
	case kind == 9 && rapid.IntRange(0, 9).Draw(rt, "cancel") == 0:
		wo.rules.Cancelled = true
	default:
		wo.home()
	}
}

// settle ends the faults: messages arrive, running tasks succeed, and lost
// reports are told again.
func (wo *world) settle(rt *rapid.T) {
	for round := 0; round < 200 && wo.final == attempt.Wait; round++ {
		wo.home()
		for len(wo.net) > 0 {
			od := wo.net[0]
			wo.net = wo.net[1:]
			wo.deliver(od)
			wo.check(rt)
		}
		for pl := range wo.workers {
			if wo.workers[pl] == workermsg.Running {
				wo.end(pl, workermsg.OK)
			}
		}
		for pl, st := range wo.workers { // owners tell ends again until they are kept
			if st.Ended() && pl.attempt == wo.number {
				wo.net = append(wo.net, order{attempt: pl.attempt, index: pl.index, reply: true, state: st, begun: wo.begun[pl]})
			}
		}
	}
}

func ExampleStatusOf() {
	fmt.Println(job.StatusOf(workermsg.Stopped, false) == attempt.NotStarted)
	fmt.Println(job.StatusOf(workermsg.Never, true) == attempt.Lost)
	// Output:
	// true
	// true
}
