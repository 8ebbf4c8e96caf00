package planner

import (
	"sync"
	"time"
)

// What follows from calls to workers that are not answered.
const (
	// lossy is the share of calls without an answer from which holds are kept short: one lost
	// call in a hundred comes from a single worker that is gone.
	lossy = 0.02
	// calm is the share from which they are as usual again, so that they do not change to and fro.
	calm = lossy / 2
	// lossWeight makes the share that of the last hundred calls or so: less than half a second
	// of the starts and holds of 50 workers.
	lossWeight = 1.0 / 100
	// lossyWait is how long a hold waits for an end then: a lost one hides the ends of its
	// worker for so long, 1.7 s with the usual wait, of which urgent jobs have 0.5 s to spare.
	lossyWait = 150 * time.Millisecond
	// mostHolds is how many holds a second the planner sends then, at 50 us of its processor
	// each, and so the least wait where there are many workers.
	mostHolds = 400
	// lossySlack is what a hold may take beyond its wait then, at the least: several times the
	// slowest answer of 1,000, 23 ms.
	lossySlack = 100 * time.Millisecond
)

// losses is the share of calls to workers that had no answer of late.
type losses struct {
	mu    sync.Mutex
	share float64
	// high is set from the share lossy on until it is calm.
	high bool
}

// note takes in whether a call was answered.
func (ls *losses) note(answered bool) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	lost := 1.0
	if answered {
		lost = 0
	}
	ls.share += (lost - ls.share) * lossWeight
	ls.high = ls.share >= lossy || ls.high && ls.share >= calm
}

// many reports whether so many calls go unanswered that one must not be relied on.
func (ls *losses) many() bool {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	return ls.high
}

// holdWait returns how long a hold of one of so many workers waits while many calls are lost.
func (ls *losses) holdWait(workers int) time.Duration {
	return max(lossyWait, time.Duration(workers)*time.Second/mostHolds)
}

// tellLosses logs when many calls to workers begin to go unanswered, and when they do no more.
// The caller holds the lock.
func (ld *lead) tellLosses() {
	many := ld.losses.many()
	if many == ld.toldLossy {
		return
	}
	ld.toldLossy = many
	if many {
		ld.log.Info("Many calls to workers go unanswered; holds are short.")
		return
	}
	ld.log.Info("Calls to workers are answered again; holds are as long as usual.")
}
