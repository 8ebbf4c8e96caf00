package trial

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"tackbeam.example/tackbeam/internal/trace"
)

// stream is a stream of lookups under way.
type stream struct {
	trace.Lookups
	rd    *rand.Rand
	until time.Duration
	count int
}

// nextLookup plans the next lookup of a stream.
func (wo *world) nextLookup(st *stream) {
	gap := time.Duration(st.rd.ExpFloat64() / st.Rate * float64(time.Second))
	if wo.now+gap >= st.until {
		return
	}
	wo.after(gap, func() {
		st.count++
		lk := &lookup{
			id: fmt.Sprintf("lookup-%s-%d-%d", st.Workspace, st.Seed, st.count), workspace: st.Workspace,
			since: wo.now, deadline: wo.now + st.Budget,
			run: time.Duration(float64(st.RunTime) * (0.5 + st.rd.Float64())),
		}
		wo.lookups[lk.id] = lk
		wo.measure.asked++
		wo.ask(lk)
		wo.nextLookup(st)
	})
}

// send begins a lookup on a worker.
func (wo *world) send(lk *lookup, worker string) {
	lk.worker = worker
	wo.measure.lookupWait(lk, wo.now-lk.since)
	fails := wo.bad[worker]
	run := lk.run
	if fails {
		run = failTime
	}
	wo.after(run, func() {
		if wo.lost[worker] {
			fails = true
		}
		if fails {
			wo.measure.lookupsFailed++
		}
		delete(wo.lookups, lk.id)
		wo.done(lk, fails)
	})
}

// shed refuses a lookup.
func (wo *world) shed(lk *lookup) {
	wo.measure.shed++
	delete(wo.lookups, lk.id)
}

// ordered returns the jobs by their order in the trace.
func (wo *world) ordered() []*job {
	list := make([]*job, 0, len(wo.jobs))
	for _, jb := range wo.jobs {
		list = append(list, jb)
	}
	slices.SortFunc(list, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.submitted, b.submitted), cmp.Compare(a.ID, b.ID))
	})
	return list
}

// tasksOn returns a job's running tasks on a worker, or all where none is named.
func tasksOn(jb *job, worker string) []string {
	var list []string
	for task, at := range jb.running {
		if worker == "" || at == worker {
			list = append(list, task)
		}
	}
	slices.Sort(list)
	return list
}
