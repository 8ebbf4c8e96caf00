package home

import (
	"cmp"
	"slices"
	"time"

	"tackbeam.example/policy/size"
	"tackbeam.example/policy/timeline"
)

// state of a job in the machine.
type state int

const (
	waiting state = iota
	trying
	placed
)

// job is one job of the machine.
type job struct {
	Submit
	state   state
	running int
	order   int
	since   time.Duration
	started time.Duration
	// queued is set while the job is in a group, dated while its deadline is in the
	// timeline of deadlines.
	queued, dated bool
	// reserving is set from the first try that reserves until the job starts or goes.
	reserving bool
}

// kind is what decides whether a job may try and finds room: all jobs of a kind
// fare alike, so only the first of each is looked at.
type kind struct {
	workspace string
	size      size.Size
	tasks     int
}

// group is the ready jobs of one kind, the highest priority first, then first
// come first.
type group struct {
	kind kind
	jobs []*job
	at   int // in the list of open groups, or of parked ones
	// parked is set while no job of the kind would find room.
	parked bool
}

// blockade is a size that found no room, and a number of tasks.
type blockade struct {
	size  size.Size
	tasks int
}

// covers reports whether the size or the tasks of a kind are no smaller.
func (bl blockade) covers(kd kind) bool { return kd.tasks >= bl.tasks && bl.size.Fits(kd.size) }

// queue holds the jobs that wait.
type queue struct {
	waiting int
	groups  map[kind]*group
	// open are the groups whose jobs may try, parked those for which there is no room.
	open, parked []*group
	// timers are jobs that wait for a time, deadlines those with a last moment.
	timers    timeline.Timeline[*job]
	deadlines timeline.Timeline[*job]
	blocked   []blockade
	changed   bool
}

func newQueue() queue { return queue{groups: map[kind]*group{}} }

// add lets a job wait, until a time where that is not zero.
func (qu *queue) add(jb *job, again time.Duration) {
	jb.state = waiting
	qu.waiting++
	if jb.Deadline > 0 && !jb.dated {
		jb.dated = true
		qu.plan(&qu.deadlines, jb.Deadline, jb)
	}
	if again > 0 {
		qu.plan(&qu.timers, again, jb)
		return
	}
	qu.enqueue(jb)
}

func (qu *queue) enqueue(jb *job) {
	kd := kind{jb.Workspace, jb.Size, jb.Tasks}
	gr, ok := qu.groups[kd]
	if !ok {
		gr = &group{kind: kd, parked: qu.isBlocked(kd)}
		qu.groups[kd] = gr
		qu.list(gr)
	}
	if gr.parked && jb.Urgent {
		qu.move(gr, false)
	}
	at, _ := slices.BinarySearchFunc(gr.jobs, jb, inGroup)
	gr.jobs = slices.Insert(gr.jobs, at, jb)
	jb.queued = true
}

// list puts a group on the list that it belongs to.
func (qu *queue) list(gr *group) {
	list := &qu.open
	if gr.parked {
		list = &qu.parked
	}
	gr.at = len(*list)
	*list = append(*list, gr)
}

// deregister takes a group off its list.
func (qu *queue) deregister(gr *group) {
	list := &qu.open
	if gr.parked {
		list = &qu.parked
	}
	last := len(*list) - 1
	(*list)[gr.at] = (*list)[last]
	(*list)[gr.at].at = gr.at
	(*list)[last] = nil
	*list = (*list)[:last]
}

// move parks a group or opens it.
func (qu *queue) move(gr *group, park bool) {
	qu.deregister(gr)
	gr.parked = park
	qu.list(gr)
}

func inGroup(a, b *job) int {
	return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(a.order, b.order))
}

// take removes the first job of a group, which is to try.
func (qu *queue) take(gr *group) *job {
	jb := gr.jobs[0]
	qu.drop(jb)
	return jb
}

// drop removes a job that does not wait any more. Its moments pass without effect.
func (qu *queue) drop(jb *job) {
	if jb.state != waiting {
		return
	}
	qu.waiting--
	jb.state = placed
	if !jb.queued {
		return
	}
	jb.queued = false
	gr := qu.groups[kind{jb.Workspace, jb.Size, jb.Tasks}]
	if at, ok := slices.BinarySearchFunc(gr.jobs, jb, inGroup); ok {
		gr.jobs = slices.Delete(gr.jobs, at, at+1)
	}
	if len(gr.jobs) == 0 {
		qu.deregister(gr)
		delete(qu.groups, gr.kind)
	}
}

// wake readies the jobs whose time has come.
func (qu *queue) wake(now time.Duration) {
	for {
		jb, ok := qu.timers.PopDue(now)
		if !ok {
			return
		}
		if jb.state == waiting && !jb.queued {
			qu.enqueue(jb)
		}
	}
}

// late returns the waiting jobs whose deadline has passed, the earliest first.
func (qu *queue) late(now time.Duration) []*job {
	var list []*job
	for {
		jb, ok := qu.deadlines.PopDue(now)
		if !ok {
			return list
		}
		jb.dated = false
		if jb.state == waiting {
			list = append(list, jb)
		}
	}
}

// block parks the kinds that would find no room where a job found none, but for
// those whose first job is spared.
func (qu *queue) block(jb *job, spared func(*job) bool) {
	bl := blockade{jb.Size, jb.Tasks}
	qu.blocked = append(qu.blocked, bl)
	for _, gr := range slices.Clone(qu.open) {
		if bl.covers(gr.kind) && !spared(gr.jobs[0]) {
			qu.move(gr, true)
		}
	}
}

// roomChanged notes that room may have come free.
func (qu *queue) roomChanged() { qu.changed = true }

// unblock opens all kinds again if room may have come free since the last time.
func (qu *queue) unblock() {
	if !qu.changed {
		return
	}
	qu.blocked, qu.changed = qu.blocked[:0], false
	for _, gr := range slices.Clone(qu.parked) {
		qu.move(gr, false)
	}
}

func (qu *queue) isBlocked(kd kind) bool {
	return slices.ContainsFunc(qu.blocked, func(bl blockade) bool { return bl.covers(kd) })
}

// slack is the number of jobs that do not wait any more which a timeline may keep
// besides as many as there are waiting jobs.
const slack = 1024

// plan adds a job to a timeline. Jobs that do not wait any more are dropped there
// where they have become many.
func (qu *queue) plan(tl *timeline.Timeline[*job], at time.Duration, jb *job) {
	if tl.Len() > 2*qu.waiting+slack {
		tl.Retain(func(old *job) bool { return old.state == waiting })
	}
	tl.Add(at, jb)
}
