package planner

import (
	"time"

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
}

func (sb *standbyWorkers) init() { sb.entries = map[string]WorkerEntry{} }

// putStandby puts a listed worker on standby, or updates its entry there.
func (ld *leader) putStandby(key string, en WorkerEntry) {
	ld.dropStandby(key)
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

// activateWorkers begins sessions with the workers on standby that are needed.
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
