//go:build review

package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { scenarios["memory"] = memory }

// memoryLimit is memory-mb of the settings in bytes. The platform kills a process that goes over it.
const memoryLimit = 284_000_000

// memory plays large jobs that come within 4 s among urgent lookups: each is a chain of steps of one task. The rule is LOST, as for stall. A process that goes over
// its memory is killed by the platform and starts again; it counts as running all the while.
func memory(rg *rig) verdict {
	const (
		perSecond = 8
		calm      = 6 * time.Second
		traffic   = 30 * time.Second
		finish    = 14 * time.Second
		// The burst of the site file, 1.8 times 6.83 jobs a second for 4 s, has 49 jobs.
		jobs, steps = 40, 7000
		burst       = 4 * time.Second
	)
	rg.deploy(func(_ *worker, rn *run) {
		rn.takes, rn.milli = lookupTime, 5600
		if rn.spec != "lookup" {
			rn.takes, rn.milli = 300*time.Millisecond, 10
		}
	})
	stop := make(chan struct{})
	watch := rg.watchMemory(stop)
	began := rg.rec.now()
	var group sync.WaitGroup
	group.Go(func() { rg.sendLookups(perSecond, began+traffic) })
	time.Sleep(calm)
	var disturbances []time.Duration
	if rg.trouble {
		disturbances = append(disturbances, rg.rec.now(), rg.rec.now()+burst)
		large := request{Spec: "large"}
		for num := range steps {
			st := step{Count: 1, CPU: 10}
			if num > 0 {
				st.After = []int{num - 1}
			}
			large.Steps = append(large.Steps, st)
		}
		for range jobs {
			group.Go(func() { rg.clients.submitOnce(hostName, batches, large) })
			time.Sleep(burst / jobs)
		}
	}
	group.Wait()
	time.Sleep(finish)
	vd := rg.judgeLost(began, disturbances)
	close(stop)
	seen := <-watch
	rg.keepLogs()
	vd.reason += fmt.Sprintf("; %d processes were killed for their memory, the largest had %d MB", seen.kills, seen.most/1_000_000)
	return vd
}

// memoryUse is what was seen of the memory of the nodes.
type memoryUse struct {
	kills int
	most  int64
}

// watchMemory kills the processes that go over their memory, until stop is closed.
func (rg *rig) watchMemory(stop <-chan struct{}) <-chan memoryUse {
	const interval = 50 * time.Millisecond
	result := make(chan memoryUse, 1)
	go func() {
		var seen memoryUse
		for {
			select {
			case <-stop:
				result <- seen
				return
			case <-time.After(interval):
			}
			for _, nd := range rg.nodes {
				size := nd.memory()
				seen.most = max(seen.most, size)
				if size > memoryLimit {
					seen.kills++
					rg.rec.write("node", "%s has %d MB of its 284", nd.name, size/1_000_000)
					nd.kill()
				}
			}
		}
	}()
	return result
}

// memory returns the private memory of the node's process in bytes, without that of its program file; 0 if there is no process.
func (nd *node) memory() int64 {
	nd.mu.Lock()
	pid := nd.cmd.Process.Pid
	nd.mu.Unlock()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(raw)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "RssAnon:" {
			kb, _ := strconv.ParseInt(fields[1], 10, 64)
			return kb << 10
		}
	}
	return 0
}
