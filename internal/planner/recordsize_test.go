package planner

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/incarnation"
	"tackbeam.example/policy/work"

	"tackbeam.example/tackbeam/internal/joblog"
)

// TestRecordSize guards against a write of records that the store rejects for its size, after which nothing is recorded any
// more: records of workers that are closed name all of their runs. Each write must stay within half of what a value may
// have, and all records must be written in order.
func TestRecordSize(t *testing.T) {
	const maxValue = 1 << 20
	for name, tc := range map[string]struct{ workers, runs int }{
		"no records":                {0, 0},
		"many records without runs": {3 * maxRecords, 0},
		"many workers, few runs":    {2000, 10},
		"workers with many runs":    {100, 1000},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var pending []cell.Record
			for n := range tc.workers {
				rec := cell.Record{Worker: incarnation.New(fmt.Sprintf("i-%010x", n), 1769588838734), Closed: true}
				for index := range tc.runs {
					task := work.Task{Job: "5c0e7a21d94b36f8", Round: 100_000, Step: 10, Index: 100_000 + index}
					rec.Held = append(rec.Held, cell.Run{Task: task, Number: 100_000})
				}
				pending = append(pending, rec)
			}
			for count := 0; len(pending) > 0; count++ {
				recs := nextWrite(pending)
				is.True(len(recs) > 0)
				is.Equal(recs[0].Worker, pending[0].Worker)
				raw, err := joblog.Encode(recs)
				is.NoErr(err)
				is.True(len(raw) <= maxValue/2)
				pending = pending[len(recs):]
			}
		})
	}
}
