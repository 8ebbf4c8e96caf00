//go:build review

// Package rig runs nodes of the project as separate processes on loopback addresses, with stand-ins for the platform's
// store, its workers and its clients.
package rig

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"

	"tackbeam.example/tackbeam/internal/kv"
	"tackbeam.example/tackbeam/internal/standin/memkv"
	"tackbeam.example/tackbeam/platform/standin/wirestore"
)

// Route is a queue of the manifest.
type Route struct {
	Name, Host, Prefix, Service  string
	Priority, Attempts, TargetMS int
	Stretch                      float64
}

// Rig is a deployment.
type Rig struct {
	Record *Record
	Fleet  *Fleet
	Nodes  []*Node

	dir   string
	root  string
	store *memkv.Store

	mu sync.Mutex
	// lastActed is the node whose last write to the store had a condition on an existing key.
	lastActed string
}

// Node is a process with its settings.
type Node struct {
	Name, Callers string

	rig      *Rig
	ip       string
	settings string
	command  []string

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
	told  bool
}

// The ports that all machines share.
type ports struct{ callers, ready, control, first int }

// zones are those of the site file of dnd-katalog, with the machines in each.
var zones = []struct {
	name     string
	machines int
}{{"brno-hala-a", 3}, {"brno-hala-b", 2}, {"olomouc-sal", 2}}

// New prepares the nodes and workers of a small deployment. Its nodes are not started yet.
func New(root string, rd *Record, workers int, routes []Route) (*Rig, error) {
	dir, err := os.MkdirTemp("", "tackbeam-review-")
	if err != nil {
		return nil, err
	}
	rg := &Rig{Record: rd, dir: dir, root: root, store: memkv.New(clockwork.NewRealClock())}
	command, err := deployCommand(root)
	if err != nil {
		return nil, err
	}
	net2, net3, pts, err := freeAddresses()
	if err != nil {
		return nil, err
	}
	var names []string
	for at, zone := range zones {
		names = append(names, zone.name)
		for num := range zone.machines {
			ip := fmt.Sprintf("127.%d.%d.%d", net2, net3, 10*(at+1)+num)
			nd, err := rg.newNode(fmt.Sprintf("frontend-%s-%d", zone.name, num+1), zone.name, ip, pts, command)
			if err != nil {
				return nil, err
			}
			rg.Nodes = append(rg.Nodes, nd)
		}
	}
	rg.Fleet = &Fleet{
		record: rd, zones: names, service: routes[0].Service, stop: make(chan struct{}),
		put: func(key string, value []byte) { rg.store.Set(key, value) }, remove: rg.store.Delete,
	}
	for range workers {
		if _, err := rg.Fleet.Add(""); err != nil {
			return nil, err
		}
	}
	rg.putConfig(routes)
	return rg, nil
}

