package advicebudget

import (
	"math"
	"time"
)

// average is a moving average of amounts per second over a span, which decays exponentially.
type average struct {
	// sum is the decayed sum as of the time at.
	sum  float64
	at   time.Duration
	span time.Duration
}

func (av *average) add(now time.Duration, amount float64) {
	av.sum = av.decayed(now) + amount
	av.at = max(now, av.at)
}

// perSecond returns the average. Right after the first amounts it is too low rather than too high.
func (av *average) perSecond(now time.Duration) float64 {
	return av.decayed(now) / av.span.Seconds()
}

func (av *average) decayed(now time.Duration) float64 {
	if av.sum == 0 {
		return 0
	}
	return av.sum * math.Exp(-max(now-av.at, 0).Seconds()/av.span.Seconds())
}
