// Package test contains end-to-end tests that run real processes on the loopback
// interface: nodes, a stand-in for the store and stand-in workers.
package test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"tackbeam.example/tackbeam/internal/api"
	"tackbeam.example/tackbeam/internal/client"
	"tackbeam.example/tackbeam/internal/keys"
	"tackbeam.example/tackbeam/internal/standin/standinstore"
	"tackbeam.example/tackbeam/internal/standin/standinworker"
	"tackbeam.example/tackbeam/internal/vmsmsg"
)

// waitTimeout bounds every wait for a condition. It is long, so that a slow machine
// only takes longer and does not fail a test.
const waitTimeout = 90 * time.Second

var binaries string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "tackbeam-test-")
	if err != nil {
		panic(err)
	}
	binaries = dir
	args := []string{"build", "-buildvcs=false", "-o", dir + "/"}
	if os.Getenv("TACKBEAM_RACE") != "" {
		args = append(args, "-race")
	}
	build := exec.Command("go", append(args, "tackbeam.example/tackbeam/cmd/...")...)
	if out, err := build.CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// process is a process that a test started.
type process struct {
	name   string
	cmd    *exec.Cmd
	lines  chan string
	exited chan struct{}
	addr   string
	peer   string
	// killedAt is a time at which the killed process had certainly exited.
	killedAt time.Time
	// records is the path of the file in which a process of stand-in workers records
	// what they run.
	records string
}

// cluster is the set of processes of a test.
type cluster struct {
	t               *testing.T
	dir             string
	store           *process
	storeAddr       string
	vmsAddr         string
	fleets          []*process
	workers         map[string]string
	nodes           map[string]*process
	relays          map[string]*relay
	race            *editRace
	wave            *cancelWave
	restarted       *process
	originalVMs     []vmsmsg.VM
	clients         clients
	defaultSettings bool
}

// options configures a cluster.
type options struct {
	nodes   []string
	workers int
	lease   time.Duration
	lookup  time.Duration
	// defaultSettings keeps the default intervals and timeouts, as in production,
	// instead of the short ones of the tests.
	defaultSettings bool
	// hall is the hall of all workers; if empty, they are spread over the halls.
	hall string
	// relays puts a UDP relay in front of each node, so that a test can block the
	// traffic between nodes.
	relays bool
}

// newCluster starts a store, workers and nodes, and waits until all workers are ready.
func newCluster(t *testing.T, op options) *cluster {
	t.Helper()
	cl := &cluster{
		t: t, dir: t.TempDir(), workers: map[string]string{}, nodes: map[string]*process{}, defaultSettings: op.defaultSettings,
	}
	if op.relays {
		cl.relays = map[string]*relay{}
	}
	if err := keys.Issue(cl.dir, append([]string{"spare-1", "spare-2", "spare-3"}, op.nodes...)); err != nil {
		t.Fatal(err)
	}
	cl.store = cl.start("store", "tackbeam", "standin", "store")
	words := strings.Fields(cl.nextLine(cl.store))
	cl.storeAddr, cl.vmsAddr = words[1], words[3]
	cl.addWorkers(op, 1, op.workers)
	for _, name := range op.nodes {
		cl.startNode(name)
	}
	cl.waitWorkers(op.workers)
	return cl
}

// start runs a program. Its log goes to a file, which is printed if the test fails.
func (cl *cluster) start(name, program string, args ...string) *process {
	cl.t.Helper()
	cmd := exec.Command(filepath.Join(binaries, program), args...)
	out, err := cmd.StdoutPipe()
	if err != nil {
		cl.t.Fatal(err)
	}
	logPath := filepath.Join(cl.dir, fmt.Sprintf("%s-%d.log", name, time.Now().UnixNano()))
	logFile, err := os.Create(logPath)
	if err != nil {
		cl.t.Fatal(err)
	}
	cmd.Stderr = logFile
	if err := cmd.Start(); err != nil {
		cl.t.Fatal(err)
	}
	pr := &process{name: name, cmd: cmd, lines: make(chan string, 4096), exited: make(chan struct{})}
	go pr.readLines(out)
	cl.t.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		<-pr.exited
		_ = logFile.Close()
		checkLog(cl.t, name, logPath)
	})
	return pr
}

