package cell

import (
	"fmt"
	"testing"

	"tackbeam.example/policy/incarnation"
)

// TestStandbyOrderIsBounded guards against a list that grows with each change of the workers on standby.
func TestStandbyOrderIsBounded(t *testing.T) {
	const workers, changes = 10, 1000
	for name, change := range map[string]func(cl *Cell, wk Worker){
		"updated":           func(cl *Cell, wk Worker) { cl.PutStandby(wk) },
		"removed and added": func(cl *Cell, wk Worker) { cl.RemoveStandby(wk.Service, wk.ID); cl.PutStandby(wk) },
		"drains and returns": func(cl *Cell, wk Worker) {
			draining := wk
			draining.Draining = true
			cl.PutStandby(draining)
			cl.PutStandby(wk)
		},
		"replaced": func(cl *Cell, wk Worker) {
			next := wk
			next.ID += "x"
			cl.PutStandby(next)
			cl.RemoveStandby(next.Service, next.ID)
		},
	} {
		t.Run(name, func(t *testing.T) {
			cl := New(Options{})
			for at := range workers {
				cl.PutStandby(Worker{ID: incarnation.ID(fmt.Sprint("w", at)), Service: "svc"})
			}
			for at := range changes {
				change(cl, Worker{ID: incarnation.ID(fmt.Sprint("w", at%workers)), Service: "svc"})
			}
			if length := len(cl.standby["svc"].order); length > 2*workers+1 {
				t.Errorf("%d entries for %d workers", length, workers)
			}
			if taken := cl.standby["svc"].take(changes, func(*Worker) bool { return true }); len(taken) != workers {
				t.Errorf("%d workers taken, want %d", len(taken), workers)
			}
		})
	}
}
