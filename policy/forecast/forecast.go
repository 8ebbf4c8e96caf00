// Package forecast expects how long runs of a workload take, from what callers say and from
// how long earlier ones took.
package forecast

import (
	"math"
	"time"
)

const (
	// recent is the number of runs after which older ones count for little.
	recent = 64
	// enough is the number of runs from which what was seen is believed.
	enough = 8
	// trust is how many runs with estimates that are right, spread as usualSpread says, stand
	// against what was seen: a few runs do not tell whether estimates are worth anything.
	trust = 8
	// usualSpread is the variance of the logarithm of run times that are unlike by half.
	usualSpread = 0.25
)

// Model learns how run times follow callers' estimates: by how much they are off, and how
// far they tell a long run from a short one. The zero value believes the estimates.
type Model struct {
	runs int
	// weight is the sum of the weights of the runs; the others are weighted sums of the
	// logarithms of estimates (x) and run times (y).
	weight, x, y, xx, xy float64
}

// Observe takes in how long a run took that was estimated to take a time.
func (md *Model) Observe(estimate, took time.Duration) {
	if took <= 0 {
		return
	}
	x, y := logOf(estimate), logOf(took)
	const keep = 1 - 1.0/recent
	md.runs++
	md.weight = keep*md.weight + 1
	md.x = keep*md.x + x
	md.y = keep*md.y + y
	md.xx = keep*md.xx + x*x
	md.xy = keep*md.xy + x*y
}

// Predict returns how long a run is expected to take.
func (md *Model) Predict(estimate time.Duration) time.Duration {
	if md.runs < enough {
		return estimate
	}
	meanX, meanY := md.x/md.weight, md.y/md.weight
	spread := max(md.xx-md.weight*meanX*meanX, 0) + trust*usualSpread
	along := md.xy - md.weight*meanX*meanY + trust*usualSpread
	slope := min(max(along/spread, 0), 1)
	return time.Duration(math.Exp(meanY + slope*(logOf(estimate)-meanX)))
}

// logOf is the logarithm of a time; none counts as a millisecond.
func logOf(span time.Duration) float64 {
	return math.Log(float64(max(span, time.Millisecond)))
}
