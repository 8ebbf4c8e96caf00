package trial_test

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"tackbeam.example/tackbeam/internal/trace"
	"tackbeam.example/tackbeam/internal/trial"
)

// withoutTimings returns a report without the values that depend on the speed of the computer.
func withoutTimings(rp trial.Report) trial.Report {
	rp.DecisionTime, rp.DecisionP99 = 0, 0
	return rp
}

// TestOutcomes checks that each shipped trace achieves its required outcomes under the policy that nodes use, and that
// a second run gives the same result.
func TestOutcomes(t *testing.T) {
	paths, err := filepath.Glob("../../traces/*.jsonl.gz")
	if err != nil || len(paths) != len(trace.Names()) {
		t.Fatalf("%d traces are shipped, %d can be generated: run make traces", len(paths), len(trace.Names()))
	}
	current, err := trial.FindPolicy(trial.CurrentPolicy)
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			tr, err := trace.Load(path)
			is.NoErr(err)
			first := trial.Run(tr, current)
			is.Equal(len(first.UnmetOutcomes), 0) // see the log for the unmet outcomes
			for _, outcome := range first.UnmetOutcomes {
				t.Log(outcome)
			}
			is.Equal(withoutTimings(trial.Run(tr, current)), withoutTimings(first))
		})
	}
}

// TestUnmetOutcomes checks that the report lists each kind of required outcome that was not achieved.
func TestUnmetOutcomes(t *testing.T) {
	none, all, soon := 0, 1.1, time.Duration(0)
	cases := map[string]struct {
		trace    string
		policy   string
		outcomes trace.Outcomes
	}{
		"refused":  {"impossible-jobs", trial.CurrentPolicy, trace.Outcomes{Refused: &none}},
		"failed":   {"failing-workers", "first-fit", trace.Outcomes{MaxFailed: &none}},
		"packing":  {"impossible-jobs", trial.CurrentPolicy, trace.Outcomes{MinPacking: &all}},
		"fairness": {"impossible-jobs", trial.CurrentPolicy, trace.Outcomes{MinFairness: &all}},
		"urgent":   {"weights-edited", "first-fit", trace.Outcomes{MaxUrgentWait: &soon}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			made, err := trace.Generate(tc.trace, 1)
			is.NoErr(err)
			pl, err := trial.FindPolicy(tc.policy)
			is.NoErr(err)
			head := made.Header()
			head.Outcomes = tc.outcomes
			is.Equal(len(trial.Run(trace.New(head, made.Events()), pl).UnmetOutcomes), 1)
		})
	}
}
