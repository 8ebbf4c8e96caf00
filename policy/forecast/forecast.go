// Package forecast predicts the run times of a workload from callers' estimates and from the run times of
// earlier runs.
package forecast

import (
	"math"
	"time"
)

const (
	// window is the number of runs over which the weight of older runs decays.
	window = 64
	// minRuns is the number of runs from which predictions use observed run times.
	minRuns = 8
	// priorRuns is the weight, in runs, of the assumption that estimates are exact and that run times spread
	// by priorVariance: a few runs do not show whether estimates are useful.
	priorRuns = 8
	// priorVariance is the variance of the logarithm of run times that typically differ by half.
	priorVariance = 0.25
)

// Model learns how run times depend on callers' estimates: by what factor estimates are off, and how well
// they distinguish long runs from short ones. The zero value predicts the estimate.
type Model struct {
	runs int
	// weight is the sum of the weights of the runs; the others are weighted sums over the logarithms of
	// estimates (x) and run times (y).
	weight, x, y, xx, xy float64
	// fit is computed from these for the first prediction after an observation.
	fit    fit
	fitted bool
}

// fit is the line that predicts the logarithm of a run time from that of the estimate.
type fit struct{ meanX, meanY, slope float64 }

// Observe records the estimate and the run time of a run.
func (md *Model) Observe(estimate, took time.Duration) {
	if took <= 0 {
		return
	}
	x, y := logOf(estimate), logOf(took)
	const decay = 1 - 1.0/window
	md.runs++
	md.weight = decay*md.weight + 1
	md.x = decay*md.x + x
	md.y = decay*md.y + y
	md.xx = decay*md.xx + x*x
	md.xy = decay*md.xy + x*y
	md.fitted = false
}

// Runs returns the number of runs observed so far. Predictions stay the same until it changes.
func (md *Model) Runs() int { return md.runs }

// Predict returns the expected run time of a run.
func (md *Model) Predict(estimate time.Duration) time.Duration {
	if md.runs < minRuns {
		return estimate
	}
	if !md.fitted {
		md.fit, md.fitted = md.line(), true
	}
	return time.Duration(math.Exp(md.fit.meanY + md.fit.slope*(logOf(estimate)-md.fit.meanX)))
}

// line fits the line to the runs observed so far.
func (md *Model) line() fit {
	meanX, meanY := md.x/md.weight, md.y/md.weight
	variance := max(md.xx-md.weight*meanX*meanX, 0) + priorRuns*priorVariance
	covariance := md.xy - md.weight*meanX*meanY + priorRuns*priorVariance
	return fit{meanX, meanY, min(max(covariance/variance, 0), 1)}
}

// logOf returns the logarithm of a duration of at least 1 ms, to which shorter ones are raised.
func logOf(span time.Duration) float64 {
	return math.Log(float64(max(span, time.Millisecond)))
}
