package test

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"tackbeam.example/tackbeam/internal/api"
	"tackbeam.example/tackbeam/internal/client"
	"tackbeam.example/tackbeam/internal/nodemsg"
	"tackbeam.example/tackbeam/internal/worker"
	"tackbeam.example/tackbeam/internal/workermsg"
)

// sample is the usage of a cluster of one size, as the mean per node and second, except
// for the store's calls, which are the sum over all nodes.
type sample struct {
	Nodes      int     `json:"nodes"`
	Workers    int     `json:"workers"`
	CPU        float64 `json:"cpu_percent_of_core"`
	Memory     float64 `json:"resident_mib"`
	PeerSent   float64 `json:"peer_sent_bytes"`
	WorkerSent float64 `json:"worker_sent_bytes"`
	WorkerRead float64 `json:"worker_read_bytes"`
	Reads      float64 `json:"store_reads_all_nodes"`
	Writes     float64 `json:"store_writes_all_nodes"`
	LookupCPU  float64 `json:"cpu_microseconds_a_lookup"`
	DirectP50  float64 `json:"direct_p50_ms"`
	DirectP99  float64 `json:"direct_p99_ms"`
	RoutedP50  float64 `json:"through_p50_ms"`
	RoutedP99  float64 `json:"through_p99_ms"`
}

// TestCapacity measures the overhead of the control plane for several cluster sizes and
// writes docs/capacity/samples.json. It takes minutes; make capacity runs it.
func TestCapacity(t *testing.T) {
	if os.Getenv("TACKBEAM_CAPACITY") == "" {
		t.Skip("measurement only; run make capacity")
	}
	var samples []sample
	sizes := [][2]int{{1, 50}, {2, 50}, {4, 50}, {7, 50}, {7, 200}, {7, 500}, {7, 970}, {11, 50}}
	for _, size := range sizes {
		t.Run(fmt.Sprintf("%d nodes %d workers", size[0], size[1]), func(t *testing.T) {
			samples = append(samples, measureCluster(t, size[0], size[1]))
			t.Logf("%+v", samples[len(samples)-1])
		})
	}
	writeData(t, "samples.json", samples)
}

// writeData writes measurements to docs/capacity.
func writeData(t *testing.T, name string, data any) {
	t.Helper()
	raw, err := json.MarshalIndent(data, "", "  ")
	if err == nil {
		err = os.WriteFile(filepath.Join("..", "docs", "capacity", name), append(raw, '\n'), 0o644)
	}
	if err != nil {
		t.Fatal(err)
	}
}

func measureCluster(t *testing.T, nodes, workers int) sample {
	const idle = 20 * time.Second
	var names []string
	for i := range nodes {
		names = append(names, fmt.Sprint("n", i+1))
	}
	cl := newCluster(t, options{
		nodes: names, workers: workers, lease: 20 * time.Second, defaultSettings: true, lookup: time.Millisecond,
	})
	cl.configureWorkloads()
	time.Sleep(3 * time.Second) // until the nodes have joined
	before, calls := cl.control(), cl.storeCounts()
	time.Sleep(idle)
	after, callsAfter := cl.control(), cl.storeCounts()
	sm := sample{Nodes: nodes, Workers: workers}
	for name, ct := range after {
		was := before[name]
		span := (ct.Uptime - was.Uptime).Seconds() * float64(nodes)
		sm.CPU += 100 * (ct.CPU - was.CPU).Seconds() / span
		sm.Memory += float64(ct.Resident) / (1 << 20) / float64(nodes)
		sm.PeerSent += float64(ct.PeerSent-was.PeerSent) / span
		sm.WorkerSent += float64(ct.WorkerSent-was.WorkerSent) / span
		sm.WorkerRead += float64(ct.WorkerReceived-was.WorkerReceived) / span
	}
	sm.Reads = float64(callsAfter.Reads-calls.Reads) / idle.Seconds()
	sm.Writes = float64(callsAfter.Writes-calls.Writes) / idle.Seconds()
	cl.measureLookups(&sm)
	return sm
}

// control returns the resources that each node has used for control since its start.
func (cl *cluster) control() map[string]nodemsg.ControlUsage {
	all := map[string]nodemsg.ControlUsage{}
	list, err := client.JSON[api.Nodes](cl.api(), client.Request{Method: "GET", Path: api.PathNodes})
	if err != nil || len(list.Unreached) > 0 {
		cl.t.Fatalf("nodes: %v, no answer from %v", err, list.Unreached)
	}
	for _, nd := range list.Nodes {
		all[nd.Name] = nd.Control
	}
	return all
}

// measureLookups sends lookups through the nodes and then directly to a worker, and
// records the latencies of both.
func (cl *cluster) measureLookups(sm *sample) {
	const clients, perClient = 4, 2000
	before := cl.control()
	routed := make([][]time.Duration, clients)
	var wg sync.WaitGroup
	for i := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			api := cl.api()
			for n := range perClient {
				startedAt := time.Now()
				_, err := api.Do(lookupRequest(fmt.Sprint("part ", i, n)))
				if err == nil {
					routed[i] = append(routed[i], time.Since(startedAt))
				}
			}
		}()
	}
	wg.Wait()
	spent := time.Duration(0)
	for name, ct := range cl.control() {
		spent += ct.CPU - before[name].CPU
	}
	var all []time.Duration
	for _, list := range routed {
		all = append(all, list...)
	}
	if len(all) != clients*perClient {
		cl.t.Fatalf("%d of %d lookups were answered", len(all), clients*perClient)
	}
	sm.LookupCPU = float64(spent.Microseconds()) / float64(len(all))
	sm.RoutedP50, sm.RoutedP99 = percentiles(all)
	sm.DirectP50, sm.DirectP99 = percentiles(cl.measureDirect(clients, perClient))
}

func lookupRequest(body string) client.Request {
	return client.Request{
		Method: "POST", Path: "/v1/lookups/lookup", Body: []byte(body),
		Headers: map[string]string{api.HeaderWorkspace: "brno"},
	}
}

// measureDirect sends lookups directly to another worker, which is unknown to the nodes.
func (cl *cluster) measureDirect(clients, perClient int) []time.Duration {
	answers := make([]chan workermsg.Answer, clients)
	for i := range answers {
		answers[i] = make(chan workermsg.Answer, 1)
	}
	addr := cl.unlistedWorker()
	conn, err := worker.New(context.Background(), clockwork.NewRealClock(), worker.Options{
		Name: "w0001", Addr: addr, Owner: "test", Epoch: 1, Dial: worker.Dial,
	}, worker.Events{
		Answered:  func(an workermsg.Answer) { answers[an.ID%uint64(clients)] <- an },
		Heartbeat: func(workermsg.Heartbeat) {}, Ended: func(workermsg.Ended) {}, Leaving: func() {}, Lost: func(error) {},
	})
	if err != nil {
		cl.t.Fatal(err)
	}
	defer conn.Close()
	var mu sync.Mutex
	var all []time.Duration
	var wg sync.WaitGroup
	for i := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := range perClient {
				startedAt := time.Now()
				id := uint64(n*clients + i)
				if conn.Lookup(workermsg.Lookup{ID: id, Body: []byte("part"), Budget: time.Second}) != nil {
					return
				}
				<-answers[i]
				mu.Lock()
				all = append(all, time.Since(startedAt))
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	return all
}

func percentiles(all []time.Duration) (p50, p99 float64) {
	sort.Slice(all, func(i, j int) bool { return all[i] < all[j] })
	const perMille = 1000
	at := func(p int) float64 { return float64(all[len(all)*p/perMille].Microseconds()) / 1000 }
	return at(500), at(990)
}
