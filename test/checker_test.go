package test

import (
	"fmt"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"tackbeam.example/tackbeam/internal/ids"
	"tackbeam.example/tackbeam/internal/standin/standinworker"
)

// outcome is what the system reported to a client about a job or lookup, which its
// mark identifies.
type outcome struct {
	mark string
	// result is "ran", "not-run" or "unknown", or "" if no outcome was reported.
	result string
	// repeatable is whether the job or lookup may run more than once.
	repeatable bool
}

// violations lists the violated guarantees by kind. They are derived only from the
// records of the workers and of the clients, never from the state of the nodes.
type violations map[string][]string

func (vi violations) add(kind, format string, args ...any) {
	vi[kind] = append(vi[kind], fmt.Sprintf(format, args...))
}

// Kinds of violations.
const (
	overcommit      = "overcommit"
	overlappingRuns = "two at once"
	duplicateRun    = "run twice"
	falseNotRun     = "false not-run"
	falseRan        = "false ran"
	wrongReply      = "wrong or cut lookup"
	revertedCell    = "reverted cell"
	noOutcome       = "job without answer"
	startOnLeaving  = "work to a leaving worker"
)

// span is the time during which a worker ran a task or lookup.
type span struct {
	worker     string
	begin, end time.Time
}

// check compares the workers' records with the outcomes that clients were given.
func check(records []standinworker.Record, outcomes []outcome) violations {
	vi := violations{}
	spans := spansOf(records, vi)
	for work, list := range spans {
		sort.Slice(list, func(i, j int) bool { return list[i].begin.Before(list[j].begin) })
		for i := 1; i < len(list); i++ {
			if list[i].begin.Before(list[i-1].end) {
				vi.add(overlappingRuns, "%s on %s and %s", work, list[i-1].worker, list[i].worker)
			}
		}
	}
	started := map[string]int{}
	for work, list := range spans {
		mark, _, _ := strings.Cut(work, "#")
		started[mark] = max(started[mark], len(list))
	}
	for _, oc := range outcomes {
		n := started[oc.mark]
		switch {
		case oc.result == "":
			vi.add(noOutcome, "%s", oc.mark)
		case oc.result == "not-run" && n > 0 && (!oc.repeatable || !strings.HasPrefix(oc.mark, "lookup")):
			vi.add(falseNotRun, "%s started %d times", oc.mark, n)
		case oc.result == "ran" && n == 0:
			vi.add(falseRan, "%s never started", oc.mark)
		}
		if n > 1 && !oc.repeatable {
			vi.add(duplicateRun, "%s started %d times", oc.mark, n)
		}
	}
	return vi
}

// spansOf pairs start and end records. The result is grouped by the mark and, for the
// tasks of a job, their index, over all attempts.
func spansOf(records []standinworker.Record, vi violations) map[string][]span {
	sort.SliceStable(records, func(i, j int) bool { return records[i].At.Before(records[j].At) })
	spans := map[string][]span{}
	open := map[string]int{}
	for _, rc := range records {
		work := rc.Mark
		if _, _, index, ok := ids.ParseTask(rc.Task); ok {
			work = fmt.Sprintf("%s#%d", rc.Mark, index)
		}
		run := rc.Worker + " " + rc.Task
		switch rc.Event {
		case standinworker.EventOverCapacity:
			vi.add(overcommit, "%s with %s", rc.Worker, rc.Task)
		case standinworker.EventBegin:
			open[run] = len(spans[work])
			spans[work] = append(spans[work], span{rc.Worker, rc.At, rc.At.Add(time.Hour)})
		case standinworker.EventEnd:
			if at, ok := open[run]; ok {
				spans[work][at].end = rc.At
			}
		}
	}
	return spans
}

// assertNone fails the test if there is a violation.
func (vi violations) assertNone(t *testing.T) {
	t.Helper()
	for kind, list := range vi {
		t.Errorf("%s: %d, for example %s", kind, len(list), list[0])
	}
}

// TestCheckerCatches checks that the checker finds violations in records and outcomes
// that contain one, and none in correct ones.
func TestCheckerCatches(t *testing.T) {
	at := time.Unix(1000, 0)
	rec := func(after int, worker, task, mark, event string) standinworker.Record {
		return standinworker.Record{
			At: at.Add(time.Duration(after) * time.Second), Worker: worker, Task: task, Mark: mark, Event: event,
		}
	}
	const begin, end = standinworker.EventBegin, standinworker.EventEnd
	cases := map[string]struct {
		records []standinworker.Record
		claims  []outcome
		want    string
	}{
		"no violation": {
			[]standinworker.Record{rec(0, "a", "j.1.0", "m", begin), rec(1, "a", "j.1.0", "m", end)},
			[]outcome{{mark: "m", result: "ran"}}, "",
		},
		"rerun after the end": {
			[]standinworker.Record{
				rec(0, "a", "j.1.0", "m", begin), rec(1, "a", "j.1.0", "m", end),
				rec(2, "b", "j.2.0", "m", begin), rec(3, "b", "j.2.0", "m", end),
			}, []outcome{{mark: "m", result: "ran", repeatable: true}}, "",
		},
		"overcommit": {[]standinworker.Record{rec(0, "a", "j.1.0", "m", standinworker.EventOverCapacity)}, nil, overcommit},
		"overlapping runs": {
			[]standinworker.Record{
				rec(0, "a", "j.1.0", "m", begin), rec(1, "b", "j.2.0", "m", begin),
				rec(2, "a", "j.1.0", "m", end), rec(3, "b", "j.2.0", "m", end),
			}, []outcome{{mark: "m", result: "ran", repeatable: true}}, overlappingRuns,
		},
		"second run": {
			[]standinworker.Record{
				rec(0, "a", "j.1.0", "m", begin), rec(1, "a", "j.1.0", "m", end),
				rec(2, "b", "j.2.0", "m", begin), rec(3, "b", "j.2.0", "m", end),
			}, []outcome{{mark: "m", result: "ran"}}, duplicateRun,
		},
		"reported not-run but ran": {
			[]standinworker.Record{rec(0, "a", "j.1.0", "m", begin)}, []outcome{{mark: "m", result: "not-run"}}, falseNotRun,
		},
		"no outcome reported":          {nil, []outcome{{mark: "m"}}, noOutcome},
		"reported ran but did not run": {nil, []outcome{{mark: "m", result: "ran"}}, falseRan},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			vi := check(tc.records, tc.claims)
			if tc.want == "" {
				is.Equal(len(vi), 0)
				return
			}
			is.Equal(len(vi[tc.want]), 1) // the violation is found
		})
	}
}
