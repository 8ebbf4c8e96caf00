//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"tackbeam.example/tackbeam/internal/standin/memkv"

	"tackbeam.example/tackbeam/platform/standin/wirestore"
)

// rig is one small deployment on loopback addresses.
type rig struct {
	program string
	trouble bool
	rec     *recorder
	dir     string
	store   *memkv.Store
	server  *wirestore.Server
	fleet   *fleet
	nodes   []*node
	clients *clients
}

// node is one node of tackbeam: a process that is started again when it has ended.
type node struct {
	rig      *rig
	name     string
	frontend string
	settings string

	mu      sync.Mutex
	cmd     *exec.Cmd
	closing bool
	ended   chan struct{}
}

// zones are the data halls of the site.
var zones = []string{"brno-hala-a", "brno-hala-b", "olomouc-sal"}

func newRig(program, record string, trouble bool) (*rig, error) {
	rec, err := newRecorder(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "tackbeam-review-")
	if err != nil {
		return nil, err
	}
	rg := &rig{program: program, trouble: trouble, rec: rec, dir: dir, store: memkv.New(clockwork.NewRealClock())}
	if rg.server, err = wirestore.New(rg.store.Client("node")); err != nil {
		return nil, err
	}
	rg.fleet = newFleet(rg)
	rg.clients = &clients{rig: rg, jobs: map[string]*job{}}
	return rg, nil
}

// close ends everything that the rig has started.
func (rg *rig) close() {
	var group sync.WaitGroup
	for _, nd := range rg.nodes {
		group.Go(nd.close)
	}
	group.Wait()
	rg.fleet.close()
	_ = rg.server.Close()
	rg.rec.close()
	_ = os.RemoveAll(rg.dir)
}

// freePort returns a port that is free at an address.
func freePort(ip string) (int, error) {
	ln, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return 0, err
	}
	defer ln.Close()
	return ln.Addr().(*net.TCPAddr).Port, nil
}

// startNodes starts a number of nodes, each at a loopback address of its own, with the settings of the site.
func (rg *rig) startNodes(count int) error {
	for n := range count {
		// The last octets are those of the process, so that several rigs can run at the same time.
		pid := os.Getpid()
		ip := fmt.Sprintf("127.%d.%d.%d", 16+(pid>>7)%200, pid%128+1, n+1)
		var ports [4]int
		for at := range ports {
			var err error
			if ports[at], err = freePort(ip); err != nil {
				return err
			}
		}
		nd := &node{
			rig: rg, name: fmt.Sprintf("frontend-%s-%d", zones[n%len(zones)], n), frontend: fmt.Sprintf("%s:%d", ip, ports[0]),
			settings: filepath.Join(rg.dir, fmt.Sprintf("settings-%d.json", n)),
		}
		if err := nd.writeSettings(ip, zones[n%len(zones)], ports); err != nil {
			return err
		}
		rg.nodes = append(rg.nodes, nd)
	}
	for _, nd := range rg.nodes {
		if err := nd.start(); err != nil {
			return err
		}
	}
	return nil
}

// writeSettings writes the settings file of a node, with the figures of sites/dnd-katalog.toml.
func (nd *node) writeSettings(ip, zone string, ports [4]int) error {
	regions := map[string]string{}
	for _, name := range zones {
		regions[name] = "morava"
	}
	address := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	raw, err := json.MarshalIndent(map[string]any{
		"node-name": nd.name, "role": "node", "machine-class": "frontend", "serves": []string{"frontend"},
		"ip": ip, "zone": zone, "region": "morava", "zones": regions,
		"endpoints":      map[string]string{"frontend": address(ports[0]), "ready": address(ports[1]), "control": address(ports[2])},
		"internal-ports": []int{ports[3], ports[3]}, "seeds": []string{}, "bootstrap": true, "counts-as-loss": false,
		"limits":   map[string]any{"cpu-share": 0.4, "cores": 1, "memory-mb": 284, "max-fds": 4200, "link-mbps": 1000.0, "disk-mb": 0},
		"data-dir": nil, "discovery": "platform", "entry": "vip", "heartbeat-ms": heartbeat.Milliseconds(),
		"contracts":       []string{"base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep", "sharing"},
		"fault-tolerance": map[string]int{"machines": 2, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seed-lag-s": 3, "address-reuse-s": 2, "contact-ms": 3000, "ack-timeout-ms": 4000, "catch-up-s": 4, "drain-ms": 2000, "grace-s": 6,
			"loss-slack-ms": 200, "config-apply-ms": 2000, "rollback-slack-ms": 250, "max-stretch-ms": 5000, "recovery-s": 12,
			"max-hold-ms": maxHold.Milliseconds(), "stop_ms": stopTime.Milliseconds(), "gang_ms": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250,
			"finish_s": 14, "status_s": 120, "far_x": 2, "save_s": 1, "restore_ms": 600, "notice_ms": 4500, "move_s": 1.5, "upkeep_s": 2,
			"require-fencing": false, "lease-ms": 3000, "thaw-slack-ms": 300, "pace_ms": 100, "harm_ms": 4000,
		},
		"orders": "call", "advice": "",
		"platform": map[string]any{
			"address": nd.rig.server.Address(), "form": "kv", "writes_per_s": 400, "reads_per_s": 2000, "history-s": 20, "value_bytes": 1 << 20, "ttl_min_ms": 1000,
		},
		"cloud-api": map[string]any{"address": "", "rate-per-s": 60.0, "duties": []string{}, "duty-per-s": 60.0},
	}, "", " ")
	if err != nil {
		return err
	}
	const mode = 0o600
	return os.WriteFile(nd.settings, raw, mode)
}

// start starts the node's process with the command of the deploy file.
func (nd *node) start() error {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	if nd.closing {
		return nil
	}
	log, err := os.OpenFile(filepath.Join(nd.rig.dir, nd.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(nd.rig.program, "--platform", "--metrics", "9464",
		"--enable", "room-admission", "--enable", "worker-speeds", "--enable", "advice-budget")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "TACKBEAM_BOOT=" + nd.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return err
	}
	nd.cmd, nd.ended = cmd, make(chan struct{})
	nd.rig.rec.write("node", "%s starts", nd.name)
	go nd.await(cmd, log, nd.ended)
	return nil
}

// await waits for the end of the process, and starts it again after a short delay, as the platform does.
func (nd *node) await(cmd *exec.Cmd, log *os.File, ended chan struct{}) {
	const delay = 500 * time.Millisecond
	err := cmd.Wait()
	_ = log.Close()
	nd.rig.rec.write("node", "%s has ended: %v", nd.name, err)
	close(ended)
	time.Sleep(delay)
	if err := nd.start(); err != nil {
		nd.rig.rec.write("node", "%s could not be started: %v", nd.name, err)
	}
}

// kill kills the node's process, which starts again.
func (nd *node) kill() {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	nd.rig.rec.write("node", "%s is killed", nd.name)
	_ = nd.cmd.Process.Kill()
}

// close kills the node's process for good.
func (nd *node) close() {
	nd.mu.Lock()
	nd.closing = true
	cmd, ended := nd.cmd, nd.ended
	nd.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-ended
}

// keepLogs copies the logs of the nodes to a folder, if the environment names one.
func (rg *rig) keepLogs() {
	to := os.Getenv("REVIEW_LOGS")
	if to == "" {
		return
	}
	for _, nd := range rg.nodes {
		if raw, err := os.ReadFile(filepath.Join(rg.dir, nd.name+".log")); err == nil {
			_ = os.WriteFile(filepath.Join(to, nd.name+".log"), raw, 0o600)
		}
	}
}
