package cell_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// What a backlog may come to while four fifths of a cell are asked for.
const (
	// longestWait is how long a gang that fits into the empty cell waits at most.
	longestWait = 30 * time.Second
	// drained is how long after the last job each accepted one has begun: callers ask 14 s
	// after that.
	drained = 14 * time.Second
)

// TestBacklogDrains plays a long busy day. Callers saw that gangs which were accepted in
// the first seconds had not begun two minutes later, though half of the workers' room was
// free by then. Order of events: a wide gang finds too little room on the quarter of the
// workers that it may run on; once it is late it ranks behind all that can still be in
// time; room is kept free only for the first three gangs in that order, so never for it
// again, and the stream of small tasks takes each core that comes free. Its questions go
// on all the same and crowd out those of gangs that have room. A planner that follows
// knows no ages, and begins the order anew.
//
// Evidence, on the day with one planner: after 60 s 52 gangs waited, the oldest ones of 61, 23
// and 89 tasks for 30 to 35 s, all of them late, none with a worker kept free, one after 45
// questions; 61% of the processors were in use.
func TestBacklogDrains(t *testing.T) {
	tests := map[string]struct{ dark time.Duration }{
		"one planner":              {},
		"planner changes at night": {dark: 3 * time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			const seed, workers, nodes = 1, 350, 43
			bd := newBusyDay(seed, workers, nodes, grownStreams(1))
			for range 10 {
				bd.pass(10*time.Second, true)
				count, oldest := bd.waiting()
				t.Logf("%s: %.2f in use, %d wait, for up to %s, %d questions", bd.now, bd.inUse(), count, oldest, bd.questions)
				is.True(oldest <= longestWait)
			}
			if tt.dark > 0 {
				bd.dark = true
				bd.pass(tt.dark, false)
				bd.elect()
			}
			bd.pass(drained, false)
			count, oldest := bd.waiting()
			t.Logf("%s: %.2f in use, %d wait, for up to %s", bd.now, bd.inUse(), count, oldest)
			is.Equal(count, 0)
			all, largest := bd.inTime(0)
			t.Logf("gangs in time %.2f, of the largest tenth %.2f", all, largest)
			patient, widest := bd.inTime(1)
			t.Logf("patient jobs in time %.3f, of the largest tenth %.3f", patient, widest)
		})
	}
}
