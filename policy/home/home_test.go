package home_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"tackbeam.example/policy/home"
	"tackbeam.example/policy/size"
)

// script steps a machine over a cluster of 100 cores and notes who tries.
type script struct {
	mc    *home.Machine
	tried []string
	acts  map[string]*home.Try
}

func newScript(atOnce int) *script {
	sc := &script{mc: home.New(atOnce, home.DefaultRules()), acts: map[string]*home.Try{}}
	sc.step(0, home.Event{Capacity: &home.Capacity{Total: size.New(100000, 1000, 0), Largest: size.New(64000, 1000, 0)}})
	sc.tick(0)
	return sc
}

func (sc *script) step(at time.Duration, ev home.Event) {
	ev.At = at
	for _, act := range sc.mc.Step(ev) {
		switch {
		case act.Try != nil:
			sc.tried = append(sc.tried, act.Try.Job)
			sc.acts[act.Try.Job] = act.Try
		case act.Expired != nil:
			sc.tried = append(sc.tried, "late "+act.Expired.Job)
		}
	}
}

// job submits a job of a workspace, with one task of ten cores unless changed.
func (sc *script) job(at time.Duration, id, workspace string, change func(*home.Submit)) {
	sb := &home.Submit{Job: id, Workspace: workspace, Workload: "push", Tasks: 1, Size: size.New(10000, 1, 0), Priority: 5}
	if change != nil {
		change(sb)
	}
	sc.step(at, home.Event{Submit: sb})
}

func (sc *script) limits(lim home.Limits) { sc.step(0, home.Event{Limits: &lim}) }
func (sc *script) placed(id string)       { sc.step(time.Second, home.Event{Placed: &home.Placed{Job: id}}) }
func (sc *script) ended(at time.Duration, id string) {
	sc.step(at, home.Event{TaskEnded: &home.TaskEnded{Job: id, OK: true}})
}
func (sc *script) tick(at time.Duration) { sc.step(at, home.Event{Tick: &home.Tick{}}) }
func (sc *script) noRoom(at time.Duration, id string, again time.Duration) {
	sc.step(at, home.Event{NotPlaced: &home.NotPlaced{Job: id, RetryAt: again}})
}

func gang(sb *home.Submit) { sb.Tasks = 4 }

// TestOrder tells who tries when.
func TestOrder(t *testing.T) {
	one := int64(1)
	cases := map[string]struct {
		atOnce int
		run    func(sc *script)
		want   string
	}{
		"first come first": {1, func(sc *script) {
			sc.job(0, "a", "x", nil)
			sc.job(0, "b", "x", nil)
			sc.placed("a")
		}, "a b"},
		"the lower share first": {1, func(sc *script) {
			sc.job(0, "a", "x", nil)
			sc.job(0, "b", "x", nil)
			sc.job(0, "c", "y", nil)
			sc.placed("a")
		}, "a c"},
		"a weight in the table counts from now on": {1, func(sc *script) {
			sc.job(0, "a", "x", func(sb *home.Submit) { sb.Size = size.New(20000, 1, 0) })
			sc.job(0, "b", "y", nil)
			sc.placed("a")
			sc.job(0, "c", "x", nil)
			sc.job(0, "d", "y", nil)
			sc.limits(home.Limits{Workspace: "x", Weight: 10})
			sc.placed("b")
		}, "a b c"},
		"priority before share": {1, func(sc *script) {
			sc.job(0, "a", "x", nil)
			sc.job(0, "b", "y", nil)
			sc.job(0, "c", "x", func(sb *home.Submit) { sb.Priority = 6 })
			sc.placed("a")
		}, "a c"},
		"a limit holds until a task ends": {9, func(sc *script) {
			sc.limits(home.Limits{Workspace: "x", Weight: 1, Running: &one})
			sc.job(0, "a", "x", nil)
			sc.job(0, "b", "x", nil)
			sc.placed("a")
			sc.tick(time.Second)
			sc.ended(2*time.Second, "a")
			sc.tick(2 * time.Second)
		}, "a b"},
		"a size without room waits for room": {9, func(sc *script) {
			sc.job(0, "a", "x", nil)
			sc.noRoom(0, "a", 0)
			sc.job(0, "same", "y", nil)
			sc.job(0, "larger", "y", gang)
			sc.job(0, "smaller", "y", func(sb *home.Submit) { sb.Size = size.New(5000, 1, 0) })
			sc.tick(time.Second)
		}, "a smaller"},
		"room that may have come free lets all try": {9, func(sc *script) {
			sc.job(0, "a", "x", nil)
			sc.noRoom(0, "a", 0)
			sc.job(0, "b", "y", nil)
			sc.step(time.Second, home.Event{Capacity: &home.Capacity{}})
			sc.tick(time.Second)
		}, "a a b"},
		"urgent work tries though its size found no room": {9, func(sc *script) {
			sc.job(0, "a", "x", nil)
			sc.noRoom(0, "a", 0)
			sc.job(0, "u", "y", func(sb *home.Submit) { sb.Urgent = true })
		}, "a u"},
		"a time to try again": {9, func(sc *script) {
			sc.job(0, "a", "x", nil)
			sc.noRoom(0, "a", time.Second)
			sc.tick(time.Second - 1)
			sc.tick(time.Second)
		}, "a a"},
		"late while it waits": {9, func(sc *script) {
			sc.job(0, "a", "x", func(sb *home.Submit) { sb.Deadline = time.Second })
			sc.noRoom(0, "a", 0)
			sc.tick(time.Second)
			sc.tick(2 * time.Second)
		}, "a late a"},
		"late after its last moment passed in a try": {9, func(sc *script) {
			sc.job(0, "a", "x", func(sb *home.Submit) { sb.Deadline = time.Second })
			sc.tick(2 * time.Second)
			sc.noRoom(2*time.Second, "a", 0)
		}, "a late a"},
		"removed jobs are gone": {1, func(sc *script) {
			for n := range 5000 { // a wave of cancels
				sc.job(0, fmt.Sprint("j", n), "x", func(sb *home.Submit) { sb.Deadline = time.Hour })
			}
			for n := range 4999 {
				sc.step(0, home.Event{Remove: &home.Remove{Job: fmt.Sprint("j", n+1)}})
			}
			sc.placed("j0")
			sc.tick(2 * time.Hour)
		}, "j0"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			sc := newScript(tc.atOnce)
			tc.run(sc)
			if got := strings.Join(sc.tried, " "); got != tc.want {
				t.Errorf("tried %q, want %q", got, tc.want)
			}
		})
	}
}

