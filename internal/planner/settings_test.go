package planner_test

import (
	"testing"
	"testing/synctest"
	"time"

	"tackbeam.example/policy/cell"
)

// TestLaterSettings: operators led a queue to another service. A node that had the change
// accepted a job, but the planner's copy of the configuration was older, and the planner put each
// job that it took in back on the settings of its copy: the job would run on the old service,
// whose workers are gone, and again after each takeover.
//
// Of a job's settings and the copy's the later ones count, whichever way round.
func TestLaterSettings(t *testing.T) {
	cases := map[string]struct {
		accepted, planner uint64
		service           string // that the job was accepted for
	}{
		"the planner's copy is older": {accepted: 2, planner: 1, service: "svc"},
		"the planner's copy is later": {accepted: 1, planner: 2, service: "gone"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				bd := newBed(t, time.Second, "w1")
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