// checkLog fails the test if the log of a process reports a data race, a panic or a
// fatal error. If the test failed, it prints the end of the log.
func checkLog(t *testing.T, name, path string) {
	const tail = 6000
	raw, err := os.ReadFile(path)
	if err != nil || len(raw) == 0 {
		return
	}
	for _, word := range []string{"DATA RACE", "panic:", "fatal error:"} {
		if at := bytes.Index(raw, []byte(word)); at >= 0 {
			t.Errorf("%s: %s", name, raw[at:min(len(raw), at+tail)])
		}
	}
	if t.Failed() {
		t.Logf("log of %s:\n%s", name, raw[max(0, len(raw)-tail):])
	}
}

func (pr *process) readLines(out io.Reader) {
	sc := bufio.NewScanner(out)
	for sc.Scan() {
		select {
		case pr.lines <- sc.Text():
		default:
		}
	}
	_ = pr.cmd.Wait()
	close(pr.exited)
}

// nextLine returns the next line that a process prints on standard output.
func (cl *cluster) nextLine(pr *process) string {
	cl.t.Helper()
	select {
	case line := <-pr.lines:
		return line
	case <-pr.exited:
		cl.t.Fatalf("%s exited before it was ready", pr.name)
	case <-time.After(waitTimeout):
		cl.t.Fatalf("timed out waiting for %s to become ready", pr.name)
	}
	return ""
}

// addWorkers starts one process that runs count workers.
func (cl *cluster) addWorkers(op options, first, count int) {
	cl.t.Helper()
	lease := op.lease
	if lease == 0 {
		lease = 4 * time.Second
	}
	lookup := op.lookup
	if lookup == 0 {
		lookup = 2 * time.Millisecond
	}
	heartbeat := lease / 8
	if op.defaultSettings {
		heartbeat = lease / 4
	}
	records := filepath.Join(cl.dir, fmt.Sprintf("workers-%d.records", first))
	pr := cl.start("workers", "tackbeam", "standin", "workers", "--vms", cl.vmsAddr, "--records", records,
		"--first", fmt.Sprint(first), "--count", fmt.Sprint(count),
		"--hall", op.hall, "--lease", lease.String(), "--beat", heartbeat.String(), "--lookup-time", lookup.String())
	pr.records = records
	cl.fleets = append(cl.fleets, pr)
	for range count {
		words := strings.Fields(cl.nextLine(pr))
		cl.workers[words[1]] = words[2]
	}
}

// unlistedWorker starts a worker that is not in the list of VMs that the nodes read,
// and returns its address.
func (cl *cluster) unlistedWorker() string {
	cl.t.Helper()
	vmsAddr := strings.Fields(cl.nextLine(cl.start("unlisted-store", "tackbeam", "standin", "store")))[3]
	pr := cl.start("unlisted", "tackbeam", "standin", "workers", "--vms", vmsAddr, "--count", "1", "--lookup-time", "1ms")
	return strings.Fields(cl.nextLine(pr))[2]
}

// startNode starts a node and waits until it has printed its addresses.
func (cl *cluster) startNode(name string) *process {
	cl.t.Helper()
	pr := cl.launchNode(name)
	cl.waitNode(pr)
	return pr
}

// launchNode starts a node without waiting for it.
func (cl *cluster) launchNode(name string) *process {
	cl.t.Helper()
	settings := map[string]any{
		"node": name, "hall": "hall-" + fmt.Sprint(len(cl.nodes)%3+1), "region": "cz",
		"http": map[string]any{"listen": "127.0.0.1:0"},
		"peer": map[string]any{
			"listen": "127.0.0.1:0", "cert": filepath.Join(cl.dir, name+keys.CertSuffix),
			"key": filepath.Join(cl.dir, name+keys.KeySuffix), "ca": filepath.Join(cl.dir, keys.CAFile),
		},
		"store":  map[string]any{"addresses": []string{cl.storeAddr}, "lease": "3s"},
		"vms":    map[string]any{"address": cl.vmsAddr, "every": "200ms"},
		"owner":  map[string]any{"lease": "5s", "guard": "3s"},
		"member": map[string]any{"beat": "300ms", "suspect": "1500ms"},
		"limits": map[string]any{"unready": "300ms", "ask": "2s"},
		"log":    map[string]any{"verbosity": 1},
		"record": map[string]any{"path": filepath.Join(cl.dir, name+".trace")},
	}
	if cl.relays != nil {
		cl.relays[name] = newRelay(cl.t)
		settings["peer"].(map[string]any)["advertise"] = cl.relays[name].addr()
	}
	if cl.defaultSettings {
		for _, section := range []string{"owner", "member", "limits", "log"} {
			delete(settings, section)
		}
		delete(settings, "record")
		settings["store"] = map[string]any{"addresses": []string{cl.storeAddr}}
		settings["vms"] = map[string]any{"address": cl.vmsAddr}
	}
	raw, err := json.Marshal(settings)
	if err != nil {
		cl.t.Fatal(err)
	}
	path := filepath.Join(cl.dir, name+".json")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		cl.t.Fatal(err)
	}
	return cl.start(name, "tackbeamd", "--config", path)
}

