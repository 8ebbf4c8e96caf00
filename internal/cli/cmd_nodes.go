package cli

import (
	"fmt"
	"io"
	"strconv"
	"time"

	"tackbeam.example/tackbeam/internal/api"
	"tackbeam.example/tackbeam/internal/client"
)

var cmdNodes = Command{
	Name:    "nodes",
	Summary: "show the nodes",
	Doc:     "Show every node: its state, what it owns, the versions it has in force, and what it spends on control.",
	New:     func(env *Env) any { return &nodes{env: env} },
}

type nodes struct{ env *Env }

// Execute carries the command out.
func (cm *nodes) Execute([]string) error {
	list, err := client.JSON[api.Nodes](cm.env.client(), client.Request{Method: "GET", Path: api.PathNodes})
	if err != nil {
		return err
	}
	return cm.env.print(list, func(out io.Writer) { printNodes(out, list) })
}

func printNodes(out io.Writer, list api.Nodes) {
	gr := newGrid(out, "node", "hall", "state", "map", "table", "racks", "homes", "workers", "free slots",
		"waiting", "store", "cpu", "memory", "up", "http")
	for _, nd := range list.Nodes {
		gr.line(nd.Name, nd.Hall, nodeState(nd.State, nd.Stale), strconv.FormatUint(nd.MapEpoch, 10),
			strconv.FormatUint(nd.TableRev, 10), strconv.Itoa(nd.Racks), strconv.Itoa(nd.Partitions),
			strconv.Itoa(nd.Summary.Workers), strconv.Itoa(nd.Summary.FreeSlots),
			fmt.Sprintf("%d+%d", nd.Waiting, nd.WaitingJobs), storeState(nd.StoreDown),
			nd.Control.CPU.Round(time.Millisecond).String(), mebibytes(nd.Control.Resident),
			nd.Control.Uptime.Round(time.Second).String(), nd.HTTP)
	}
	gr.flush()
	printUnreached(out, list.Unreached)
}

func nodeState(state string, stale bool) string {
	if stale {
		return state + ", stale"
	}
	return state
}

func storeState(down bool) string {
	if down {
		return "down"
	}
	return "ok"
}

func mebibytes(n int64) string { return fmt.Sprintf("%d MiB", n>>20) }
