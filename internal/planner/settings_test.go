package planner_test

import (
	"testing"
	"testing/synctest"
	"time"

	"tackbeam.example/policy/cell"
)

// TestLaterSettings guards against jobs that run with outdated settings. A queue was routed to another service, and a
// node that had the change accepted a job. The planner's configuration was older, and the planner replaced the job's
// settings by its own, so that the job would run on the old service, whose workers are gone, and again after each
// takeover. The later settings must apply, whether they are the job's or the planner's.
func TestLaterSettings(t *testing.T) {
	cases := map[string]struct {
		accepted, planner uint64
		service           string // that the job was accepted for
	}{
		"planner's settings are older": {accepted: 2, planner: 1, service: "svc"},
		"planner's settings are later": {accepted: 1, planner: 2, service: "gone"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				bd := newTestbed(t, time.Second, "w1")
				defer bd.end()
				bd.accepted.Version, bd.accepted.Service = tc.accepted, tc.service
				bd.settings = bd.accepted
				bd.settings.Version, bd.settings.Service = tc.planner, "gone"
				if tc.planner > tc.accepted {
					bd.settings.Service = "svc"
				}
				nd := bd.addNode("n1")
				bd.submit(nd, "a", 2)
				bd.submit(nd, "b", 8)
				nd.planner.ApplySettings()
				bd.await("a", cell.Succeeded, 5*time.Second)
				bd.await("b", cell.Succeeded, 5*time.Second)
			})
		})
	}
}
