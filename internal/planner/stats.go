package planner

import (
	"runtime/metrics"
	"time"

	"tackbeam.example/policy/cell"
)

// statsInterval is how often the planner logs its statistics. One line per second shows which part of the work grows,
// and is a thousandth of the log lines of a busy planner.
const statsInterval = time.Second

// stats counts the planner's work since the last log line about it.
type stats struct {
	since time.Duration
	// plans is the number of planning passes, planned the time that they took, longest that of the longest one.
	plans            int
	planned, longest time.Duration
	// sent counts the starts, inFlight those without an outcome yet, and maxInFlight is the maximum of inFlight.
	sent, inFlight, maxInFlight int
	// ended counts the starts that had an outcome, refused those of them that were refused, and took is the total time
	// of the ended ones.
	ended, refused int
	took           time.Duration
	holds          int
	adviceRequests int
	// gcSeconds is the CPU time of the garbage collector up to the last log line.
	gcSeconds float64
}

func (st *stats) plan(took time.Duration) {
	st.plans++
	st.planned += took
	st.longest = max(st.longest, took)
}

func (st *stats) begin() {
	st.sent++
	st.inFlight++
	st.maxInFlight = max(st.maxInFlight, st.inFlight)
}

func (st *stats) end(took time.Duration, refusal cell.Refusal) {
	st.inFlight--
	st.ended++
	st.took += took
	if refusal != "" {
		st.refused++
	}
}

// logStats logs the statistics once per second. The caller holds the lock.
func (ld *leader) logStats(now time.Duration) {
	st := &ld.stats
	if now-st.since < statsInterval {
		return
	}
	collected, heap, memory := memoryUsage()
	var each time.Duration
	if st.ended > 0 {
		each = st.took / time.Duration(st.ended)
	}
	_, waiting, _ := ld.cell.Counts()
	window, _ := ld.cell.StartWindow()
	slowest, first := ld.cell.TakeSlowestSteps()
	slowestFrom := ""
	if slowest > 0 {
		slowestFrom = first.StepName()
	}
	ld.metrics.gauge("planner.plan_slowest_steps_ms", int(slowest.Milliseconds()))
	ld.log.Info("Planner statistics.", "over", (now - st.since).String(), "plans", st.plans, "planned", st.planned.String(), "longest", st.longest.String(), "cut", ld.cell.CutPlans(),
		"slowest_steps", slowest.String(), "slowest_from", slowestFrom,
		"steps_waiting", waiting, "starts", st.sent, "window", window, "in_flight", st.inFlight, "most_in_flight", st.maxInFlight,
		"start_took", each.String(), "refused", st.refused, "holds", st.holds, "questions", st.adviceRequests,
		"collector_s", collected-st.gcSeconds, "heap_mb", heap>>20, "memory_mb", memory>>20,
		"sessions", len(ld.sessions), "answered", ld.answeredSessions())
	*st = stats{since: now, inFlight: st.inFlight, maxInFlight: st.inFlight, gcSeconds: collected}
}

// answeredSessions returns the number of workers that have answered this planner. The caller holds the lock.
func (ld *leader) answeredSessions() int {
	count := 0
	for _, se := range ld.sessions {
		if se.answered {
			count++
		}
	}
	return count
}

// memoryUsage returns the CPU time in seconds that the garbage collector has used, the size in bytes of the live heap
// at its last run, and the memory that the process has from the operating system.
func memoryUsage() (collectorSeconds float64, heap, memory uint64) {
	samples := []metrics.Sample{
		{Name: "/cpu/classes/gc/total:cpu-seconds"}, {Name: "/gc/heap/live:bytes"},
		{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"},
	}
	metrics.Read(samples)
	return samples[0].Value.Float64(), samples[1].Value.Uint64(), samples[2].Value.Uint64() - samples[3].Value.Uint64()
}
