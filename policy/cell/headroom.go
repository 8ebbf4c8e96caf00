package cell

import (
	"iter"
	"time"

	"tackbeam.example/policy/feature"
	"tackbeam.example/policy/headroom"
	"tackbeam.example/policy/size"
)

// free is the capacity of a worker that neither runs nor reservations take.
func (wk *worker) free() size.Size {
	free := wk.Capacity.Sub(wk.used)
	if wk.reservedFor != nil {
		free = free.Sub(wk.reservedSize)
	}
	return free
}

// sizes yields the capacity and the free capacity of the workers.
func (po *pool) sizes() iter.Seq2[size.Size, size.Size] {
	return func(yield func(capacity, free size.Size) bool) {
		for _, wk := range po.workers {
			if !yield(wk.Capacity, wk.free()) {
				return
			}
		}
	}
}

// updateHeadroom begins a plan in the forecasts of all services that have workers.
func (cl *Cell) updateHeadroom(now time.Duration) {
	if !cl.opts.Features.Has(feature.UrgentHeadroom) {
		return
	}
	for service, po := range cl.pools {
		fc, ok := cl.forecasts[service]
		if !ok {
			fc = headroom.New(now)
			cl.forecasts[service] = fc
		}
		fc.Update(now, po.sizes())
	}
}

// urgentArrived records that the tasks of a step that opens are to be started, if it is urgent.
func (cl *Cell) urgentArrived(now time.Duration, st *step) {
	if fc := cl.forecasts[cl.service(st)]; fc != nil && st.urgent() {
		fc.Arrived(now, st.need(), st.remaining)
	}
}

// urgentReleased records that tasks of an open step are done or not wanted any more, if it is urgent.
func (cl *Cell) urgentReleased(now time.Duration, st *step, tasks int) {
	if fc := cl.forecasts[cl.service(st)]; fc != nil && st.urgent() && cl.open[st] {
		fc.Released(now, st.need(), tasks)
	}
}

// headroomFor returns the forecast that limits the starts of a step, or nil if nothing does. Steps that hold a
// reservation are exempt.
func (cl *Cell) headroomFor(now time.Duration, rd ranked) *headroom.Forecast {
	if len(rd.step.reserved) > 0 || !rd.deferrable(now) {
		return nil
	}
	return cl.forecasts[cl.service(rd.step)]
}

// withheld reports whether the tasks of the step being planned may not start on any worker, and defers it if so.
func (cl *Cell) withheld(st *step) bool {
	if st.def.Gang || cl.limitedBy == nil || !cl.limitedBy.Exhausted(st.need()) {
		return false
	}
	cl.deferForHeadroom(st)
	return true
}

// withholds reports whether tasks of the step being planned may not start on the chosen workers, and defers the step if
// so.
func (cl *Cell) withholds(st *step, chosen ...candidate) bool {
	if cl.limitedBy == nil {
		return false
	}
	loss := 0
	for _, cand := range chosen {
		loss += cl.limitedBy.Loss(cand.worker.free(), st.need().Times(int64(cand.slots)))
	}
	if cl.limitedBy.Allows(loss) {
		return false
	}
	cl.deferForHeadroom(st)
	return true
}

// deferForHeadroom records that the plan starts no more tasks of a step, since the capacity is kept for urgent work.
func (cl *Cell) deferForHeadroom(st *step) {
	st.headroomPlan = cl.planCount
	cl.limitedBy.Deferred(st.need(), cl.wanted(st))
}

// defersForHeadroom reports whether the last plan left capacity free for urgent work instead of starting tasks of the
// step.
func (cl *Cell) defersForHeadroom(st *step) bool {
	return st.headroomPlan > 0 && st.headroomPlan == cl.planCount
}

// startedBeside records the start of a task in the forecast of its service.
func (cl *Cell) startedBeside(st *step, wk *worker) {
	if fc := cl.forecasts[cl.service(st)]; fc != nil {
		fc.Started(st.urgent(), wk.free(), st.need())
	}
}

// Headroom returns the forecasts of urgent demand by service, which must not be changed. There are none unless the
// feature is enabled.
func (cl *Cell) Headroom() map[string]*headroom.Forecast { return cl.forecasts }
