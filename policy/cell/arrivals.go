package cell

import (
	"time"

	"tackbeam.example/policy/fairshare"
	"tackbeam.example/policy/feature"
	"tackbeam.example/policy/size"
)

// arrivals measures the urgent work for package fairshare: jobs of urgent queues, also those beyond the rate of their
// workspace. It is nil without the feature.
type arrivals struct {
	allocator *fairshare.Allocator
	// capacity is that of the workers in use of each service, as of the last decision.
	capacity map[string]size.Size
}

func newArrivals(features feature.Set) *arrivals {
	if !features.Has(feature.RoomAdmission) {
		return nil
	}
	return &arrivals{allocator: fairshare.New(), capacity: map[string]size.Size{}}
}

// measured reports whether the work of the step is measured.
func (cl *Cell) measured(st *step) bool {
	return cl.arrivals != nil && st.round.job.spec.Queue.Priority == 0 && !st.def.LongRunning
}

func (cl *Cell) shareKey(st *step) fairshare.Key {
	return fairshare.Key{Service: cl.service(st), Workspace: st.workspace()}
}

// workOf is the work of a number of tasks of the step.
func (cl *Cell) workOf(st *step, tasks int) float64 {
	return float64(tasks) * st.need().DominantShare(cl.arrivals.capacity[cl.service(st)]) * cl.expectedRunTime(st).Seconds()
}

// noteArrival records the work of a job that was accepted during this term. The rounds of a recurring job are not
// admitted one by one.
func (cl *Cell) noteArrival(now time.Duration, rd *round) {
	if cl.arrivals == nil || rd.job.inherited || rd.job.spec.Repeat != nil {
		return
	}
	for num := range rd.defs {
		st := step{round: rd, num: num, def: &rd.defs[num]}
		if cl.measured(&st) {
			cl.arrivals.allocator.Arrive(now, cl.shareKey(&st), cl.workOf(&st, st.def.Count))
		}
	}
}

func (cl *Cell) noteStart(now time.Duration, st *step) {
	if cl.measured(st) {
		cl.arrivals.allocator.Start(now, cl.shareKey(st), cl.workOf(st, 1))
	}
}

func (cl *Cell) noteEnd(st *step) {
	if cl.measured(st) {
		cl.arrivals.allocator.End(cl.shareKey(st), cl.workOf(st, 1))
	}
}

// AdmittedShares returns the workspaces of whose urgent work less than all is to be admitted, lowest share first. It
// visits all open steps and workers, at most once per fairshare.Interval.
func (cl *Cell) AdmittedShares(now time.Duration) []fairshare.Share {
	if cl.arrivals == nil {
		return nil
	}
	if al := cl.arrivals.allocator; al.Due(now) {
		cl.updateCapacity()
		al.Decide(now, cl.urgentWaiting(now), func(workspace string) float64 {
			return cl.quota.Usage(workspace).Workspace.Weight
		})
	}
	return cl.arrivals.allocator.Shares()
}

func (cl *Cell) updateCapacity() {
	clear(cl.arrivals.capacity)
	for _, wk := range cl.workers {
		if wk.inUse(wk.Service) {
			cl.arrivals.capacity[wk.Service] = cl.arrivals.capacity[wk.Service].Add(wk.Capacity)
		}
	}
}

// urgentWaiting returns the urgent work that waits, by service and workspace.
func (cl *Cell) urgentWaiting(now time.Duration) map[fairshare.Key]fairshare.Waiting {
	waiting, steps := map[fairshare.Key]fairshare.Waiting{}, map[fairshare.Key]time.Duration{}
	for st := range cl.open {
		if st.unplaced == 0 || !cl.measured(st) || !cl.mayStart(st) {
			continue
		}
		key, work, slack := cl.shareKey(st), cl.workOf(st, st.unplaced), cl.slack(st)
		wt := waiting[key]
		limited := 0.0
		if cl.atLimit(st) {
			limited = work
		}
		rk := cl.rank(now, st)
		switch {
		case rk.late && now-(rk.latestStart-latePenalty) > fairshare.LateAfter:
			wt.Late += work
			wt.LimitedLate += limited
		case now-st.readyAt > slack/2:
			wt.Overdue += work
			wt.Limited += limited
		}
		if !rk.late {
			wt.InTime += work
			wt.LimitedInTime += limited
		}
		steps[key]++
		wt.Slack += (slack - wt.Slack) / steps[key]
		waiting[key] = wt
	}
	return waiting
}

// slack is how long a job of the step's queue may wait altogether and still be in time.
func (cl *Cell) slack(st *step) time.Duration {
	qu := st.round.job.spec.Queue
	path, _ := cl.criticalPath(st)
	return time.Duration((qu.Stretch-1)*float64(path)) + qu.Target
}

// StartRate returns the starts that were answered per second in the last full second, and whether starts had to wait
// for the planner recently: otherwise the rate shows only what was asked for. In the first seconds of a planner it shows
// how its window grows.
func (cl *Cell) StartRate(now time.Duration) (rate int, limited bool) {
	wn := &cl.window
	return wn.rate, wn.lastFull > 0 && now-wn.lastFull <= fullFor && now-wn.firstAnswer >= rampUp
}
