package test

import (
	"fmt"
	"os"
	"sort"
	"strings"
	"sync"
	"syscall"
	"testing"
	"text/tabwriter"
	"time"

	"tackbeam.example/tackbeam/internal/client"
	"tackbeam.example/tackbeam/internal/standin/standinstore"
	"tackbeam.example/tackbeam/internal/standin/standinworker"
	"tackbeam.example/tackbeam/internal/table"
	"tackbeam.example/tackbeam/internal/vmsmsg"
)

// injection is a fault on a running cluster: begin brings it about, end lifts it.
type faultInjection struct {
	begin func(cl *cluster)
	end   func(cl *cluster)
}

// faultNames is the order of the columns.
var faultNames = []string{
	"node killed", "node paused", "node cut off", "workers paused", "workers fail all",
	"store down", "store hangs", "answers lost", "store slow", "operators race",
	"node restarted", "cancel wave", "workers killed", "list lies",
}

func noFault(*cluster) {}

// faults are the single faults. The load goes to n1 and n2; n3 suffers.
var faults = map[string]faultInjection{
	"node killed": {func(cl *cluster) { cl.nodes["n3"].kill() }, noFault},
	"node paused": {
		func(cl *cluster) { cl.nodes["n3"].signal(syscall.SIGSTOP) },
		func(cl *cluster) { cl.nodes["n3"].signal(syscall.SIGCONT) },
	},
	"node cut off": {func(cl *cluster) { cl.isolate("n3") }, func(cl *cluster) { cl.restoreLinks() }},
	"workers paused": {
		func(cl *cluster) { cl.fleets[1].signal(syscall.SIGSTOP) },
		func(cl *cluster) { cl.fleets[1].signal(syscall.SIGCONT) },
	},
	"workers fail all": {
		func(cl *cluster) { cl.failWorkers(standinworker.Faults{FailAll: true}) },
		func(cl *cluster) { cl.failWorkers(standinworker.Faults{}) },
	},
	"store down":   {storeFaults(standinstore.Faults{Down: true}), storeFaults(standinstore.Faults{})},
	"store hangs":  {storeFaults(standinstore.Faults{Hang: true}), storeFaults(standinstore.Faults{})},
	"answers lost": {storeFaults(standinstore.Faults{LoseEvery: 2}), storeFaults(standinstore.Faults{})},
	"store slow":   {storeFaults(standinstore.Faults{Slow: 300 * time.Millisecond}), storeFaults(standinstore.Faults{})},
	"node restarted": {
		func(cl *cluster) {
			cl.nodes["n3"].kill()
			cl.restarted = cl.launchNode("n3") // the same name, a new process
		},
		func(cl *cluster) { cl.waitNode(cl.restarted) }, // it waits for the store, too
	},
	"workers killed": {
		func(cl *cluster) { cl.fleets[1].kill() }, // a whole rack and hall
		func(cl *cluster) {
			for number := 101; number <= 108; number++ {
				cl.deregister(fmt.Sprintf("w%04d", number))
			}
		},
	},
	"list lies":   {func(cl *cluster) { cl.falsifyVMList() }, func(cl *cluster) { put(cl.t, cl.vmsAddr, vmsmsg.Path, cl.originalVMs) }},
	"cancel wave": {func(cl *cluster) { cl.wave = startWave(cl) }, noFault},
	"operators race": {
		func(cl *cluster) { cl.startRace() },
		func(cl *cluster) { cl.stopRace() },
	},
}

func storeFaults(ft standinstore.Faults) func(*cluster) {
	return func(cl *cluster) { cl.failStore(ft) }
}

// failWorkers makes the first workers misbehave.
func (cl *cluster) failWorkers(ft standinworker.Faults) {
	for _, name := range []string{"w0001", "w0002", "w0003"} {
		post(cl.t, cl.workers[name], "/standin/faults", ft)
	}
}

// lie has the list of VMs give a worker the address of another, leave one out,
// call one leaving and put one into another rack, none of which is true.
func (cl *cluster) falsifyVMList() {
	getJSON(cl.t, cl.vmsAddr, vmsmsg.Path, &cl.originalVMs)
	wrongAddr, wrongLeaving, wrongRack := cl.originalVMs[0], cl.originalVMs[3], cl.originalVMs[4]
	wrongAddr.Addr = cl.originalVMs[1].Addr
	wrongLeaving.Leaving = true
	wrongRack.Rack = "r999"
	put(cl.t, cl.vmsAddr, vmsmsg.Path, []vmsmsg.VM{wrongAddr, wrongLeaving, wrongRack})
	cl.deregister(cl.originalVMs[2].Name)
}

// deregister takes a worker off the list of VMs.
func (cl *cluster) deregister(name string) {
	send(cl.t, "DELETE", cl.vmsAddr, vmsmsg.Path+"?name="+name, nil)
}

// cell counts what was found for one promise under one fault or pair.
type cell struct{ cases, violations int }

// matrix gathers the cells of all cases that ran.
type matrix struct {
	mu    sync.Mutex
	cells map[string]map[string]cell
}

var results = &matrix{cells: map[string]map[string]cell{}}

// promises is the order of the rows.
var violationKinds = []string{
	overcommit, overlappingRuns, duplicateRun, falseNotRun, falseRan, wrongReply, revertedCell, noOutcome, startOnLeaving,
}

