package store

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"tackbeam.example/tackbeam/internal/fault"
)

// Class is the priority of a call within the node's budget. Each class leaves a reserve for the higher ones.
type Class int

// The classes, highest priority first.
const (
	Ownership Class = iota
	Journal
	Table
	Other
	classes
)

// reserves is the fraction of the burst that each class must leave unused.
var reserves = [classes]float64{0, 0.1, 0.3, 0.5}

// minimumBurst allows a node with a small share to write a membership change.
const minimumBurst = 4

// budget limits the rate of this node's reads or writes to its share of the store's rate limit.
type budget struct {
	clock   clockwork.Clock
	mu      sync.Mutex
	limiter *rate.Limiter
}

func newBudget(clock clockwork.Clock, perSecond float64) *budget {
	bg := &budget{clock: clock}
	bg.limiter = rate.NewLimiter(rate.Limit(perSecond), burst(perSecond))
	return bg
}

func burst(perSecond float64) int { return max(minimumBurst, int(perSecond)) }

// set changes the number of calls per second.
func (bg *budget) set(perSecond float64) {
	bg.mu.Lock()
	defer bg.mu.Unlock()
	now := bg.clock.Now()
	bg.limiter.SetLimitAt(now, rate.Limit(perSecond))
	bg.limiter.SetBurstAt(now, burst(perSecond))
}

// wait takes one call of a class from the budget, or fails if the context ends first.
func (bg *budget) wait(ctx context.Context, cl Class) error {
	for {
		pause := bg.take(cl)
		if pause == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return fault.New(fault.Unavailable, "store call budget exhausted; retry later").After(pause)
		case <-bg.clock.After(pause):
		}
	}
}

// take takes one call of a class from the budget and returns 0, or returns how long to wait before the next attempt.
func (bg *budget) take(cl Class) time.Duration {
	bg.mu.Lock()
	defer bg.mu.Unlock()
	now := bg.clock.Now()
	reserve := reserves[cl] * float64(bg.limiter.Burst())
	available := bg.limiter.TokensAt(now)
	if available >= reserve+1 && bg.limiter.AllowN(now, 1) {
		return 0
	}
	const minPause = time.Millisecond
	missing := (reserve + 1 - available) / float64(bg.limiter.Limit())
	return max(minPause, time.Duration(missing*float64(time.Second)))
}

// spent returns the fraction of the burst that is in use, from 0 to 1.
func (bg *budget) spent() float64 {
	bg.mu.Lock()
	defer bg.mu.Unlock()
	available := bg.limiter.TokensAt(bg.clock.Now())
	return 1 - max(0, available)/float64(bg.limiter.Burst())
}
