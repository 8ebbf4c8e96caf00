// Package ledger accounts for the resources committed on the workers of one owner.
//
// Resources are committed before the owner sends any message and released only after the task is confirmed to
// have ended, so that no worker is ever overcommitted.
package ledger

import (
	"slices"
	"time"

	"tackbeam.example/policy/size"
)

// Worker describes one worker as its owner knows it.
type Worker struct {
	Name     string    `json:"name"`
	Hall     string    `json:"hall"`
	Rack     string    `json:"rack"`
	Capacity size.Size `json:"capacity"`
	Slots    int       `json:"slots"`
}

// entry is a worker and what is committed on it.
type entry struct {
	Worker
	used        size.Size
	slotsUsed   int
	leaving     bool
	quarantined bool
	latency     time.Duration
	// bucket and at are the worker's position in the index, shares is the bucket of its free share in each dimension.
	bucket, at int
	shares     [3]int
}

// commitment is what one task or one lookup takes from a worker.
type commitment struct {
	worker string
	size   size.Size
	slots  int
}

// Ledger holds the workers of one owner and their commitments. It is not safe for concurrent use.
type Ledger struct {
	workers     map[string]*entry
	order       []string
	commitments map[string]commitment
	cursor      int
	load        Load
	index       index
	quarantined int
}

// Load is what lookups are routed by. It is updated with each change of the ledger.
type Load struct {
	// Workers is the number of workers that accept new work.
	Workers int
	// FreeSlots is the number of free slots on these workers.
	FreeSlots int
}

// Load returns the current load. Its cost does not depend on the number of workers.
func (lg *Ledger) Load() Load { return lg.load }

// update changes a worker's entry, and the load and the index with it.
func (lg *Ledger) update(en *entry, change func()) {
	lg.uncount(en)
	change()
	lg.count(en)
}

// closed reports whether the worker accepts no new work.
func (en *entry) closed() bool { return en.leaving || en.quarantined }

func (lg *Ledger) count(en *entry) {
	if en.closed() {
		return
	}
	lg.load.Workers++
	lg.load.FreeSlots += en.Slots - en.slotsUsed
	lg.index.insert(en)
}

func (lg *Ledger) uncount(en *entry) {
	if en.closed() {
		return
	}
	lg.load.Workers--
	lg.load.FreeSlots -= en.Slots - en.slotsUsed
	lg.index.remove(en)
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{workers: map[string]*entry{}, commitments: map[string]commitment{}}
}

// Put adds a worker or replaces its description. Existing commitments on it are kept.
func (lg *Ledger) Put(wk Worker) {
	if en, ok := lg.workers[wk.Name]; ok {
		lg.update(en, func() {
			en.Worker = wk
			en.leaving = false
		})
		return
	}
	en := &entry{Worker: wk}
	lg.workers[wk.Name] = en
	lg.count(en)
	at, _ := slices.BinarySearch(lg.order, wk.Name)
	lg.order = slices.Insert(lg.order, at, wk.Name)
}

// Leave prevents new commitments on a worker; existing ones are kept.
func (lg *Ledger) Leave(name string) {
	if en, ok := lg.workers[name]; ok {
		lg.update(en, func() { en.leaving = true })
	}
}

// SetQuarantined prevents new commitments on a worker temporarily, or allows them again. It reports whether that
// changed anything.
func (lg *Ledger) SetQuarantined(name string, quarantined bool) bool {
	en, ok := lg.workers[name]
	if !ok || en.quarantined == quarantined {
		return false
	}
	lg.update(en, func() { en.quarantined = quarantined })
	if quarantined {
		lg.quarantined++
	} else {
		lg.quarantined--
	}
	return true
}

// Quarantined returns the number of workers in quarantine.
func (lg *Ledger) Quarantined() int { return lg.quarantined }

// Remove removes a worker and all commitments on it and returns their ids, sorted.
func (lg *Ledger) Remove(name string) []string {
	en, ok := lg.workers[name]
	if !ok {
		return nil
	}
	lg.uncount(en)
	if en.quarantined {
		lg.quarantined--
	}
	delete(lg.workers, name)
	if at, ok := slices.BinarySearch(lg.order, name); ok {
		lg.order = slices.Delete(lg.order, at, at+1)
	}
	var removed []string
	for id, cm := range lg.commitments {
		if cm.worker == name {
			removed = append(removed, id)
			delete(lg.commitments, id)
		}
	}
	slices.Sort(removed)
	return removed
}

// Restore records a commitment that a worker reported, even if it exceeds the worker's capacity, since the task
// is already running.
func (lg *Ledger) Restore(worker, id string, sz size.Size, slots int) {
	en, ok := lg.workers[worker]
	if !ok {
		return
	}
	if _, exists := lg.commitments[id]; exists {
		return
	}
	lg.commit(en, id, sz, slots)
}

// Reconcile releases the commitments on a worker for which keep returns false, and returns their ids, sorted.
func (lg *Ledger) Reconcile(worker string, keep func(id string) bool) []string {
	var released []string
	for id, cm := range lg.commitments {
		if cm.worker == worker && !keep(id) {
			released = append(released, id)
		}
	}
	slices.Sort(released)
	for _, id := range released {
		lg.Release(id)
	}
	return released
}

// Take commits resources and slots on a worker. It reports false and changes nothing if the worker is unknown,
// accepts no new work or lacks free resources or slots, or if the id is in use.
func (lg *Ledger) Take(worker, id string, sz size.Size, slots int) bool {
	en, ok := lg.workers[worker]
	if !ok || !en.accepts(sz, slots) {
		return false
	}
	if _, exists := lg.commitments[id]; exists {
		return false
	}
	lg.commit(en, id, sz, slots)
	return true
}

