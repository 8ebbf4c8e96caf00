package test

import (
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"tackbeam.example/tackbeam/internal/api"
	"tackbeam.example/tackbeam/internal/client"
	"tackbeam.example/tackbeam/internal/table"
)

// times is how long the system takes to react to changes, with default settings.
type times struct {
	Nodes          int      `json:"nodes"`
	Workers        int      `json:"workers"`
	EditP50        float64  `json:"edit_in_force_everywhere_p50_ms"`
	EditP99        float64  `json:"edit_in_force_everywhere_p99_ms"`
	WorkerTakeover float64  `json:"workers_of_a_killed_node_taken_over_s"`
	JobTakeover    float64  `json:"jobs_of_a_killed_node_taken_over_s"`
	StoreCalls     [2]int64 `json:"store_reads_and_writes_of_the_takeover"`
	Goodput        []int64  `json:"lookups_each_second_around_the_kill"`
	FailedLookups  int64    `json:"lookups_lost_to_other_nodes_callers"`
	JoinCalls      [2]int64 `json:"store_reads_and_writes_of_a_replacement"`
	DrainTime      float64  `json:"workers_of_a_drained_node_moved_s"`
	// OutageWrites and OutageReads are the store's calls in each second after an outage.
	OutageWrites        []int64 `json:"store_writes_each_second_after_an_outage"`
	OutageReads         []int64 `json:"store_reads_each_second_after_an_outage"`
	OutageRefused       int64   `json:"store_calls_refused_after_an_outage"`
	OutageJobs          int     `json:"jobs_submitted_during_the_outage"`
	OutageAccepted      float64 `json:"last_of_them_accepted_after_s"`
	OutageFailedLookups int64   `json:"lookups_lost_during_the_outage"`
}

// TestTimes measures the times and writes them to docs/capacity/times.json.
func TestTimes(t *testing.T) {
	if os.Getenv("TACKBEAM_CAPACITY") == "" {
		t.Skip("measurement only; run make capacity")
	}
	names := []string{"n1", "n2", "n3", "n4", "n5", "n6", "n7"}
	cl := newCluster(t, options{nodes: names, workers: 50, lease: 20 * time.Second, defaultSettings: true})
	cl.configureWorkloads()
	tm := times{Nodes: len(names), Workers: 50}
	tm.EditP50, tm.EditP99 = cl.measureEdits(200)
	cl.measureReplacement(&tm)
	cl.measureKill(&tm)
	cl.measureOutage(&tm)
	writeData(t, "times.json", tm)
	t.Logf("%+v", tm)
}

// measureEdits sets a cell count times, each time until all nodes have confirmed the
// edit, and returns the latencies.
func (cl *cluster) measureEdits(count int) (p50, p99 float64) {
	var all []time.Duration
	for n := range count {
		startedAt := time.Now()
		result, err := client.Send[table.EditResult](cl.api("n1"), client.Request{
			Method: "PUT", Path: "/v1/table/workspace/brno/weight",
		}, api.CellRequest{Value: fmt.Sprint(n + 2)})
		if err != nil || len(result.Unconfirmed) > 0 {
			cl.t.Fatalf("edit %d: %v, not confirmed by %v", n, err, result.Unconfirmed)
		}
		all = append(all, time.Since(startedAt))
		time.Sleep(200 * time.Millisecond) // stays within the table's share of the store's rate limit
	}
	return percentiles(all)
}

// measureReplacement starts a new node and then drains the one that it replaces.
func (cl *cluster) measureReplacement(tm *times) {
	before := cl.storeCounts()
	cl.startNode("spare-1")
	time.Sleep(2 * time.Second)
	startedAt := time.Now()
	old := cl.nodes["n6"]
	old.signal(15)
	delete(cl.nodes, "n6")
	cl.waitOwned(50, "n6")
	tm.DrainTime = time.Since(startedAt).Seconds()
	<-old.exited
	after := cl.storeCounts()
	tm.JoinCalls = [2]int64{after.Reads - before.Reads, after.Writes - before.Writes}
}

// waitOwned waits until exactly count workers are ready and have another owner than
// the given one.
func (cl *cluster) waitOwned(count int, except string) {
	cl.eventually("workers moved", func() bool {
		list, err := client.JSON[api.Workers](cl.api("n1"), client.Request{Method: "GET", Path: api.PathWorkers})
		ready := 0
		for _, wk := range list.Workers {
			if wk.State == "ready" && wk.Owner != except {
				ready++
			}
		}
		return err == nil && ready == count
	})
}

// measureKill kills a node while the others are under load.
func (cl *cluster) measureKill(tm *times) {
	stop := make(chan struct{})
	var answered, failed atomic.Int64
	var wg sync.WaitGroup
	for i := range 20 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				select {
				case <-stop:
					return
				case <-time.After(5 * time.Millisecond):
				}
				if _, err := cl.api("n1", "n2").Do(lookupRequest(fmt.Sprint("part ", i))); err != nil {
					failed.Add(1)
				} else {
					answered.Add(1)
				}
			}
		}()
	}
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Second):
				tm.Goodput = append(tm.Goodput, answered.Swap(0))
			}
		}
	}()
	time.Sleep(3 * time.Second)
	before := cl.storeCounts()
	cl.nodes["n7"].kill()
	delete(cl.nodes, "n7")
	startedAt := time.Now()
	cl.waitOwned(50, "n7")
	tm.WorkerTakeover = time.Since(startedAt).Seconds()
	for n := range workspaces { // every workspace has a home that accepts jobs
		cl.eventually("the home of a workspace accepts jobs", func() bool {
			_, err := client.Send[api.Job](cl.api("n1"), client.Request{Method: "POST", Path: api.PathJobs},
				api.JobRequest{Workload: "push", Workspace: workspaceOf(n)})
			return err == nil
		})
	}
	tm.JobTakeover = time.Since(startedAt).Seconds()
	after := cl.storeCounts()
	tm.StoreCalls = [2]int64{after.Reads - before.Reads, after.Writes - before.Writes}
	time.Sleep(2 * time.Second)
	close(stop)
	wg.Wait()
	tm.FailedLookups = failed.Load()
}
