package planner_test

import (
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"tackbeam.example/tackbeam/internal/joblog"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/work"
)

// TestTakeoverLog checks that the log tells which runs and stops a term takes over, and which of them end without a report.
func TestTakeoverLog(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		bd := newTestbed(t, time.Hour, "w1")
		defer bd.end()
		run := cell.Run{Task: work.Task{Job: "a"}, Number: 7}
		stopped := cell.Run{Task: work.Task{Job: "a", Index: 1}, Number: 7}
		worker := decodeEntry("w1", "born 946684800000").ID
		raw, err := joblog.Encode([]cell.Record{
			{Worker: worker, Closed: true, Held: []cell.Run{run, stopped}}, {Worker: worker, Stop: true, Held: []cell.Run{stopped}},
		})
		is.NoErr(err)
		bd.store.Set(joblog.RecordKey(1, 0), raw)
		batch, err := joblog.Encode(&joblog.Batch{Jobs: []work.Job{*newJob(bd.accepted, "a", 2)}})
		is.NoErr(err)
		bd.store.Set(joblog.BatchKey("n0", "x", 0), batch)
		var mu sync.Mutex
		var lines []string
		bd.logged = func(line string) {
			mu.Lock()
			defer mu.Unlock()
			lines = append(lines, line)
		}
		bd.addNode("n1")
		time.Sleep(3 * time.Second)
		synctest.Wait()
		mu.Lock()
		defer mu.Unlock()
		logged := strings.Join(lines, "\n")
		is.True(strings.Contains(logged, `"workers"=1 "runs"=2 "stops"=1`))
		is.True(strings.Contains(logged, `"Run has gone without an end." "token"=5 "task"="a.0.0.0" "run"=7 "worker"="w1@946684800000" "adopted"=true "stopping"=false`))
		is.True(strings.Contains(logged, `"task"="a.0.0.1" "run"=7 "worker"="w1@946684800000" "adopted"=true "stopping"=true`))
	})
}