// TestReserve tells from when a job keeps the room that it finds. Ten runs of a
// minute are known of workload push.
func TestReserve(t *testing.T) {
	cases := map[string]struct {
		change func(*home.Submit)
		at     time.Duration
		want   bool
	}{
		"urgent at once":                          {func(sb *home.Submit) { sb.Urgent = true }, 0, true},
		"a gang not at first":                     {gang, time.Second, false},
		"a gang after a while":                    {gang, 3 * time.Second, true},
		"one task not before long":                {nil, 9 * time.Second, false},
		"one task after long":                     {nil, 11 * time.Second, true},
		"what it waited elsewhere counts":         {func(sb *home.Submit) { gang(sb); sb.Waited = 3 * time.Second }, 0, true},
		"a gang with time left for others":        {func(sb *home.Submit) { gang(sb); sb.Deadline = 2 * time.Hour }, 5 * time.Second, false},
		"a gang with time left, but not for ever": {func(sb *home.Submit) { gang(sb); sb.Deadline = 2 * time.Hour }, 11 * time.Second, true},
		"a gang close to its latest start":        {func(sb *home.Submit) { gang(sb); sb.Deadline = 65 * time.Second }, 3 * time.Second, true},
		"a gang of unknown time after a while":    {func(sb *home.Submit) { gang(sb); sb.Workload, sb.Deadline = "new", 2*time.Hour }, 3 * time.Second, true},
		"a gang whose latest start has passed":    {func(sb *home.Submit) { gang(sb); sb.Deadline = 50 * time.Second }, 3 * time.Second, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			sc := newScript(99)
			for n := range 10 {
				id := fmt.Sprint("known", n)
				sc.job(0, id, "x", nil)
				sc.placed(id)
				sc.ended(time.Minute+time.Second, id)
			}
			const now = 2 * time.Minute
			sc.job(now, "j", "x", func(sb *home.Submit) {
				if tc.change != nil {
					tc.change(sb)
				}
				if sb.Deadline > 0 {
					sb.Deadline += now
				}
			})
			sc.noRoom(now, "j", now+max(1, tc.at))
			sc.tick(now + max(1, tc.at))
			if got := sc.acts["j"].Reserve; got != tc.want {
				t.Errorf("reserves: %v, want %v", got, tc.want)
			}
		})
	}
}

// TestExplain tells operators why a job waits, and that its deadline is at risk.
func TestExplain(t *testing.T) {
	sc := newScript(9)
	for n := range 10 {
		id := fmt.Sprint("known", n)
		sc.job(0, id, "x", nil)
		sc.placed(id)
		sc.ended(time.Minute+time.Second, id)
	}
	sc.job(0, "j", "x", func(sb *home.Submit) { sb.Deadline = 70 * time.Second })
	sc.noRoom(0, "j", 0)
	early, late := sc.mc.Explain(time.Second, "j"), sc.mc.Explain(30*time.Second, "j")
	if !strings.Contains(early, "waits for room") || strings.Contains(early, "deadline") {
		t.Errorf("early: %q", early)
	}
	if !strings.Contains(late, "may miss its deadline") || !strings.Contains(late, "40s are left") {
		t.Errorf("late: %q", late)
	}
}
