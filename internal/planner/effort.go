package planner

import (
	"runtime/metrics"
	"time"

	"tackbeam.example/policy/cell"
)

// effortEvery is how often the planner logs what it had to do: a line a second tells which part
// of its work grows, and is a thousandth of the lines of a busy planner.
const effortEvery = time.Second

// effort counts what a planner had to do since the last line about it.
type effort struct {
	since time.Duration
	// plans is how many there were, planned the time that they took.
	plans   int
	planned time.Duration
	// sent counts the starts, inFlight those without an outcome yet; most is their highest number.
	sent, inFlight, most int
	// took is the time that the starts took that had an outcome, refused how many of them were.
	ended, refused int
	took           time.Duration
	holds          int
	questions      int
	// collecting is the processor time of the garbage collector up to the last line, in seconds.
	collecting float64
}

func (ef *effort) plan(took time.Duration) {
	ef.plans++
	ef.planned += took
}

func (ef *effort) begin() {
	ef.sent++
	ef.inFlight++
	ef.most = max(ef.most, ef.inFlight)
}

func (ef *effort) end(took time.Duration, refusal cell.Refusal) {
	ef.inFlight--
	ef.ended++
	ef.took += took
	if refusal != "" {
		ef.refused++
	}
}

// tellEffort logs the effort once a second. The caller holds the lock.
func (ld *lead) tellEffort(now time.Duration) {
	ef := &ld.effort
	if now-ef.since < effortEvery {
		return
	}
	collected, heap := collector()
	var each time.Duration
	if ef.ended > 0 {
		each = ef.took / time.Duration(ef.ended)
	}
	_, waiting, _ := ld.cell.Counts()
	window, _ := ld.cell.StartWindow()
	ld.log.Info("Planner's effort.", "over", (now - ef.since).String(), "plans", ef.plans, "planned", ef.planned.String(),
		"steps_waiting", waiting, "starts", ef.sent, "window", window, "in_flight", ef.inFlight, "most_in_flight", ef.most,
		"start_took", each.String(), "refused", ef.refused, "holds", ef.holds, "questions", ef.questions,
		"collector_s", collected-ef.collecting, "heap_mb", heap>>20)
	*ef = effort{since: now, inFlight: ef.inFlight, most: ef.inFlight, collecting: collected}
}

// collector returns the processor time in seconds that the garbage collector has used, and the
// bytes that live objects took when it last ran.
func collector() (seconds float64, heap uint64) {
	samples := []metrics.Sample{{Name: "/cpu/classes/gc/total:cpu-seconds"}, {Name: "/gc/heap/live:bytes"}}
	metrics.Read(samples)
	return samples[0].Value.Float64(), samples[1].Value.Uint64()
}
