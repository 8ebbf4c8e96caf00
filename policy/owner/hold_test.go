package owner_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"tackbeam.example/policy/ledger"
	"tackbeam.example/policy/owner"
	"tackbeam.example/policy/size"
)

// cell is a machine over workers of four cores.
func cell(workers int) *owner.Machine {
	mc := owner.New(owner.DefaultLimits())
	for n := range workers {
		mc.Step(owner.Event{WorkerUp: &owner.WorkerUp{Worker: ledger.Worker{
			Name: fmt.Sprint("w", n), Capacity: size.New(4000, 4096, 0), Slots: 2,
		}}})
	}
	return mc
}

// ask makes a hold for tasks of some cores and returns the number of places and
// the tasks that are to be stopped.
func ask(mc *owner.Machine, hd owner.Hold, tasks int, cores int64) (places int, stops []string) {
	hd.Size = size.New(cores*1000, 1, 0)
	hd.Expires = time.Minute
	for i := range tasks {
		hd.Tasks = append(hd.Tasks, fmt.Sprint(hd.ID, ".", i))
	}
	for _, act := range mc.Step(owner.Event{Hold: &hd}) {
		switch {
		case act.Granted != nil:
			places = len(act.Granted.Places)
		case act.Preempt != nil:
			stops = append(stops, act.Preempt.Task)
		}
	}
	return places, stops
}

// start makes a hold and commits it.
func start(mc *owner.Machine, hd owner.Hold, cores int64) {
	ask(mc, hd, 1, cores)
	mc.Step(owner.Event{Commit: &owner.Commit{ID: hd.ID, Tasks: []string{hd.ID + ".0"}}})
}

func end(mc *owner.Machine, task string) { mc.Step(owner.Event{Ended: &owner.Ended{Task: task}}) }

// TestReservations shows who gets room that comes free while a gang wants it.
func TestReservations(t *testing.T) {
	gang := owner.Hold{ID: "gang", SubmittedAt: 10, Reserve: true}
	cases := map[string]struct {
		other owner.Hold
		cores int64
		want  int
	}{
		"a younger one stays off":         {owner.Hold{ID: "young", SubmittedAt: 20}, 1, 0},
		"an older one takes it":           {owner.Hold{ID: "old", SubmittedAt: 5}, 1, 1},
		"higher priority takes it":        {owner.Hold{ID: "high", SubmittedAt: 20, Priority: 9}, 1, 1},
		"a younger reservation stays off": {owner.Hold{ID: "young", SubmittedAt: 20, Reserve: true}, 4, 0},
		"an older reservation takes it":   {owner.Hold{ID: "old", SubmittedAt: 5, Reserve: true}, 4, 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			mc := cell(2)
			start(mc, owner.Hold{ID: "a"}, 4)
			start(mc, owner.Hold{ID: "b"}, 4)
			if got, _ := ask(mc, gang, 2, 4); got != 0 {
				t.Fatalf("the gang got %d places of a full cell", got)
			}
			end(mc, "a.0")
			if got, _ := ask(mc, tc.other, 1, tc.cores); got != tc.want {
				t.Errorf("got %d places, want %d", got, tc.want)
			}
		})
	}
}

// TestTwoGangs lets two gangs hold a part each. The older one gets all.
func TestTwoGangs(t *testing.T) {
	mc := cell(2)
	young := owner.Hold{ID: "young", SubmittedAt: 20, Reserve: true}
	old := owner.Hold{ID: "old", SubmittedAt: 10, Reserve: true}
	start(mc, owner.Hold{ID: "a"}, 4)
	if got, _ := ask(mc, young, 2, 4); got != 1 {
		t.Fatalf("the younger gang got %d places, want 1", got)
	}
	end(mc, "a.0")
	if got, _ := ask(mc, old, 2, 4); got != 2 {
		t.Errorf("the older gang got %d places, want 2", got)
	}
	if got, _ := ask(mc, young, 2, 4); got != 0 {
		t.Errorf("the younger gang got %d places, want 0", got)
	}
}

// TestReservationMovesOn gives a gang one of the workers that it keeps free. For
// the task that is left it keeps another one free, not the one that it fills.
func TestReservationMovesOn(t *testing.T) {
	mc := cell(2)
	start(mc, owner.Hold{ID: "a"}, 3)
	start(mc, owner.Hold{ID: "b"}, 4)
	gang := owner.Hold{ID: "gang", SubmittedAt: 10, Reserve: true}
	ask(mc, gang, 2, 4)
	end(mc, "a.0")
	if got, _ := ask(mc, gang, 2, 4); got != 1 {
		t.Fatalf("the gang got %d places, want 1", got)
	}
	end(mc, "b.0")
	if got, _ := ask(mc, owner.Hold{ID: "young", SubmittedAt: 20}, 1, 1); got != 0 {
		t.Error("a younger job got the room that the gang still wants")
	}
	if got, _ := ask(mc, gang, 2, 4); got != 2 {
		t.Errorf("the gang got %d places, want 2", got)
	}
}

