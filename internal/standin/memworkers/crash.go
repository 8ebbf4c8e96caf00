package memworkers

import (
	"time"

	"tackbeam.example/policy/cell"

	"tackbeam.example/tackbeam/internal/agent"
)

// life is how far a worker's incarnation has come.
type life int

const (
	up life = iota
	// crashed workers answer nobody.
	crashed
	// replaced ones have another incarnation at their address.
	replaced
)

// crashAfter is how long after a start that crashes its worker the worker is gone.
const crashAfter = 8 * time.Millisecond

// crash is what makes workers crash, and how they come back.
type crash struct {
	by func(sr cell.Start) bool
	// backAfter is how long a worker is away, back what is told then; the worker that comes is
	// the test's to add.
	backAfter time.Duration
	back      func(id string)
}

// SetCrash has the workers crash that carry out certain starts. The address of one that
// crashed answers for another incarnation after a time, and the test is told.
func (fl *Fleet) SetCrash(by func(sr cell.Start) bool, backAfter time.Duration, back func(id string)) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.crash = crash{by, backAfter, back}
}

// Crash ends a worker's incarnation with all that it runs.
func (fl *Fleet) Crash(id string) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	wk := fl.workers[id]
	if wk == nil || wk.life != up {
		return
	}
	fl.finish(wk)
	fl.clock.AfterFunc(fl.crash.backAfter, func() {
		fl.mu.Lock()
		wk.life = replaced
		fl.mu.Unlock()
		fl.crash.back(id)
	})
}

// gone returns how a call to the worker fails at once, or nil where it is there.
func (wk *worker) gone() error {
	switch {
	case wk == nil:
		return nil
	case wk.life == crashed:
		return ErrCut
	case wk.life == replaced:
		return agent.ErrOtherIncarnation
	}
	return nil
}
