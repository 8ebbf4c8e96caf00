//go:build review

package main

import (
	"cmp"
	"slices"
	"time"
)

// span is a stretch of time.
type span struct{ from, to time.Duration }

// idleSpans returns the stretches between two times in which none of the runs was there.
func idleSpans(runs []*run, from, to time.Duration) []span {
	var busy []span
	for _, rn := range runs {
		end := rn.over
		if end == 0 {
			end = to
		}
		busy = append(busy, span{rn.began, end})
	}
	slices.SortFunc(busy, func(a, b span) int { return cmp.Compare(a.from, b.from) })
	var idle []span
	at := from
	for _, bs := range busy {
		if bs.from > at {
			idle = append(idle, span{at, min(bs.from, to)})
		}
		at = max(at, bs.to)
	}
	if at < to {
		idle = append(idle, span{at, to})
	}
	return idle
}

// runsOf returns the runs of a job.
func (fl *fleet) runsOf(id string) []*run {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	var list []*run
	for _, rn := range fl.runs {
		if rn.job() == id {
			list = append(list, rn)
		}
	}
	return list
}

// mostUsed returns the largest share of the service's processors in use in a stretch of time.
func (fl *fleet) mostUsed(sp span) float64 {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	var total, most int64
	for _, wk := range fl.workers {
		if !wk.gone {
			total += wk.milli
		}
	}
	for _, us := range fl.used {
		if us.at >= sp.from && us.at <= sp.to {
			most = max(most, us.milli)
		}
	}
	return float64(most) / float64(total)
}

// Bounds of the rule LOST: a job has nothing running for standstill, and that time and calmBefore before it are calm.
const (
	standstill = 3 * time.Second
	calmBefore = 4 * time.Second
)

// calmFrom returns the part of a stretch that may count for LOST: no disturbance, each of them at one moment, is in it or in
// the calm time before.
func calmFrom(sp span, disturbances []time.Duration) span {
	for _, at := range disturbances {
		if at <= sp.to && at+calmBefore > sp.from {
			if at > sp.from && at-sp.from >= standstill {
				return span{sp.from, at} // the part before the disturbance suffices
			}
			sp.from = max(sp.from, at+calmBefore)
		}
	}
	return sp
}
