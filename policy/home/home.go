// Package home makes the decisions for the jobs of the workspaces whose home is one node: in which order they try to
// get resources, and which are held back by a limit.
//
// It is a deterministic state machine that reads no clock and starts no goroutine: the same events always give the
// same actions.
package home

import (
	"cmp"
	"fmt"
	"time"

	"tackbeam.example/policy/runtimes"
)

// Machine is the state of one home. It is not safe for concurrent use.
type Machine struct {
	jobs       map[string]*job
	workspaces map[string]*workspace
	capacity   Capacity
	queue      queue
	runs       *runtimes.Histograms
	rules      Rules
	reserving  int
	tries      int
	maxTries   int
	submitted  int
}

// New returns an empty machine in which at most maxTries jobs try to get resources at the same time.
func New(maxTries int, rl Rules) *Machine {
	return &Machine{
		runs:       runtimes.New(),
		rules:      rl,
		jobs:       map[string]*job{},
		workspaces: map[string]*workspace{},
		queue:      newQueue(),
		maxTries:   maxTries,
	}
}

// Waiting returns the number of jobs in the queue.
func (mc *Machine) Waiting() int { return mc.queue.waiting }

// Step processes one event and returns the resulting actions.
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
		mc.queue.resourcesFreed()
		return nil
	case ev.Placed != nil:
		mc.placed(ev.At, ev.Placed.Job)
	case ev.NotPlaced != nil:
		mc.notPlaced(ev.At, ev.NotPlaced)
	case ev.TaskEnded != nil:
		mc.taskEnded(ev.At, ev.TaskEnded)
		return nil // the next tick starts tries
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

// notPlaced returns a job to the queue, until the given time of its next try or, if there is none, until enough
// resources may have been freed.
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
	mc.queue.resourcesFreed()
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
		mc.queue.resourcesFreed()
	}
	mc.reserve(jb, false)
	delete(mc.jobs, id)
	mc.queue.drop(jb)
}

// advance removes jobs past their deadline and starts tries up to the maximum.
func (mc *Machine) advance(now time.Duration) []Action {
	var acts []Action
	for _, jb := range mc.queue.expired(now) {
		mc.remove(jb.Job)
		acts = append(acts, Action{Expired: &Expired{Job: jb.Job}})
	}
	mc.queue.enqueueDue(now)
	for mc.tries < mc.maxTries {
		gr := mc.next()
		if gr == nil {
			break
		}
		acts = append(acts, mc.try(now, mc.queue.take(gr)))
	}
	return acts
}

// next returns the group whose first job tries next: by the highest priority, then the lowest weighted dominant share
// of its workspace, then the order of submission.
func (mc *Machine) next() *group {
	var best *group
	var bestShare float64
	for _, gr := range mc.queue.open {
		jb := gr.jobs[0]
		if best != nil && jb.Priority < best.jobs[0].Priority || mc.limit(jb) != "" {
			continue
		}
		share := mc.share(jb.Workspace)
		if best == nil || before(jb, share, best.jobs[0], bestShare) {
			best, bestShare = gr, share
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
	run, _ := mc.runs.Quantile(jb.Workload, runQuantile)
	reserve := mc.reserves(now, jb)
	mc.reserve(jb, reserve)
	return Action{Try: &Try{Job: jb.Job, Reserve: reserve, Run: run}}
}

// Explain returns why a job waits, as one line, or "" if it does not wait.
func (mc *Machine) Explain(now time.Duration, id string) string {
	reason := mc.waitReason(id)
	if reason == "" {
		return ""
	}
	if warning := mc.deadlineWarning(now, mc.jobs[id]); warning != "" {
		return reason + "; " + warning
	}
	return reason
}

// waitReason returns which limit a waiting job is held back by or which resources it lacks, or "".
func (mc *Machine) waitReason(id string) string {
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

// Infeasible returns why a job can never run: the row and column of a limit that is below the job's own size, or the
// dimension in which the workers are too small. It returns "" if the job can run.
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
