package planner

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/samber/lo"

	"tackbeam.example/tackbeam/internal/evacuation"
	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/kv"
	"tackbeam.example/tackbeam/internal/mirror"
	"tackbeam.example/tackbeam/internal/site"
)

// Timings of the watch of evacuations.
const (
	evacuationWait  = time.Second
	evacuationPause = 100 * time.Millisecond
)

// evacuations are the data halls that the operators have evacuated: each has a key in the store as long as its workers
// must not get tasks.
type evacuations struct {
	// mirror is the copy of the keys, nil if the deployment has none. No task starts while it is older than maxAge, since
	// a hall may have been evacuated since.
	mirror *mirror.Mirror
	maxAge time.Duration
	// knownSince has the evacuated halls, with the time at which this planner learned of it.
	knownSince map[string]time.Duration
	// empty has the evacuated halls that were logged as empty.
	empty map[string]bool
}

// initEvacuations prepares the copy of the keys, if the deployment has any.
func (ld *leader) initEvacuations(bounds site.Bounds) {
	ev := &ld.evacuations
	ev.knownSince, ev.empty = map[string]time.Duration{}, map[string]bool{}
	ev.maxAge = maxListAge(bounds)
	if bounds.EvacuationTime > 0 {
		ev.maxAge = min(ev.maxAge, max(bounds.EvacuationTime-listMargin, listMargin))
	}
	if ld.opts.EvacuationsPrefix != "" {
		ev.mirror = mirror.New(ld.clock, ld.log, ld.opts.Store, mirror.Options{
			Prefix: ld.opts.EvacuationsPrefix, Wait: evacuationWait, Pause: evacuationPause, OnChange: ld.applyEvacuations,
		})
	}
}

// fresh reports whether the copy is recent enough to start tasks by it.
func (ev *evacuations) fresh() bool {
	if ev.mirror == nil {
		return true
	}
	age, read := ev.mirror.Age()
	return read && age < ev.maxAge
}

// followEvacuations keeps the evacuated halls up to date until the term ends.
func (ld *leader) followEvacuations(ctx context.Context) {
	if ld.evacuations.mirror != nil {
		ld.spawn(func() { ld.evacuations.mirror.Run(ctx) })
	}
}

// applyEvacuations applies changes of the evacuated halls. The key alone counts, whatever its value is.
func (ld *leader) applyEvacuations(items []kv.Item, _ bool) {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	ev := &ld.evacuations
	for _, item := range items {
		hall := strings.TrimPrefix(item.Key, ld.opts.EvacuationsPrefix)
		if hall == "" {
			ld.log.Info("Ignoring an evacuation that names no data hall.", "key", item.Key)
			continue
		}
		_, known := ev.knownSince[hall]
		switch {
		case item.Deleted && known:
			delete(ev.knownSince, hall)
			delete(ev.empty, hall)
			ld.log.Info("Evacuation of a data hall was withdrawn.", "hall", hall, "revision", item.Revision)
		case !item.Deleted && !known:
			ev.knownSince[hall] = ld.now()
			ld.log.Info("Data hall is evacuated.", "hall", hall, "revision", item.Revision)
		}
	}
	ld.cell.SetEvacuated(lo.Keys(ev.knownSince))
	ld.activateWorkers()
	ld.schedulePlan()
}

// reportEvacuations updates the metrics of evacuated halls, and logs once when one has no more runs. The caller holds the
// lock.
func (ld *leader) reportEvacuations() {
	if ld.evacuations.mirror == nil {
		return
	}
	runs := ld.cell.RunsInEvacuatedHalls()
	total := 0
	for _, hall := range slices.Sorted(maps.Keys(runs)) {
		total += runs[hall]
		if runs[hall] == 0 && !ld.evacuations.empty[hall] && ld.cell.Recovered() {
			ld.evacuations.empty[hall] = true
			ld.log.Info("Evacuated data hall has no more runs.", "hall", hall)
		}
	}
	ld.metrics.gauge("planner.halls_evacuated", len(runs))
	ld.metrics.gauge("planner.evacuated_runs", total)
}

// Evacuations returns the evacuated halls by name.
func (pl *Planner) Evacuations() ([]evacuation.Status, error) {
	ld, err := pl.current()
	if err != nil {
		return nil, err
	}
	return ld.listEvacuations()
}

func (ld *leader) listEvacuations() ([]evacuation.Status, error) {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	switch err := ld.checkReady(); {
	case err != nil:
		return nil, err
	case ld.evacuations.mirror == nil:
		return nil, fault.New(fault.NotFound, "the settings of the deployment have no bound for evacuations")
	case !ld.evacuations.fresh():
		return nil, unavailable("the planner's copy of the evacuations is out of date")
	}
	runs := ld.cell.RunsInEvacuatedHalls()
	list := []evacuation.Status{}
	for _, hall := range slices.Sorted(maps.Keys(runs)) {
		known := ld.now() - ld.evacuations.knownSince[hall]
		list = append(list, evacuation.Status{Hall: hall, KnownForMS: known.Milliseconds(), Runs: runs[hall]})
	}
	return list, nil
}
