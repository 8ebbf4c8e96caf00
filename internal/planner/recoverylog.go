package planner

import (
	"slices"
	"time"

	"tackbeam.example/policy/incarnation"
)

const (
	// recoveryLogInterval is the interval of the log lines while the recovery is not complete.
	recoveryLogInterval = 2 * time.Second
	// maxLoggedWorkers is how many of the workers that the recovery waits for are named.
	maxLoggedWorkers = 5
)

// recoveryLog remembers which workers the recovery waits for, for the log.
type recoveryLog struct {
	// count is the number of these workers, first are some of them.
	count int
	first []incarnation.ID
	// logged is when they were last logged.
	logged time.Duration
}

// add counts a worker that the recovery waits for.
func (rl *recoveryLog) add(id incarnation.ID) {
	if rl.count++; rl.count <= maxLoggedWorkers {
		rl.first = append(rl.first, id)
	}
}

// workers returns the remembered workers in order.
func (rl *recoveryLog) workers() []incarnation.ID {
	slices.Sort(rl.first)
	return rl.first
}

// logRecovery logs the workers that the recovery waits for. The caller holds the lock.
func (ld *leader) logRecovery(now time.Duration) {
	rl := &ld.recoveryLog
	if ld.cell.Recovered() || now-rl.logged < recoveryLogInterval {
		return
	}
	rl.logged = now
	ld.log.Info("Recovery waits for workers.", "for", now.String(), "workers", rl.count, "first", rl.workers())
}
