// Package home decides for the jobs of the workspaces that one node is home of:
// in which order they try for room, and which wait behind a limit.
//
// The machine is a step function. It reads no clock and starts no goroutine:
// equal events give equal actions.
package home

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"tackbeam.example/policy/size"
)

// state of a job in the machine.
type state int

const (
	waiting state = iota
	trying
	placed
)

// job is one job of the machine.
type job struct {
	Submit
	state   state
	running int
	again   time.Duration
	order   int
}

// workspace is the account of one workspace.
type workspace struct {
	limits  Limits
	used    size.Size
	running int64
}

// Machine is the decision state of one home. It is not safe for concurrent use.
type Machine struct {
	jobs       map[string]*job
	waiting    map[string]*job
	workspaces map[string]*workspace
	capacity   Capacity
	tries      int
	atOnce     int
	submitted  int
}

// New returns an empty machine that lets atOnce jobs try for room together.
func New(atOnce int) *Machine {
	return &Machine{
		jobs:       map[string]*job{},
		waiting:    map[string]*job{},
		workspaces: map[string]*workspace{},
		atOnce:     atOnce,
	}
}

// Waiting returns the number of jobs in the queue.
func (mc *Machine) Waiting() int { return len(mc.waiting) }

// Step takes one event and returns the decisions that follow from it.
func (mc *Machine) Step(ev Event) []Action {
	switch {
	case ev.Submit != nil:
		mc.submit(*ev.Submit)
	case ev.Resume != nil:
		mc.resume(ev.Resume)
	case ev.Limits != nil:
		mc.workspace(ev.Limits.Workspace).limits = *ev.Limits
	case ev.Capacity != nil:
		mc.capacity = *ev.Capacity
		return nil
	case ev.Placed != nil:
		mc.placed(ev.Placed.Job)
	case ev.NotPlaced != nil:
		mc.notPlaced(ev.NotPlaced)
		return nil
	case ev.TaskEnded != nil:
		mc.taskEnded(ev.TaskEnded.Job)
	case ev.Remove != nil:
		mc.remove(ev.Remove.Job)
	}
	return mc.advance(ev.At)
}

func (mc *Machine) workspace(name string) *workspace {
	ws, ok := mc.workspaces[name]
	if !ok {
		ws = &workspace{limits: Limits{Workspace: name, Weight: 1}}
		mc.workspaces[name] = ws
	}
	return ws
}

func (mc *Machine) submit(sb Submit) {
	if _, ok := mc.jobs[sb.Job]; ok {
		return
	}
	mc.submitted++
	jb := &job{Submit: sb, order: mc.submitted, again: sb.Again}
	mc.jobs[sb.Job] = jb
	mc.waiting[sb.Job] = jb
}

func (mc *Machine) resume(rs *Resume) {
	if _, ok := mc.jobs[rs.Job]; ok {
		return
	}
	jb := &job{Submit: rs.Submit, state: placed, running: rs.Running}
	mc.jobs[rs.Job] = jb
	mc.workspace(rs.Workspace).charge(rs.Size, rs.Running)
}

func (ws *workspace) charge(sz size.Size, tasks int) {
	ws.used = ws.used.Add(sz.Times(int64(tasks)))
	ws.running += int64(tasks)
}

func (mc *Machine) placed(id string) {
	jb, ok := mc.jobs[id]
	if !ok || jb.state != trying {
		return
	}
	mc.tries--
	jb.state = placed
}

func (mc *Machine) notPlaced(np *NotPlaced) {
	jb, ok := mc.jobs[np.Job]
	if !ok || jb.state != trying {
		return
	}
	mc.tries--
	mc.workspace(jb.Workspace).charge(jb.Size, -jb.running)
	jb.running = 0
	jb.state = waiting
	jb.again = np.Again
	mc.waiting[np.Job] = jb
}

func (mc *Machine) taskEnded(id string) {
	jb, ok := mc.jobs[id]
	if !ok || jb.running == 0 {
		return
	}
	jb.running--
	mc.workspace(jb.Workspace).charge(jb.Size, -1)
}

func (mc *Machine) remove(id string) {
	jb, ok := mc.jobs[id]
	if !ok {
		return
	}
	if jb.state == trying {
		mc.tries--
	}
	mc.workspace(jb.Workspace).charge(jb.Size, -jb.running)
	delete(mc.jobs, id)
	delete(mc.waiting, id)
}