func (lg *Ledger) commit(en *entry, id string, sz size.Size, slots int) {
	lg.update(en, func() {
		en.used = en.used.Add(sz)
		en.slotsUsed += slots
	})
	lg.commitments[id] = commitment{worker: en.Name, size: sz, slots: slots}
}

func (en *entry) accepts(sz size.Size, slots int) bool {
	return !en.closed() && en.slotsUsed+slots <= en.Slots && sz.Fits(en.free())
}

func (en *entry) free() size.Size { return en.Capacity.Sub(en.used) }

// Release releases a commitment and returns its worker.
func (lg *Ledger) Release(id string) (string, bool) {
	cm, ok := lg.commitments[id]
	if !ok {
		return "", false
	}
	delete(lg.commitments, id)
	if en, ok := lg.workers[cm.worker]; ok {
		lg.update(en, func() {
			en.used = en.used.Sub(cm.size)
			en.slotsUsed -= cm.slots
		})
	}
	return cm.worker, true
}

// Names returns the names of the workers, sorted. The caller must not modify the list.
func (lg *Ledger) Names() []string { return lg.order }

// Capacity returns the capacity of a worker.
func (lg *Ledger) Capacity(name string) size.Size {
	if en, ok := lg.workers[name]; ok {
		return en.Capacity
	}
	return size.Size{}
}

// Free returns the free resources of a worker, or false if it accepts no new work.
func (lg *Ledger) Free(name string) (size.Size, bool) {
	en, ok := lg.workers[name]
	if !ok || en.closed() {
		return size.Size{}, false
	}
	return en.free(), true
}

// Has reports whether there is a commitment with the id.
func (lg *Ledger) Has(id string) bool {
	_, ok := lg.commitments[id]
	return ok
}

// BestFit returns a worker, among those for which allowed returns true, that has about the smallest dominant free
// share left once it runs a task of the size. A nil function allows all workers.
func (lg *Ledger) BestFit(sz size.Size, allowed func(worker string) bool) (string, bool) {
	if en := lg.index.bestFit(sz, allowed); en != nil {
		return en.Name, true
	}
	return "", false
}

// LeastLoaded returns, of the given number of candidates that have a free slot and enough free resources, the one
// with the fewest slots in use, and among equals the one with the lowest recent latency. The candidates are taken
// round-robin.
func (lg *Ledger) LeastLoaded(sz size.Size, candidates int) (string, bool) {
	var best *entry
	found := 0
	if lg.load.FreeSlots <= 0 {
		return "", false
	}
	for range lg.order {
		lg.cursor = (lg.cursor + 1) % len(lg.order)
		en := lg.workers[lg.order[lg.cursor]]
		if !en.accepts(sz, 1) {
			continue
		}
		if best == nil || en.lessLoaded(best) {
			best = en
		}
		found++
		if found >= candidates {
			break
		}
	}
	if best == nil {
		return "", false
	}
	return best.Name, true
}

func (en *entry) lessLoaded(other *entry) bool {
	if en.slotsUsed != other.slotsUsed {
		return en.slotsUsed < other.slotsUsed
	}
	return en.latency < other.latency
}

// Observe adds the latency of one lookup to the moving average of its worker.
func (lg *Ledger) Observe(worker string, latency time.Duration) {
	const weight = 8
	en, ok := lg.workers[worker]
	if !ok {
		return
	}
	en.latency += (latency - en.latency) / weight
}

// Account is the exported view of one worker in the ledger.
type Account struct {
	Worker
	Used        size.Size     `json:"used"`
	SlotsUsed   int           `json:"slots_used"`
	Leaving     bool          `json:"leaving"`
	Quarantined bool          `json:"resting"`
	Latency     time.Duration `json:"latency"`
}

// Accounts returns the views of all workers, sorted by name.
func (lg *Ledger) Accounts() []Account {
	acs := make([]Account, 0, len(lg.order))
	for _, name := range lg.order {
		en := lg.workers[name]
		acs = append(acs, Account{
			Worker: en.Worker, Used: en.used, SlotsUsed: en.slotsUsed,
			Leaving: en.leaving, Quarantined: en.quarantined, Latency: en.latency,
		})
	}
	return acs
}

// Summary is the summary of a ledger that other nodes use for their decisions.
type Summary struct {
	Capacity        size.Size `json:"capacity" cbor:"1,keyasint"`
	Free            size.Size `json:"free" cbor:"2,keyasint"`
	LargestFree     size.Size `json:"largest" cbor:"3,keyasint"`
	LargestCapacity size.Size `json:"biggest" cbor:"4,keyasint"`
	Workers         int       `json:"workers" cbor:"5,keyasint"`
	FreeSlots       int       `json:"free_slots" cbor:"6,keyasint"`
}

// Summary sums up the workers that accept new work. LargestFree is the component-wise maximum of their free
// resources, LargestCapacity that of the capacities of all workers, whether they accept new work or not.
func (lg *Ledger) Summary() Summary {
	var sm Summary
	for _, en := range lg.workers {
		sm.LargestCapacity = sm.LargestCapacity.Max(en.Capacity)
		if en.closed() {
			continue
		}
		free := en.free()
		sm.Capacity = sm.Capacity.Add(en.Capacity)
		sm.Free = sm.Free.Add(free)
		sm.LargestFree = sm.LargestFree.Max(free)
		sm.Workers++
		sm.FreeSlots += en.Slots - en.slotsUsed
	}
	return sm
}
