package cell_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestShortJobsInTime plays a minute on which more than a cell is asked for, with jobs whose
// run times differ fourfold within a queue. Where each job was taken to run as long as the
// mean of its queue, short ones, whose objective is short, got their turn too late.
func TestShortJobsInTime(t *testing.T) {
	is := is.New(t)
	const workers, nodes = 350, 43
	bd := newBusyDay(1, workers, nodes, grownStreams(1.25))
	bd.pass(time.Minute, true)
	bd.pass(drained, false)
	gangs, _ := bd.inTime(0)
	patient, _ := bd.inTime(1)
	t.Logf("in time: gangs %.3f, patient jobs %.3f", gangs, patient)
	is.True(gangs >= 0.64)
	is.True(patient >= 0.98)
}