// waitNode waits until a node has printed its addresses, and adds it to the cluster.
func (cl *cluster) waitNode(pr *process) {
	cl.t.Helper()
	words := strings.Fields(cl.nextLine(pr))
	pr.addr, pr.peer = strings.TrimSuffix(words[4], ","), words[8]
	if cl.relays != nil {
		cl.relays[pr.name].serve(cl.t, pr.peer)
	}
	cl.nodes[pr.name] = pr
}

// isolate blocks the traffic between a node and all others.
func (cl *cluster) isolate(name string) {
	isolated := cl.nodes[name].peer
	for other, re := range cl.relays {
		re.setBlocked(func(from string) bool { return other == name || from == isolated })
	}
}

// split blocks the traffic between two groups of nodes.
func (cl *cluster) split(one, other []string) {
	block := func(names, from []string) {
		peers := map[string]bool{}
		for _, name := range from {
			peers[cl.nodes[name].peer] = true
		}
		for _, name := range names {
			cl.relays[name].setBlocked(func(addr string) bool { return peers[addr] })
		}
	}
	block(one, other)
	block(other, one)
}

// restoreLinks unblocks the traffic between all nodes.
func (cl *cluster) restoreLinks() {
	for _, re := range cl.relays {
		re.setBlocked(nil)
	}
}

// kill sends SIGKILL to a process and waits until it has exited.
func (pr *process) kill() {
	_ = pr.cmd.Process.Kill()
	<-pr.exited
	pr.killedAt = time.Now()
}

func (pr *process) signal(sig syscall.Signal) { _ = pr.cmd.Process.Signal(sig) }

// clients caches a client for each list of addresses, so that connections are
// reused.
type clients struct {
	mu     sync.Mutex
	byAddr map[string]*client.Client
}

func (cs *clients) get(addrs []string) *client.Client {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	key := strings.Join(addrs, " ")
	if cs.byAddr == nil {
		cs.byAddr = map[string]*client.Client{}
	}
	if cs.byAddr[key] == nil {
		cs.byAddr[key] = client.New(10*time.Second, addrs...)
	}
	return cs.byAddr[key]
}

// api returns a client of the named nodes, or of all nodes if none is named.
func (cl *cluster) api(names ...string) *client.Client {
	if len(names) == 0 {
		for name := range cl.nodes {
			names = append(names, name)
		}
	}
	var addrs []string
	for _, name := range names {
		addrs = append(addrs, cl.nodes[name].addr)
	}
	return cl.clients.get(addrs)
}

// eventually polls until the condition holds, and fails the test after waitTimeout.
func (cl *cluster) eventually(condition string, holds func() bool) {
	cl.t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(30 * time.Millisecond) {
		if holds() {
			return
		}
	}
	cl.t.Fatalf("timed out waiting for: %s", condition)
}

// waitWorkers waits until the list of workers has exactly count ready workers.
func (cl *cluster) waitWorkers(count int) {
	cl.t.Helper()
	cl.eventually(fmt.Sprint(count, " workers ready"), func() bool {
		list, err := client.JSON[api.Workers](cl.api(), client.Request{Method: "GET", Path: api.PathWorkers})
		ready := 0
		for _, wk := range list.Workers {
			if wk.State == "ready" {
				ready++
			}
		}
		return err == nil && ready == count
	})
}

// setCell sets a cell of the table and waits until it is active on every node.
func (cl *cluster) setCell(row, column, value string) {
	cl.t.Helper()
	cl.eventually("set "+row, func() bool {
		_, err := client.Send[map[string]any](cl.api(), client.Request{
			Method: "PUT", Path: "/v1/table/" + row + "/" + column,
		}, api.CellRequest{Value: value, Wait: true})
		return err == nil
	})
}

