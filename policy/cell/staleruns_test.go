package cell_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/size"
	"tackbeam.example/policy/work"
)

// TestManyStartsRefusedAsStale guards against one refused start for each run that an earlier planner gave a higher number.
func TestManyStartsRefusedAsStale(t *testing.T) {
	for _, had := range []int{100, 600, 10_000} {
		t.Run(fmt.Sprint(had), func(t *testing.T) {
			is := is.New(t)
			const maxRefused = 10
			pb := newInheritedBed(work.Step{Count: 1, Need: size.New(4000, 100, 0), LongRunning: true})
			pb.reportBoth(0)
			pb.plan(0) // the journal has the workers
			pb.FinishRecovery()
			started := false
			for refused := 0; refused <= maxRefused && !started; refused++ {
				starts := pb.plan(time.Second).Starts
				is.Equal(len(starts), 1) // it does not wait
				if started = starts[0].Run > had; !started {
					pb.Refused(time.Second, starts[0], cell.RefusedStale)
				}
			}
			is.True(started)
		})
	}
}

// TestStopSkipsNoRuns guards against skipped run numbers after a start that is refused because its run is being stopped.
func TestStopSkipsNoRuns(t *testing.T) {
	is := is.New(t)
	pb := &partialBed{Cell: newTestCell(2)}
	pb.submit(work.Step{Count: 2, Need: size.New(4000, 100, 0), Estimate: time.Second, Gang: true})
	starts := pb.plan(0).Starts
	pb.Refused(1, starts[0], cell.RefusedLate) // the other member is stopped
	pb.Refused(2, starts[1], cell.RefusedStale)
	starts = pb.plan(time.Second).Starts
	is.Equal(len(starts), 2)
	is.Equal(starts[0].Run, 2)
}
