package owner_test

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tackbeam.example/policy/ledger"
	"tackbeam.example/policy/owner"
	"tackbeam.example/policy/size"
)

func init() {
	_ = flag.Set("rapid.seed", "20261202") // makes runs reproducible
	_ = flag.Set("rapid.checks", "4000")
	_ = flag.Set("rapid.steps", "80")
	_ = flag.Set("rapid.nofailfile", "true")
}

// capacity is the capacity of each worker of the model.
var capacity = size.New(4000, 100, 1)

// runningTask is a task that was committed and has not ended.
type runningTask struct {
	worker string
	hold   owner.Hold
}

// model simulates workers and homes around the actual owner.Machine. It counts as running only what was committed
// successfully and has not ended.
type model struct {
	mc      *owner.Machine
	now     time.Duration
	holds   map[string]owner.Hold
	granted map[string][]owner.Place
	running map[string]runningTask
	count   int
}

func newModel() *model {
	mo := &model{
		mc: owner.New(owner.DefaultLimits()), holds: map[string]owner.Hold{},
		granted: map[string][]owner.Place{}, running: map[string]runningTask{},
	}
	for i := range 3 {
		mo.up(workerName(i))
	}
	return mo
}

func workerName(i int) string { return fmt.Sprint("w", i) }

// up attaches a worker with its running tasks.
func (mo *model) up(name string) {
	up := owner.WorkerUp{Worker: ledger.Worker{Name: name, Capacity: capacity, Slots: 2}}
	for _, id := range slices.Sorted(maps.Keys(mo.running)) {
		if rt := mo.running[id]; rt.worker == name {
			up.Running = append(up.Running, owner.Running{
				ID: id, Size: rt.hold.Size, Priority: rt.hold.Priority, Repeatable: rt.hold.Repeatable,
			})
		}
	}
	mo.step(nil, owner.Event{WorkerUp: &up})
}

// step passes an event to the machine and checks the decisions.
func (mo *model) step(t *rapid.T, ev owner.Event) {
	ev.At = mo.now
	for _, act := range mo.mc.Step(ev) {
		switch {
		case act.Granted != nil:
			for _, pl := range act.Granted.Places {
				if !slices.Contains(ev.Hold.Tasks, pl.Task) {
					t.Fatalf("hold %s was granted a place for task %s, which it does not request", ev.Hold.ID, pl.Task)
				}
			}
			mo.granted[act.Granted.ID] = act.Granted.Places
		case act.Settled != nil && act.Settled.OK:
			mo.settle(t, *act.Settled, ev.Commit.Tasks)
		case act.Preempt != nil:
			rt, ok := mo.running[act.Preempt.Task]
			if !ok || !rt.hold.Repeatable || rt.hold.Priority >= ev.Hold.Priority {
				t.Fatalf("task %s must not be preempted for hold %s", act.Preempt.Task, ev.Hold.ID)
			}
		}
	}
}

// settle starts the tasks of a commit, and checks that their workers have the capacity for them.
func (mo *model) settle(t *rapid.T, st owner.Settled, requested []string) {
	var got []string
	for _, pl := range st.Places {
		got = append(got, pl.Task)
		if _, twice := mo.running[pl.Task]; twice {
			t.Fatalf("task %s starts twice", pl.Task)
		}
		mo.running[pl.Task] = runningTask{pl.Worker, mo.holds[st.ID]}
		mo.step(t, owner.Event{Started: &owner.Started{Task: pl.Task}})
	}
	if slices.Sort(got); !slices.Equal(got, slices.Sorted(slices.Values(requested))) {
		t.Fatalf("commit of %v succeeded with places for %v", requested, got)
	}
	used := map[string]size.Size{}
	for _, rt := range mo.running {
		used[rt.worker] = used[rt.worker].Add(rt.hold.Size)
	}
	for worker, sum := range used {
		if !sum.Fits(capacity) {
			t.Fatalf("worker %s runs tasks of size %v, above its capacity of %v", worker, sum, capacity)
		}
	}
}

