// Package ledger accounts for what is committed on the workers of one owner.
//
// Summary is taken in the ledger before any message leaves the owner and given
// back only after the task is confirmed gone, so that no worker ever carries
// more than it has.
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

// entry is a worker with what is committed on it.
type entry struct {
	Worker
	used      size.Size
	slotsUsed int
	leaving   bool
	resting   bool
	latency   time.Duration
	// Where the index has the worker.
	bucket, at int
	steps      [3]int
}

// commitment is room taken by one task or one lookup.
type commitment struct {
	worker string
	size   size.Size
	slots  int
}

// Ledger is the account of one owner. It is not safe for concurrent use.
type Ledger struct {
	workers     map[string]*entry
	order       []string
	commitments map[string]commitment
	next        int
	load        Load
	index       index
	resting     int
}

// Load is what a lookup's way is chosen by, kept up with each change.
type Load struct {
	// Workers is the number of workers that take new work.
	Workers int
	// FreeSlots is the number of their free slots.
	FreeSlots int
}

// Load returns the present load, at the same cost for any number of workers.
func (lg *Ledger) Load() Load { return lg.load }

// change carries out a change of a worker's entry and keeps the load and the
// index up with it.
func (lg *Ledger) change(en *entry, act func()) {
	lg.uncount(en)
	act()
	lg.count(en)
}

// closed reports whether the worker takes nothing new.
func (en *entry) closed() bool { return en.leaving || en.resting }

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

