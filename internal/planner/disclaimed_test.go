package planner_test

import (
	"testing"
	"testing/synctest"
	"time"

	"tackbeam.example/tackbeam/internal/leases"
)

// TestDisclaimedTermBegins guards against a term that begins, and renews leases, after a later planner was told that this
// node has not led it.
func TestDisclaimedTermBegins(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const later = 1000
		bd := newTestbed(t, time.Second, "w1")
		defer bd.end()
		nd := bd.addNode("n1")
		time.Sleep(time.Second)
		if report, err := nd.planner.Leases(leases.Request{Term: later, Later: later + 1}); err != nil || report.Led {
			t.Fatalf("report on a term that the node has not led: %+v, %v", report, err)
		}
		nd.currentTerm().StepDown("test")
		time.Sleep(time.Second)
		if _, err := nd.planner.Pending("q"); err == nil {
			t.Error("a term begins that the node has disclaimed")
		}
	})
}
