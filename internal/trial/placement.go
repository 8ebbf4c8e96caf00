package trial

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/samber/lo"

	"tackbeam.example/policy/home"
	"tackbeam.example/policy/ledger"
	"tackbeam.example/policy/owner"
	"tackbeam.example/policy/ranking"
	"tackbeam.example/tackbeam/internal/column"
)

// place requests resources for a job as a home does: from one owner after the other.
func (nd *nodeDecider) place(tr *home.Try) {
	jb := nd.sim.jobs[tr.Job]
	if !nd.reserving[jb.ID] {
		jb.attempt++
	}
	reserve := tr.Reserve || nd.reserving[jb.ID]
	held := nd.held[jb.ID]
	var placed []owner.Place
	unplaced := lo.Without(taskIDs(jb), lo.Map(flatten(held), taskOf)...)
	nd.summaries[0] = nd.owners[0].Ledger().Summary()
	index := map[string]int{}
	owners := lo.Map(nd.summaries, func(su ledger.Summary, at int) ranking.Owner {
		name := fmt.Sprint(at)
		index[name] = at
		return ranking.Owner{Name: name, Summary: su, Placed: len(held[at])}
	})
	places := map[int][]owner.Place{}
	for _, query := range ranking.Order(owners, ranking.Request{Size: jb.Size, Tasks: jb.Tasks, Reserve: reserve}) {
		at := index[query.Owner]
		own := lo.Map(held[at], taskOf)
		tasks := append(own, unplaced[:min(len(unplaced), query.Tasks)]...)
		if len(tasks) == 0 {
			continue
		}
		places[at] = nd.hold(at, jb, tr, tasks, reserve)
		placed = append(placed, places[at]...)
		unplaced = lo.Without(lo.Uniq(append(unplaced, own...)), lo.Map(places[at], taskOf)...)
	}
	nd.held[jb.ID] = places
	nd.finishTry(jb, placed, reserve)
}

// finishTry schedules the commit of a job that has all its places. Otherwise it keeps a reservation or releases the
// holds, and schedules the next try.
func (nd *nodeDecider) finishTry(jb *job, placed []owner.Place, reserve bool) {
	switch {
	case len(placed) == jb.Tasks:
		nd.reserving[jb.ID] = false
		nd.sim.after(journalLatency, func() { nd.commit(jb, placed) })
	case reserve:
		nd.reserving[jb.ID] = true
		nd.notPlaced(jb, nd.sim.now+reservePause)
	default:
		nd.release(jb)
		retryAt := home.RetryAt(nd.sim.now, jb.attempt)
		if nd.variant.backoff {
			retryAt = nd.sim.now + startBackoff.Delay(jb.attempt)
		}
		nd.notPlaced(jb, retryAt)
	}
}

func (nd *nodeDecider) notPlaced(jb *job, retryAt time.Duration) {
	// The home must receive the result after the step that requested the try.
	nd.sim.after(0, func() {
		nd.homeStep(home.Event{NotPlaced: &home.NotPlaced{Job: jb.ID, RetryAt: retryAt}})
	})
}

func (nd *nodeDecider) hold(at int, jb *job, tr *home.Try, tasks []string, reserve bool) []owner.Place {
	acts := nd.ownerStep(at, owner.Event{Hold: &owner.Hold{
		ID: holdID(jb), Tasks: tasks, Size: jb.Size, Expires: nd.sim.now + holdTTL, Priority: jb.Priority,
		SubmittedAt: int64(jb.submitted), Reserve: reserve, Urgent: jb.Priority >= column.MaxPriority,
		Repeatable: jb.Repeatable, Run: tr.Run,
	}})
	for _, act := range acts {
		if act.Granted != nil {
			return act.Granted.Places
		}
	}
	return nil
}

// commit starts a job whose intent is in the journal, if all its holds are still valid.
func (nd *nodeDecider) commit(jb *job, placed []owner.Place) {
	if jb.ended {
		nd.release(jb)
		return
	}
	var committed []owner.Place
	held := nd.held[jb.ID]
	for _, at := range slices.Sorted(maps.Keys(held)) {
		places := held[at]
		if len(places) == 0 {
			continue
		}
		acts := nd.ownerStep(at, owner.Event{Commit: &owner.Commit{ID: holdID(jb), Tasks: lo.Map(places, taskOf)}})
		for _, act := range acts {
			if act.Settled != nil && act.Settled.OK {
				committed = append(committed, places...)
			}
		}
	}
	nd.release(jb)
	if len(committed) < len(placed) {
		for _, pl := range committed {
			nd.ownerStep(nd.ownerOf[pl.Worker], owner.Event{Ended: &owner.Ended{Task: pl.Task}})
		}
		nd.notPlaced(jb, nd.sim.now+startBackoff.Delay(jb.attempt))
		return
	}
	for _, pl := range committed {
		nd.ownerStep(nd.ownerOf[pl.Worker], owner.Event{Started: &owner.Started{Task: pl.Task}})
	}
	nd.homeStep(home.Event{Placed: &home.Placed{Job: jb.ID}})
	nd.sim.start(jb, committed)
}

// release releases a job's holds.
func (nd *nodeDecider) release(jb *job) {
	if _, ok := nd.held[jb.ID]; !ok {
		return
	}
	for at := range nd.owners {
		nd.ownerStep(at, owner.Event{Release: &owner.Release{ID: holdID(jb)}})
	}
	delete(nd.held, jb.ID)
	delete(nd.reserving, jb.ID)
}

func holdID(jb *job) string { return fmt.Sprintf("%s.%d", jb.ID, jb.attempt) }

func taskIDs(jb *job) []string {
	return lo.Times(jb.Tasks, func(i int) string { return fmt.Sprintf("%s.%d.%d", jb.ID, jb.attempt, i) })
}

func taskOf(pl owner.Place, _ int) string { return pl.Task }

func flatten(held map[int][]owner.Place) []owner.Place { return lo.Flatten(lo.Values(held)) }
