package planner_test

import (
	"fmt"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/size"
	"tackbeam.example/policy/work"

	"tackbeam.example/tackbeam/internal/joblog"
)

// largeJob is a job of steps whose tasks each need a number of cores.
func largeJob(qu work.Queue, id string, steps int, cores int64) work.Job {
	jb := work.Job{ID: id, Spec: id, Queue: qu}
	for range steps {
		jb.Steps = append(jb.Steps, work.Step{Count: 1, Need: size.New(1000*cores, 1, 0), Estimate: time.Second})
	}
	return jb
}

// heapInUse returns the live heap in bytes.
func heapInUse() int64 {
	var ms runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&ms)
	return int64(ms.HeapAlloc)
}

// TestTooLargeJournal guards against a journal that takes each planner over its memory, for example because it was written with
// a higher limit: the planner must start and stay within its limit, new jobs must run, none of those in the journal may be lost,
// and one of which a worker has runs must not wait.
func TestTooLargeJournal(t *testing.T) {
	const memoryMB, jobs, steps = 16, 30, 1500
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		before := heapInUse()
		bd := newTestbed(t, 200*time.Millisecond, "w1", "w2", "w3", "w4")
		bd.memoryMB = memoryMB
		started := largeJob(bd.accepted, "started", 2, 1)
		for num := range jobs {
			bt := joblog.Batch{Jobs: []work.Job{largeJob(bd.accepted, fmt.Sprint("large", num), steps, 10*defaultCapacity)}}
			if num == jobs-1 {
				bt.Jobs = append(bt.Jobs, started)
			}
			raw, err := joblog.Encode(bt)
			is.NoErr(err)
			bd.store.Set(joblog.BatchKey("n0", "a", num), raw)
		}
		raw, err := joblog.Encode([]cell.Record{{Job: "started", Task: &work.Task{Job: "started"}, Run: 1, Result: cell.ResultDone}})
		is.NoErr(err)
		bd.store.Set(joblog.RecordKey(1, 0), raw)
		kept := 0
		bd.logged = func(line string) {
			if strings.Contains(line, "it is kept encoded") {
				kept++
			}
		}
		nd := bd.addNode("n1")
		bd.awaitLeader(nd)
		bd.await("started", cell.Succeeded, 10*time.Second)
		bd.submit(nd, "new", 1)
		bd.await("new", cell.Succeeded, 10*time.Second)
		for num := range jobs {
			_, err := nd.planner.JobPhase(t.Context(), "large"+strconv.Itoa(num), "")
			is.NoErr(err)
		}
		gauge := func(name string) int64 { return metrics.GetOrRegisterGauge(name, nd.meters).Value() }
		used, limit, deferred := gauge("planner.jobs_memory_kb"), gauge("planner.jobs_memory_limit_kb"), gauge("planner.jobs_deferred")
		t.Logf("jobs take %d of %d kB, %d are kept encoded, the heap has grown by %d kB", used, limit, deferred, (heapInUse()-before)>>10)
		is.True(used <= limit)
		is.True(deferred > 0 && deferred <= int64(kept))
		is.True(heapInUse()-before <= memoryMB*1_000_000)
		for num := range jobs {
			id := "large" + strconv.Itoa(num)
			is.NoErr(nd.intake.Cancel(t.Context(), id, ""))
			bd.await(id, cell.Cancelled, 10*time.Second)
		}
		time.Sleep(time.Second)
		is.Equal(gauge("planner.jobs_deferred"), int64(0))
		bd.end()
	})
}
