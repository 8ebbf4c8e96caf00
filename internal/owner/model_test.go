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
	_ = flag.Set("rapid.seed", "20261202") // the same verdict each time
	_ = flag.Set("rapid.checks", "4000")
	_ = flag.Set("rapid.steps", "80")
	_ = flag.Set("rapid.nofailfile", "true")
}

// capacity is the size of each worker of the model.
var capacity = size.New(4000, 100, 1)

// begun is a task that was committed and has not ended.
type begun struct {
	worker string
	hold   owner.Hold
}

// world is a model of workers and homes around the real decisions of an owner. It
// believes only what was settled and what ended.
type world struct {
	mc      *owner.Machine
	now     time.Duration
	holds   map[string]owner.Hold
	granted map[string][]owner.Place
	running map[string]begun
	count   int
}

func newWorld() *world {
	wo := &world{
		mc: owner.New(owner.DefaultLimits()), holds: map[string]owner.Hold{},
		granted: map[string][]owner.Place{}, running: map[string]begun{},
	}
	for i := range 3 {
		wo.up(workerName(i))
	}
	return wo
}

func workerName(i int) string { return fmt.Sprint("w", i) }

// up attaches a worker with what runs there.
func (wo *world) up(name string) {
	up := owner.WorkerUp{Worker: ledger.Worker{Name: name, Capacity: capacity, Slots: 2}}
	for _, id := range slices.Sorted(maps.Keys(wo.running)) {
		if bg := wo.running[id]; bg.worker == name {
			up.Running = append(up.Running, owner.Running{
				ID: id, Size: bg.hold.Size, Priority: bg.hold.Priority, Repeatable: bg.hold.Repeatable,
			})
		}
	}
	wo.step(nil, owner.Event{WorkerUp: &up})
}

// step feeds an event and checks what is decided.
func (wo *world) step(t *rapid.T, ev owner.Event) {
	ev.At = wo.now
	for _, act := range wo.mc.Step(ev) {
		switch {
		case act.Granted != nil:
			for _, pl := range act.Granted.Places {
				if !slices.Contains(ev.Hold.Tasks, pl.Task) {
					t.Fatalf("%s has a place for %s, which it does not ask for", ev.Hold.ID, pl.Task)
				}
			}
			wo.granted[act.Granted.ID] = act.Granted.Places
		case act.Settled != nil && act.Settled.OK:
			wo.settle(t, *act.Settled, ev.Commit.Tasks)
		case act.Preempt != nil:
			bg, ok := wo.running[act.Preempt.Task]
			if !ok || !bg.hold.Repeatable || bg.hold.Priority >= ev.Hold.Priority {
				t.Fatalf("%s is to give way to %s", act.Preempt.Task, ev.Hold.ID)
			}
		}
	}
}

// settle begins the tasks of a commit, and checks that there is room for them.
func (wo *world) settle(t *rapid.T, st owner.Settled, asked []string) {
	var got []string
	for _, pl := range st.Places {
		got = append(got, pl.Task)
		if _, twice := wo.running[pl.Task]; twice {
			t.Fatalf("%s begins twice", pl.Task)
		}
		wo.running[pl.Task] = begun{pl.Worker, wo.holds[st.ID]}
		wo.step(t, owner.Event{Started: &owner.Started{Task: pl.Task}})
	}
	if slices.Sort(got); !slices.Equal(got, slices.Sorted(slices.Values(asked))) {
		t.Fatalf("commit of %v settled as OK with places for %v", asked, got)
	}
	used := map[string]size.Size{}
	for _, bg := range wo.running {
		used[bg.worker] = used[bg.worker].Add(bg.hold.Size)
	}
	for worker, sum := range used {
		if !sum.Fits(capacity) {
			t.Fatalf("worker %s carries %v of %v", worker, sum, capacity)
		}
	}
}

// hold asks for room, under a new id or again under an old one.
func (wo *world) hold(t *rapid.T) {
	hd := owner.Hold{
		ID: fmt.Sprint("h", wo.count), Size: size.New(1000*rapid.Int64Range(1, 4).Draw(t, "cores"), rapid.Int64Range(0, 60).Draw(t, "memory"), 0),
		Priority: rapid.IntRange(4, 9).Draw(t, "priority"), SubmittedAt: int64(wo.count), Reserve: rapid.Bool().Draw(t, "reserve"),
		Repeatable: rapid.Bool().Draw(t, "repeatable"), Run: time.Duration(rapid.IntRange(0, 20).Draw(t, "run")) * time.Second,
	}
	wo.count++
	hd.Urgent = hd.Priority == 9
	if old := rapid.SampledFrom(append(slices.Sorted(maps.Keys(wo.holds)), "")).Draw(t, "again"); old != "" {
		hd = wo.holds[old]
	}
	hd.Expires = wo.now + 8*time.Second
	hd.Tasks = nil
	for i := range 4 {
		if rapid.Bool().Draw(t, "task") {
			if id := fmt.Sprintf("%s.%d", hd.ID, i); wo.running[id].worker == "" {
				hd.Tasks = append(hd.Tasks, id)
			}
		}
	}
	wo.holds[hd.ID] = hd
	wo.step(t, owner.Event{Hold: &hd})
}

// commit commits what a hold was granted at some time, perhaps long ago.
func (wo *world) commit(t *rapid.T) {
	if len(wo.granted) == 0 {
		return
	}
	id := rapid.SampledFrom(slices.Sorted(maps.Keys(wo.granted))).Draw(t, "hold")
	var tasks []string
	for _, pl := range wo.granted[id] {
		tasks = append(tasks, pl.Task)
	}
	delete(wo.granted, id) // a home commits an attempt once
	wo.step(t, owner.Event{Commit: &owner.Commit{ID: id, Tasks: tasks}})
}

// end ends a task that runs.
func (wo *world) end(t *rapid.T) {
	if len(wo.running) == 0 {
		return
	}
	id := rapid.SampledFrom(slices.Sorted(maps.Keys(wo.running))).Draw(t, "task")
	delete(wo.running, id)
	wo.step(t, owner.Event{Ended: &owner.Ended{Task: id, Failed: rapid.Bool().Draw(t, "failed")}})
}

// TestModel drives an owner's decisions through random events: holds and commits
// late and again, ends, losses of workers and their return. No worker ever carries
// more than it has, no task begins twice, and a commit settles with all its places.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		wo := newWorld()
		worker := func() string { return workerName(rapid.IntRange(0, 2).Draw(t, "worker")) }
		t.Repeat(map[string]func(*rapid.T){
			"hold":   wo.hold,
			"commit": wo.commit,
			"end":    wo.end,
			"release": func(t *rapid.T) {
				if len(wo.holds) > 0 {
					id := rapid.SampledFrom(slices.Sorted(maps.Keys(wo.holds))).Draw(t, "hold")
					wo.step(t, owner.Event{Release: &owner.Release{ID: id}})
				}
			},
			"time": func(t *rapid.T) {
				wo.now += time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond
				wo.step(t, owner.Event{Tick: &owner.Tick{}})
			},
			"link lost": func(t *rapid.T) {
				wo.step(t, owner.Event{WorkerGone: &owner.WorkerGone{Worker: worker()}})
			},
			"worker lost": func(t *rapid.T) {
				name := worker()
				wo.step(t, owner.Event{WorkerGone: &owner.WorkerGone{Worker: name, Lost: true}})
				maps.DeleteFunc(wo.running, func(_ string, bg begun) bool { return bg.worker == name })
			},
			"worker back": func(*rapid.T) { wo.up(worker()) },
		})
	})
}