// Put adds a worker or replaces its description. Commitments on it stay.
func (lg *Ledger) Put(wk Worker) {
	if en, ok := lg.workers[wk.Name]; ok {
		lg.change(en, func() {
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

// Leave stops new commitments on a worker; the ones it has stay.
func (lg *Ledger) Leave(name string) {
	if en, ok := lg.workers[name]; ok {
		lg.change(en, func() { en.leaving = true })
	}
}

// SetQuarantined keeps new commitments off a worker for a while, or ends that. It reports
// whether that changed anything.
func (lg *Ledger) SetQuarantined(name string, rest bool) bool {
	en, ok := lg.workers[name]
	if !ok || en.resting == rest {
		return false
	}
	lg.change(en, func() { en.resting = rest })
	if rest {
		lg.resting++
	} else {
		lg.resting--
	}
	return true
}

// Quarantined returns the number of workers at rest.
func (lg *Ledger) Quarantined() int { return lg.resting }

// Remove forgets a worker and all commitments on it and returns their ids, sorted.
func (lg *Ledger) Remove(name string) []string {
	en, ok := lg.workers[name]
	if !ok {
		return nil
	}
	lg.uncount(en)
	if en.resting {
		lg.resting--
	}
	delete(lg.workers, name)
	if at, ok := slices.BinarySearch(lg.order, name); ok {
		lg.order = slices.Delete(lg.order, at, at+1)
	}
	var gone []string
	for id, cm := range lg.commitments {
		if cm.worker == name {
			gone = append(gone, id)
			delete(lg.commitments, id)
		}
	}
	slices.Sort(gone)
	return gone
}

// Restore records a commitment that a worker reported, even where it is over
// the worker's size: what runs is a fact.
func (lg *Ledger) Restore(worker, id string, sz size.Size, slots int) {
	en, ok := lg.workers[worker]
	if !ok {
		return
	}
	if _, held := lg.commitments[id]; held {
		return
	}
	lg.commit(en, id, sz, slots)
}

// Reconcile gives back the commitments on a worker that keep does not report,
// and returns their ids, sorted.
func (lg *Ledger) Reconcile(worker string, keep func(id string) bool) []string {
	var gone []string
	for id, cm := range lg.commitments {
		if cm.worker == worker && !keep(id) {
			gone = append(gone, id)
		}
	}
	slices.Sort(gone)
	for _, id := range gone {
		lg.Release(id)
	}
	return gone
}

// Take commits a size and slots on a worker. It reports false and changes
// nothing where the worker is unknown, leaving or too full, or the id is taken.
func (lg *Ledger) Take(worker, id string, sz size.Size, slots int) bool {
	en, ok := lg.workers[worker]
	if !ok || !en.takes(sz, slots) {
		return false
	}
	if _, held := lg.commitments[id]; held {
		return false
	}
	lg.commit(en, id, sz, slots)
	return true
}

func (lg *Ledger) commit(en *entry, id string, sz size.Size, slots int) {
	lg.change(en, func() {
		en.used = en.used.Add(sz)
		en.slotsUsed += slots
	})
	lg.commitments[id] = commitment{worker: en.Name, size: sz, slots: slots}
}

func (en *entry) takes(sz size.Size, slots int) bool {
	return !en.closed() && en.slotsUsed+slots <= en.Slots && sz.Fits(en.free())
}

func (en *entry) free() size.Size { return en.Capacity.Sub(en.used) }

// Release gives back the room of a commitment and returns its worker.
func (lg *Ledger) Release(id string) (string, bool) {
	cm, ok := lg.commitments[id]
	if !ok {
		return "", false
	}
	delete(lg.commitments, id)
	if en, ok := lg.workers[cm.worker]; ok {
		lg.change(en, func() {
			en.used = en.used.Sub(cm.size)
			en.slotsUsed -= cm.slots
		})
	}
	return cm.worker, true
}

// Names returns the workers, sorted. The caller does not change the list.
func (lg *Ledger) Names() []string { return lg.order }

// Capacity returns the size of a worker.
func (lg *Ledger) Capacity(name string) size.Size {
	if en, ok := lg.workers[name]; ok {
		return en.Capacity
	}
	return size.Size{}
}

// Free returns the free room of a worker that takes new work.
func (lg *Ledger) Free(name string) (size.Size, bool) {
	en, ok := lg.workers[name]
	if !ok || en.closed() {
		return size.Size{}, false
	}
	return en.free(), true
}

// Has reports whether a commitment with the id stands.
func (lg *Ledger) Has(id string) bool {
	_, ok := lg.commitments[id]
	return ok
}

// BestFit returns a worker that the size leaves with about the smallest free
// share of its dominant dimension, among those that may allows; nil allows all.
func (lg *Ledger) BestFit(sz size.Size, may func(worker string) bool) (string, bool) {
	if en := lg.index.bestFit(sz, may); en != nil {
		return en.Name, true
	}
	return "", false
}

// LeastLoaded returns, of a few candidates with a free slot, the one with the
// fewest lookups, and among equals the one that answered fastest of late.
func (lg *Ledger) LeastLoaded(sz size.Size, candidates int) (string, bool) {
	var best *entry
	found := 0
	if lg.load.FreeSlots <= 0 {
		return "", false
	}
	for range lg.order {
		lg.next = (lg.next + 1) % len(lg.order)
		en := lg.workers[lg.order[lg.next]]
		if !en.takes(sz, 1) {
			continue
		}
		if best == nil || en.lighter(best) {
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

func (en *entry) lighter(other *entry) bool {
	if en.slotsUsed != other.slotsUsed {
		return en.slotsUsed < other.slotsUsed
	}
	return en.latency < other.latency
}

// Observe folds the latency of one lookup into the worker's recent latency.
func (lg *Ledger) Observe(worker string, latency time.Duration) {
	const weight = 8
	en, ok := lg.workers[worker]
	if !ok {
		return
	}
	en.latency += (latency - en.latency) / weight
}

// Account is the public view of one worker in the ledger.
type Account struct {
	Worker
	Used        size.Size     `json:"used"`
	SlotsUsed   int           `json:"slots_used"`
	Leaving     bool          `json:"leaving"`
	Quarantined bool          `json:"resting"`
	Latency     time.Duration `json:"latency"`
}

// Accounts returns the view of every worker, by name.
func (lg *Ledger) Accounts() []Account {
	acs := make([]Account, 0, len(lg.order))
	for _, name := range lg.order {
		en := lg.workers[name]
		acs = append(acs, Account{
			Worker: en.Worker, Used: en.used, SlotsUsed: en.slotsUsed,
			Leaving: en.leaving, Quarantined: en.resting, Latency: en.latency,
		})
	}
	return acs
}

// Summary is the digest of a ledger that other nodes decide by.
type Summary struct {
	Capacity        size.Size `json:"capacity" cbor:"1,keyasint"`
	Free            size.Size `json:"free" cbor:"2,keyasint"`
	LargestFree     size.Size `json:"largest" cbor:"3,keyasint"`
	LargestCapacity size.Size `json:"biggest" cbor:"4,keyasint"`
	Workers         int       `json:"workers" cbor:"5,keyasint"`
	FreeSlots       int       `json:"free_slots" cbor:"6,keyasint"`
}

// Summary sums the workers that take new work. Largest is the component-wise
// largest free room of one worker, Biggest the largest capacity of one.
func (lg *Ledger) Summary() Summary {
	var rm Summary
	for _, en := range lg.workers {
		rm.LargestCapacity = rm.LargestCapacity.Max(en.Capacity)
		if en.closed() {
			continue
		}
		free := en.free()
		rm.Capacity = rm.Capacity.Add(en.Capacity)
		rm.Free = rm.Free.Add(free)
		rm.LargestFree = rm.LargestFree.Max(free)
		rm.Workers++
		rm.FreeSlots += en.Slots - en.slotsUsed
	}
	return rm
}