// deployCommand returns the command of a node in the deploy file.
func deployCommand(root string) ([]string, error) {
	raw, err := os.ReadFile(filepath.Join(root, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(raw)) {
		if rest, ok := strings.CutPrefix(strings.TrimSpace(line), "run = "); ok {
			command := strings.Fields(strings.Trim(rest, `"`))
			if len(command) == 0 {
				break
			}
			if _, err := os.Stat(filepath.Join(root, command[0])); err != nil {
				return nil, err
			}
			return command, nil
		}
	}
	return nil, errors.New("deploy/system.toml has no command")
}

// freeAddresses returns a part of the loopback range and ports that are free there.
func freeAddresses() (net2, net3 int, pts ports, err error) {
	pts = ports{8161, 8167, 8166, 7720}
	for range 50 {
		net2, net3 = 20+rand.IntN(200), 1+rand.IntN(250)
		free := true
		for _, port := range []int{pts.callers, pts.ready, pts.control, pts.first, 9464} {
			ln, err := net.Listen("tcp4", fmt.Sprintf("127.%d.%d.10:%d", net2, net3, port))
			if err != nil {
				free = false
				break
			}
			_ = ln.Close()
		}
		if free {
			return net2, net3, pts, nil
		}
	}
	return 0, 0, pts, errors.New("no free loopback addresses")
}

// newNode writes a node's settings and gives it an address of the store of its own, so that the platform can tell the
// nodes apart.
func (rg *Rig) newNode(name, zone, ip string, pts ports, command []string) (*Node, error) {
	server, err := wirestore.New(rg.observe(name, rg.store.Client(name)))
	if err != nil {
		return nil, err
	}
	at := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	nd := &Node{Name: name, Callers: at(pts.callers), rig: rg, ip: ip, settings: filepath.Join(rg.dir, name+".json"), command: command}
	regions := map[string]string{}
	for _, zn := range zones {
		regions[zn.name] = "morava"
	}
	raw, err := json.MarshalIndent(map[string]any{
		"node-name": name, "role": "node", "machine-class": "frontend", "serves": []string{"frontend"}, "ip": ip,
		"zone": zone, "region": "morava", "zones": regions,
		"endpoints":      map[string]string{"frontend": at(pts.callers), "ready": at(pts.ready), "control": at(pts.control)},
		"internal-ports": []int{pts.first, pts.first + 15}, "seeds": []string{}, "bootstrap": true, "counts-as-loss": false,
		"limits":   map[string]any{"cpu-share": 0.4, "cores": 1, "memory-mb": 284, "max-fds": 4200, "link-mbps": 1000.0, "disk-mb": 0},
		"data-dir": nil, "discovery": "platform", "entry": "vip", "heartbeat-ms": 1500,
		"contracts":       []string{"base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep", "sharing"},
		"fault-tolerance": map[string]int{"machines": 2, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seed-lag-s": 3, "address-reuse-s": 2, "contact-ms": 3000, "ack-timeout-ms": 4000, "catch-up-s": 4, "drain-ms": 2000,
			"grace-s": 6, "loss-slack-ms": 200, "config-apply-ms": 2000, "rollback-slack-ms": 250, "max-stretch-ms": 5000,
			"recovery-s": 12, "max-hold-ms": 6000, "stop_ms": 200, "gang_ms": 3000, "cancel_ms": 3000, "visible_ms": 3000,
			"early_ms": 250, "finish_s": 14, "status_s": 120, "far_x": 2, "save_s": 1, "restore_ms": 600, "notice_ms": 4500,
			"move_s": 1.5, "upkeep_s": 2, "require-fencing": false, "lease-ms": 3000, "thaw-slack-ms": 300, "pace_ms": 100, "harm_ms": 4000,
		},
		"orders": "call",
		"platform": map[string]any{
			"address": server.Address(), "form": "kv", "writes_per_s": 400, "reads_per_s": 2000, "history-s": 20,
			"value_bytes": 1048576, "ttl_min_ms": 1000,
		},
	}, "", "  ")
	if err != nil {
		return nil, err
	}
	return nd, os.WriteFile(nd.settings, raw, 0o600)
}

// observe records which node last wrote under a condition on an existing key.
func (rg *Rig) observe(name string, st *kv.Store) *kv.Store {
	commit := st.Commit
	st.Commit = func(ctx context.Context, txn kv.Txn) (uint64, []kv.Item, error) {
		revision, items, err := commit(ctx, txn)
		for _, cd := range txn.Conditions {
			if err == nil && cd.Revision > 0 {
				rg.mu.Lock()
				rg.lastActed = name
				rg.mu.Unlock()
			}
		}
		return revision, items, err
	}
	return st
}

// putConfig writes the manifest, as the operator does.
func (rg *Rig) putConfig(routes []Route) {
	var list []map[string]any
	for _, rt := range routes {
		list = append(list, map[string]any{
			"name": rt.Name, "host": rt.Host, "path-prefix": rt.Prefix, "kind": "unsafe", "timeout-ms": 3000,
			"target-latency-ms": rt.TargetMS, "priority": rt.Priority, "service": rt.Service, "max-attempts": rt.Attempts, "stretch": rt.Stretch,
		})
	}
	raw, _ := json.Marshal(map[string]any{
		"version": 7, "routes": list,
		"services": []map[string]any{{
			"name": routes[0].Service, "health-path": "/health", "max-connections": 64, "protocol": "h1", "tls": false,
			"admission-check": false, "headroom": false,
		}},
		"limits": map[string]int{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	rg.store.Set("op/config", raw)
}

// Start starts a node with the command of the deploy file.
func (nd *Node) Start() error {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	log, err := os.OpenFile(nd.logFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(filepath.Join(nd.rig.root, nd.command[0]), nd.command[1:]...)
	cmd.Dir = nd.rig.root
	cmd.Env = []string{"TACKBEAM_BOOT=" + nd.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG")}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	nd.cmd, nd.ended, nd.told = cmd, ended, false
	nd.rig.Record.Note("node %s starts", nd.Name)
	go func() {
		err := cmd.Wait()
		nd.mu.Lock()
		if !nd.told {
			nd.rig.Record.Say("node %s has ended by itself: %v", nd.Name, err)
		}
		nd.mu.Unlock()
		close(ended)
	}()
	return nil
}

func (nd *Node) logFile() string { return filepath.Join(nd.rig.dir, nd.Name+".log") }

// Signal sends a signal to the node's process. It waits for the end of one that was killed.
func (nd *Node) Signal(sig syscall.Signal) {
	nd.mu.Lock()
	cmd, ended := nd.cmd, nd.ended
	nd.told = nd.told || sig == syscall.SIGKILL || sig == syscall.SIGTERM
	nd.mu.Unlock()
	if cmd == nil {
		return
	}
	nd.rig.Record.Say("%v to node %s", sig, nd.Name)
	_ = cmd.Process.Signal(sig)
	if sig == syscall.SIGKILL {
		<-ended
	}
}

// StartAll starts all nodes within 0.3 s and waits until they are ready.
func (rg *Rig) StartAll(within time.Duration) error {
	for _, nd := range rg.Nodes {
		if err := nd.Start(); err != nil {
			return err
		}
		time.Sleep(30 * time.Millisecond)
	}
	for until := time.Now().Add(within); ; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, nd := range rg.Nodes {
			if nd.Ready() {
				ready++
			}
		}
		if ready == len(rg.Nodes) && rg.LastActed() != nil {
			return nil
		}
		if time.Now().After(until) {
			return fmt.Errorf("%d of %d nodes are ready", ready, len(rg.Nodes))
		}
	}
}

// Ready reports whether the node's ready address answers 200.
func (nd *Node) Ready() bool {
	cl := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := cl.Get("http://" + nd.ip + ":8167/-/ready")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// LastActed returns the node that last wrote to the store under a condition on an existing key, or nil.
func (rg *Rig) LastActed() *Node {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	for _, nd := range rg.Nodes {
		if nd.Name == rg.lastActed {
			return nd
		}
	}
	return nil
}

// Close ends all processes. The nodes' logs are kept if KEEP names a folder.
func (rg *Rig) Close() {
	for _, nd := range rg.Nodes {
		nd.mu.Lock()
		cmd, ended := nd.cmd, nd.ended
		nd.told = true
		nd.mu.Unlock()
		if cmd == nil {
			continue
		}
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		<-ended
	}
	close(rg.Fleet.stop)
	for _, wk := range rg.Fleet.Workers() {
		_ = wk.server.Close()
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		for _, nd := range rg.Nodes {
			raw, _ := os.ReadFile(nd.logFile())
			_ = os.WriteFile(filepath.Join(keep, nd.Name+".log"), raw, 0o600)
		}
	}
	_ = os.RemoveAll(rg.dir)
}

// Call sends a client's request to a node. The status is 0 if there was no answer.
func (nd *Node) Call(method string, rt Route, id string, body any) (status int, answer string) {
	var raw []byte
	if body != nil {
		raw, _ = json.Marshal(body)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, method, "http://"+nd.Callers+rt.Prefix+id, bytes.NewReader(raw))
	if err != nil {
		return 0, err.Error()
	}
	rq.Host = rt.Host
	rq.Header.Set("Content-Type", "application/json")
	rq.Header.Set("Deadline-Ms", "3000")
	res, err := client.Do(rq)
	if err != nil {
		nd.rig.Record.Note("client: %s %s%s at %s: no answer: %v", method, rt.Prefix, id, nd.Name, err)
		return 0, err.Error()
	}
	defer func() { _ = res.Body.Close() }()
	var out bytes.Buffer
	if _, err := out.ReadFrom(res.Body); err != nil {
		return 0, err.Error()
	}
	nd.rig.Record.Note("client: %s %s%s at %s: %d %s", method, rt.Prefix, id, nd.Name, res.StatusCode, strings.TrimSpace(out.String()))
	return res.StatusCode, out.String()
}

var client = &http.Client{Timeout: 3 * time.Second}

// Submit sends a job to nodes until one accepts it, as clients do.
func (rg *Rig) Submit(rt Route, id string, body any, within time.Duration) error {
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(300 * time.Millisecond) {
		nd := rg.Nodes[rand.IntN(len(rg.Nodes))]
		if status, _ := nd.Call(http.MethodPost, rt, id, body); status/100 == 2 {
			return nil
		}
	}
	return fmt.Errorf("job %s was not accepted within %v", id, within)
}

// Phase asks nodes for a job's phase until one answers 200 or 410.
func (rg *Rig) Phase(rt Route, id string, within time.Duration) string {
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		nd := rg.Nodes[rand.IntN(len(rg.Nodes))]
		status, answer := nd.Call(http.MethodGet, rt, id, nil)
		var state struct {
			Phase string `json:"phase"`
		}
		switch {
		case status == http.StatusGone:
			return "410"
		case status == http.StatusOK && json.Unmarshal([]byte(answer), &state) == nil:
			return state.Phase
		}
	}
	return "no answer"
}

// NewID returns an ID of 16 hex digits.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }
