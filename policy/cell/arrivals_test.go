package cell_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"tackbeam.example/policy/admission"
	"tackbeam.example/policy/fairshare"
	"tackbeam.example/policy/feature"
	"tackbeam.example/policy/size"
	"tackbeam.example/policy/work"
)

// roomTestbed is a cell whose urgent jobs are admitted by capacity, as by a node that sees each report after a delay.
type roomTestbed struct {
	*loadTestbed
	enabled bool
	node    admission.Controller
	// submitted and refused count the jobs of each stream.
	submitted, refused []int
	// plannerSince is when the present planner was elected; unplanned counts the starts that jobs take which were
	// accepted until it had reported.
	plannerSince time.Duration
	unplanned    int
	// lowest has the lowest share of each report.
	lowest []float64
}

const (
	roomWorkers = 40
	// roomCapacity is how many urgent jobs a second the workers can run: 10 tasks of 11 cores for 0.56 s each, with
	// the five tasks that fit on a worker.
	roomCapacity = roomWorkers * 5 / (10 * 0.56)
	reportDelay  = 20 * time.Millisecond
	// firstReport is how long after its election a planner reports at the latest.
	firstReport = 2 * time.Second
)

// roomStreams returns the urgent jobs of 20 workspaces, smallest first, at a multiple of the capacity. The largest
// submits 30 times as much as the smallest. Each is guaranteed its rate at a load of 1.
func roomStreams(load float64) []stream {
	const count, ratio = 20, 1.2
	total, size := 0.0, 1.0
	for range count {
		total += size
		size *= ratio
	}
	var list []stream
	size = 1
	for n := range count {
		rate := roomCapacity * size / total
		size *= ratio
		list = append(list, stream{
			queue:    work.Queue{Name: "urgent", Service: "svc", Attempts: 3, Stretch: 1.5, Target: 300 * time.Millisecond},
			interval: time.Duration(float64(time.Second) / (rate * load)), tasks: 10, maxTasks: 40, cores: 11, memory: 18000,
			runTime: 560 * time.Millisecond, estimateSpread: 0.3,
			workspace: work.Workspace{Name: fmt.Sprintf("ws%02d", n), Weight: rate, Version: 1},
		})
	}
	return list
}

func newRoomTestbed(seed uint64, streams []stream, enabled bool) *roomTestbed {
	bd := &roomTestbed{
		loadTestbed: newLoadTestbed(seed, roomWorkers, 1, streams), enabled: enabled,
		submitted: make([]int, len(streams)), refused: make([]int, len(streams)),
	}
	if enabled {
		bd.features = feature.RoomAdmission
		bd.replacePlanner()
	}
	random := rand.New(rand.NewPCG(seed, 8)).Float64
	bd.admit = func(jb *work.Job) bool {
		var at int
		_, _ = fmt.Sscanf(jb.ID, "s%dj", &at)
		bd.submitted[at]++
		if bd.enabled && bd.refuses(jb, random) {
			bd.refused[at]++
			return false
		}
		return true
	}
	return bd
}

// refuses reports whether the only node refuses a job.
func (bd *roomTestbed) refuses(jb *work.Job, random func() float64) bool {
	token, age := uint64(bd.term), bd.now-bd.plannerSince
	if bd.noPlanner {
		token = 0
	}
	if _, refuse := bd.node.RefuseForRoom(bd.now, token, jb, random); refuse {
		return true
	}
	if _, refuse := bd.node.RefuseUnplanned(token, age, 1, jb, random); refuse {
		return true
	}
	if bd.node.Unplanned() {
		bd.unplanned += jb.Steps[0].Count
	}
	return false
}

// run advances the time, with reports of the planner each 0.5 s.
func (bd *roomTestbed) run(span time.Duration, traffic bool) {
	for end := bd.now + span; bd.now < end; {
		bd.advance(fairshare.Interval, traffic)
		if bd.noPlanner {
			continue
		}
		shares := bd.cell.AdmittedShares(bd.now)
		lowest := 1.0
		if len(shares) > 0 {
			lowest = shares[0].Admitted
		}
		bd.lowest = append(bd.lowest, lowest)
		token, reports := uint64(bd.term), bd.now-bd.plannerSince >= firstReport
		bd.schedule(reportDelay, func() {
			if reports {
				bd.node.UpdateShares(bd.now, shares)
				bd.node.UpdatePlanner(token, 0)
			}
		})
	}
}

// inTime returns the share of all submitted jobs of a range of streams that were in time.
func (bd *roomTestbed) inTime(first, end int) float64 {
	var inTime, submitted float64
	for at := first; at < end; at++ {
		submitted += float64(bd.submitted[at])
		if accepted := bd.submitted[at] - bd.refused[at]; accepted > 0 {
			all, _ := bd.onTimeShare(at)
			inTime += all * float64(accepted)
		}
	}
	return inTime / submitted
}

