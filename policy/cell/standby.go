package cell

import (
	"cmp"
	"hash/fnv"
	"slices"

	"tackbeam.example/policy/incarnation"
	"tackbeam.example/policy/size"
)

// Workers on standby are listed but not in use: the planner neither calls them nor records that they may have runs. So
// what a planner costs at rest, and what the next one must recover, grows with the work and not with the number of
// workers.

// standby holds the workers of one service that are on standby.
type standby struct {
	workers map[incarnation.ID]Worker
	// order lists them in the order in which they come into use. It may also list workers that have left.
	order  []incarnation.ID
	sorted bool
	// largest is the component-wise maximum of the capacities that were ever on standby.
	largest size.Size
}

// PutStandby adds or updates a worker on standby. A draining worker is removed, since it would take no runs.
func (cl *Cell) PutStandby(wk Worker) {
	if wk.Draining {
		cl.RemoveStandby(wk.Service, wk.ID)
		return
	}
	sb, ok := cl.standby[wk.Service]
	if !ok {
		sb = &standby{workers: map[incarnation.ID]Worker{}}
		cl.standby[wk.Service] = sb
	}
	_, known := sb.workers[wk.ID]
	sb.workers[wk.ID] = wk
	sb.largest = sb.largest.Max(wk.Capacity)
	if known {
		return
	}
	sb.order, sb.sorted = append(sb.order, wk.ID), false
	if len(sb.order) > 2*len(sb.workers) {
		sb.sort() // most of the listed ones have left or are listed twice
	}
}

// RemoveStandby removes a worker of a service from standby.
func (cl *Cell) RemoveStandby(service string, id incarnation.ID) {
	if sb, ok := cl.standby[service]; ok {
		delete(sb.workers, id)
	}
}

// take removes up to limit workers that suit, in order, and returns them.
func (sb *standby) take(limit int, suits func(wk *Worker) bool) []incarnation.ID {
	if limit <= 0 || len(sb.workers) == 0 {
		return nil
	}
	sb.sort()
	var taken []incarnation.ID
	for _, id := range sb.order {
		wk := sb.workers[id]
		if !suits(&wk) {
			continue
		}
		delete(sb.workers, id)
		if taken = append(taken, id); len(taken) == limit {
			break
		}
	}
	return taken
}

// sort restores the order: rack by rack, so that there is room for gangs that must be in one, and the racks by hash, so
// that those of all data halls are in use.
func (sb *standby) sort() {
	sb.order = slices.DeleteFunc(sb.order, func(id incarnation.ID) bool {
		_, ok := sb.workers[id]
		return !ok
	})
	if sb.sorted {
		return
	}
	sb.sorted = true
	hashes := map[string]uint64{}
	for _, wk := range sb.workers {
		hash := fnv.New64a()
		hash.Write([]byte(wk.Rack))
		hashes[wk.Rack] = hash.Sum64()
	}
	slices.SortFunc(sb.order, func(a, b incarnation.ID) int {
		rackA, rackB := sb.workers[a].Rack, sb.workers[b].Rack
		return cmp.Or(cmp.Compare(hashes[rackA], hashes[rackB]), cmp.Compare(rackA, rackB), cmp.Compare(a, b))
	})
	sb.order = slices.Compact(sb.order) // a worker that was removed and added again is listed twice
}
