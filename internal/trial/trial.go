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

// Now is the name of the policy that nodes have.
const Now = "now"

// Policy is a way to decide that a trace can be run through.
type Policy struct {
	name  string
	about string
	make  func(wo *world) decider
}

// Name returns what the policy is called on the command line.
func (pl Policy) Name() string { return pl.name }

// About returns what it is, in one line.
func (pl Policy) About() string { return pl.about }

// Policies lists the policies, the one that nodes have first.
func Policies() []Policy {
	whole := variant{home: home.DefaultRules(), limits: owner.DefaultLimits()}
	list := []Policy{
		ours(Now, "as nodes decide", whole, func(*variant) {}),
		ours("no-backfill", "short tasks stay off workers kept for gangs", whole, func(vr *variant) { vr.limits.Backfill = false }),
		ours("no-plan", "gangs reserve after two seconds, whatever their deadline", whole, func(vr *variant) { vr.home.DeferReservations = false }),
		ours("backoff", "as before: tries after a pause, no plan, no backfill", whole, func(vr *variant) {
			vr.backoff, vr.home.DeferReservations, vr.limits.Backfill = true, false, false
		}),
	}
	return append(list, Policy{name: "first-fit", about: "first come first fit, the baseline", make: newFirstFit})
}

func ours(name, about string, vr variant, change func(*variant)) Policy {
	change(&vr)
	return Policy{name: name, about: about, make: func(wo *world) decider { return newMachines(wo, vr) }}
}

// Find returns the policy of a name.
func Find(name string) (Policy, error) {
	var names []string
	for _, pl := range Policies() {
		if pl.name == name {
			return pl, nil
		}
		names = append(names, pl.name)
	}
	return Policy{}, fault.New(fault.BadRequest, "no policy %s; there are %v", name, names)
}

// Wait is the distribution of the waits of one class or workspace.
type Wait struct {
	Count int64         `json:"count"`
	P50   time.Duration `json:"p50"`
	P99   time.Duration `json:"p99"`
	Max   time.Duration `json:"max"`
}

// Report is what a trial came to.
type Report struct {
	Trace      string          `json:"trace"`
	Policy     string          `json:"policy"`
	Classes    map[string]Wait `json:"classes"`
	Workspaces map[string]Wait `json:"workspaces"`
	Ran        int             `json:"ran"`
	Refused    int             `json:"refused"`
	// Missed jobs ended after their deadline or not at all; Avoidable are those
	// that alone would have met it.
	Missed    int `json:"missed"`
	Avoidable int `json:"avoidable"`
	Failed    int `json:"failed"`
	Cancelled int `json:"cancelled"`
	// Packing is the part of the bound in use while work waits, Backlog for how long.
	Packing   float64       `json:"packing"`
	Backlog   time.Duration `json:"backlog"`
	Fairness  float64       `json:"fairness"`
	Preempted int           `json:"preempted"`
	LostWork  time.Duration `json:"lost_work"`
	Lookups   int           `json:"lookups"`
	Shed      int           `json:"shed"`
	// LookupsFailed went to workers that failed them.
	LookupsFailed int           `json:"lookups_failed"`
	Decisions     int           `json:"decisions"`
	Deciding      time.Duration `json:"deciding"`
	DecisionP99   time.Duration `json:"decision_p99"`
	// Curve is the distribution of the waits of all jobs, for a chart.
	Curve []chart.Point `json:"-"`
	// Broken names the stated outcomes that did not come about.
	Broken []string `json:"broken,omitempty"`
}

// Rate returns the decisions made a second of processor time.
func (rp Report) Rate() float64 { return float64(rp.Decisions) / max(rp.Deciding.Seconds(), 1e-9) }

// Run runs a trace through a policy.
func Run(tr *trace.Trace, pl Policy) Report {
	wo := &world{
		trace: tr, workers: map[string]ledger.Worker{}, bad: map[string]bool{}, lost: map[string]bool{},
		jobs: map[string]*job{}, lookups: map[string]*lookup{}, measure: newMeasure(),
	}
	wo.decider = pl.make(wo)
	wo.run()
	rp := wo.measure.report()
	rp.Trace, rp.Policy = tr.Header().Name, pl.name
	rp.Broken = broken(rp, tr.Header().Outcomes)
	return rp
}

func (me *measure) report() Report {
	rp := Report{
		Classes: waitsOf(me.classes), Workspaces: waitsOf(me.workspaces),
		Ran: me.outcomes[ran], Refused: me.outcomes[refused], Missed: me.outcomes[missed] + me.outcomes[unfinished],
		Avoidable: me.missedOK + me.outcomes[unfinished], Failed: me.outcomes[failed], Cancelled: me.outcomes[cancelled],
		Packing: 1, Fairness: 1, Backlog: me.backlog, Preempted: me.preempted, LostWork: me.lostWork,
		Lookups: me.asked, Shed: me.shed, LookupsFailed: me.lookupsFailed,
		Decisions: me.decisions, Deciding: me.deciding, DecisionP99: time.Duration(me.decisionTimes.ValueAtQuantile(99)),
	}
	rp.Curve = chart.Points(me.jobWaits)
	if me.boundTime > 0 {
		rp.Packing = me.usedTime / me.boundTime
	}
	if me.fairUntil > 0 {
		rp.Fairness = me.fairTime / me.fairUntil
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

// broken lists the stated outcomes that a report does not meet.
func broken(rp Report, oc trace.Outcomes) []string {
	var list []string
	need := func(ok bool, format string, args ...any) {
		if !ok {
			list = append(list, fmt.Sprintf(format, args...))
		}
	}
	if oc.Refused != nil {
		need(rp.Refused == *oc.Refused, "%d jobs were refused, stated are %d", rp.Refused, *oc.Refused)
	}
	if oc.Missed != nil {
		need(rp.Missed <= *oc.Missed, "%d jobs missed their deadline, allowed are %d", rp.Missed, *oc.Missed)
	}
	if oc.Failed != nil {
		need(rp.Failed <= *oc.Failed, "%d jobs failed, allowed are %d", rp.Failed, *oc.Failed)
	}
	if oc.Packing != nil {
		need(rp.Packing >= *oc.Packing, "packing is %.3f of the bound, stated is %.3f", rp.Packing, *oc.Packing)
	}
	if oc.Fairness != nil {
		need(rp.Fairness >= *oc.Fairness, "fairness is %.3f, stated is %.3f", rp.Fairness, *oc.Fairness)
	}
	if oc.Urgent != nil {
		need(rp.Classes[classUrgent].Max <= *oc.Urgent, "an urgent job waited %v, allowed are %v", rp.Classes[classUrgent].Max, *oc.Urgent)
	}
	if oc.Shed != nil {
		need(float64(rp.Shed) <= *oc.Shed*float64(rp.Lookups), "%d of %d lookups were refused", rp.Shed, rp.Lookups)
	}
	return list
}