// TestRoomAdmission submits urgent jobs beyond the capacity. It guards against a cell that accepts them all, so that
// nearly all are late, against one that rejects jobs while there is capacity, and against small workspaces that are
// rejected for the work of large ones.
func TestRoomAdmission(t *testing.T) {
	hot := func(load float64) []stream {
		list := roomStreams(load)
		list[12].interval = time.Duration(float64(list[12].interval) / 7.5)
		return list
	}
	const long, short = 20 * time.Second, 10 * time.Second
	tests := map[string]struct {
		streams []stream
		span    time.Duration
		// least is the least share in time relative to that without the feature, which plans late jobs last and so
		// loses little of what is in time if all workspaces submit too much.
		least float64
		// refuses is set if jobs may be refused.
		refuses bool
	}{
		"0.7":                          {streams: roomStreams(0.7), span: long, least: 1},
		"1.0":                          {streams: roomStreams(1), span: long, least: 0.9, refuses: true},
		"1.5":                          {streams: roomStreams(1.5), span: long, least: 0.85, refuses: true},
		"2.5":                          {streams: roomStreams(2.5), span: short, least: 0.8, refuses: true},
		"5.0":                          {streams: roomStreams(5), span: short, least: 0.7, refuses: true},
		"0.9, one workspace 7.5 times": {streams: hot(0.9), span: long, least: 1, refuses: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			without, with := newRoomTestbed(1, tt.streams, false), newRoomTestbed(1, tt.streams, true)
			for _, bd := range []*roomTestbed{without, with} {
				bd.run(tt.span, true)
				bd.logInTime(t)
				bd.run(drainTime, false)
				count, _ := bd.waiting()
				t.Logf("%d jobs have not begun %s after the last", count, drainTime)
				is.True(!bd.enabled || count == 0)
			}
			t.Logf("lowest shares %.2f", with.lowest)
			count, refused := len(tt.streams), 0
			for _, one := range with.refused {
				refused += one
			}
			is.True(with.inTime(0, count/10) >= without.inTime(0, count/10)) // the smallest tenth is no worse off
			is.True(with.inTime(0, count) >= tt.least*without.inTime(0, count))
			is.True(tt.refuses || refused == 0)
		})
	}
}

// logInTime logs the shares of submitted jobs that were in time.
func (bd *roomTestbed) logInTime(t *testing.T) {
	var by []string
	for at := range bd.streams {
		by = append(by, fmt.Sprintf("%.2f", bd.inTime(at, at+1)))
	}
	t.Logf("enabled %v: %.3f in time, by workspace %v, refused %v of %v", bd.enabled, bd.inTime(0, len(by)), by, bd.refused, bd.submitted)
}

// TestRoomAdmissionWithoutPlanner ends the planner under five times the capacity. It guards against nodes that accept
// jobs without a bound until the next planner has reported, which have not begun long after the last one.
func TestRoomAdmissionWithoutPlanner(t *testing.T) {
	is := is.New(t)
	const load, vacancy = 5, 3 * time.Second
	bd := newRoomTestbed(1, roomStreams(load), true)
	bd.run(5*time.Second, true)
	bd.unplanned, bd.noPlanner = 0, true
	bd.run(vacancy, true)
	bd.replacePlanner()
	bd.plannerSince = bd.now
	bd.run(5*time.Second, true)
	bound := admission.DefaultStartRate * 4
	t.Logf("%d starts accepted without a planner, bound %d; lowest shares %.2f", bd.unplanned, bound, bd.lowest)
	bd.logInTime(t)
	is.True(bd.unplanned > bound/2)
	is.True(bd.unplanned <= bound)
	is.True(bd.lowest[len(bd.lowest)-1] < 1) // the new planner has learned the load
	bd.run(drainTime, false)
	count, _ := bd.waiting()
	is.Equal(count, 0)
}

// TestRoomAdmissionAtLimit has the largest workspace submit twice what its limit lets it run. It guards against accepting
// jobs that wait for the limit until they have no value, and against rejecting those of others.
func TestRoomAdmissionAtLimit(t *testing.T) {
	is := is.New(t)
	const limited = 19
	list := roomStreams(0.7)
	const half = 0.5
	used := 10 * 11000 * 0.56 / list[limited].interval.Seconds() // in thousandths of a core
	list[limited].workspace.Limit = size.New(int64(half*used), 0, 0)
	bd := newRoomTestbed(1, list, true)
	bd.run(20*time.Second, true)
	bd.logInTime(t)
	t.Logf("lowest shares %.2f, limit %s", bd.lowest, list[limited].workspace.Limit)
	for at, refused := range bd.refused {
		is.True(at == limited || refused == 0)
	}
	is.True(bd.refused[limited] > bd.submitted[limited]/4)
}
