package memworkers

import (
	"time"

	"tackbeam.example/policy/cell"

	"tackbeam.example/tackbeam/internal/agent"
)

// workerState is the state of a worker's incarnation.
type workerState int

const (
	alive workerState = iota
	// crashed workers don't answer.
	crashed
	// replaced workers have another incarnation at their address.
	replaced
)

// crashDelay is the time between a start that crashes its worker and the crash.
const crashDelay = 8 * time.Millisecond

// crashRule decides which starts crash their worker, and how crashed workers restart.
type crashRule struct {
	triggers func(sr cell.Start) bool
	// restartAfter is the time between a crash and the restart. onRestart is called then; the test itself adds the
	// new incarnation.
	restartAfter time.Duration
	onRestart    func(id string)
}

// SetCrash makes workers crash when they execute a start for which triggers returns true. After restartAfter, the
// address of a crashed worker answers for another incarnation, and onRestart is called.
func (fl *Fleet) SetCrash(triggers func(sr cell.Start) bool, restartAfter time.Duration, onRestart func(id string)) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.crash = crashRule{triggers, restartAfter, onRestart}
}

// Crash ends a worker's incarnation and all its runs, and schedules the restart.
func (fl *Fleet) Crash(id string) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	wk := fl.workers[id]
	if wk == nil || wk.state != alive {
		return
	}
	fl.endIncarnation(wk)
	fl.clock.AfterFunc(fl.crash.restartAfter, func() {
		fl.mu.Lock()
		wk.state = replaced
		fl.mu.Unlock()
		fl.crash.onRestart(id)
	})
}

// callError returns the error with which calls to the worker fail immediately, or nil if the worker is alive.
func (wk *worker) callError() error {
	switch {
	case wk == nil:
		return nil
	case wk.state == crashed:
		return ErrConnectionClosed
	case wk.state == replaced:
		return agent.ErrOtherIncarnation
	}
	return nil
}
