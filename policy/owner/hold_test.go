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

// cell returns a machine with workers of four cores and two slots.
func cell(workers int) *owner.Machine {
	mc := owner.New(owner.DefaultLimits())
	for n := range workers {
		mc.Step(owner.Event{WorkerUp: &owner.WorkerUp{Worker: ledger.Worker{
			Name: fmt.Sprint("w", n), Capacity: size.New(4000, 4096, 0), Slots: 2,
		}}})
	}
	return mc
}

// request requests a hold for tasks of some cores and returns the number of places and the preempted tasks.
func request(mc *owner.Machine, hd owner.Hold, tasks int, cores int64) (places int, preempted []string) {
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
			preempted = append(preempted, act.Preempt.Task)
		}
	}
	return places, preempted
}

// start requests a hold and commits it.
func start(mc *owner.Machine, hd owner.Hold, cores int64) {
	request(mc, hd, 1, cores)
	mc.Step(owner.Event{Commit: &owner.Commit{ID: hd.ID, Tasks: []string{hd.ID + ".0"}}})
}

func end(mc *owner.Machine, task string) { mc.Step(owner.Event{Ended: &owner.Ended{Task: task}}) }

// TestReservations checks which holds can take resources that are freed while a gang has reserved them.
func TestReservations(t *testing.T) {
	gang := owner.Hold{ID: "gang", SubmittedAt: 10, Reserve: true}
	cases := map[string]struct {
		other owner.Hold
		cores int64
		want  int
	}{
		"a younger hold gets nothing":        {owner.Hold{ID: "young", SubmittedAt: 20}, 1, 0},
		"an older hold gets them":            {owner.Hold{ID: "old", SubmittedAt: 5}, 1, 1},
		"higher priority gets them":          {owner.Hold{ID: "high", SubmittedAt: 20, Priority: 9}, 1, 1},
		"a younger reservation gets nothing": {owner.Hold{ID: "young", SubmittedAt: 20, Reserve: true}, 4, 0},
		"an older reservation gets them":     {owner.Hold{ID: "old", SubmittedAt: 5, Reserve: true}, 4, 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			mc := cell(2)
			start(mc, owner.Hold{ID: "a"}, 4)
			start(mc, owner.Hold{ID: "b"}, 4)
			if got, _ := request(mc, gang, 2, 4); got != 0 {
				t.Fatalf("the gang got %d places of a full cell", got)
			}
			end(mc, "a.0")
			if got, _ := request(mc, tc.other, 1, tc.cores); got != tc.want {
				t.Errorf("got %d places, want %d", got, tc.want)
			}
		})
	}
}

// TestTwoGangs checks that, of two gangs that each hold a part of the workers, the older one gets all.
func TestTwoGangs(t *testing.T) {
	mc := cell(2)
	young := owner.Hold{ID: "young", SubmittedAt: 20, Reserve: true}
	old := owner.Hold{ID: "old", SubmittedAt: 10, Reserve: true}
	start(mc, owner.Hold{ID: "a"}, 4)
	if got, _ := request(mc, young, 2, 4); got != 1 {
		t.Fatalf("the younger gang got %d places, want 1", got)
	}
	end(mc, "a.0")
	if got, _ := request(mc, old, 2, 4); got != 2 {
		t.Errorf("the older gang got %d places, want 2", got)
	}
	if got, _ := request(mc, young, 2, 4); got != 0 {
		t.Errorf("the younger gang got %d places, want 0", got)
	}
}

// TestReservationMoves checks that a gang that got one of its reserved workers keeps another one reserved for its
// second task, not the one that it already fills.
func TestReservationMoves(t *testing.T) {
	mc := cell(2)
	start(mc, owner.Hold{ID: "a"}, 3)
	start(mc, owner.Hold{ID: "b"}, 4)
	gang := owner.Hold{ID: "gang", SubmittedAt: 10, Reserve: true}
	request(mc, gang, 2, 4)
	end(mc, "a.0")
	if got, _ := request(mc, gang, 2, 4); got != 1 {
		t.Fatalf("the gang got %d places, want 1", got)
	}
	end(mc, "b.0")
	if got, _ := request(mc, owner.Hold{ID: "young", SubmittedAt: 20}, 1, 1); got != 0 {
		t.Error("a younger job got resources that are reserved for the gang")
	}
	if got, _ := request(mc, gang, 2, 4); got != 2 {
		t.Errorf("the gang got %d places, want 2", got)
	}
}

// TestCommitTakenOver commits a hold after an older gang took over its places: nothing must be committed, since the
// hold has no resources any more.
func TestCommitTakenOver(t *testing.T) {
	mc := cell(1)
	request(mc, owner.Hold{ID: "young", SubmittedAt: 20, Reserve: true}, 2, 4)
	request(mc, owner.Hold{ID: "old", SubmittedAt: 10, Reserve: true}, 1, 4)
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

// TestPreempt checks which tasks are preempted for urgent work: as few as possible, of the lowest priority, the
// youngest, and only repeatable ones.
func TestPreempt(t *testing.T) {
	cases := map[string]struct {
		running []owner.Hold
		want    string
	}{
		"the youngest":             {[]owner.Hold{{ID: "a", Repeatable: true}, {ID: "b", Repeatable: true}}, "b.0"},
		"the lower priority":       {[]owner.Hold{{ID: "a", Repeatable: true}, {ID: "b", Repeatable: true, Priority: 3}}, "a.0"},
		"only repeatable tasks":    {[]owner.Hold{{ID: "a", Repeatable: true}, {ID: "b"}}, "a.0"},
		"none of equal priority":   {[]owner.Hold{{ID: "a", Repeatable: true, Priority: 9}, {ID: "b"}}, ""},
		"none if it would not fit": {[]owner.Hold{{ID: "a"}, {ID: "b"}}, ""},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			mc := cell(1)
			for _, hd := range tc.running {
				start(mc, hd, 2)
			}
			urgent := owner.Hold{ID: "urgent", Priority: 9, Reserve: true, Urgent: true}
			_, preempted := request(mc, urgent, 1, 2)
			if got := strings.Join(preempted, " "); got != tc.want {
				t.Fatalf("preempted %q, want %q", got, tc.want)
			}
			if _, more := request(mc, urgent, 1, 2); len(more) > 0 {
				t.Errorf("also preempted %v before the first task ended", more)
			}
			if tc.want == "" {
				return
			}
			end(mc, tc.want)
			if got, _ := request(mc, urgent, 1, 2); got != 1 {
				t.Error("the urgent hold did not get the freed resources")
			}
		})
	}
}

