package test

import (
	"fmt"
	"os"
	"testing"
	"time"
)

// hallSample is the cost of a failure in a cluster of the target size, compared with
// the same duration without load or failure before it.
type hallSample struct {
	What        string `json:"what"`
	Nodes       int    `json:"nodes"`
	Workers     int    `json:"workers"`
	WorkersLost int    `json:"workers_lost"`
	// RecoveryTime is how long it took until no lost worker was listed as ready or,
	// after a split, until all workers were listed as ready again.
	RecoveryTime float64 `json:"settled_s"`
	Reads        int64   `json:"store_reads_more_than_at_rest"`
	Writes       int64   `json:"store_writes_more_than_at_rest"`
	CPU          float64 `json:"cpu_percent_of_core_a_node"`
	PeerSent     float64 `json:"peer_sent_bytes_a_node"`
}

// TestHalls measures the loss of one of six halls, and a minute without traffic between
// two halves of the nodes, with 970 workers and seven nodes, and writes
// docs/capacity/halls.json.
func TestHalls(t *testing.T) {
	if os.Getenv("TACKBEAM_CAPACITY") == "" {
		t.Skip("measurement only; run make capacity")
	}
	const halls, perHall = 6, 162
	names := []string{"n1", "n2", "n3", "n4", "n5", "n6", "n7"}
	op := options{nodes: names, defaultSettings: true, relays: true, lease: 20 * time.Second}
	cl := newCluster(t, op)
	for hall := range halls {
		op.hall = fmt.Sprint("hall-", hall+1)
		cl.addWorkers(op, 1000*hall+1, perHall)
	}
	cl.waitWorkers(halls * perHall)
	cl.configureWorkloads()
	time.Sleep(5 * time.Second)
	idle := cl.measureUsage(20*time.Second, func() {})
	split := cl.measureSplit(idle, names)
	lost := cl.measureHall(idle, halls*perHall, perHall)
	writeData(t, "halls.json", []hallSample{lost, split})
	t.Logf("%+v %+v", lost, split)
}

// measureUsage runs the action and returns the usage from its start to the end of the
// time span, or of the action if that is later: the store's calls, and the mean
// processor time and bytes per second of a node.
func (cl *cluster) measureUsage(span time.Duration, action func()) hallSample {
	before, calls := cl.control(), cl.storeCounts()
	startedAt := time.Now()
	action()
	var sm hallSample
	time.Sleep(time.Until(startedAt.Add(span)))
	elapsed := time.Since(startedAt).Seconds()
	after := cl.storeCounts()
	sm.Reads, sm.Writes = after.Reads-calls.Reads, after.Writes-calls.Writes
	for name, ct := range cl.control() {
		sm.CPU += 100 * (ct.CPU - before[name].CPU).Seconds() / elapsed / float64(len(before))
		sm.PeerSent += float64(ct.PeerSent-before[name].PeerSent) / elapsed / float64(len(before))
	}
	return sm
}

// subtractIdle subtracts the store's calls that an idle cluster makes in the same time;
// ratio is that time divided by the duration of the idle sample.
func (sm *hallSample) subtractIdle(idle hallSample, ratio float64) {
	sm.Reads -= int64(float64(idle.Reads) * ratio)
	sm.Writes -= int64(float64(idle.Writes) * ratio)
}

// measureHall kills all workers of a hall and measures the recovery.
func (cl *cluster) measureHall(idle hallSample, workers, lost int) hallSample {
	startedAt := time.Now()
	var recovery time.Duration
	sm := cl.measureUsage(150*time.Second, func() {
		cl.fleets[len(cl.fleets)-1].kill()
		cl.waitWorkers(workers - lost)
		recovery = time.Since(startedAt)
	})
	sm.subtractIdle(idle, time.Since(startedAt).Seconds()/20)
	sm.What, sm.Nodes, sm.Workers, sm.WorkersLost = "a hall of six lost", len(cl.nodes), workers, lost
	sm.RecoveryTime = recovery.Seconds()
	return sm
}

// measureSplit blocks the traffic between two halves of the nodes for a minute. All
// nodes still reach the store.
func (cl *cluster) measureSplit(idle hallSample, names []string) hallSample {
	var recovery time.Duration
	startedAt := time.Now()
	sm := cl.measureUsage(90*time.Second, func() {
		cl.split(names[:3], names[3:])
		time.Sleep(time.Minute)
		cl.restoreLinks()
		restoredAt := time.Now()
		cl.waitWorkers(len(cl.workers))
		recovery = time.Since(restoredAt)
	})
	sm.subtractIdle(idle, time.Since(startedAt).Seconds()/20)
	sm.What, sm.Nodes, sm.Workers, sm.RecoveryTime = "two halves of the nodes apart for a minute", len(names), len(cl.workers), recovery.Seconds()
	return sm
}
