package cell_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/incarnation"
	"tackbeam.example/policy/size"
	"tackbeam.example/policy/work"
)

// TestQueueKeepsLatestSettings guards against jobs of a queue that run on its earlier service after others have run on the present
// one, because the node that accepted them had an older configuration.
func TestQueueKeepsLatestSettings(t *testing.T) {
	old := work.Queue{Name: "q", Service: "old", Attempts: 3, Stretch: 2, Version: 1}
	present := old
	present.Service, present.Version = "new", 2
	none := func(string) (work.Queue, bool) { return work.Queue{}, false }
	cases := map[string]struct {
		jobs []work.Queue
		// settings are the planner's own.
		settings func(string) (work.Queue, bool)
		want     string
	}{
		"later settings first":                   {[]work.Queue{present, old}, none, "new"},
		"later settings last":                    {[]work.Queue{old, present}, none, "new"},
		"planner's settings are older":           {[]work.Queue{present, old}, func(string) (work.Queue, bool) { return old, true }, "new"},
		"planner's settings are later":           {[]work.Queue{old, old}, func(string) (work.Queue, bool) { return present, true }, "new"},
		"planner's settings are older than jobs": {[]work.Queue{old, old}, func(string) (work.Queue, bool) { return work.Queue{Name: "q", Service: "older"}, true }, "old"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			cl := cell.New(cell.Options{Retention: time.Minute, FirstRun: 1})
			for _, service := range []string{"old", "new", "older"} {
				id := incarnation.ID(service)
				cl.PutWorker(0, cell.Worker{ID: id, Service: service, Capacity: size.New(64000, 128000, 0)})
				cl.Report(0, id, 0, nil, nil)
			}
			cl.SetCommitted(cl.RecordCount())
			cl.FinishRecovery()
			for n, qu := range tc.jobs {
				submitStep(cl, string(rune('a'+n)), work.Step{Count: 1, Need: size.New(1000, 100, 0), Estimate: time.Second}, qu)
			}
			cl.UpdateQueues(tc.settings)
			cl.Plan(time.Millisecond)
			starts := cl.TakeOutput().Starts
			is.Equal(len(starts), len(tc.jobs))
			for _, sr := range starts {
				is.Equal(string(sr.Worker), tc.want)
			}
		})
	}
}
