package planner

import (
	"sync"
	"time"
)

// Limits for unanswered calls to workers.
const (
	// highLossRate is the share of unanswered calls from which holds are kept short. A single dead worker causes about
	// one in a hundred.
	highLossRate = 0.02
	// normalLossRate is the share below which holds have their normal length again. The difference avoids frequent
	// changes.
	normalLossRate = highLossRate / 2
	// lossRateWeight makes the share cover about the last hundred calls. Starts and holds of 50 workers are as many in
	// less than half a second.
	lossRateWeight = 1.0 / 100
	// lossyHoldWait is the wait of a hold while the share is high. A lost hold hides the worker's ends for that long
	// instead of 1.7 s with the normal wait; urgent jobs have 0.5 s to spare.
	lossyHoldWait = 150 * time.Millisecond
	// maxLossyHoldRate is the maximum number of holds per second while the share is high, at 50 us of CPU time each.
	// With many workers it determines the wait.
	maxLossyHoldRate = 400
	// lossyHoldSlack is the minimum time beyond its wait that a hold may take while the share is high. It is several
	// times the slowest of 1,000 answers, 23 ms.
	lossyHoldSlack = 100 * time.Millisecond
)

// lossRate is the recent share of unanswered calls to workers.
type lossRate struct {
	mu    sync.Mutex
	share float64
	// high is set when the share reaches highLossRate and cleared when it falls below normalLossRate.
	high bool
}

// record updates the share with the outcome of a call.
func (lr *lossRate) record(answered bool) {
	lr.mu.Lock()
	defer lr.mu.Unlock()
	lost := 1.0
	if answered {
		lost = 0
	}
	lr.share += (lost - lr.share) * lossRateWeight
	lr.high = lr.share >= highLossRate || lr.high && lr.share >= normalLossRate
}

// isHigh reports whether so many calls are unanswered that a single one is no sign of its worker.
func (lr *lossRate) isHigh() bool {
	lr.mu.Lock()
	defer lr.mu.Unlock()
	return lr.high
}

// holdWait returns the wait of holds for a number of workers while the share is high.
func (lr *lossRate) holdWait(workers int) time.Duration {
	return max(lossyHoldWait, time.Duration(workers)*time.Second/maxLossyHoldRate)
}

// logLossRate logs when the share of unanswered calls becomes high or normal. The caller holds the lock.
func (ld *leader) logLossRate() {
	high := ld.lossRate.isHigh()
	if high == ld.lossyLogged {
		return
	}
	ld.lossyLogged = high
	if high {
		ld.log.Info("Many calls to workers are unanswered; holds are shortened.")
		return
	}
	ld.log.Info("Calls to workers are answered again; holds have their normal length.")
}
