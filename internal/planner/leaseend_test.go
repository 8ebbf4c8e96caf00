package planner_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/size"
	"tackbeam.example/policy/work"

	"tackbeam.example/tackbeam/internal/standin/memworkers"
)

// TestLostWorkersLeaseIsExtended has workers fall silent at different moments of a hold. Their long-running tasks must
// run again, on a cell with room, within the workers' lease and a second.
func TestLostWorkersLeaseIsExtended(t *testing.T) {
	const (
		workers  = 12
		maxAway  = 6 * time.Second
		holdTime = time.Second
		step     = 200 * time.Millisecond
		jobs     = 5
	)
	tests := map[string]struct {
		lost int
		// startsEvery is the time between jobs that start a task on each worker, 0 for none.
		startsEvery time.Duration
	}{
		"one worker":                  {lost: 1},
		"a third of workers":          {lost: workers / 3},
		"one worker with starts":      {lost: 1, startsEvery: 400 * time.Millisecond},
		"a third of them with starts": {lost: workers / 3, startsEvery: 400 * time.Millisecond},
	}
	for name, tt := range tests {
		for after := time.Duration(0); after <= holdTime; after += step {
			t.Run(fmt.Sprintf("%s after %s", name, after), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					var ids []string
					for n := range workers {
						ids = append(ids, fmt.Sprintf("w%02d", n))
					}
					bd := newTestbed(t, time.Minute, ids...)
					defer bd.end()
					nd := bd.addNode("n1")
					bd.submitJob(nd, &work.Job{ID: "lasting", Spec: "lasting", Queue: bd.accepted, Steps: []work.Step{{
						Count: workers, Need: size.New(1000, 1000, 0), Estimate: time.Second, LongRunning: true, PerWorker: 2,
					}}})
					bd.await("lasting", cell.Running, 5*time.Second)
					time.Sleep(2*time.Second + after)
					lost := map[work.Task]string{}
					for _, sr := range bd.fleet.Starts() {
						if id := sr.Worker.WorkerID(); slices.Contains(ids[:tt.lost], id) {
							lost[sr.Task] = id
						}
					}
					silentAt := bd.cutWorkers(ids[:tt.lost]...)
					if tt.startsEvery > 0 {
						go bd.startEverywhere(nd, workers, jobs, tt.startsEvery)
					}
					for end := time.Now().Add(2 * maxAway); time.Now().Before(end); time.Sleep(step / 20) {
						for _, sr := range bd.fleet.Starts() {
							id, wasLost := lost[sr.Task]
							if !wasLost || sr.Worker.WorkerID() == id {
								continue
							}
							delete(lost, sr.Task)
							if away := time.Since(silentAt[id]); away > maxAway {
								t.Errorf("%s ran again after %s, want at most %s", sr.Task, away, maxAway)
							}
						}
					}
					if len(silentAt) == 0 || len(lost) > 0 {
						t.Errorf("%d workers were lost, %d of their tasks did not run again", len(silentAt), len(lost))
					}
				})
			})
		}
	}
}

// cutWorkers makes workers answer no more calls, except for a hold that is open, so that their runs go on until their leases
// end. It returns the times of the first holds that they do not answer, when the leases were last extended.
func (bd *testbed) cutWorkers(ids ...string) map[string]time.Time {
	silentAt := map[string]time.Time{}
	bd.fleet.SetFault(func(id, order string) memworkers.Fault {
		if !slices.Contains(ids, id) {
			return memworkers.None
		}
		if _, called := silentAt[id]; !called && order == "hold" {
			silentAt[id] = bd.clock.Now()
		}
		return memworkers.RequestLost
	})
	return silentAt
}

// startEverywhere submits jobs that have one task on each worker, as many as there is room for.
func (bd *testbed) startEverywhere(nd *node, workers, jobs int, every time.Duration) {
	for n := range jobs {
		bd.submitJob(nd, &work.Job{ID: fmt.Sprintf("wide%d", n), Spec: "wide", Queue: bd.accepted, Steps: []work.Step{{
			Count: workers, Need: size.New(1000, 1000, 0), Estimate: time.Minute, PerWorker: 1,
		}}})
		time.Sleep(every)
	}
}

// TestLossOfManyWorkersExtendsNoLease guards against starts that extend the leases of lost workers: while many calls are lost,
// a worker counts as unreachable only after several unanswered holds.
func TestLossOfManyWorkersExtendsNoLease(t *testing.T) {
	const (
		workers = 400
		lost    = workers / 4
		maxAway = 9 * time.Second
		watched = 15 * time.Second
		every   = 1500 * time.Millisecond
		jobs    = 3
	)
	for _, after := range []time.Duration{0, 400 * time.Millisecond, 800 * time.Millisecond} {
		t.Run(after.String(), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				bd := newTestbed(t, time.Minute, workerNames(workers)...)
				defer bd.end()
				nd := bd.addNode("n1")
				bd.submitJob(nd, &work.Job{ID: "lasting", Spec: "lasting", Queue: bd.accepted, Steps: []work.Step{{
					Count: workers, Need: size.New(1000, 1000, 0), Estimate: time.Second, LongRunning: true, PerWorker: 2,
				}}})
				bd.await("lasting", cell.Running, 20*time.Second)
				time.Sleep(10*time.Second + after)
				ids := workerNames(workers)[:lost]
				runs := map[work.Task]string{}
				for _, sr := range bd.fleet.Starts() {
					if id := sr.Worker.WorkerID(); slices.Contains(ids, id) {
						runs[sr.Task] = id
					}
				}
				bd.cutWorkers(ids...)
				cutAt, known := time.Now(), len(bd.fleet.Starts())
				go bd.startEverywhere(nd, workers, jobs, every)
				for time.Since(cutAt) < watched && len(runs) > 0 {
					time.Sleep(50 * time.Millisecond)
					starts := bd.fleet.Starts()
					for _, sr := range starts[known:] {
						if id, waits := runs[sr.Task]; waits && sr.Worker.WorkerID() != id {
							delete(runs, sr.Task)
							if away := time.Since(cutAt); away > maxAway {
								t.Errorf("%s ran again after %v, more than %v", sr.Task, away, maxAway)
							}
						}
					}
					known = len(starts)
				}
				if len(runs) > 0 {
					t.Errorf("%d tasks have not run again after %v", len(runs), watched)
				}
			})
		})
	}
}
