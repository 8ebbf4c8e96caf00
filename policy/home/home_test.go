package home_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"tackbeam.example/policy/home"
	"tackbeam.example/policy/size"
)

// driver sends events to a machine for a cluster of 100 cores and records which jobs try.
type driver struct {
	mc    *home.Machine
	tried []string
	tries map[string]*home.Try
}

func newDriver(maxTries int) *driver {
	dr := &driver{mc: home.New(maxTries, home.DefaultRules()), tries: map[string]*home.Try{}}
	dr.step(0, home.Event{Capacity: &home.Capacity{Total: size.New(100000, 1000, 0), Largest: size.New(64000, 1000, 0)}})
	dr.tick(0)
	return dr
}

func (dr *driver) step(at time.Duration, ev home.Event) {
	ev.At = at
	for _, act := range dr.mc.Step(ev) {
		switch {
		case act.Try != nil:
			dr.tried = append(dr.tried, act.Try.Job)
			dr.tries[act.Try.Job] = act.Try
		case act.Expired != nil:
			dr.tried = append(dr.tried, "expired "+act.Expired.Job)
		}
	}
}

// job submits a job of a workspace, with one task of ten cores unless changed by change.
func (dr *driver) job(at time.Duration, id, workspace string, change func(*home.Submit)) {
	sb := &home.Submit{Job: id, Workspace: workspace, Workload: "push", Tasks: 1, Size: size.New(10000, 1, 0), Priority: 5}
	if change != nil {
		change(sb)
	}
	dr.step(at, home.Event{Submit: sb})
}

func (dr *driver) limits(lim home.Limits) { dr.step(0, home.Event{Limits: &lim}) }
func (dr *driver) placed(id string)       { dr.step(time.Second, home.Event{Placed: &home.Placed{Job: id}}) }
func (dr *driver) ended(at time.Duration, id string) {
	dr.step(at, home.Event{TaskEnded: &home.TaskEnded{Job: id, OK: true}})
}
func (dr *driver) tick(at time.Duration) { dr.step(at, home.Event{Tick: &home.Tick{}}) }
func (dr *driver) noResources(at time.Duration, id string, retryAt time.Duration) {
	dr.step(at, home.Event{NotPlaced: &home.NotPlaced{Job: id, RetryAt: retryAt}})
}

func gang(sb *home.Submit) { sb.Tasks = 4 }

// TestOrder checks which jobs try, in which order.
func TestOrder(t *testing.T) {
	one := int64(1)
	cases := map[string]struct {
		maxTries int
		run      func(dr *driver)
		want     string
	}{
		"order of submission": {1, func(dr *driver) {
			dr.job(0, "a", "x", nil)
			dr.job(0, "b", "x", nil)
			dr.placed("a")
		}, "a b"},
		"lower share first": {1, func(dr *driver) {
			dr.job(0, "a", "x", nil)
			dr.job(0, "b", "x", nil)
			dr.job(0, "c", "y", nil)
			dr.placed("a")
		}, "a c"},
		"a weight set in the table applies to later tries": {1, func(dr *driver) {
			dr.job(0, "a", "x", func(sb *home.Submit) { sb.Size = size.New(20000, 1, 0) })
			dr.job(0, "b", "y", nil)
			dr.placed("a")
			dr.job(0, "c", "x", nil)
			dr.job(0, "d", "y", nil)
			dr.limits(home.Limits{Workspace: "x", Weight: 10})
			dr.placed("b")
		}, "a b c"},
		"priority before share": {1, func(dr *driver) {
			dr.job(0, "a", "x", nil)
			dr.job(0, "b", "y", nil)
			dr.job(0, "c", "x", func(sb *home.Submit) { sb.Priority = 6 })
			dr.placed("a")
		}, "a c"},
		"held back by a limit until a task ends": {9, func(dr *driver) {
			dr.limits(home.Limits{Workspace: "x", Weight: 1, Running: &one})
			dr.job(0, "a", "x", nil)
			dr.job(0, "b", "x", nil)
			dr.placed("a")
			dr.tick(time.Second)
			dr.ended(2*time.Second, "a")
			dr.tick(2 * time.Second)
		}, "a b"},
		"jobs of at least a size that failed wait": {9, func(dr *driver) {
			dr.job(0, "a", "x", nil)
			dr.noResources(0, "a", 0)
			dr.job(0, "same", "y", nil)
			dr.job(0, "larger", "y", gang)
			dr.job(0, "smaller", "y", func(sb *home.Submit) { sb.Size = size.New(5000, 1, 0) })
			dr.tick(time.Second)
		}, "a smaller"},
		"all try when resources may have been freed": {9, func(dr *driver) {
			dr.job(0, "a", "x", nil)
			dr.noResources(0, "a", 0)
			dr.job(0, "b", "y", nil)
			dr.step(time.Second, home.Event{Capacity: &home.Capacity{}})
			dr.tick(time.Second)
		}, "a a b"},
		"urgent jobs try although their size failed": {9, func(dr *driver) {
			dr.job(0, "a", "x", nil)
			dr.noResources(0, "a", 0)
			dr.job(0, "u", "y", func(sb *home.Submit) { sb.Urgent = true })
		}, "a u"},
		"waits for its retry time": {9, func(dr *driver) {
			dr.job(0, "a", "x", nil)
			dr.noResources(0, "a", time.Second)
			dr.tick(time.Second - 1)
			dr.tick(time.Second)
		}, "a a"},
		"deadline passes while waiting": {9, func(dr *driver) {
			dr.job(0, "a", "x", func(sb *home.Submit) { sb.Deadline = time.Second })
			dr.noResources(0, "a", 0)
			dr.tick(time.Second)
			dr.tick(2 * time.Second)
		}, "a expired a"},
		"deadline passes during a try": {9, func(dr *driver) {
			dr.job(0, "a", "x", func(sb *home.Submit) { sb.Deadline = time.Second })
			dr.tick(2 * time.Second)
			dr.noResources(2*time.Second, "a", 0)
		}, "a expired a"},
		"removed jobs do not try": {1, func(dr *driver) {
			for n := range 5000 { // many jobs, all but one of which are then cancelled
				dr.job(0, fmt.Sprint("j", n), "x", func(sb *home.Submit) { sb.Deadline = time.Hour })
			}
			for n := range 4999 {
				dr.step(0, home.Event{Remove: &home.Remove{Job: fmt.Sprint("j", n+1)}})
			}
			dr.placed("j0")
			dr.tick(2 * time.Hour)
		}, "j0"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			dr := newDriver(tc.maxTries)
			tc.run(dr)
			if got := strings.Join(dr.tried, " "); got != tc.want {
				t.Errorf("tried %q, want %q", got, tc.want)
			}
		})
	}
}

