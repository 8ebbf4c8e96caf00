package trial

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"tackbeam.example/policy/home"
	"tackbeam.example/policy/ledger"
	"tackbeam.example/policy/owner"
	"tackbeam.example/tackbeam/internal/chart"
	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/trace"
)

// CurrentPolicy is the name of the policy that nodes use.
const CurrentPolicy = "now"

// Policy is a scheduling policy for trials.
type Policy struct {
	name        string
	description string
	newDecider  func(sim *simulation) decider
}

// Name returns the policy's name on the command line.
func (pl Policy) Name() string { return pl.name }

// Description returns a description in one line.
func (pl Policy) Description() string { return pl.description }

// Policies returns all policies, starting with the one that nodes use.
func Policies() []Policy {
	defaults := variant{home: home.DefaultRules(), limits: owner.DefaultLimits()}
	list := []Policy{
		variantPolicy(CurrentPolicy, "as nodes decide", defaults, func(*variant) {}),
		variantPolicy("no-backfill", "short tasks stay off workers kept for gangs", defaults, func(vr *variant) { vr.limits.Backfill = false }),
		variantPolicy("no-plan", "gangs reserve after two seconds, whatever their deadline", defaults, func(vr *variant) { vr.home.DeferReservations = false }),
		variantPolicy("backoff", "as before: tries after a pause, no plan, no backfill", defaults, func(vr *variant) {
			vr.backoff, vr.home.DeferReservations, vr.limits.Backfill = true, false, false
		}),
	}
	return append(list, Policy{name: "first-fit", description: "first come first fit, the baseline", newDecider: newFirstFit})
}

func variantPolicy(name, description string, vr variant, change func(*variant)) Policy {
	change(&vr)
	return Policy{name: name, description: description, newDecider: func(sim *simulation) decider { return newNodeDecider(sim, vr) }}
}

// FindPolicy returns the policy with the given name.
func FindPolicy(name string) (Policy, error) {
	var names []string
	for _, pl := range Policies() {
		if pl.name == name {
			return pl, nil
		}
		names = append(names, pl.name)
	}
	return Policy{}, fault.New(fault.BadRequest, "no policy %s; known policies are %v", name, names)
}

// Wait is the distribution of the waits of a class or workspace.
type Wait struct {
	Count int64         `json:"count"`
	P50   time.Duration `json:"p50"`
	P99   time.Duration `json:"p99"`
	Max   time.Duration `json:"max"`
}

// Report is the result of a trial.
type Report struct {
	Trace      string          `json:"trace"`
	Policy     string          `json:"policy"`
	Classes    map[string]Wait `json:"classes"`
	Workspaces map[string]Wait `json:"workspaces"`
	Ran        int             `json:"ran"`
	Refused    int             `json:"refused"`
	// Missed jobs ended after their deadline or did not end. Avoidable are those of them that did not end, or that would
	// have met their deadline without waiting.
	Missed    int `json:"missed"`
	Avoidable int `json:"avoidable"`
	Failed    int `json:"failed"`
	Cancelled int `json:"cancelled"`
	// Packing is the ratio of the used resources to the upper bound of usable ones, while work waits. BacklogTime is
	// for how long work waited.
	Packing     float64       `json:"packing"`
	BacklogTime time.Duration `json:"backlog"`
	Fairness    float64       `json:"fairness"`
	Preempted   int           `json:"preempted"`
	LostWork    time.Duration `json:"lost_work"`
	Lookups     int           `json:"lookups"`
	Shed        int           `json:"shed"`
	// LookupsFailed counts lookups that failed on their worker.
	LookupsFailed int           `json:"lookups_failed"`
	Decisions     int           `json:"decisions"`
	DecisionTime  time.Duration `json:"deciding"`
	DecisionP99   time.Duration `json:"decision_p99"`
	// Distribution is the distribution of the waits of all jobs, for a chart.
	Distribution []chart.Point `json:"-"`
	// UnmetOutcomes describes the outcomes required by the trace that were not achieved.
	UnmetOutcomes []string `json:"broken,omitempty"`
}

