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

// try seeks room for a job as a home does: owner after owner.
func (ma *machines) try(tr *home.Try) {
	jb := ma.wo.jobs[tr.Job]
	if !ma.keeps[jb.ID] {
		jb.attempt++
	}
	reserve := tr.Reserve || ma.keeps[jb.ID]
	have := ma.held[jb.ID]
	var got []owner.Place
	left := lo.Without(taskIDs(jb), lo.Map(flat(have), taskOf)...)
	ma.rooms[0] = ma.owners[0].Ledger().Summary()
	index := map[string]int{}
	owners := lo.Map(ma.rooms, func(rm ledger.Summary, at int) ranking.Owner {
		name := fmt.Sprint(at)
		index[name] = at
		return ranking.Owner{Name: name, Summary: rm, Placed: len(have[at])}
	})
	places := map[int][]owner.Place{}
	for _, ask := range ranking.Order(owners, ranking.Request{Size: jb.Size, Tasks: jb.Tasks, Reserve: reserve}) {
		at := index[ask.Owner]
		mine := lo.Map(have[at], taskOf)
		tasks := append(mine, left[:min(len(left), ask.Tasks)]...)
		if len(tasks) == 0 {
			continue
		}
		places[at] = ma.hold(at, jb, tr, tasks, reserve)
		got = append(got, places[at]...)
		left = lo.Without(lo.Uniq(append(left, mine...)), lo.Map(places[at], taskOf)...)
	}
	ma.held[jb.ID] = places
	ma.sought(jb, got, reserve)
}

// sought goes on after a try.
func (ma *machines) sought(jb *job, got []owner.Place, reserve bool) {
	switch {
	case len(got) == jb.Tasks:
		ma.keeps[jb.ID] = false
		ma.wo.after(keepTime, func() { ma.commit(jb, got) })
	case reserve:
		ma.keeps[jb.ID] = true
		ma.notPlaced(jb, ma.wo.now+reservePause)
	default:
		ma.release(jb)
		again := home.RetryAt(ma.wo.now, jb.attempt)
		if ma.variant.backoff {
			again = ma.wo.now + startPause.Delay(jb.attempt)
		}
		ma.notPlaced(jb, again)
	}
}

func (ma *machines) notPlaced(jb *job, again time.Duration) {
	// The home hears of it after the step that asked for the try.
	ma.wo.after(0, func() {
		ma.homeStep(home.Event{NotPlaced: &home.NotPlaced{Job: jb.ID, RetryAt: again}})
	})
}

func (ma *machines) hold(at int, jb *job, tr *home.Try, tasks []string, reserve bool) []owner.Place {
	acts := ma.ownerStep(at, owner.Event{Hold: &owner.Hold{
		ID: holdID(jb), Tasks: tasks, Size: jb.Size, Expires: ma.wo.now + holdTime, Priority: jb.Priority,
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

// commit starts a job whose intent is kept, if all its places still stand.
func (ma *machines) commit(jb *job, got []owner.Place) {
	if jb.over {
		ma.release(jb)
		return
	}
	var kept []owner.Place
	held := ma.held[jb.ID]
	for _, at := range slices.Sorted(maps.Keys(held)) {
		places := held[at]
		if len(places) == 0 {
			continue
		}
		acts := ma.ownerStep(at, owner.Event{Commit: &owner.Commit{ID: holdID(jb), Tasks: lo.Map(places, taskOf)}})
		for _, act := range acts {
			if act.Settled != nil && act.Settled.OK {
				kept = append(kept, places...)
			}
		}
	}
	ma.release(jb)
	if len(kept) < len(got) {
		for _, pl := range kept {
			ma.ownerStep(ma.of[pl.Worker], owner.Event{Ended: &owner.Ended{Task: pl.Task}})
		}
		ma.notPlaced(jb, ma.wo.now+startPause.Delay(jb.attempt))
		return
	}
	for _, pl := range kept {
		ma.ownerStep(ma.of[pl.Worker], owner.Event{Started: &owner.Started{Task: pl.Task}})
	}
	ma.homeStep(home.Event{Placed: &home.Placed{Job: jb.ID}})
	ma.wo.start(jb, kept)
}

// release gives a job's holds back.
func (ma *machines) release(jb *job) {
	if _, ok := ma.held[jb.ID]; !ok {
		return
	}
	for at := range ma.owners {
		ma.ownerStep(at, owner.Event{Release: &owner.Release{ID: holdID(jb)}})
	}
	delete(ma.held, jb.ID)
	delete(ma.keeps, jb.ID)
}

func holdID(jb *job) string { return fmt.Sprintf("%s.%d", jb.ID, jb.attempt) }

func taskIDs(jb *job) []string {
	return lo.Times(jb.Tasks, func(i int) string { return fmt.Sprintf("%s.%d.%d", jb.ID, jb.attempt, i) })
}

func taskOf(pl owner.Place, _ int) string { return pl.Task }

func flat(held map[int][]owner.Place) []owner.Place { return lo.Flatten(lo.Values(held)) }