// TestCommitTakenOver commits a hold after an older gang took its places over:
// nothing is committed, since there is no room behind it any more.
func TestCommitTakenOver(t *testing.T) {
	mc := cell(1)
	ask(mc, owner.Hold{ID: "young", SubmittedAt: 20, Reserve: true}, 2, 4)
	ask(mc, owner.Hold{ID: "old", SubmittedAt: 10, Reserve: true}, 1, 4)
	cases := map[string]struct {
		tasks []string
		want  bool
	}{
		"young": {[]string{"young.0"}, false},
		"old":   {[]string{"old.0"}, true},
	}
	for id, tc := range cases {
		for _, act := range mc.Step(owner.Event{Commit: &owner.Commit{ID: id, Tasks: tc.tasks}}) {
			if act.Settled.OK != tc.want {
				t.Errorf("commit of %s settled as %v, want %v", id, act.Settled.OK, tc.want)
			}
		}
	}
}

// TestPreempt shows which tasks are stopped for urgent work: the fewest, of the
// lowest priority, the youngest, and none that may not be repeated.
func TestPreempt(t *testing.T) {
	cases := map[string]struct {
		running []owner.Hold
		want    string
	}{
		"the youngest":               {[]owner.Hold{{ID: "a", Repeatable: true}, {ID: "b", Repeatable: true}}, "b.0"},
		"the lower priority":         {[]owner.Hold{{ID: "a", Repeatable: true}, {ID: "b", Repeatable: true, Priority: 3}}, "a.0"},
		"only what may be repeated":  {[]owner.Hold{{ID: "a", Repeatable: true}, {ID: "b"}}, "a.0"},
		"nothing of equal priority":  {[]owner.Hold{{ID: "a", Repeatable: true, Priority: 9}, {ID: "b"}}, ""},
		"nothing that would not fit": {[]owner.Hold{{ID: "a"}, {ID: "b"}}, ""},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			mc := cell(1)
			for _, hd := range tc.running {
				start(mc, hd, 2)
			}
			urgent := owner.Hold{ID: "urgent", Priority: 9, Reserve: true, Urgent: true}
			_, stops := ask(mc, urgent, 1, 2)
			if got := strings.Join(stops, " "); got != tc.want {
				t.Fatalf("stops %q, want %q", got, tc.want)
			}
			if _, again := ask(mc, urgent, 1, 2); len(again) > 0 {
				t.Errorf("stops %v as well, before the first has ended", again)
			}
			if tc.want == "" {
				return
			}
			end(mc, tc.want)
			if got, _ := ask(mc, urgent, 1, 2); got != 1 {
				t.Error("the room that came free went to nobody")
			}
		})
	}
}

// BenchmarkStep takes one task and one lookup through all their events.
func BenchmarkStep(b *testing.B) {
	for _, count := range []int{50, 970, 10000} {
		mc := cell(count)
		b.Run(fmt.Sprint("task ", count), func(b *testing.B) {
			hd := owner.Hold{ID: "j", Tasks: []string{"j.1.0"}, Size: size.New(1000, 64, 0), Expires: time.Minute}
			for b.Loop() {
				mc.Step(owner.Event{Hold: &hd})
				mc.Step(owner.Event{Commit: &owner.Commit{ID: "j", Tasks: hd.Tasks}})
				mc.Step(owner.Event{Started: &owner.Started{Task: "j.1.0"}})
				end(mc, "j.1.0")
			}
		})
		b.Run(fmt.Sprint("lookup ", count), func(b *testing.B) {
			ar := owner.Lookup{ID: "lookup-1", Workspace: "brno", Weight: 1, Deadline: time.Hour}
			for b.Loop() {
				mc.Step(owner.Event{Lookup: &ar})
				mc.Step(owner.Event{LookupDone: &owner.LookupDone{ID: ar.ID, Latency: time.Millisecond}})
			}
		})
	}
}

