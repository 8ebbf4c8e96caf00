package cli

import (
	"fmt"
	"io"
	"time"

	"tackbeam.example/tackbeam/internal/api"
	"tackbeam.example/tackbeam/internal/client"
	"tackbeam.example/tackbeam/internal/nodemsg"
)

// Limits on a node's resource usage for control: percent of a core, bytes of memory, and bytes sent
// per second.
const (
	maxCPUPercent     = 2.9
	maxMemory         = 64 << 20
	maxBytesPerSecond = 8 << 10
)

// clearScreen moves the cursor to the top of the terminal and clears the screen.
const clearScreen = "\x1b[H\x1b[2J"

// usage is a node's resource usage between two samples.
type usage struct {
	cpu    float64 // percent of a core
	memory int64
	bytes  float64 // sent per second
	reads  float64
	writes float64
}

// usageBetween returns a node's usage between two samples. If the node has restarted in between, it returns
// the usage since the start.
func usageBetween(prev, cur nodemsg.ControlUsage) usage {
	if cur.Uptime < prev.Uptime {
		prev = nodemsg.ControlUsage{}
	}
	elapsed := max((cur.Uptime - prev.Uptime).Seconds(), 1e-3)
	sent := float64(cur.PeerSent-prev.PeerSent) + float64(cur.WorkerSent-prev.WorkerSent)
	return usage{
		cpu: 100 * (cur.CPU - prev.CPU).Seconds() / elapsed, memory: cur.Resident, bytes: sent / elapsed,
		reads:  float64(cur.StoreReads-prev.StoreReads) / elapsed,
		writes: float64(cur.StoreWrites-prev.StoreWrites) / elapsed,
	}
}

// watch prints the usage and state of all nodes periodically, until it is interrupted or, if a count is
// given, has printed that many times.
func (cm *stats) watch() error {
	cl := cm.env.client()
	last := map[string]nodemsg.ControlUsage{}
	for n := 0; cm.Count == 0 || n < cm.Count; n++ {
		list, err := client.JSON[api.Nodes](cl, client.Request{Method: "GET", Path: api.PathNodes})
		if err != nil {
			return err
		}
		err = cm.env.print(list, func(out io.Writer) {
			if cm.Count == 0 {
				_, _ = fmt.Fprint(out, clearScreen)
			}
			printUsage(out, list, last)
		})
		if err != nil {
			return err
		}
		for _, nd := range list.Nodes {
			last[nd.Name] = nd.Control
		}
		if n+1 != cm.Count {
			time.Sleep(cm.Interval)
		}
	}
	return nil
}

// printUsage prints a line for each node, with a mark on each value over its limit.
func printUsage(out io.Writer, list api.Nodes, last map[string]nodemsg.ControlUsage) {
	gr := newGrid(out, "node", "state", "cpu %", "MiB", "sent B/s", "store r/s", "w/s", "budget %",
		"room used %", "jobs wait", "lookups wait", "table", "map")
	newest := uint64(0)
	for _, nd := range list.Nodes {
		newest = max(newest, nd.TableRev)
	}
	for _, nd := range list.Nodes {
		us := usageBetween(last[nd.Name], nd.Control)
		gr.line(nd.Name, nd.State, markExceeded("%.2f", us.cpu, maxCPUPercent), markExceeded("%.1f", float64(us.memory)/(1<<20), maxMemory>>20),
			markExceeded("%.0f", us.bytes, maxBytesPerSecond), fmt.Sprintf("%.1f", us.reads), fmt.Sprintf("%.1f", us.writes),
			fmt.Sprintf("%.0f", 100*nd.Control.StoreBudgetUsed),
			fmt.Sprintf("%.0f", 100*nd.Summary.Capacity.Sub(nd.Summary.Free).DominantShare(nd.Summary.Capacity)),
			fmt.Sprint(nd.WaitingJobs), fmt.Sprint(nd.Waiting), tableStatus(nd, newest), fmt.Sprint(nd.MapEpoch))
	}
	gr.flush()
	_, _ = fmt.Fprintf(out, "limits of a node: %.1f%% of a core, %d MiB, %d B/s; ! is over\n", maxCPUPercent, maxMemory>>20, maxBytesPerSecond)
	for _, name := range list.Unreached {
		_, _ = fmt.Fprintf(out, "no answer from node %s\n", name)
	}
}

func markExceeded(format string, value, limit float64) string {
	text := fmt.Sprintf(format, value)
	if value > limit {
		text += "!"
	}
	return text
}

// tableStatus returns the version of a node's table and whether it may be stale or is behind the other nodes.
func tableStatus(nd nodemsg.NodeInfo, newest uint64) string {
	switch {
	case nd.Stale:
		return fmt.Sprintf("%d may be stale", nd.TableRev)
	case nd.TableRev < newest:
		return fmt.Sprintf("%d behind", nd.TableRev)
	}
	return fmt.Sprint(nd.TableRev)
}
