package cell_test

import (
	"fmt"
	"testing"
	"time"

	"tackbeam.example/policy/size"
	"tackbeam.example/policy/work"
)

// TestHotWorkspace has one of six workspaces send seven times what it is owed, of work that others' objectives leave
// little time for, on a cell that holds twice what all are owed. What the others sent has to begin as if that one sent
// what it is owed.
func TestHotWorkspace(t *testing.T) {
	for name, tc := range map[string]struct {
		weight   float64
		hot      int
		least    float64
		priority int
	}{
		"nobody is hot":               {weight: 5, hot: 1, least: 0.99, priority: 0},
		"hot urgent work, by weight":  {weight: 5, hot: 7, least: 0.95, priority: 0},
		"hot patient work, by weight": {weight: 5, hot: 7, least: 0.95, priority: 2},
	} {
		t.Run(name, func(t *testing.T) {
			if got := othersInTime(t, tc.weight, tc.hot, tc.priority); got < tc.least {
				t.Errorf("%.2f of the others' jobs begin within half a second, want %.2f at the least", got, tc.least)
			}
		})
	}
}

// othersInTime returns the share of the jobs of five workspaces that begin within half a second while a sixth one sends
// some times as much.
func othersInTime(t *testing.T, weight float64, hot, priority int) float64 {
	bd := newBed(t, 1, 10)
	const pass, every, spaces = 40 * time.Millisecond, 200 * time.Millisecond, 6
	began := map[string]time.Duration{}
	count := 0
	for bd.now < 10*time.Second {
		if bd.now%every < pass {
			for space := range spaces {
				jobs := 1
				if space == 0 {
					jobs = hot
				}
				for range jobs {
					id := fmt.Sprintf("%c%05d", 'a'+space, count)
					count++
					bd.submit(&work.Job{
						ID: id, Queue: queue(priority, 3, false), Spec: id,
						Workspace: work.Workspace{Name: fmt.Sprint("ws", space), Weight: weight, Version: 1},
						Steps:     []work.Step{{Count: 3, Need: size.New(5000, 8000, 0), Estimate: 700 * time.Millisecond}},
					})
					began[id] = -bd.now
				}
			}
		}
		bd.pass(pass)
		for id, at := range began {
			if phase, _ := bd.cell.Phase(id, ""); at <= 0 && phase != "queued" {
				began[id] = bd.now + at + 1
			}
		}
	}
	all, inTime := 0, 0
	for id, took := range began {
		if id[0] == 'a' {
			continue
		}
		all++
		if took > 0 && took <= 500*time.Millisecond {
			inTime++
		}
	}
	return float64(inTime) / float64(all)
}