// TestBackfill lets a short task use a worker that a gang keeps free, where it
// ends before the gang could start there.
func TestBackfill(t *testing.T) {
	cases := map[string]struct {
		running time.Duration // of the task that the gang waits for
		short   owner.Hold
		want    int
	}{
		"ends before":              {time.Minute, owner.Hold{Run: 50 * time.Second}, 1},
		"ends after":               {time.Minute, owner.Hold{Run: 70 * time.Second}, 0},
		"of unknown time":          {time.Minute, owner.Hold{}, 0},
		"what runs is unknown":     {0, owner.Hold{Run: time.Second}, 0},
		"one that reserves itself": {time.Minute, owner.Hold{Run: time.Second, Reserve: true}, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			mc := cell(2)
			start(mc, owner.Hold{ID: "long", Run: tc.running}, 3)
			start(mc, owner.Hold{ID: "other", Run: tc.running}, 3)
			if got, _ := ask(mc, owner.Hold{ID: "gang", SubmittedAt: 10, Reserve: true}, 2, 4); got != 0 {
				t.Fatalf("the gang got %d places of a full cell", got)
			}
			tc.short.ID, tc.short.SubmittedAt = "short", 20
			if got, _ := ask(mc, tc.short, 1, 1); got != tc.want {
				t.Errorf("got %d places, want %d", got, tc.want)
			}
		})
	}
}

// TestHoldAgain asks again under the id of a hold whose answer was lost. Meanwhile
// another owner gave the first task its place: this one must not keep one too.
func TestHoldAgain(t *testing.T) {
	mc := cell(1)
	hd := owner.Hold{ID: "gang", Tasks: []string{"gang.0"}, Size: size.New(4000, 1, 0), Expires: time.Minute, Reserve: true}
	mc.Step(owner.Event{Hold: &hd})
	hd.Tasks = []string{"gang.1"}
	for _, act := range mc.Step(owner.Event{Hold: &hd}) {
		if act.Granted == nil {
			continue
		}
		if got := act.Granted.Places; len(got) != 1 || got[0].Task != "gang.1" {
			t.Errorf("got places %v, want one for gang.1", got)
		}
	}
}

// TestTwoUrgent lets two urgent jobs each stop a task. Whichever ends first, its
// room is for the job that it gave way to, and nothing more is stopped.
func TestTwoUrgent(t *testing.T) {
	for _, first := range []int{0, 1} {
		mc := cell(2)
		start(mc, owner.Hold{ID: "a", Repeatable: true}, 4)
		start(mc, owner.Hold{ID: "b", Repeatable: true}, 4)
		urgent := []owner.Hold{
			{ID: "u0", SubmittedAt: 10, Priority: 9, Reserve: true, Urgent: true}, {ID: "u1", SubmittedAt: 11, Priority: 9, Reserve: true, Urgent: true},
		}
		var stops []string
		for _, hd := range urgent {
			_, more := ask(mc, hd, 1, 4)
			stops = append(stops, more...)
		}
		if len(stops) != 2 {
			t.Fatalf("stopped %v, want two", stops)
		}
		ask(mc, urgent[0], 1, 4) // asks again meanwhile
		end(mc, stops[first])
		if got, more := ask(mc, urgent[first], 1, 4); got != 1 || len(more) > 0 {
			t.Errorf("u%d got %d places and stops %v", first, got, more)
		}
	}
}

// TestTakenRoom lets the older of two urgent jobs take the room that the younger one
// made. The younger gets what the older one made, and stops nothing more.
func TestTakenRoom(t *testing.T) {
	mc := cell(3)
	start(mc, owner.Hold{ID: "a", Repeatable: true}, 4)
	start(mc, owner.Hold{ID: "b", Repeatable: true}, 4)
	start(mc, owner.Hold{ID: "c", Repeatable: true}, 4)
	old := owner.Hold{ID: "old", SubmittedAt: 10, Priority: 9, Reserve: true, Urgent: true}
	young := owner.Hold{ID: "young", SubmittedAt: 11, Priority: 9, Reserve: true, Urgent: true}
	_, made := ask(mc, old, 1, 4)
	_, second := ask(mc, young, 1, 4)
	end(mc, second[0])
	if got, _ := ask(mc, old, 1, 4); got != 1 {
		t.Fatal("the older one did not take the room")
	}
	mc.Step(owner.Event{Commit: &owner.Commit{ID: "old", Tasks: []string{"old.0"}}})
	end(mc, made[0])
	if got, _ := ask(mc, owner.Hold{ID: "low", SubmittedAt: 5}, 1, 4); got != 0 {
		t.Error("a job of lower priority got the room")
	}
	if got, more := ask(mc, young, 1, 4); got != 1 || len(more) > 0 {
		t.Errorf("then it got %d places and stops %v", got, more)
	}
}
