package daemon_test

import (
	"testing"

	"github.com/matryer/is"

	"tackbeam.example/tackbeam/internal/standin/fleet"
	"tackbeam.example/tackbeam/internal/standin/standinworker"
)

// TestSilentWorkers has workers fall silent while their connections stay open, as
// a machine without power does. Their jobs end as unknown once the leases have
// surely run out, and the names are taken back when they are heard again.
func TestSilentWorkers(t *testing.T) {
	cases := map[string]struct {
		early bool
		back  func(bd *bed)
	}{
		"the same machines": {false, func(bd *bed) {
			for _, wk := range bd.workers.Workers() {
				wk.SetFaults(standinworker.Faults{})
			}
		}},
		"new machines, listed while the links to the old ones stand": {true, func(bd *bed) {
			fl, err := fleet.New(fleet.Options{Count: 2, FirstNumber: 1, Halls: 2, RackSize: 4, Worker: quick})
			must(bd.t, err)
			bd.t.Cleanup(func() { _ = fl.Close() })
			for _, vm := range fl.VMs() {
				bd.list.Put(vm)
			}
		}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			bd := newBed(t, 2, "n1")
			cl := bd.api("n1")
			setCells(t, cl, "workspace/brno weight 1", "workload/push class batch")
			vw, err := submitJob(cl, "push", "job", 1, 600, 0)
			is.NoErr(err)
			bd.eventually("the job runs", func() bool { return len(inOrder(bd)) == 1 })
			for _, wk := range bd.workers.Workers() {
				wk.SetFaults(standinworker.Faults{DropSends: true})
			}
			if tc.early {
				tc.back(bd)
			}
			vw = bd.ended(vw.ID)
			is.Equal(vw.Answer, "unknown")
			if !tc.early {
				tc.back(bd)
			}
			bd.waitSlots(16)
			vw, err = submitJob(cl, "push", "next", 1, 0.1, 10)
			is.NoErr(err)
			is.Equal(vw.Answer, "ran")
		})
	}
}