// TestReserve checks from when a job reserves the resources that it finds. Ten runs of one minute are recorded for
// workload push.
func TestReserve(t *testing.T) {
	cases := map[string]struct {
		change func(*home.Submit)
		at     time.Duration
		want   bool
	}{
		"urgent immediately":                        {func(sb *home.Submit) { sb.Urgent = true }, 0, true},
		"gang not initially":                        {gang, time.Second, false},
		"gang after 2 s":                            {gang, 3 * time.Second, true},
		"single task not before 10 s":               {nil, 9 * time.Second, false},
		"single task after 10 s":                    {nil, 11 * time.Second, true},
		"waiting time elsewhere counts":             {func(sb *home.Submit) { gang(sb); sb.Waited = 3 * time.Second }, 0, true},
		"gang with a distant deadline waits longer": {func(sb *home.Submit) { gang(sb); sb.Deadline = 2 * time.Hour }, 5 * time.Second, false},
		"gang with a distant deadline after 10 s":   {func(sb *home.Submit) { gang(sb); sb.Deadline = 2 * time.Hour }, 11 * time.Second, true},
		"gang close to its latest start":            {func(sb *home.Submit) { gang(sb); sb.Deadline = 65 * time.Second }, 3 * time.Second, true},
		"gang of unknown run time after 2 s":        {func(sb *home.Submit) { gang(sb); sb.Workload, sb.Deadline = "new", 2*time.Hour }, 3 * time.Second, true},
		"gang past its latest start":                {func(sb *home.Submit) { gang(sb); sb.Deadline = 50 * time.Second }, 3 * time.Second, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			dr := newDriver(99)
			for n := range 10 {
				id := fmt.Sprint("known", n)
				dr.job(0, id, "x", nil)
				dr.placed(id)
				dr.ended(time.Minute+time.Second, id)
			}
			const now = 2 * time.Minute
			dr.job(now, "j", "x", func(sb *home.Submit) {
				if tc.change != nil {
					tc.change(sb)
				}
				if sb.Deadline > 0 {
					sb.Deadline += now
				}
			})
			dr.noResources(now, "j", now+max(1, tc.at))
			dr.tick(now + max(1, tc.at))
			if got := dr.tries["j"].Reserve; got != tc.want {
				t.Errorf("reserves: %v, want %v", got, tc.want)
			}
		})
	}
}

// TestExplain checks the reason for which a job waits, and the warning that it may miss its deadline.
func TestExplain(t *testing.T) {
	dr := newDriver(9)
	for n := range 10 {
		id := fmt.Sprint("known", n)
		dr.job(0, id, "x", nil)
		dr.placed(id)
		dr.ended(time.Minute+time.Second, id)
	}
	dr.job(0, "j", "x", func(sb *home.Submit) { sb.Deadline = 70 * time.Second })
	dr.noResources(0, "j", 0)
	early, late := dr.mc.Explain(time.Second, "j"), dr.mc.Explain(30*time.Second, "j")
	if !strings.Contains(early, "waits for room") || strings.Contains(early, "deadline") {
		t.Errorf("early: %q", early)
	}
	if !strings.Contains(late, "may miss its deadline") || !strings.Contains(late, "40s are left") {
		t.Errorf("late: %q", late)
	}
}