// advance drops late jobs and lets the next jobs try while tries are free.
func (mc *Machine) advance(now time.Duration) []Action {
	if len(mc.waiting) == 0 {
		return nil
	}
	var acts []Action
	var ready []*job
	for _, jb := range mc.waiting {
		switch {
		case jb.Deadline > 0 && jb.Deadline <= now:
			acts = append(acts, Action{Late: &Late{Job: jb.Job}})
		case jb.again <= now:
			ready = append(ready, jb)
		}
	}
	slices.SortFunc(acts, func(a, b Action) int { return cmp.Compare(a.Late.Job, b.Late.Job) })
	for _, act := range acts {
		mc.remove(act.Late.Job)
	}
	mc.sort(ready)
	for _, jb := range ready {
		if mc.tries >= mc.atOnce {
			break
		}
		if mc.limit(jb) == "" {
			acts = append(acts, mc.try(jb))
		}
	}
	return acts
}

// sort orders jobs by priority, then by the weighted dominant share of their
// workspace, then first come first.
func (mc *Machine) sort(jobs []*job) {
	share := map[string]float64{}
	for _, jb := range jobs {
		share[jb.Workspace] = mc.share(jb.Workspace)
	}
	slices.SortFunc(jobs, func(a, b *job) int {
		return cmp.Or(
			cmp.Compare(b.Priority, a.Priority),
			cmp.Compare(share[a.Workspace], share[b.Workspace]),
			cmp.Compare(a.order, b.order),
		)
	})
}

func (mc *Machine) share(name string) float64 {
	const minimumWeight = 0.001
	ws := mc.workspace(name)
	return ws.used.Share(mc.capacity.Total) / max(ws.limits.Weight, minimumWeight)
}

func (mc *Machine) try(jb *job) Action {
	mc.tries++
	jb.state = trying
	jb.running = jb.Tasks
	mc.workspace(jb.Workspace).charge(jb.Size, jb.Tasks)
	delete(mc.waiting, jb.Job)
	return Action{Try: &Try{Job: jb.Job}}
}

// limit names the column of the workspace that a job would go over, or "".
func (mc *Machine) limit(jb *job) string {
	const milliPerCore = 1000
	ws := mc.workspace(jb.Workspace)
	want := ws.used.Add(jb.Size.Times(int64(jb.Tasks)))
	lim := ws.limits
	switch {
	case lim.Processors != nil && float64(want.Processors()) > *lim.Processors*milliPerCore:
		return "processors"
	case lim.Memory != nil && want.Memory() > *lim.Memory:
		return "memory"
	case lim.Accelerators != nil && want.Accelerators() > *lim.Accelerators:
		return "accelerators"
	case lim.Running != nil && ws.running+int64(jb.Tasks) > *lim.Running:
		return "running"
	}
	return ""
}

// Explain says why a job waits, in one line, or "" where it does not wait.
func (mc *Machine) Explain(id string) string {
	jb, ok := mc.waiting[id]
	if !ok {
		return ""
	}
	if column := mc.limit(jb); column != "" {
		return fmt.Sprintf("waits behind limit %s of workspace %s", column, jb.Workspace)
	}
	if !jb.Size.Times(int64(jb.Tasks)).Fits(mc.capacity.Free) {
		return fmt.Sprintf("waits for room: needs %s, free %s",
			jb.Size.Times(int64(jb.Tasks)), mc.capacity.Free)
	}
	return "waits for its turn"
}

// Forbids names what forbids a job for ever: the row and column of a limit
// below the job's own size, or the dimension that no worker has. It returns ""
// where the job can run.
func (mc *Machine) Forbids(sb Submit) string {
	if d, over := sb.Size.Excess(mc.capacity.Largest); over {
		return fmt.Sprintf("%s: no worker has as much as one task asks for", d)
	}
	if d, over := sb.Size.Times(int64(sb.Tasks)).Excess(mc.capacity.Total); over {
		return fmt.Sprintf("%s: all workers together have less than the job asks for", d)
	}
	alone := &Machine{workspaces: map[string]*workspace{
		sb.Workspace: {limits: mc.workspace(sb.Workspace).limits},
	}}
	if column := alone.limit(&job{Submit: sb}); column != "" {
		return fmt.Sprintf("workspace/%s %s: the limit is below the job's own size", sb.Workspace, column)
	}
	return ""
}
