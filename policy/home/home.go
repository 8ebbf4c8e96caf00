// Package home decides for the jobs of the workspaces that one node is home of:
// in which order they try for room, and which wait behind a limit.
//
// The machine is a step function. It reads no clock and starts no goroutine:
// equal events give equal actions.
package home

import (
	"cmp"
	"fmt"
	"time"

	"tackbeam.example/policy/runtimes"
)

// Machine is the decision state of one home. It is not safe for concurrent use.
type Machine struct {
	jobs       map[string]*job
	workspaces map[string]*workspace
	capacity   Capacity
	queue      queue
	runs       *runtimes.Histograms
	rules      Rules
	reserving  int
	tries      int
	atOnce     int
	submitted  int
}

// New returns an empty machine that lets atOnce jobs try for room together.
func New(atOnce int, rl Rules) *Machine {
	return &Machine{
		runs:       runtimes.New(),
		rules:      rl,
		jobs:       map[string]*job{},
		workspaces: map[string]*workspace{},
		queue:      newQueue(),
		atOnce:     atOnce,
	}
}

// Waiting returns the number of jobs in the queue.
func (mc *Machine) Waiting() int { return mc.queue.waiting }

// Step takes one event and returns the decisions that follow from it.
func (mc *Machine) Step(ev Event) []Action {
	switch {
	case ev.Submit != nil:
		mc.submit(ev.At, *ev.Submit)
	case ev.Resume != nil:
		mc.resume(ev.Resume)
	case ev.Limits != nil:
		mc.workspace(ev.Limits.Workspace).limits = *ev.Limits
	case ev.Capacity != nil:
		mc.capacity = *ev.Capacity
		mc.queue.roomChanged()
		return nil
	case ev.Placed != nil:
		mc.placed(ev.At, ev.Placed.Job)
	case ev.NotPlaced != nil:
		mc.notPlaced(ev.At, ev.NotPlaced)
	case ev.TaskEnded != nil:
		mc.taskEnded(ev.At, ev.TaskEnded)
		return nil // the next tick lets jobs try
	case ev.Tick != nil:
		mc.queue.unblock()
	case ev.Remove != nil:
		mc.remove(ev.Remove.Job)
	}
	return mc.advance(ev.At)
}

func (mc *Machine) submit(now time.Duration, sb Submit) {
	if _, ok := mc.jobs[sb.Job]; ok {
		return
	}
	mc.submitted++
	jb := &job{Submit: sb, order: mc.submitted, since: now - sb.Waited}
	mc.jobs[sb.Job] = jb
	mc.queue.add(jb, sb.RetryAt)
}

func (mc *Machine) resume(rs *Resume) {
	if _, ok := mc.jobs[rs.Job]; ok {
		return
	}
	jb := &job{Submit: rs.Submit, state: placed, running: rs.Running}
	mc.jobs[rs.Job] = jb
	mc.workspace(rs.Workspace).charge(rs.Size, rs.Running)
}

func (mc *Machine) placed(now time.Duration, id string) {
	jb, ok := mc.jobs[id]
	if !ok || jb.state != trying {
		return
	}
	mc.tries--
	jb.state = placed
	jb.started = now
	mc.reserve(jb, false)
}

// notPlaced puts a job back: until the time it is to try again, or, where none is
// given, until room for its size may have come free.
func (mc *Machine) notPlaced(now time.Duration, np *NotPlaced) {
	jb, ok := mc.jobs[np.Job]
	if !ok || jb.state != trying {
		return
	}
	mc.tries--
	mc.workspace(jb.Workspace).charge(jb.Size, -jb.running)
	jb.running = 0
	if np.RetryAt == 0 {
		mc.queue.block(jb, func(other *job) bool { return mc.reserves(now, other) })
	}
	mc.queue.add(jb, np.RetryAt)
}

func (mc *Machine) taskEnded(now time.Duration, te *TaskEnded) {
	jb, ok := mc.jobs[te.Job]
	if !ok || jb.running == 0 {
		return
	}
	jb.running--
	if te.OK && jb.started > 0 {
		mc.runs.Record(jb.Workload, now-jb.started)
	}
	mc.workspace(jb.Workspace).charge(jb.Size, -1)
	mc.queue.roomChanged()
}

func (mc *Machine) remove(id string) {
	jb, ok := mc.jobs[id]
	if !ok {
		return
	}
	if jb.state == trying {
		mc.tries--
	}
	if jb.running > 0 {
		mc.workspace(jb.Workspace).charge(jb.Size, -jb.running)
		mc.queue.roomChanged()
	}
	mc.reserve(jb, false)
	delete(mc.jobs, id)
	mc.queue.drop(jb)
}

// advance drops late jobs and lets the next jobs try while tries are free.
func (mc *Machine) advance(now time.Duration) []Action {
	var acts []Action
	for _, jb := range mc.queue.late(now) {
		mc.remove(jb.Job)
		acts = append(acts, Action{Expired: &Expired{Job: jb.Job}})
	}
	mc.queue.wake(now)
	for mc.tries < mc.atOnce {
		gr := mc.next()
		if gr == nil {
			break
		}
		acts = append(acts, mc.try(now, mc.queue.take(gr)))
	}
	return acts
}

// next returns the group whose first job is to try: the highest priority, then
// the lowest weighted dominant share of its workspace, then first come first.
func (mc *Machine) next() *group {
	var best *group
	var least float64
	for _, gr := range mc.queue.open {
		jb := gr.jobs[0]
		if best != nil && jb.Priority < best.jobs[0].Priority || mc.limit(jb) != "" {
			continue
		}
		share := mc.share(jb.Workspace)
		if best == nil || before(jb, share, best.jobs[0], least) {
			best, least = gr, share
		}
	}
	return best
}

func before(a *job, shareA float64, b *job, shareB float64) bool {
	return cmp.Or(
		cmp.Compare(b.Priority, a.Priority),
		cmp.Compare(shareA, shareB),
		cmp.Compare(a.order, b.order),
	) < 0
}

func (mc *Machine) try(now time.Duration, jb *job) Action {
	mc.tries++
	jb.state = trying
	jb.running = jb.Tasks
	mc.workspace(jb.Workspace).charge(jb.Size, jb.Tasks)
	run, _ := mc.runs.Quantile(jb.Workload, cautious)
	reserve := mc.reserves(now, jb)
	mc.reserve(jb, reserve)
	return Action{Try: &Try{Job: jb.Job, Reserve: reserve, Run: run}}
}

// Explain says why a job waits, in one line, or "" where it does not wait.
func (mc *Machine) Explain(now time.Duration, id string) string {
	why := mc.waitsFor(id)
	if why == "" {
		return ""
	}
	if late := mc.warn(now, mc.jobs[id]); late != "" {
		return why + "; " + late
	}
	return why
}

// waitsFor says which limit or what room a waiting job lacks, or "".
func (mc *Machine) waitsFor(id string) string {
	jb, ok := mc.jobs[id]
	if !ok || jb.state != waiting {
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

// Infeasible names what forbids a job for ever: the row and column of a limit
// below the job's own size, or the dimension that no worker has. It returns ""
// where the job can run.
func (mc *Machine) Infeasible(sb Submit) string {
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
