package cell

import (
	"slices"
	"time"

	"tackbeam.example/policy/memquota"
	"tackbeam.example/policy/size"
	"tackbeam.example/policy/work"
)

// runMemory is how many bytes a run takes in addition to its task.
const runMemory = 512

// Loader keeps a job that the cell does not hold.
type Loader struct {
	// Load returns the job.
	Load func() (*work.Job, error)
	// Bytes is what the loader itself takes.
	Bytes int64
}

// jobMemory is what a job takes.
type jobMemory struct {
	class memquota.Class
	// definition is for the job as it was submitted, round what each open round takes at most, apart from finished steps, in
	// bytes. steps is what the steps take at present.
	definition, round, steps int64
	// charged is what the job takes by the cell's account.
	charged int64
	// load is set while the cell does not hold the job. need is what its tasks take of workers meanwhile.
	load *Loader
	need size.Size
	// begun is set once its rounds may be opened.
	begun bool
}

func newJobMemory(spec *work.Job, load *Loader) jobMemory {
	jm := jobMemory{class: memquota.ClassOf(spec), definition: spec.DefinitionFootprint(), round: spec.RoundFootprint(), load: load}
	if load == nil || spec.Repeat != nil {
		return jm
	}
	for num := range spec.Steps {
		st := &spec.Steps[num]
		jm.need = jm.need.Add(st.Allocation().Times(int64(st.Count)))
	}
	return jm
}

// bytes returns what the job takes, without its runs. Rounds that can be opened at any time count as open.
func (jb *job) bytes() int64 {
	switch jm := &jb.memory; {
	case jb.rounds == nil:
		return work.EndedFootprint
	case jm.load != nil:
		return work.EndedFootprint + jm.load.Bytes
	default:
		return jm.definition + max(jm.round*int64(max(len(jb.rounds), min(jb.spec.Rounds(), minOpenRounds))), jm.steps)
	}
}

// charge updates the account after a change of what a job takes.
func (cl *Cell) charge(jb *job) {
	bytes := jb.bytes()
	cl.memory.Add(jb.memory.class, bytes-jb.memory.charged)
	jb.memory.charged = bytes
}

// chargeSteps updates the account after steps of a round were made or discarded, which take a number of bytes.
func (cl *Cell) chargeSteps(rd *round, bytes int64) {
	rd.memory += bytes
	rd.job.memory.steps += bytes
	cl.charge(rd.job)
}

// discharge removes a job from the account.
func (cl *Cell) discharge(jb *job) {
	cl.memory.Add(jb.memory.class, -jb.memory.charged)
	jb.memory.charged = 0
}

// Holds reports whether the memory suffices for a job.
func (cl *Cell) Holds(spec *work.Job) bool {
	return cl.memory.Holds(spec.Footprint(), spec.Queue.Priority == 0)
}

// AddDeferred adds a job without holding it. It is loaded once the memory suffices, or a run or a record names one of its tasks:
// it may run already. An inherited job was accepted some time ago.
func (cl *Cell) AddDeferred(now, age time.Duration, spec *work.Job, inherited bool, load Loader) {
	cl.add(now, now-age, spec, inherited, &load)
}

// load loads a job that is not held. The rounds of a job that has ended are needed for runs that workers still have.
func (cl *Cell) load(jb *job) {
	jm := &jb.memory
	if jm.load == nil {
		return
	}
	spec, err := jm.load.Load()
	if err != nil {
		cl.out.Unloadable = append(cl.out.Unloadable, Unloadable{Job: jb.spec.ID, Err: err})
		return
	}
	loaded := *spec
	loaded.Queue, loaded.Workspace = jb.spec.Queue, jb.spec.Workspace
	jb.spec, jm.load, jm.need = &loaded, nil, size.Size{}
	cl.charge(jb)
	switch {
	case !jb.phase.Ended():
		cl.begin(jb.arrivedAt, jb)
	case jb.spec.Repeat == nil:
		cl.newRound(jb.arrivedAt, jb)
	}
}

// loadDeferred loads jobs that are not held, as far as the memory suffices: at least one at a time, since ended jobs may take
// most of it.
func (cl *Cell) loadDeferred() {
	cl.deferred = slices.DeleteFunc(cl.deferred, func(jb *job) bool {
		jm := &jb.memory
		if jm.load == nil || jb.phase.Ended() {
			return true
		}
		if cl.held > 0 && !cl.memory.Holds(jm.definition+jm.round-jm.charged, jm.class.Urgent) {
			return false
		}
		cl.load(jb)
		cl.out.Loaded = append(cl.out.Loaded, jb.spec.ID)
		return true
	})
}

// mayStartRuns reports whether the memory suffices for a number of further runs.
func (cl *Cell) mayStartRuns(st *step, count int) bool {
	return cl.memory.HoldsRuns(runMemory*int64(count), st.urgent())
}

// ClaimMemory reserves memory for a job that was not accepted yet. If there is not enough, it returns after how long the caller
// should retry.
func (cl *Cell) ClaimMemory(now time.Duration, cm memquota.Claim) (retryAfter time.Duration, ok bool) {
	if _, known := cl.jobs[cm.Job]; known {
		return 0, true
	}
	return cl.memory.Claim(now, cm)
}

// FullClass reports whether no more jobs of a class may be accepted.
func (cl *Cell) FullClass(cls memquota.Class) bool { return cl.memory.Full(cls) }

// MemoryUse returns how many bytes jobs and runs take, the limit, and how many jobs are not held.
func (cl *Cell) MemoryUse() (used, limit int64, deferred int) {
	return cl.memory.Used(), cl.memory.Limit(), len(cl.deferred)
}
