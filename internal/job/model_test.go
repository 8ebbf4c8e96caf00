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
	_ = flag.Set("rapid.seed", "20261202") // for reproducible results
	_ = flag.Set("rapid.checks", "5000")
	_ = flag.Set("rapid.nofailfile", "true")
}

// order is a message to a worker, or the reply to it, which may be late or lost.
type order struct {
	verb    string
	attempt int
	index   int
	reply   bool
	state   workermsg.State
	begun   bool
}

// place is one task of one attempt on the modelled worker.
type place struct{ attempt, index int }

// model models the workers and the network around the decisions of policy/attempt.
type model struct {
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

func newModel(tasks int, rl attempt.Rules) *model {
	return &model{
		rules: rl, tasks: tasks, final: attempt.Wait,
		workers: map[place]workermsg.State{}, begun: map[place]bool{}, begins: map[int]int{},
	}
}

// start begins the next attempt: the journal has its intent, then its starts are sent.
func (md *model) start() {
	md.number++
	md.kept = true
	md.statuses = make([]attempt.Status, md.tasks)
	for i := range md.tasks {
		md.net = append(md.net, order{verb: "start", attempt: md.number, index: i})
	}
}

// home takes the next action, like the home service.
func (md *model) home() {
	if !md.kept || md.final != attempt.Wait {
		return
	}
	switch step := attempt.Next(md.statuses, md.rules); step {
	case attempt.Query:
		md.send("fence", attempt.Unknown)
	case attempt.Start:
		md.send("go", attempt.Prepared)
	case attempt.Stop:
		md.send("stop", attempt.Prepared)
		md.send("stop", attempt.Running)
	case attempt.Retry:
		md.rules.Started = md.rules.Started || attempt.AnyStarted(md.statuses)
		md.start()
	case attempt.NotRun, attempt.Ran, attempt.Indeterminate:
		md.final = step
	}
}

func (md *model) send(verb string, to attempt.Status) {
	for i, st := range md.statuses {
		if st == to {
			md.net = append(md.net, order{verb: verb, attempt: md.number, index: i})
		}
	}
}

// deliver delivers one message. The worker carries out an order and replies.
func (md *model) deliver(od order) {
	if od.reply {
		md.learn(od)
		return
	}
	pl := place{od.attempt, od.index}
	state, known := md.workers[pl]
	switch {
	case od.verb == "start" && !known && md.tasks > 1:
		md.workers[pl] = workermsg.Prepared
	case od.verb == "start" && !known:
		md.begin(pl)
	case od.verb == "go" && state == workermsg.Prepared:
		md.begin(pl)
	case od.verb == "stop" && known && !state.Ended():
		md.workers[pl] = workermsg.Stopped
	case !known:
		md.workers[pl] = workermsg.NotStarted // fenced: a late start is refused
	}
	od.reply, od.state, od.begun = true, md.workers[pl], md.begun[pl]
	md.net = append(md.net, od)
}

func (md *model) begin(pl place) {
	md.workers[pl] = workermsg.Running
	md.begun[pl] = true
	md.begins[pl.index]++
}

func (md *model) learn(od order) {
	if od.attempt != md.number || !md.kept || md.statuses[od.index] >= attempt.NotStarted {
		return
	}
	st := job.StatusOf(od.state, od.begun)
	if st == attempt.Unknown || st == attempt.Prepared && md.statuses[od.index] == attempt.Running {
		return
	}
	md.statuses[od.index] = st
}

// end ends a running task. Its report is a message too.
func (md *model) end(pl place, as workermsg.State) {
	if md.workers[pl] != workermsg.Running {
		return
	}
	md.workers[pl] = as
	md.net = append(md.net, order{attempt: pl.attempt, index: pl.index, reply: true, state: as, begun: true})
}

// crash stops the home. The next one has what is in the journal.
func (md *model) crash() {
	if md.kept {
		md.statuses = make([]attempt.Status, md.tasks)
	}
}

// expireLease expires a worker's lease. Later queries are answered that the task has surely ended.
func (md *model) expireLease(pl place) {
	switch md.workers[pl] {
	case workermsg.Running, workermsg.Prepared:
		md.workers[pl] = workermsg.LeaseExpired
	}
}

// check verifies the invariants, which hold in every state of the model.
func (md *model) check(rt *rapid.T) {
	for index, n := range md.begins {
		if n > 1 && !md.rules.Repeatable {
			rt.Fatalf("task %d began %d times", index, n)
		}
		running := 0
		for pl, st := range md.workers {
			if pl.index == index && st == workermsg.Running {
				running++
			}
		}
		if running > 1 {
			rt.Fatalf("task %d runs twice at once", index)
		}
	}
	if md.final == attempt.NotRun && len(md.begins) > 0 {
		rt.Fatalf("said not-run, but %v began", md.begins)
	}
	if md.final == attempt.Ran && len(md.begins) < md.tasks {
		rt.Fatalf("said ran, but only %v began", md.begins)
	}
}

// TestModel drives the decisions through random interleavings of late, lost and duplicated messages, crashes of the
// home, ends of tasks, expired leases and a cancellation. Once the faults have ended, every job must get an answer.
func TestModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		md := newModel(rapid.IntRange(1, 3).Draw(rt, "tasks"), attempt.Rules{
			Gang: rapid.Bool().Draw(rt, "gang"), Repeatable: rapid.Bool().Draw(rt, "repeatable"),
		})
		md.start()
		for range rapid.IntRange(0, 60).Draw(rt, "events") {
			md.event(rt)
			md.check(rt)
		}
		md.settle(rt)
		md.check(rt)
		if md.final == attempt.Wait {
			rt.Fatalf("no answer: statuses %v of attempt %d, messages %v", md.statuses, md.number, md.net)
		}
	})
}

