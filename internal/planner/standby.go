package planner

import (
	"time"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/incarnation"
)

// retireInterval is the interval between two searches for workers that are not needed any more.
const retireInterval = time.Second

// standbyWorkers are the entries of the list whose workers are on standby: there is no session with them. The cell
// decides which are needed.
type standbyWorkers struct {
	entries map[string]WorkerEntry // by key in the list
	// retiredAt is when workers were last searched that are not needed any more.
	retiredAt time.Duration
	// recorded are the ids of the workers that earlier planners recorded. lostAt is when workers were lost.
	recorded map[string]bool
	lostAt   map[string]time.Duration
}

func (sb *standbyWorkers) init() {
	sb.entries, sb.recorded, sb.lostAt = map[string]WorkerEntry{}, map[string]bool{}, map[string]time.Duration{}
}

// mayGetOrders reports whether an order to an earlier incarnation of a worker may still be in transit. Then the worker
// must be called at once under a new token, so that it rejects that order. A worker that was retired before its entry
// changed gets none.
func (ld *leader) mayGetOrders(key, workerID string) bool {
	if _, standby := ld.standby.entries[key]; standby {
		return false
	}
	return ld.tokenCounts[workerID] > 0 || ld.standby.recorded[workerID]
}

// keepLoss reports whether the record of a lost worker must stay in the journal, so that the next planner calls the
// worker if it returns under its id.
func (ld *leader) keepLoss(id incarnation.ID) bool {
	at, lost := ld.standby.lostAt[id.WorkerID()]
	if lost && ld.now()-at > cell.MaxOrderDelay {
		delete(ld.standby.lostAt, id.WorkerID())
		return false
	}
	return lost
}

// putStandby puts a listed worker on standby, or updates its entry there. The caller holds the lock.
func (ld *leader) putStandby(key string, en WorkerEntry) {
	if old, ok := ld.standby.entries[key]; ok && (old.ID != en.ID || old.Service != en.Service) {
		ld.cell.RemoveStandby(old.Service, old.ID)
	}
	ld.standby.entries[key] = en
	ld.cell.PutStandby(en.Worker)
}

// dropStandby removes an entry that was removed or cannot be decoded, or whose worker is used now.
func (ld *leader) dropStandby(key string) {
	if en, ok := ld.standby.entries[key]; ok {
		delete(ld.standby.entries, key)
		ld.cell.RemoveStandby(en.Service, en.ID)
	}
}

// activateWorkers begins sessions with the workers on standby that are needed. The caller holds the lock.
func (ld *leader) activateWorkers() {
	ids := ld.cell.Activate(ld.now())
	if len(ids) == 0 {
		return
	}
	for _, id := range ids {
		key := ld.workerKey(id)
		en := ld.standby.entries[key]
		delete(ld.standby.entries, key)
		ld.applyEntry(en)
	}
	ld.metrics.count("planner.activations")
	ld.log.Info("Workers come into use.", "count", len(ids), "in_use", len(ld.sessions), "standby", len(ld.standby.entries))
}

// retireWorkers ends the sessions with workers that are not needed any more. The caller holds the lock.
func (ld *leader) retireWorkers(now time.Duration) {
	if now-ld.standby.retiredAt < retireInterval || !ld.cell.Recovered() {
		return
	}
	ld.standby.retiredAt = now
	count := 0
	for _, id := range ld.cell.Surplus(now) {
		if se, ok := ld.sessions[id]; ok && se.mayRetire() {
			ld.cell.Retire(id)
			se.end()
			ld.putStandby(ld.workerKey(id), se.entry)
			count++
		}
	}
	if count > 0 {
		ld.log.Info("Workers go on standby.", "count", count, "in_use", len(ld.sessions), "standby", len(ld.standby.entries))
	}
}

// mayRetire reports whether nothing is in progress between the planner and the worker.
func (se *session) mayRetire() bool {
	_, inherited := se.leader.unresolved[se.incarnation]
	return se.answered && !se.unreachable && !se.unanswered && !se.requesting && se.other == nil && !inherited
}

// workerKey returns the key in the list of the worker of an incarnation.
func (ld *leader) workerKey(id incarnation.ID) string { return ld.opts.WorkersPrefix + id.WorkerID() }
