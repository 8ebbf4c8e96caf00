package home

import (
	"cmp"
	"slices"
	"time"

	"tackbeam.example/policy/size"
	"tackbeam.example/policy/timeline"
)

// state is the state of a job.
type state int

const (
	waiting state = iota
	trying
	placed
)

// job is a job with its state.
type job struct {
	Submit
	state   state
	running int
	order   int
	since   time.Duration
	started time.Duration
	// queued is set while the job is in a group, scheduled while its deadline is in the timeline of deadlines.
	queued, scheduled bool
	// reserving is set from the first try that reserves until the job is placed or removed.
	reserving bool
}

// kind is all that determines whether a job is held back by a limit and whether it finds resources. The result is the
// same for all jobs of a kind, so only the first job of each is examined.
type kind struct {
	workspace string
	size      size.Size
	tasks     int
}

// group holds the queued jobs of one kind, by highest priority, then in the order of submission.
type group struct {
	kind kind
	jobs []*job
	at   int // index in the list of open or of parked groups
	// parked is set while no job of the kind would find resources.
	parked bool
}

// failedTry is the size and the number of tasks of a job that found no resources.
type failedTry struct {
	size  size.Size
	tasks int
}

// covers reports whether a kind has at least the size and the number of tasks of the failed try.
func (ft failedTry) covers(kd kind) bool { return kd.tasks >= ft.tasks && ft.size.Fits(kd.size) }

// queue holds the waiting jobs.
type queue struct {
	waiting int
	groups  map[kind]*group
	// open are the groups whose jobs may try, parked those that would find no resources.
	open, parked []*group
	// timers holds jobs that wait for the time of their next try, deadlines those with a deadline.
	timers    timeline.Timeline[*job]
	deadlines timeline.Timeline[*job]
	failed    []failedTry
	freed     bool
}

func newQueue() queue { return queue{groups: map[kind]*group{}} }

// add adds a waiting job. It does not try before retryAt, if that is not zero.
func (qu *queue) add(jb *job, retryAt time.Duration) {
	jb.state = waiting
	qu.waiting++
	if jb.Deadline > 0 && !jb.scheduled {
		jb.scheduled = true
		qu.schedule(&qu.deadlines, jb.Deadline, jb)
	}
	if retryAt > 0 {
		qu.schedule(&qu.timers, retryAt, jb)
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
	at, _ := slices.BinarySearchFunc(gr.jobs, jb, compareJobs)
	gr.jobs = slices.Insert(gr.jobs, at, jb)
	jb.queued = true
}

// list adds a group to the list for its state.
func (qu *queue) list(gr *group) {
	list := &qu.open
	if gr.parked {
		list = &qu.parked
	}
	gr.at = len(*list)
	*list = append(*list, gr)
}

// unlist removes a group from its list.
func (qu *queue) unlist(gr *group) {
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

// move parks or opens a group.
func (qu *queue) move(gr *group, park bool) {
	qu.unlist(gr)
	gr.parked = park
	qu.list(gr)
}

func compareJobs(a, b *job) int {
	return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(a.order, b.order))
}

// take removes and returns the first job of a group.
func (qu *queue) take(gr *group) *job {
	jb := gr.jobs[0]
	qu.drop(jb)
	return jb
}

// drop removes a job that no longer waits. Its entries in the timelines have no effect when they become due.
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
	if at, ok := slices.BinarySearchFunc(gr.jobs, jb, compareJobs); ok {
		gr.jobs = slices.Delete(gr.jobs, at, at+1)
	}
	if len(gr.jobs) == 0 {
		qu.unlist(gr)
		delete(qu.groups, gr.kind)
	}
}

// enqueueDue enqueues the jobs whose time has come.
func (qu *queue) enqueueDue(now time.Duration) {
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

// expired returns the waiting jobs whose deadline has passed, in the order of their deadlines.
func (qu *queue) expired(now time.Duration) []*job {
	var list []*job
	for {
		jb, ok := qu.deadlines.PopDue(now)
		if !ok {
			return list
		}
		jb.scheduled = false
		if jb.state == waiting {
			list = append(list, jb)
		}
	}
}

// block parks the kinds that would find no resources since a job found none, except those whose first job is exempt.
func (qu *queue) block(jb *job, exempt func(*job) bool) {
	ft := failedTry{jb.Size, jb.Tasks}
	qu.failed = append(qu.failed, ft)
	for _, gr := range slices.Clone(qu.open) {
		if ft.covers(gr.kind) && !exempt(gr.jobs[0]) {
			qu.move(gr, true)
		}
	}
}

// resourcesFreed records that resources may have been freed.
func (qu *queue) resourcesFreed() { qu.freed = true }

// unblock opens all groups if resources may have been freed since the last call.
func (qu *queue) unblock() {
	if !qu.freed {
		return
	}
	qu.failed, qu.freed = qu.failed[:0], false
	for _, gr := range slices.Clone(qu.parked) {
		qu.move(gr, false)
	}
}

func (qu *queue) isBlocked(kd kind) bool {
	return slices.ContainsFunc(qu.failed, func(ft failedTry) bool { return ft.covers(kd) })
}

// slack is how many entries a timeline may have, in addition to twice the number of waiting jobs, before those of jobs
// that no longer wait are removed.
const slack = 1024

// schedule adds a job to a timeline. If the timeline has too many jobs that no longer wait, they are removed first.
func (qu *queue) schedule(tl *timeline.Timeline[*job], at time.Duration, jb *job) {
	if tl.Len() > 2*qu.waiting+slack {
		tl.Retain(func(old *job) bool { return old.state == waiting })
	}
	tl.Add(at, jb)
}
