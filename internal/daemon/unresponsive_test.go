package daemon_test

import (
	"testing"

	"github.com/matryer/is"

	"tackbeam.example/tackbeam/internal/standin/fleet"
	"tackbeam.example/tackbeam/internal/standin/standinworker"
)

// TestUnresponsiveWorkers lets workers stop answering while their connections stay
// open, as when a VM loses power. Their jobs must end as unknown after the leases have
// expired, and workers of the same names must be accepted when they answer again.
func TestUnresponsiveWorkers(t *testing.T) {
	cases := map[string]struct {
		beforeExpiry bool
		restore      func(bd *testbed)
	}{
		"the same VMs": {false, func(bd *testbed) {
			for _, wk := range bd.workers.Workers() {
				wk.SetFaults(standinworker.Faults{})
			}
		}},
		"new VMs, listed while the connections to the old ones are open": {true, func(bd *testbed) {
			fl, err := fleet.New(fleet.Options{Count: 2, FirstNumber: 1, Halls: 2, RackSize: 4, Worker: shortLease})
			must(bd.t, err)
			bd.t.Cleanup(func() { _ = fl.Close() })
			for _, vm := range fl.VMs() {
				bd.vms.Put(vm)
			}
		}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			bd := newTestbed(t, 2, "n1")
			cl := bd.api("n1")
			setCells(t, cl, "workspace/brno weight 1", "workload/push class batch")
			vw, err := submitJob(cl, "push", "job", 1, 600, 0)
			is.NoErr(err)
			bd.eventually("the job runs", func() bool { return len(sortedRecords(bd)) == 1 })
			for _, wk := range bd.workers.Workers() {
				wk.SetFaults(standinworker.Faults{DropSends: true})
			}
			if tc.beforeExpiry {
				tc.restore(bd)
			}
			vw = bd.waitJob(vw.ID)
			is.Equal(vw.Answer, "unknown")
			if !tc.beforeExpiry {
				tc.restore(bd)
			}
			bd.waitSlots(16)
			vw, err = submitJob(cl, "push", "next", 1, 0.1, 10)
			is.NoErr(err)
			is.Equal(vw.Answer, "ran")
		})
	}
}
