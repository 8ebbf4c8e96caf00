package trial

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"tackbeam.example/tackbeam/internal/trace"
)

// stream is the state of a lookup stream.
type stream struct {
	trace.Lookups
	rd    *rand.Rand
	until time.Duration
	count int
}

// nextLookup schedules the next lookup of a stream.
func (sim *simulation) nextLookup(st *stream) {
	gap := time.Duration(st.rd.ExpFloat64() / st.Rate * float64(time.Second))
	if sim.now+gap >= st.until {
		return
	}
	sim.after(gap, func() {
		st.count++
		lk := &lookup{
			id: fmt.Sprintf("lookup-%s-%d-%d", st.Workspace, st.Seed, st.count), workspace: st.Workspace,
			submittedAt: sim.now, deadline: sim.now + st.Budget,
			run: time.Duration(float64(st.RunTime) * (0.5 + st.rd.Float64())),
		}
		sim.lookups[lk.id] = lk
		sim.metrics.lookups++
		sim.submitLookup(lk)
		sim.nextLookup(st)
	})
}

// send starts a lookup on a worker.
func (sim *simulation) send(lk *lookup, worker string) {
	lk.worker = worker
	sim.metrics.lookupWait(lk, sim.now-lk.submittedAt)
	fails := sim.failing[worker]
	run := lk.run
	if fails {
		run = failureTime
	}
	sim.after(run, func() {
		if sim.lost[worker] {
			fails = true
		}
		if fails {
			sim.metrics.lookupsFailed++
		}
		delete(sim.lookups, lk.id)
		sim.lookupDone(lk, fails)
	})
}

func (sim *simulation) shed(lk *lookup) {
	sim.metrics.shed++
	delete(sim.lookups, lk.id)
}

// jobsInOrder returns the jobs in the order of the trace.
func (sim *simulation) jobsInOrder() []*job {
	list := make([]*job, 0, len(sim.jobs))
	for _, jb := range sim.jobs {
		list = append(list, jb)
	}
	slices.SortFunc(list, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.submitted, b.submitted), cmp.Compare(a.ID, b.ID))
	})
	return list
}

// tasksOn returns a job's running tasks on a worker, or on all workers if the name is empty.
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
