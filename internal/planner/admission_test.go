package planner_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"tackbeam.example/policy/feature"
	"tackbeam.example/policy/size"
	"tackbeam.example/policy/work"

	"tackbeam.example/tackbeam/internal/joblog"
	"tackbeam.example/tackbeam/internal/standin/memkv"
)

// reports collects the reports of planners, as nodes see them.
type reports struct {
	mu   sync.Mutex
	list []joblog.BacklogSize
	at   []time.Time
}

// add is called by one node for each change of the key.
func (rs *reports) add(backlog joblog.BacklogSize) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.list, rs.at = append(rs.list, backlog), append(rs.at, time.Now())
}

// all returns the reports so far and their times.
func (rs *reports) all() ([]joblog.BacklogSize, []time.Time) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return rs.list, rs.at
}

// watchReports collects the reports that the node sees which is added next.
func (bd *testbed) watchReports() *reports {
	rs := &reports{}
	bd.onBacklog = func(backlog joblog.BacklogSize) { rs.add(backlog) }
	return rs
}

// TestFirstReport guards against a planner of which nodes never learn that it plans, so that they keep accepting only
// as much as without one, and against reports without the feature, which cost the store an event per node.
func TestFirstReport(t *testing.T) {
	tests := map[string]struct {
		features feature.Set
		refused  time.Duration // time for which the store refuses writes of the planner's reports
		count    int
	}{
		"enabled":           {features: feature.RoomAdmission, count: 1},
		"first write fails": {features: feature.RoomAdmission, refused: 4 * time.Second, count: 1},
		"other features":    {features: feature.UrgentHeadroom | feature.AdviceBudget | feature.WorkerSpeeds},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				bd := newTestbed(t, time.Second, "w1")
				defer bd.end()
				bd.features = tt.features
				rs := bd.watchReports()
				nd := bd.addNode("n1")
				bd.awaitLeader(nd)
				elected := time.Now()
				if tt.refused > 0 {
					bd.store.SetFault(func(_, call string) memkv.Fault {
						if call == "commit" && time.Since(elected) < tt.refused {
							return memkv.Refused
						}
						return memkv.None
					})
				}
				time.Sleep(20 * time.Second)
				list, at := rs.all()
				is.Equal(len(list), tt.count)
				if tt.count > 0 {
					t.Logf("reported %s after the election: %+v", at[0].Sub(elected), list[0])
					is.Equal(list[0].Term, nd.currentTerm().Token)
					is.True(at[0].Sub(elected) < 3*time.Second+tt.refused)
				}
			})
		})
	}
}

// TestAdmissionReports submits five times what the workers can run for some seconds. It guards against reports that do
// not limit what nodes admit, that come more often than each 0.5 s, or that do not end with the load.
func TestAdmissionReports(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const run, interval, loadTime = 500 * time.Millisecond, 100 * time.Millisecond, 6 * time.Second
		bd := newTestbed(t, run, "w1")
		defer bd.end()
		bd.features = feature.RoomAdmission
		var mu sync.Mutex
		var lines []string
		bd.logged = func(line string) {
			if strings.Contains(line, "admitted") {
				mu.Lock()
				defer mu.Unlock()
				lines = append(lines, line)
			}
		}
		rs := bd.watchReports()
		nd := bd.addNode("n1")
		bd.awaitLeader(nd)
		time.Sleep(4 * time.Second)
		began := time.Now()
		for n := 0; time.Since(began) < loadTime; n++ {
			bd.submitJob(nd, &work.Job{
				ID: fmt.Sprint("j", n), Workspace: work.Workspace{Name: "a", Version: 1},
				Queue: work.Queue{Name: "q", Service: "svc", Attempts: 3, Stretch: 1.5, Target: 300 * time.Millisecond},
				Steps: []work.Step{{Count: defaultCapacity, Need: size.New(1000, 10, 0), Estimate: run}},
			})
			time.Sleep(interval)
		}
		ended := time.Now()
		limited, _ := nd.meters.Get("planner.admitted_share_pct").(metrics.Gauge)
		is.True(limited.Value() < 60)
		time.Sleep(40 * time.Second)
		list, at := rs.all()
		for n, one := range list[1:] {
			t.Logf("%s: %+v", at[n+1].Sub(began), one)
			is.True(at[n+1].Sub(at[n]) >= 450*time.Millisecond)
			is.Equal(one.Term, nd.currentTerm().Token)
		}
		is.Equal(len(list[0].Shares), 0) // the first report of the term
		is.True(len(list) > 5)
		is.Equal(list[2].Shares[0].Workspace, "a")
		last := len(list) - 1
		is.Equal(len(list[last].Shares), 0)
		is.True(at[last].Sub(ended) < 4*time.Second)
		is.Equal(limited.Value(), int64(100))
		mu.Lock()
		defer mu.Unlock()
		is.True(len(lines) <= 4) // on changes only
	})
}
