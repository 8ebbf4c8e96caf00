package store

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"tackbeam.example/tackbeam/internal/fault"
)

// Class orders the users of the store's call budget. A lower class leaves a
// reserve for the higher ones.
type Class int

// The classes, most important first.
const (
	Ownership Class = iota
	Journal
	Table
	Rest
	classes
)

// reserves is the part of the burst that each class leaves untouched.
var reserves = [classes]float64{0, 0.1, 0.3, 0.5}

// minimumBurst lets a node with a small share still write a membership change.
const minimumBurst = 4

// budget is this node's share of the store's calls of one kind.
type budget struct {
	clock clockwork.Clock
	mu    sync.Mutex
	limit *rate.Limiter
}

func newBudget(clock clockwork.Clock, perSecond float64) *budget {
	bg := &budget{clock: clock}
	bg.limit = rate.NewLimiter(rate.Limit(perSecond), burst(perSecond))
	return bg
}

func burst(perSecond float64) int { return max(minimumBurst, int(perSecond)) }

// set changes the calls a second that this node may spend.
func (bg *budget) set(perSecond float64) {
	bg.mu.Lock()
	defer bg.mu.Unlock()
	now := bg.clock.Now()
	bg.limit.SetLimitAt(now, rate.Limit(perSecond))
	bg.limit.SetBurstAt(now, burst(perSecond))
}

// wait takes one call of the class, or fails when the context ends first.
func (bg *budget) wait(ctx context.Context, cl Class) error {
	for {
		pause := bg.take(cl)
		if pause == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return fault.New(fault.Unavailable, "store budget is spent; come back later").WithRetryAfter(pause)
		case <-bg.clock.After(pause):
		}
	}
}

// take takes one call if the class may, or returns how long to wait.
func (bg *budget) take(cl Class) time.Duration {
	bg.mu.Lock()
	defer bg.mu.Unlock()
	now := bg.clock.Now()
	reserve := reserves[cl] * float64(bg.limit.Burst())
	have := bg.limit.TokensAt(now)
	if have >= reserve+1 && bg.limit.AllowN(now, 1) {
		return 0
	}
	const atLeast = time.Millisecond
	missing := (reserve + 1 - have) / float64(bg.limit.Limit())
	return max(atLeast, time.Duration(missing*float64(time.Second)))
}

// spent returns the part of the burst in use, 0 to 1.
func (bg *budget) spent() float64 {
	bg.mu.Lock()
	defer bg.mu.Unlock()
	have := bg.limit.TokensAt(bg.clock.Now())
	return 1 - max(0, have)/float64(bg.limit.Burst())
}
