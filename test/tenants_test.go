package test

import (
	"fmt"
	"os"
	"testing"
	"time"

	"tackbeam.example/tackbeam/internal/api"
	"tackbeam.example/tackbeam/internal/client"
)

// workspaceSample is the cost of a number of workspaces, as the mean per node and second.
type workspaceSample struct {
	Workspaces int     `json:"workspaces"`
	Nodes      int     `json:"nodes"`
	CPU        float64 `json:"cpu_percent_of_core"`
	Memory     float64 `json:"resident_mib"`
	PeerSent   float64 `json:"peer_sent_bytes"`
	EditP50    float64 `json:"edit_in_force_everywhere_p50_ms"`
	EditP99    float64 `json:"edit_in_force_everywhere_p99_ms"`
}

// TestTenants measures the cost of the table's rows and the histograms of workspaces,
// each of which has sent a lookup through every node and a job, and writes
// docs/capacity/tenants.json.
func TestTenants(t *testing.T) {
	if os.Getenv("TACKBEAM_CAPACITY") == "" {
		t.Skip("measurement only; run make capacity")
	}
	cl := newCluster(t, options{
		nodes: []string{"n1", "n2", "n3", "n4", "n5", "n6", "n7"}, workers: 50, lease: 20 * time.Second, defaultSettings: true,
	})
	cl.configureWorkloads()
	var samples []workspaceSample
	existing := 0
	for _, count := range []int{10, 100, 380} {
		sm := workspaceSample{Workspaces: count, Nodes: len(cl.nodes)}
		sm.EditP50, sm.EditP99 = percentiles(cl.addWorkspaces(existing, count))
		existing = count
		cl.useWorkspaces(count)
		time.Sleep(2 * time.Second)
		before := cl.control()
		time.Sleep(10 * time.Second)
		for name, ct := range cl.control() {
			was := before[name]
			span := (ct.Uptime - was.Uptime).Seconds() * float64(sm.Nodes)
			sm.CPU += 100 * (ct.CPU - was.CPU).Seconds() / span
			sm.Memory += float64(ct.Resident) / (1 << 20) / float64(sm.Nodes)
			sm.PeerSent += float64(ct.PeerSent-was.PeerSent) / span
		}
		t.Logf("%+v", sm)
		samples = append(samples, sm)
	}
	writeData(t, "tenants.json", samples)
}

// addWorkspaces adds rows of workspaces and returns how long each took to become active
// on all nodes.
func (cl *cluster) addWorkspaces(from, to int) []time.Duration {
	var all []time.Duration
	for n := from; n < to; n++ {
		startedAt := time.Now()
		_, err := client.Send[map[string]any](cl.api("n1"), client.Request{
			Method: "PUT", Path: fmt.Sprintf("/v1/table/workspace/tenant-%d/weight", n),
		}, api.CellRequest{Value: "1", Wait: true})
		if err != nil {
			cl.t.Fatal(err)
		}
		all = append(all, time.Since(startedAt))
		time.Sleep(100 * time.Millisecond) // stays within the table's share of the store's rate limit
	}
	return all
}

// useWorkspaces sends a lookup through each node, and a job, for every workspace.
func (cl *cluster) useWorkspaces(count int) {
	for n := range count {
		workspace := fmt.Sprint("tenant-", n)
		for name := range cl.nodes {
			rq := lookupRequest("part")
			rq.Headers = map[string]string{api.HeaderWorkspace: workspace}
			if _, err := cl.api(name).Do(rq); err != nil {
				cl.t.Fatal(err)
			}
		}
		_, err := client.Send[api.Job](cl.api(), client.Request{Method: "POST", Path: api.PathJobs},
			api.JobRequest{Workload: "push", Workspace: workspace})
		if err != nil {
			cl.t.Fatal(err)
		}
	}
}