func (mx *matrix) add(names []string, vi violations) {
	mx.mu.Lock()
	defer mx.mu.Unlock()
	for _, kind := range violationKinds {
		if mx.cells[kind] == nil {
			mx.cells[kind] = map[string]cell{}
		}
		for _, name := range names {
			ce := mx.cells[kind][name]
			ce.cases++
			ce.violations += len(vi[kind])
			mx.cells[kind][name] = ce
		}
	}
}

// print writes the matrix of what ran: cases, and violations after a slash.
func (mx *matrix) print() {
	tw := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(tw, "promise\t"+strings.Join(faultNames, "\t"))
	for _, kind := range violationKinds {
		line := []string{kind}
		for _, name := range faultNames {
			ce := mx.cells[kind][name]
			line = append(line, fmt.Sprintf("%d/%d", ce.cases, ce.violations))
		}
		_, _ = fmt.Fprintln(tw, strings.Join(line, "\t"))
	}
	_ = tw.Flush()
}

// TestFaults brings each fault about alone and, under TACKBEAM_PAIRS, each pair,
// on real processes under load, and checks every promise. At the end it prints
// how many cases ran for each promise and fault, and how many violations.
func TestFaults(t *testing.T) {
	cases := [][]string{}
	for i, a := range faultNames {
		cases = append(cases, []string{a})
		for _, b := range faultNames[i+1:] {
			if os.Getenv("TACKBEAM_PAIRS") != "" {
				cases = append(cases, []string{a, b})
			}
		}
	}
	t.Run("group", func(t *testing.T) {
		for _, names := range cases {
			t.Run(strings.Join(names, " and "), func(t *testing.T) {
				t.Parallel()
				vi := runWithFaults(t, names)
				results.add(names, vi)
				vi.assertNone(t)
			})
		}
	})
	results.print()
}

// underFaults runs one case: load, the faults a moment apart, their end, and
// the time to recover.
func runWithFaults(t *testing.T, names []string) violations {
	op := options{nodes: []string{"n1", "n2", "n3"}, workers: 8, relays: true, lookup: 100 * time.Millisecond}
	cl := newCluster(t, op)
	cl.addWorkers(op, 101, 8)
	cl.waitWorkers(16)
	cl.configureWorkloads()
	// More lookups than the slots of n1 and n2, so that many are forwarded to n3.
	ld := startLoad(cl, 110, 4, func() *client.Client { return cl.api("n1", "n2") })
	watch := startWatch(cl, "n1", "n2")
	time.Sleep(500 * time.Millisecond)
	for _, name := range names {
		faults[name].begin(cl)
		time.Sleep(200 * time.Millisecond)
	}
	time.Sleep(4 * time.Second)
	for _, name := range names {
		faults[name].end(cl)
	}
	leftAt := cl.markLeaving("w0008")
	time.Sleep(4 * time.Second)
	if cl.wave != nil {
		ld.outcomes = append(ld.outcomes, cl.wave.end()...)
	}
	vi := ld.end()
	watch.end(vi)
	for _, rc := range cl.records() {
		if rc.Worker == "w0008" && rc.Event == standinworker.EventBegin && rc.At.After(leftAt.Add(leaveTimeout)) {
			vi.add(startOnLeaving, "%s began %v after", rc.Task, rc.At.Sub(leftAt))
		}
	}
	ld.log(t)
	return vi
}

// leaveTime is within what a leaving endpoint gets no new work any more.
const leaveTimeout = 3 * time.Second

// leave has the list of VMs say that a worker leaves; the worker is not told.
func (cl *cluster) markLeaving(name string) time.Time {
	var vms []vmsmsg.VM
	getJSON(cl.t, cl.vmsAddr, vmsmsg.Path, &vms)
	for _, vm := range vms {
		if vm.Name == name {
			vm.Leaving = true
			put(cl.t, cl.vmsAddr, vmsmsg.Path, []vmsmsg.VM{vm})
		}
	}
	return time.Now()
}

// watcher follows the versions of the table on nodes; none may go down.
type versionWatcher struct {
	stop        chan struct{}
	wg          sync.WaitGroup
	mu          sync.Mutex
	regressions []string
}

func startWatch(cl *cluster, names ...string) *versionWatcher {
	wa := &versionWatcher{stop: make(chan struct{})}
	for _, name := range names {
		api := cl.api(name)
		wa.wg.Add(1)
		go func() {
			defer wa.wg.Done()
			seen := map[string]uint64{}
			for {
				select {
				case <-wa.stop:
					return
				case <-time.After(50 * time.Millisecond):
					wa.poll(name, api, seen)
				}
			}
		}()
	}
	return wa
}

func (wa *versionWatcher) poll(name string, api *client.Client, seen map[string]uint64) {
	tb, err := client.JSON[struct {
		Rows []table.Row `json:"rows"`
	}](api, client.Request{Method: "GET", Path: "/v1/table"})
	if err != nil {
		return
	}
	for _, row := range tb.Rows {
		key := string(row.Kind) + "/" + row.Name
		if row.Version < seen[key] {
			wa.mu.Lock()
			wa.regressions = append(wa.regressions, fmt.Sprintf("%s on %s went from %d to %d", key, name, seen[key], row.Version))
			wa.mu.Unlock()
		}
		seen[key] = max(seen[key], row.Version)
	}
}

func (wa *versionWatcher) end(vi violations) {
	close(wa.stop)
	wa.wg.Wait()
	sort.Strings(wa.regressions)
	for _, text := range wa.regressions {
		vi.add(revertedCell, "%s", text)
	}
}