// workspaces hash to different partitions, so that every node is the home of some.
var workspaces = []string{"brno", "olomouc", "zlin", "ostrava", "plzen", "opava", "cheb", "tabor"}

// workspaceOf returns the workspace of the n-th job or lookup.
func workspaceOf(n int) string { return workspaces[n%len(workspaces)] }

// configureWorkloads adds the workspaces and one workload of each kind to the table:
// lookups, batch jobs that may and may not be repeated, and gangs.
func (cl *cluster) configureWorkloads() {
	cl.t.Helper()
	for _, name := range workspaces {
		cl.setCell("workspace/"+name, "weight", "1")
	}
	cl.setCell("workload/lookup", "class", "service")
	cl.setCell("workload/lookup", "repeatable", "yes")
	cl.setCell("workload/push", "class", "batch")
	cl.setCell("workload/refresh", "class", "batch")
	cl.setCell("workload/refresh", "repeatable", "yes")
	cl.setCell("workload/rebuild", "class", "gang")
	cl.setCell("workload/rebuild", "processors", "8")
}

// post sends a control request to a stand-in.
func post(t *testing.T, addr, path string, body any) {
	t.Helper()
	send(t, "POST", addr, path, body)
}

// put replaces entries of a stand-in.
func put(t *testing.T, addr, path string, body any) {
	t.Helper()
	send(t, "PUT", addr, path, body)
}

func send(t *testing.T, method, addr, path string, body any) {
	t.Helper()
	raw, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	rsp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(rsp)
	req.SetRequestURI("http://" + addr + path)
	req.Header.SetMethod(method)
	req.SetBody(raw)
	if err := fasthttp.DoTimeout(req, rsp, 10*time.Second); err != nil || rsp.StatusCode() != 200 {
		t.Fatalf("stand-in at %s: %v, status %d", addr, err, rsp.StatusCode())
	}
}

// failStore sets the faults that the store injects; the zero value injects none.
func (cl *cluster) failStore(ft standinstore.Faults) { post(cl.t, cl.storeAddr, "/standin/faults", ft) }

// storeCounts returns the numbers of calls that the store has received.
func (cl *cluster) storeCounts() standinstore.Counts {
	var ct standinstore.Counts
	getJSON(cl.t, cl.storeAddr, "/standin/counts", &ct)
	return ct
}

// records returns the records of all workers. Tasks and lookups that were running in
// a killed process get an end record with the time of its exit.
func (cl *cluster) records() []standinworker.Record {
	cl.t.Helper()
	var all []standinworker.Record
	for _, fleet := range cl.fleets {
		list := readRecords(cl.t, fleet.records)
		if !fleet.killedAt.IsZero() {
			list = append(list, endsAtKill(list, fleet.killedAt)...)
		}
		all = append(all, list...)
	}
	return all
}

// readRecords reads a file of records up to its last complete line.
func readRecords(t *testing.T, path string) []standinworker.Record {
	t.Helper()
	raw, err := os.ReadFile(path)
	if err != nil && !os.IsNotExist(err) {
		t.Fatal(err)
	}
	var list []standinworker.Record
	for line := range bytes.Lines(raw) {
		if !bytes.HasSuffix(line, []byte("\n")) {
			break // the line is still being written
		}
		var rc standinworker.Record
		if err := json.Unmarshal(line, &rc); err != nil {
			t.Fatalf("%s: %v", path, err)
		}
		list = append(list, rc)
	}
	return list
}

// endsAtKill returns end records, with the given time, for the tasks and lookups that
// had started but not ended.
func endsAtKill(list []standinworker.Record, at time.Time) []standinworker.Record {
	open := map[string]standinworker.Record{}
	for _, rc := range list {
		switch rc.Event {
		case standinworker.EventBegin:
			open[rc.Worker+" "+rc.Task] = rc
		case standinworker.EventEnd:
			delete(open, rc.Worker+" "+rc.Task)
		}
	}
	var ends []standinworker.Record
	for _, rc := range open {
		rc.Event, rc.At = standinworker.EventEnd, at
		ends = append(ends, rc)
	}
	return ends
}

func getJSON(t *testing.T, addr, path string, into any) {
	t.Helper()
	_, raw, err := fasthttp.GetTimeout(nil, "http://"+addr+path, 10*time.Second)
	if err == nil {
		err = json.Unmarshal(raw, into)
	}
	if err != nil {
		t.Fatalf("stand-in at %s: %v", addr, err)
	}
}