// Rate returns the number of decisions per second of processor time.
func (rp Report) Rate() float64 { return float64(rp.Decisions) / max(rp.DecisionTime.Seconds(), 1e-9) }

// Run simulates a trace with a policy.
func Run(tr *trace.Trace, pl Policy) Report {
	sim := &simulation{
		trace: tr, workers: map[string]ledger.Worker{}, failing: map[string]bool{}, lost: map[string]bool{},
		jobs: map[string]*job{}, lookups: map[string]*lookup{}, metrics: newMetrics(),
	}
	sim.decider = pl.newDecider(sim)
	sim.run()
	rp := sim.metrics.report()
	rp.Trace, rp.Policy = tr.Header().Name, pl.name
	rp.UnmetOutcomes = unmetOutcomes(rp, tr.Header().Outcomes)
	return rp
}

func (mt *metrics) report() Report {
	rp := Report{
		Classes: waitsOf(mt.classes), Workspaces: waitsOf(mt.workspaces),
		Ran: mt.outcomes[ran], Refused: mt.outcomes[refused], Missed: mt.outcomes[missed] + mt.outcomes[unfinished],
		Avoidable: mt.missedAvoidably + mt.outcomes[unfinished], Failed: mt.outcomes[failed], Cancelled: mt.outcomes[cancelled],
		Packing: 1, Fairness: 1, BacklogTime: mt.backlog, Preempted: mt.preempted, LostWork: mt.lostWork,
		Lookups: mt.lookups, Shed: mt.shed, LookupsFailed: mt.lookupsFailed,
		Decisions: mt.decisions, DecisionTime: mt.decisionTime, DecisionP99: time.Duration(mt.decisionTimes.ValueAtQuantile(99)),
	}
	rp.Distribution = chart.Points(mt.jobWaits)
	if mt.boundTime > 0 {
		rp.Packing = mt.usedTime / mt.boundTime
	}
	if mt.fairnessSpan > 0 {
		rp.Fairness = mt.fairnessSum / mt.fairnessSpan
	}
	return rp
}

func waitsOf(from map[string]*hdrhistogram.Histogram) map[string]Wait {
	all := map[string]Wait{}
	for name, hi := range from {
		at := func(q float64) time.Duration { return time.Duration(hi.ValueAtQuantile(q)) * time.Microsecond }
		all[name] = Wait{Count: hi.TotalCount(), P50: at(50), P99: at(99), Max: time.Duration(hi.Max()) * time.Microsecond}
	}
	return all
}

// unmetOutcomes describes the required outcomes that a report does not meet.
func unmetOutcomes(rp Report, oc trace.Outcomes) []string {
	var list []string
	need := func(ok bool, format string, args ...any) {
		if !ok {
			list = append(list, fmt.Sprintf(format, args...))
		}
	}
	if oc.Refused != nil {
		need(rp.Refused == *oc.Refused, "%d jobs were refused, stated are %d", rp.Refused, *oc.Refused)
	}
	if oc.MaxMissed != nil {
		need(rp.Missed <= *oc.MaxMissed, "%d jobs missed their deadline, allowed are %d", rp.Missed, *oc.MaxMissed)
	}
	if oc.MaxFailed != nil {
		need(rp.Failed <= *oc.MaxFailed, "%d jobs failed, allowed are %d", rp.Failed, *oc.MaxFailed)
	}
	if oc.MinPacking != nil {
		need(rp.Packing >= *oc.MinPacking, "packing is %.3f of the bound, stated is %.3f", rp.Packing, *oc.MinPacking)
	}
	if oc.MinFairness != nil {
		need(rp.Fairness >= *oc.MinFairness, "fairness is %.3f, stated is %.3f", rp.Fairness, *oc.MinFairness)
	}
	if oc.MaxUrgentWait != nil {
		need(rp.Classes[classUrgent].Max <= *oc.MaxUrgentWait, "an urgent job waited %v, allowed are %v", rp.Classes[classUrgent].Max, *oc.MaxUrgentWait)
	}
	if oc.MaxShed != nil {
		need(float64(rp.Shed) <= *oc.MaxShed*float64(rp.Lookups), "%d of %d lookups were refused", rp.Shed, rp.Lookups)
	}
	return list
}
