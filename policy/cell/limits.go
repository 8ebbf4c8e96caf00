package cell

import (
	"time"

	"tackbeam.example/policy/quota"
	"tackbeam.example/policy/size"
	"tackbeam.example/policy/work"
)

// What a workspace has running counts from the order to start it until the worker shows that it is gone, or
// cannot hold it any more, like the worker's room.

// workspace returns the name of the workspace whose work the step is.
func (st *step) workspace() string { return st.round.job.spec.Workspace.Name }

// UpdateWorkspaces takes in the present settings of the workspaces that have jobs.
func (cl *Cell) UpdateWorkspaces(settings func(name string) (work.Workspace, bool)) {
	cl.quota.Update(settings)
}

// WorkspaceUsages returns what each workspace has running.
func (cl *Cell) WorkspaceUsages() []quota.Usage { return cl.quota.Usages() }

// allowance is how many more tasks of the step its workspace may have running.
func (cl *Cell) allowance(st *step) int { return cl.quota.Headroom(st.workspace(), st.need()) }

// wants is how many of the step's tasks wait, as far as its workspace may have them running.
func (cl *Cell) wants(st *step) int { return min(st.waits, cl.allowance(st)) }

// atLimit reports whether nothing of the step may start by the limit of its workspace. Such a step keeps no
// room free and asks for no tickets, which others could use.
func (cl *Cell) atLimit(st *step) bool {
	if st.def.Gang {
		return cl.allowance(st) < len(st.tasks)
	}
	return cl.allowance(st) == 0
}

// doubtsEvery is how often doubts are counted: meanwhile they only become fewer, and counting goes through all
// jobs.
const doubtsEvery = 50 * time.Millisecond

// countDoubts bounds what workspaces may have running of which nobody knows: until each worker has reported to
// this planner or lapsed, any task of an earlier planner may be on one of those that have not.
func (cl *Cell) countDoubts(now time.Duration) {
	if cl.settled || cl.doubted > 0 && now-cl.doubted < doubtsEvery {
		return
	}
	cl.doubted = now
	most, bounded := cl.unheard()
	doubts := map[string]size.Size{}
	for _, jb := range cl.jobs {
		name := jb.spec.Workspace.Name
		if !jb.inherited || name == "" || jb.phase == Succeeded {
			continue
		}
		doubts[name] = doubts[name].Add(jb.unplaced())
	}
	for name, doubt := range doubts {
		if bounded {
			doubts[name] = doubt.Min(most)
		}
	}
	cl.quota.SetUnreported(doubts)
}

// unplaced is the room of the job's tasks that are neither done nor known to be on a worker.
func (jb *job) unplaced() size.Size {
	var sum size.Size
	for _, rd := range jb.rounds {
		for _, st := range rd.steps {
			sum = sum.Add(st.need().Times(int64(st.waits)))
		}
	}
	return sum
}

// unheard is the room of all workers that have not reported to this planner; false where that of one is not
// known.
func (cl *Cell) unheard() (size.Size, bool) {
	var sum size.Size
	for _, wk := range cl.workers {
		if wk.answered {
			continue
		}
		if wk.Capacity.IsZero() {
			return size.Size{}, false
		}
		sum = sum.Add(wk.Capacity)
	}
	return sum, true
}