// BenchmarkStep processes all events of one task and of one lookup.
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
			lk := owner.Lookup{ID: "lookup-1", Workspace: "brno", Weight: 1, Deadline: time.Hour}
			for b.Loop() {
				mc.Step(owner.Event{Lookup: &lk})
				mc.Step(owner.Event{LookupDone: &owner.LookupDone{ID: lk.ID, Latency: time.Millisecond}})
			}
		})
	}
}

// TestBackfill checks that a short task may use a worker reserved for a gang only if it ends before the gang could
// start there.
func TestBackfill(t *testing.T) {
	cases := map[string]struct {
		running time.Duration // of the task that the gang waits for
		short   owner.Hold
		want    int
	}{
		"ends before":                      {time.Minute, owner.Hold{Run: 50 * time.Second}, 1},
		"ends after":                       {time.Minute, owner.Hold{Run: 70 * time.Second}, 0},
		"unknown run time":                 {time.Minute, owner.Hold{}, 0},
		"running task of unknown run time": {0, owner.Hold{Run: time.Second}, 0},
		"reserves itself":                  {time.Minute, owner.Hold{Run: time.Second, Reserve: true}, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			mc := cell(2)
			start(mc, owner.Hold{ID: "long", Run: tc.running}, 3)
			start(mc, owner.Hold{ID: "other", Run: tc.running}, 3)
			if got, _ := request(mc, owner.Hold{ID: "gang", SubmittedAt: 10, Reserve: true}, 2, 4); got != 0 {
				t.Fatalf("the gang got %d places of a full cell", got)
			}
			tc.short.ID, tc.short.SubmittedAt = "short", 20
			if got, _ := request(mc, tc.short, 1, 1); got != tc.want {
				t.Errorf("got %d places, want %d", got, tc.want)
			}
		})
	}
}

// TestHoldRepeated requests a hold again whose response was lost, without its first task, which got a place from
// another owner: this owner must release its place for that task.
func TestHoldRepeated(t *testing.T) {
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

// TestTwoUrgent lets two urgent jobs each preempt a task. Whichever of the tasks ends first, its resources must go to
// the job that preempted it, and no other task may be preempted.
func TestTwoUrgent(t *testing.T) {
	for _, first := range []int{0, 1} {
		mc := cell(2)
		start(mc, owner.Hold{ID: "a", Repeatable: true}, 4)
		start(mc, owner.Hold{ID: "b", Repeatable: true}, 4)
		urgent := []owner.Hold{
			{ID: "u0", SubmittedAt: 10, Priority: 9, Reserve: true, Urgent: true}, {ID: "u1", SubmittedAt: 11, Priority: 9, Reserve: true, Urgent: true},
		}
		var preempted []string
		for _, hd := range urgent {
			_, more := request(mc, hd, 1, 4)
			preempted = append(preempted, more...)
		}
		if len(preempted) != 2 {
			t.Fatalf("preempted %v, want two", preempted)
		}
		request(mc, urgent[0], 1, 4) // requested again in the meantime
		end(mc, preempted[first])
		if got, more := request(mc, urgent[first], 1, 4); got != 1 || len(more) > 0 {
			t.Errorf("u%d got %d places and preempted %v", first, got, more)
		}
	}
}

// TestFreedResourcesTaken lets the older of two urgent jobs take the resources freed for the younger one. The younger
// one must get those freed for the older one, and preempt no other task.
func TestFreedResourcesTaken(t *testing.T) {
	mc := cell(3)
	start(mc, owner.Hold{ID: "a", Repeatable: true}, 4)
	start(mc, owner.Hold{ID: "b", Repeatable: true}, 4)
	start(mc, owner.Hold{ID: "c", Repeatable: true}, 4)
	old := owner.Hold{ID: "old", SubmittedAt: 10, Priority: 9, Reserve: true, Urgent: true}
	young := owner.Hold{ID: "young", SubmittedAt: 11, Priority: 9, Reserve: true, Urgent: true}
	_, forOld := request(mc, old, 1, 4)
	_, forYoung := request(mc, young, 1, 4)
	end(mc, forYoung[0])
	if got, _ := request(mc, old, 1, 4); got != 1 {
		t.Fatal("the older job did not get the freed resources")
	}
	mc.Step(owner.Event{Commit: &owner.Commit{ID: "old", Tasks: []string{"old.0"}}})
	end(mc, forOld[0])
	if got, _ := request(mc, owner.Hold{ID: "low", SubmittedAt: 5}, 1, 4); got != 0 {
		t.Error("a job of lower priority got the freed resources")
	}
	if got, more := request(mc, young, 1, 4); got != 1 || len(more) > 0 {
		t.Errorf("then the younger job got %d places and preempted %v", got, more)
	}
}