// event runs one random event.
func (md *model) event(rt *rapid.T) {
	at := func(what string) int { return rapid.IntRange(0, len(md.net)-1).Draw(rt, what) }
	pl := place{md.number, rapid.IntRange(0, md.tasks-1).Draw(rt, "task")}
	switch kind := rapid.IntRange(0, 9).Draw(rt, "kind"); {
	case kind <= 3 && len(md.net) > 0: // in any order
		i := at("deliver")
		od := md.net[i]
		md.net = append(md.net[:i:i], md.net[i+1:]...)
		md.deliver(od)
	case kind == 4 && len(md.net) > 0:
		i := at("lose")
		md.net = append(md.net[:i:i], md.net[i+1:]...)
	case kind == 5 && len(md.net) > 0:
		md.net = append(md.net, md.net[at("double")])
	case kind == 6:
		md.crash()
	case kind == 7:
		md.end(pl, rapid.SampledFrom([]workermsg.State{workermsg.OK, workermsg.Failed}).Draw(rt, "end"))
	case kind == 8:
		md.expireLease(pl)
	case kind == 9 && rapid.IntRange(0, 9).Draw(rt, "cancel") == 0:
		md.rules.Cancelled = true
	default:
		md.home()
	}
}

// settle ends the faults: messages arrive, running tasks succeed, and lost reports are sent again.
func (md *model) settle(rt *rapid.T) {
	for round := 0; round < 200 && md.final == attempt.Wait; round++ {
		md.home()
		for len(md.net) > 0 {
			od := md.net[0]
			md.net = md.net[1:]
			md.deliver(od)
			md.check(rt)
		}
		for pl := range md.workers {
			if md.workers[pl] == workermsg.Running {
				md.end(pl, workermsg.OK)
			}
		}
		for pl, st := range md.workers { // owners report ends again until the journal has them
			if st.Ended() && pl.attempt == md.number {
				md.net = append(md.net, order{attempt: pl.attempt, index: pl.index, reply: true, state: st, begun: md.begun[pl]})
			}
		}
	}
}

func ExampleStatusOf() {
	fmt.Println(job.StatusOf(workermsg.Stopped, false) == attempt.NotStarted)
	fmt.Println(job.StatusOf(workermsg.NotStarted, true) == attempt.Lost)
	// Output:
	// true
	// true
}
