package cli

import (
	"fmt"
	"io"
	"time"

	"tackbeam.example/tackbeam/internal/api"
	"tackbeam.example/tackbeam/internal/client"
	"tackbeam.example/tackbeam/internal/nodemsg"
)

// The limits on what control may cost a node: per cent of a core, memory, and
// bytes a second.
const (
	limitCPU    = 2.9
	limitMemory = 64 << 20
	limitBytes  = 8 << 10
)

// clearScreen moves to the top of a terminal and clears it.
const clearScreen = "\x1b[H\x1b[2J"

// usage is what a node spent between two looks.
type usage struct {
	cpu    float64 // per cent of a core
	memory int64
	bytes  float64 // sent a second
	reads  float64
	writes float64
}

// between returns what a node spent from one look to the next. A node that has
// started anew is told since its start.
func between(was, is nodemsg.ControlUsage) usage {
	if is.Uptime < was.Uptime {
		was = nodemsg.ControlUsage{}
	}
	span := max((is.Uptime - was.Uptime).Seconds(), 1e-3)
	sent := float64(is.PeerSent-was.PeerSent) + float64(is.WorkerSent-was.WorkerSent)
	return usage{
		cpu: 100 * (is.CPU - was.CPU).Seconds() / span, memory: is.Resident, bytes: sent / span,
		reads:  float64(is.StoreReads-was.StoreReads) / span,
		writes: float64(is.StoreWrites-was.StoreWrites) / span,
	}
}

// watch prints what all nodes spend and have, again and again, until interrupted
// or, with a count, after so many times.
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
			printSpending(out, list, last)
		})
		if err != nil {
			return err
		}
		for _, nd := range list.Nodes {
			last[nd.Name] = nd.Control
		}
		if n+1 != cm.Count {
			time.Sleep(cm.Every)
		}
	}
	return nil
}

// printSpending prints a line for each node; what is over its limit has a mark.
func printSpending(out io.Writer, list api.Nodes, last map[string]nodemsg.ControlUsage) {
	gr := newGrid(out, "node", "state", "cpu %", "MiB", "sent B/s", "store r/s", "w/s", "budget %",
		"room used %", "jobs wait", "lookups wait", "table", "map")
	newest := uint64(0)
	for _, nd := range list.Nodes {
		newest = max(newest, nd.TableRev)
	}
	for _, nd := range list.Nodes {
		us := between(last[nd.Name], nd.Control)
		gr.line(nd.Name, nd.State, marked("%.2f", us.cpu, limitCPU), marked("%.1f", float64(us.memory)/(1<<20), limitMemory>>20),
			marked("%.0f", us.bytes, limitBytes), fmt.Sprintf("%.1f", us.reads), fmt.Sprintf("%.1f", us.writes),
			fmt.Sprintf("%.0f", 100*nd.Control.StoreBudgetUsed),
			fmt.Sprintf("%.0f", 100*nd.Summary.Capacity.Sub(nd.Summary.Free).DominantShare(nd.Summary.Capacity)),
			fmt.Sprint(nd.WaitingJobs), fmt.Sprint(nd.Waiting), freshness(nd, newest), fmt.Sprint(nd.MapEpoch))
	}
	gr.flush()
	_, _ = fmt.Fprintf(out, "limits of a node: %.1f%% of a core, %d MiB, %d B/s; ! is over\n", limitCPU, limitMemory>>20, limitBytes)
	for _, name := range list.Unreached {
		_, _ = fmt.Fprintf(out, "no answer from node %s\n", name)
	}
}

func marked(format string, value, limit float64) string {
	text := fmt.Sprintf(format, value)
	if value > limit {
		text += "!"
	}
	return text
}

// freshness tells whether a node's table is that of the others.
func freshness(nd nodemsg.NodeInfo, newest uint64) string {
	switch {
	case nd.Stale:
		return fmt.Sprintf("%d may be stale", nd.TableRev)
	case nd.TableRev < newest:
		return fmt.Sprintf("%d behind", nd.TableRev)
	}
	return fmt.Sprint(nd.TableRev)
}
