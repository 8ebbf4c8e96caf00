package home

import (
	"context"
	"math/rand/v2"
	"time"

	"tackbeam.example/tackbeam/internal/clustermap"
	"tackbeam.example/tackbeam/internal/job"
	"tackbeam.example/tackbeam/internal/nodemsg"
)

// retentionSteps is the number of steps of the cluster map's age for which an ended job is retained. The step in
// progress when the job ended does not count.
const retentionSteps = 24

// mapAge is the current age of the cluster map and the time at which this node first saw it.
type mapAge struct {
	value uint64
	since time.Time
	// wait is the length of a step plus a random part, so that usually one node advances the age before the others try.
	wait time.Duration
}

// advanceAge advances the map's age once this node has measured one step of time since the last advance. It does not
// use the wall clock: if that were wrong, an idempotency key could be removed too early, and the job could run twice.
func (hm *Home) advanceAge() {
	step := hm.opts.JobRetention / retentionSteps
	now := hm.Clock.Now()
	value := hm.Member.Map().Age
	if hm.age.value != value || hm.age.since.IsZero() {
		hm.age = mapAge{value: value, since: now, wait: step + rand.N(step/4+1)}
		return
	}
	if now.Sub(hm.age.since) < hm.age.wait {
		return
	}
	ctx, cancel := context.WithTimeout(hm.ctx, handoverTimeout)
	defer cancel()
	err := hm.Member.Change(ctx, func(mp *clustermap.Map) (*clustermap.Map, bool) { return mp.AdvanceAge(value) })
	if err != nil {
		hm.Log.V(1).Info("Age of the cluster map was not advanced.", "cause", err.Error())
	}
}

// removeExpired removes ended jobs, and their idempotency keys, after the retention period.
func (hm *Home) removeExpired() {
	hm.advanceAge()
	hm.mu.Lock()
	defer hm.mu.Unlock()
	now := hm.Member.Map().Age
	var removals []nodemsg.Record
	for id, en := range hm.jobs {
		if en.rec.State != job.Done || en.frozen || now <= en.rec.EndedMapAge+retentionSteps {
			continue
		}
		removals = append(removals, nodemsg.Record{Key: id, Version: en.rec.Version + 1})
		hm.remove(en)
	}
	if len(removals) > 0 {
		hm.journal.Append(removals...)
	}
}
