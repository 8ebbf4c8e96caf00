package owner_test

import (
	"fmt"
	"testing"
	"time"

	"tackbeam.example/policy/owner"
)

// lookups sends n lookups, one after the other, at a time; those on a bad worker fail. It returns how many failed.
func lookups(mc *owner.Machine, at time.Duration, n int, bad func(worker string) bool) int {
	failed := 0
	for i := range n {
		id := fmt.Sprint("lookup-", i)
		for _, act := range mc.Step(owner.Event{At: at, Lookup: &owner.Lookup{ID: id, Weight: 1, Deadline: at + time.Second}}) {
			if act.Dispatch == nil {
				continue
			}
			fails := bad(act.Dispatch.Worker)
			if fails {
				failed++
			}
			mc.Step(owner.Event{At: at, LookupDone: &owner.LookupDone{ID: id, Latency: time.Millisecond, Failed: fails}})
		}
	}
	return failed
}

// TestQuarantine checks that a worker on which everything fails is quarantined and tried again later, and that at
// most a quarter of the workers are quarantined.
func TestQuarantine(t *testing.T) {
	one := func(worker string) bool { return worker == "w3" }
	mc := cell(8)
	if got := lookups(mc, 0, 1000, one); got != 5 {
		t.Errorf("%d lookups failed before the worker was quarantined, want 5", got)
	}
	mc.Step(owner.Event{At: 6 * time.Second, Tick: &owner.Tick{}})
	if got := lookups(mc, 6*time.Second, 1000, one); got != 1 {
		t.Errorf("%d lookups failed after the quarantine, want 1", got)
	}
	mc.Step(owner.Event{At: 17 * time.Second, Tick: &owner.Tick{}})
	if got := lookups(mc, 17*time.Second, 1000, func(string) bool { return false }); got != 0 || mc.Ledger().Quarantined() != 0 {
		t.Errorf("the worker works again, but %d workers are quarantined", mc.Ledger().Quarantined())
	}
	lookups(mc, 18*time.Second, 1000, func(string) bool { return true })
	if got := mc.Ledger().Quarantined(); got != 2 {
		t.Errorf("%d of 8 workers are quarantined when all fail, want 2", got)
	}
}
