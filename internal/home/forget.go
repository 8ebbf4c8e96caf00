package home

import (
	"context"
	"math/rand/v2"
	"time"

	"tackbeam.example/tackbeam/internal/clustermap"
	"tackbeam.example/tackbeam/internal/job"
	"tackbeam.example/tackbeam/internal/nodemsg"
)

// keepSteps is the number of steps of the map's age that an ended job is kept
// for. The step under way when it ended does not count.
const keepSteps = 24

// age is how long the present age of the map has been seen by this node.
type age struct {
	value uint64
	since time.Time
	// wait is the length of a step, and a part by chance so that one node is first.
	wait time.Duration
}

// growOlder moves the map's age on once this node has measured a step of time
// since the last move. No time of day goes into it: a key that is forgotten early
// because a clock is wrong would let a job run twice.
func (hm *Home) growOlder() {
	step := hm.opts.KeepJobs / keepSteps
	now := hm.Clock.Now()
	value := hm.Member.Map().Age
	if hm.age.value != value || hm.age.since.IsZero() {
		hm.age = age{value: value, since: now, wait: step + rand.N(step/4+1)}
		return
	}
	if now.Sub(hm.age.since) < hm.age.wait {
		return
	}
	ctx, cancel := context.WithTimeout(hm.ctx, handTimeout)
	defer cancel()
	err := hm.Member.Change(ctx, func(mp *clustermap.Map) (*clustermap.Map, bool) { return mp.AdvanceAge(value) })
	if err != nil {
		hm.Log.V(1).Info("Age of the map did not move.", "cause", err.Error())
	}
}

// forgetOld drops ended jobs, and their keys, that have been kept long enough.
func (hm *Home) forgetOld() {
	hm.growOlder()
	hm.mu.Lock()
	defer hm.mu.Unlock()
	now := hm.Member.Map().Age
	var gone []nodemsg.Record
	for id, en := range hm.jobs {
		if en.rec.State != job.Done || en.frozen || now <= en.rec.EndedMapAge+keepSteps {
			continue
		}
		gone = append(gone, nodemsg.Record{Key: id, Version: en.rec.Version + 1})
		hm.remove(en)
	}
	if len(gone) > 0 {
		hm.journal.Append(gone...)
	}
}