// hold requests a hold, under a new id or again under an old one.
func (mo *model) hold(t *rapid.T) {
	hd := owner.Hold{
		ID: fmt.Sprint("h", mo.count), Size: size.New(1000*rapid.Int64Range(1, 4).Draw(t, "cores"), rapid.Int64Range(0, 60).Draw(t, "memory"), 0),
		Priority: rapid.IntRange(4, 9).Draw(t, "priority"), SubmittedAt: int64(mo.count), Reserve: rapid.Bool().Draw(t, "reserve"),
		Repeatable: rapid.Bool().Draw(t, "repeatable"), Run: time.Duration(rapid.IntRange(0, 20).Draw(t, "run")) * time.Second,
	}
	mo.count++
	hd.Urgent = hd.Priority == 9
	if old := rapid.SampledFrom(append(slices.Sorted(maps.Keys(mo.holds)), "")).Draw(t, "again"); old != "" {
		hd = mo.holds[old]
	}
	hd.Expires = mo.now + 8*time.Second
	hd.Tasks = nil
	for i := range 4 {
		if rapid.Bool().Draw(t, "task") {
			if id := fmt.Sprintf("%s.%d", hd.ID, i); mo.running[id].worker == "" {
				hd.Tasks = append(hd.Tasks, id)
			}
		}
	}
	mo.holds[hd.ID] = hd
	mo.step(t, owner.Event{Hold: &hd})
}

// commit commits what a hold was granted, possibly long ago.
func (mo *model) commit(t *rapid.T) {
	if len(mo.granted) == 0 {
		return
	}
	id := rapid.SampledFrom(slices.Sorted(maps.Keys(mo.granted))).Draw(t, "hold")
	var tasks []string
	for _, pl := range mo.granted[id] {
		tasks = append(tasks, pl.Task)
	}
	delete(mo.granted, id) // a home commits an attempt once
	mo.step(t, owner.Event{Commit: &owner.Commit{ID: id, Tasks: tasks}})
}

// end ends a running task.
func (mo *model) end(t *rapid.T) {
	if len(mo.running) == 0 {
		return
	}
	id := rapid.SampledFrom(slices.Sorted(maps.Keys(mo.running))).Draw(t, "task")
	delete(mo.running, id)
	mo.step(t, owner.Event{Ended: &owner.Ended{Task: id, Failed: rapid.Bool().Draw(t, "failed")}})
}

// TestModel runs an owner's decisions against random events: late and repeated holds and commits, ends, losses of
// workers and their return. No worker may run more than its capacity, no task may start twice, and a successful commit
// must have all its places.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		mo := newModel()
		worker := func() string { return workerName(rapid.IntRange(0, 2).Draw(t, "worker")) }
		t.Repeat(map[string]func(*rapid.T){
			"hold":   mo.hold,
			"commit": mo.commit,
			"end":    mo.end,
			"release": func(t *rapid.T) {
				if len(mo.holds) > 0 {
					id := rapid.SampledFrom(slices.Sorted(maps.Keys(mo.holds))).Draw(t, "hold")
					mo.step(t, owner.Event{Release: &owner.Release{ID: id}})
				}
			},
			"time": func(t *rapid.T) {
				mo.now += time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond
				mo.step(t, owner.Event{Tick: &owner.Tick{}})
			},
			"link lost": func(t *rapid.T) {
				mo.step(t, owner.Event{WorkerGone: &owner.WorkerGone{Worker: worker()}})
			},
			"worker lost": func(t *rapid.T) {
				name := worker()
				mo.step(t, owner.Event{WorkerGone: &owner.WorkerGone{Worker: name, Lost: true}})
				maps.DeleteFunc(mo.running, func(_ string, rt runningTask) bool { return rt.worker == name })
			},
			"worker back": func(*rapid.T) { mo.up(worker()) },
		})
	})
}
