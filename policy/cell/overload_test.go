package cell_test

import (
	"fmt"
	"testing"
	"time"

	"tackbeam.example/policy/size"
	"tackbeam.example/policy/work"
)

// TestOverloadingWorkspace has one of six workspaces submit seven times its share, with objectives that leave the
// others little slack, on a cell with twice the capacity of all shares. The other workspaces' jobs must begin as if
// that workspace kept to its share.
func TestOverloadingWorkspace(t *testing.T) {
	for name, tc := range map[string]struct {
		weight   float64
		overload int
		least    float64
		priority int
	}{
		"no overload":                 {weight: 5, overload: 1, least: 0.99, priority: 0},
		"overload of urgent work":     {weight: 5, overload: 7, least: 0.95, priority: 0},
		"overload of deferrable work": {weight: 5, overload: 7, least: 0.95, priority: 2},
	} {
		t.Run(name, func(t *testing.T) {
			if got := othersOnTimeShare(t, tc.weight, tc.overload, tc.priority); got < tc.least {
				t.Errorf("%.2f of the others' jobs begin within half a second, want at least %.2f", got, tc.least)
			}
		})
	}
}

// othersOnTimeShare returns the share of the jobs of five workspaces that begin within half a second while a sixth
// one submits overload times as many.
func othersOnTimeShare(t *testing.T, weight float64, overload, priority int) float64 {
	bd := newTestbed(t, 1, 10)
	const step, every, workspaceCount = 40 * time.Millisecond, 200 * time.Millisecond, 6
	began := map[string]time.Duration{}
	count := 0
	for bd.now < 10*time.Second {
		if bd.now%every < step {
			for workspace := range workspaceCount {
				jobs := 1
				if workspace == 0 {
					jobs = overload
				}
				for range jobs {
					id := fmt.Sprintf("%c%05d", 'a'+workspace, count)
					count++
					bd.submit(&work.Job{
						ID: id, Queue: newQueue(priority, 3, false), Spec: id,
						Workspace: work.Workspace{Name: fmt.Sprint("ws", workspace), Weight: weight, Version: 1},
						Steps:     []work.Step{{Count: 3, Need: size.New(5000, 8000, 0), Estimate: 700 * time.Millisecond}},
					})
					began[id] = -bd.now
				}
			}
		}
		bd.advance(step)
		for id, at := range began {
			if phase, _ := bd.cell.Phase(id, ""); at <= 0 && phase != "queued" {
				began[id] = bd.now + at + 1
			}
		}
	}
	all, onTime := 0, 0
	for id, took := range began {
		if id[0] == 'a' {
			continue
		}
		all++
		if took > 0 && took <= 500*time.Millisecond {
			onTime++
		}
	}
	return float64(onTime) / float64(all)
}
