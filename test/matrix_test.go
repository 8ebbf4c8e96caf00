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

// faultInjection is a fault of a running cluster: begin injects it, end clears it.
type faultInjection struct {
	begin func(cl *cluster)
	end   func(cl *cluster)
}

// faultNames has the faults in the order of the columns.
var faultNames = []string{
	"node killed", "node paused", "node cut off", "workers paused", "workers fail all",
	"store down", "store hangs", "answers lost", "store slow", "operators race",
	"node restarted", "cancel wave", "workers killed", "list lies",
}

func noFault(*cluster) {}

// faults has the injections by name. The load goes to n1 and n2; faults of a node
// are injected into n3.
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
	"answers lost": {storeFaults(standinstore.Faults{DropResponseEvery: 2}), storeFaults(standinstore.Faults{})},
	"store slow":   {storeFaults(standinstore.Faults{Slow: 300 * time.Millisecond}), storeFaults(standinstore.Faults{})},
	"node restarted": {
		func(cl *cluster) {
			cl.nodes["n3"].kill()
			cl.restarted = cl.launchNode("n3") // a new process under the same name
		},
		func(cl *cluster) { cl.waitNode(cl.restarted) }, // a node that starts also waits for the store
	},
	"workers killed": {
		func(cl *cluster) { cl.fleets[1].kill() }, // the process runs a whole rack and hall
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

// failWorkers sets the faults that the first three workers inject.
func (cl *cluster) failWorkers(ft standinworker.Faults) {
	for _, name := range []string{"w0001", "w0002", "w0003"} {
		post(cl.t, cl.workers[name], "/standin/faults", ft)
	}
}

// falsifyVMList makes the list of VMs wrong: one worker has the address of another, one
// is missing, one is reported as leaving and one is in another rack.
func (cl *cluster) falsifyVMList() {
	getJSON(cl.t, cl.vmsAddr, vmsmsg.Path, &cl.originalVMs)
	wrongAddr, wrongLeaving, wrongRack := cl.originalVMs[0], cl.originalVMs[3], cl.originalVMs[4]
	wrongAddr.Addr = cl.originalVMs[1].Addr
	wrongLeaving.Leaving = true
	wrongRack.Rack = "r999"
	put(cl.t, cl.vmsAddr, vmsmsg.Path, []vmsmsg.VM{wrongAddr, wrongLeaving, wrongRack})
	cl.deregister(cl.originalVMs[2].Name)
}

// deregister removes a worker from the list of VMs.
func (cl *cluster) deregister(name string) {
	send(cl.t, "DELETE", cl.vmsAddr, vmsmsg.Path+"?name="+name, nil)
}

// caseCount has the number of cases in which a fault was injected, and of the
// violations of one kind in them.
type caseCount struct{ cases, violations int }

// matrix has the counts of all cases that ran, by kind of violation and fault.
type matrix struct {
	mu    sync.Mutex
	cells map[string]map[string]caseCount
}

var results = &matrix{cells: map[string]map[string]caseCount{}}

// violationKinds has the kinds in the order of the rows.
var violationKinds = []string{
	overcommit, overlappingRuns, duplicateRun, falseNotRun, falseRan, wrongReply, revertedCell, noOutcome, startOnLeaving,
}

func (mx *matrix) add(names []string, vi violations) {
	mx.mu.Lock()
	defer mx.mu.Unlock()
	for _, kind := range violationKinds {
		if mx.cells[kind] == nil {
			mx.cells[kind] = map[string]caseCount{}
		}
		for _, name := range names {
			cc := mx.cells[kind][name]
			cc.cases++
			cc.violations += len(vi[kind])
			mx.cells[kind][name] = cc
		}
	}
}

// print writes the matrix. Each cell has the number of cases and, after a slash, of
// violations.
func (mx *matrix) print() {
	tw := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(tw, "promise\t"+strings.Join(faultNames, "\t"))
	for _, kind := range violationKinds {
		line := []string{kind}
		for _, name := range faultNames {
			cc := mx.cells[kind][name]
			line = append(line, fmt.Sprintf("%d/%d", cc.cases, cc.violations))
		}
		_, _ = fmt.Fprintln(tw, strings.Join(line, "\t"))
	}
	_ = tw.Flush()
}

// TestFaults injects each fault alone and, if TACKBEAM_PAIRS is set, each pair of faults
// into a cluster under load, and checks for violations of every kind. At the end it
// prints the numbers of cases and violations for each kind and fault.
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

// runWithFaults runs one case: it starts the load, injects the faults 200 ms apart,
// clears them, and gives the cluster time to recover.
func runWithFaults(t *testing.T, names []string) violations {
	op := options{nodes: []string{"n1", "n2", "n3"}, workers: 8, relays: true, lookup: 100 * time.Millisecond}
	cl := newCluster(t, op)
	cl.addWorkers(op, 101, 8)
	cl.waitWorkers(16)
	cl.configureWorkloads()
	// There are more lookups than the workers of n1 and n2 have slots, so that many are
	// forwarded to n3.
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
			vi.add(startOnLeaving, "%s started %v after the worker was marked as leaving", rc.Task, rc.At.Sub(leftAt))
		}
	}
	ld.logSummary(t)
	return vi
}

// leaveTimeout is the time after which a leaving endpoint must get no new tasks or
// lookups.
const leaveTimeout = 3 * time.Second

// markLeaving marks a worker as leaving in the list of VMs. The worker itself is not
// notified.
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

// versionWatcher polls the versions of the table's rows on nodes; no version may
// decrease.
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
			wa.regressions = append(wa.regressions, fmt.Sprintf("%s on %s went from version %d to %d", key, name, seen[key], row.Version))
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
