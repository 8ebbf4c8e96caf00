package test

import (
	"fmt"
	"os"
	"sync"
	"testing"
	"time"

	"tackbeam.example/tackbeam/internal/api"
	"tackbeam.example/tackbeam/internal/client"
)

// startSample is the cost of a rate of submissions, and how long jobs wait.
type startSample struct {
	Rate      int     `json:"jobs_a_second"`
	Nodes     int     `json:"nodes"`
	Jobs      int     `json:"jobs"`
	Failed    int     `json:"failed"`
	AcceptP50 float64 `json:"accept_p50_ms"`
	AcceptP99 float64 `json:"accept_p99_ms"`
	PlacedP50 float64 `json:"placed_p50_ms"`
	PlacedP99 float64 `json:"placed_p99_ms"`
	Writes    float64 `json:"store_writes_a_second"`
	Refused   int64   `json:"store_refused"`
	CPU       float64 `json:"cpu_percent_of_core_a_node"`
	Memory    float64 `json:"resident_mib_a_node"`
	PeerSent  float64 `json:"peer_sent_bytes_a_node"`
}

// TestStarts submits jobs of one task at several rates to seven nodes and writes
// docs/capacity/starts.json.
func TestStarts(t *testing.T) {
	if os.Getenv("TACKBEAM_CAPACITY") == "" {
		t.Skip("measurement only; run make capacity")
	}
	var samples []startSample
	for _, rate := range []int{10, 70, 140, 280} {
		t.Run(fmt.Sprint(rate, " a second"), func(t *testing.T) {
			samples = append(samples, measureStarts(t, rate, 10*time.Second))
			t.Logf("%+v", samples[len(samples)-1])
		})
	}
	writeData(t, "starts.json", samples)
}

// startResults collects the latencies and failures of the jobs.
type startResults struct {
	mu          sync.Mutex
	accept      []time.Duration
	placed      []time.Duration
	failed      int
	errorSample string
}

func measureStarts(t *testing.T, rate int, span time.Duration) startSample {
	const nodes, workers = 7, 50
	var names []string
	for i := range nodes {
		names = append(names, fmt.Sprint("n", i+1))
	}
	cl := newCluster(t, options{nodes: names, workers: workers, lease: 20 * time.Second, defaultSettings: true})
	cl.configureWorkloads()
	st := &startResults{}
	before, calls := cl.control(), cl.storeCounts()
	startedAt := time.Now()
	var wg sync.WaitGroup
	total := rate * int(span/time.Second)
	for n := range total {
		time.Sleep(time.Until(startedAt.Add(time.Duration(n) * time.Second / time.Duration(rate))))
		wg.Add(1)
		go func() {
			defer wg.Done()
			st.job(cl.api(names[n%nodes]), n)
		}()
	}
	after, callsAfter := cl.control(), cl.storeCounts()
	elapsed := time.Since(startedAt).Seconds()
	wg.Wait()
	sm := startSample{Rate: rate, Nodes: nodes, Jobs: total, Failed: st.failed}
	for name, ct := range after {
		sm.CPU += 100 * (ct.CPU - before[name].CPU).Seconds() / elapsed / nodes
		sm.Memory += float64(ct.Resident) / (1 << 20) / nodes
		sm.PeerSent += float64(ct.PeerSent-before[name].PeerSent) / elapsed / nodes
	}
	sm.Writes = float64(callsAfter.Writes-calls.Writes) / elapsed
	sm.Refused = callsAfter.RateLimited - calls.RateLimited
	if st.failed > 0 {
		t.Logf("%d failed, for example %s", st.failed, st.errorSample)
	}
	if len(st.accept) > 0 {
		sm.AcceptP50, sm.AcceptP99 = percentiles(st.accept)
		sm.PlacedP50, sm.PlacedP99 = percentiles(st.placed)
	}
	return sm
}

// job submits one job and waits for its end.
func (st *startResults) job(cl *client.Client, n int) {
	sent := time.Now()
	vw, err := client.Send[api.Job](cl, client.Request{
		Method: "POST", Path: api.PathJobs, Headers: map[string]string{api.HeaderIdempotencyKey: fmt.Sprint("key-", n)},
	}, api.JobRequest{Workload: "push", Workspace: workspaceOf(n), Payload: map[string]any{"run": 0.5}})
	accepted := time.Since(sent)
	if err == nil {
		vw, err = client.JSON[api.Job](cl, client.Request{
			Method: "GET", Path: api.PathJobs + "/" + vw.ID, Query: map[string]string{"wait": "30"}, Wait: 30 * time.Second,
		})
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	if err != nil || vw.Answer != "ran" {
		st.failed++
		st.errorSample = fmt.Sprint(err, " ", vw.Answer, " ", vw.Reason)
		return
	}
	st.accept = append(st.accept, accepted)
	st.placed = append(st.placed, vw.Placed.Sub(sent))

}
