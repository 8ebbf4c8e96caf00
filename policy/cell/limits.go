package cell

import (
	"time"

	"tackbeam.example/policy/quota"
	"tackbeam.example/policy/size"
	"tackbeam.example/policy/work"
)

// The usage of a workspace includes a run from the order to start it until the worker shows that it is gone, or
// cannot hold it any more, like the resources taken on the worker.

// workspace returns the name of the workspace that the step belongs to.
func (st *step) workspace() string { return st.round.job.spec.Workspace.Name }

// UpdateWorkspaces applies the current settings of the workspaces that have jobs.
func (cl *Cell) UpdateWorkspaces(settings func(name string) (work.Workspace, bool)) {
	cl.quota.Update(settings)
}

// WorkspaceUsages returns what each workspace has running.
func (cl *Cell) WorkspaceUsages() []quota.Usage { return cl.quota.Usages() }

// allowance is how many more tasks of the step its workspace may have running.
func (cl *Cell) allowance(st *step) int { return cl.quota.Headroom(st.workspace(), st.need()) }

// wanted is how many tasks of the step wait, as far as its workspace may have them running.
func (cl *Cell) wanted(st *step) int { return min(st.unplaced, cl.allowance(st)) }

// atLimit reports whether the limit of its workspace keeps the step from starting. Such a step reserves no
// capacity and requests no tickets, which others could use.
func (cl *Cell) atLimit(st *step) bool {
	if st.def.Gang {
		return cl.allowance(st) < len(st.tasks)
	}
	return cl.allowance(st) == 0
}

// unreportedInterval is how often unreported usage is estimated: it only decreases in between, and the estimate
// visits all jobs.
const unreportedInterval = 50 * time.Millisecond

// updateUnreported estimates an upper bound of what workspaces have running without the cell knowing where:
// until each worker has reported to this planner or its lease has expired, any task of an earlier planner may
// be on one of those that have not.
func (cl *Cell) updateUnreported(now time.Duration) {
	if cl.recovered || cl.unreportedAt > 0 && now-cl.unreportedAt < unreportedInterval {
		return
	}
	cl.unreportedAt = now
	limit, bounded := cl.unreportedCapacity()
	usages := map[string]size.Size{}
	for _, jb := range cl.jobs {
		name := jb.spec.Workspace.Name
		if !jb.inherited || name == "" || jb.phase == Succeeded {
			continue
		}
		usages[name] = usages[name].Add(jb.unplaced())
	}
	for name, usage := range usages {
		if bounded {
			usages[name] = usage.Min(limit)
		}
	}
	cl.quota.SetUnreported(usages)
}

// unplaced is what those tasks of the job take that are neither done nor known to be on a worker.
func (jb *job) unplaced() size.Size {
	sum := jb.memory.need
	for _, rd := range jb.rounds {
		for num, st := range rd.steps {
			switch def := &rd.defs[num]; {
			case st != nil:
				sum = sum.Add(st.need().Times(int64(st.unplaced)))
			case !rd.finished[num]:
				sum = sum.Add(def.Allocation().Times(int64(def.Count)))
			}
		}
	}
	return sum
}

// unreportedCapacity is the capacity of all workers that have not reported to this planner; it returns false if
// that of any is unknown.
func (cl *Cell) unreportedCapacity() (size.Size, bool) {
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
