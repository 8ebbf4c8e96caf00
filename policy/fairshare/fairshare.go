// Package fairshare decides what share of the arriving urgent work of each workspace a cell admits, so that the
// admitted work can be in time.
//
// It addresses load beyond the capacity of a service: for seconds, as in bursts, or for as long as demand exceeds
// what the service can run. Urgent jobs have less than a second of slack, so a queue that takes longer to drain makes
// all of them late. Without a limit, a workspace that submits several times its usual work makes the jobs of all
// others late too.
//
// Work is the dominant share of the service's capacity that tasks take, times their expected run time in seconds: a
// service can run at most 1 per second.
package fairshare

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Limits of the decision.
const (
	// Interval is the time between two decisions. Half of the slack of urgent jobs passes in less, and the record of
	// a decision costs the store an event per node.
	Interval = 500 * time.Millisecond
	// minShare is the least share that is admitted: what a workspace asks for is estimated from what is admitted of
	// it, and cannot be once nothing is.
	minShare = 0.02
	// fullShare is the share from which all is admitted, since demand is not measured more precisely.
	fullShare = 0.99
	// propagation is how long a decision takes to show in the work that arrives: it is written to the store, which
	// nodes watch, and a job accepted before that is in the journal within tens of milliseconds.
	propagation = 50 * time.Millisecond
	// averaging is the weight of an interval in the usual demand of a workspace, which is averaged over 5 s: those that
	// submit a job every few seconds ask for many times their mean in the second in which one arrives.
	averaging = 0.1
	// demandDecay is the most by which the estimated demand falls from one decision to the next. When few jobs are
	// admitted, none may arrive for a second although the demand has not changed.
	demandDecay = 0.5
	// maxWait bounds expected waits; jobs with that much slack are not urgent.
	maxWait = time.Minute
)

// MaxShares is how many shares nodes are told of at most, the lowest ones. Of the other workspaces all is admitted.
const MaxShares = 64

// LateAfter is how long work must have been late to count as late rather than overdue. The decisions of the last second
// have made it late; older ones do not show whether the present decision lets too much in.
const LateAfter = time.Second

// Key identifies the urgent work of one workspace for one service.
type Key struct{ Service, Workspace string }

// Waiting is the work of one workspace for one service that waits, at a decision.
type Waiting struct {
	// InTime is the part that can be in time if it starts now. Overdue is the part that has waited for longer than half
	// of its slack, without that in Late, which has been late for longer than LateAfter.
	InTime, Overdue, Late float64
	// Limited is the part of Overdue that may not start because the workspace is at its limit, LimitedInTime that of
	// InTime, LimitedLate that of Late.
	Limited, LimitedInTime, LimitedLate float64
	// Slack is the mean slack of the steps that wait.
	Slack time.Duration
}

// Share is what is admitted of the work of one workspace for one service.
type Share struct {
	Key
	// Admitted is the share of the arriving work that is admitted, between 0 and 1.
	Admitted float64
	// Wait is how long admitted work is expected to wait, Drain how long the present excess takes to be started.
	Wait, Drain time.Duration
}

// Allocator divides the rate at which services start urgent work among workspaces. It is not safe for concurrent use.
type Allocator struct {
	decidedAt time.Duration
	// weight is the weight of all decisions so far in the usual demands.
	weight   float64
	services map[string]*service
	rows     map[Key]*row
}

// service is the state of one service.
type service struct {
	gate    gate
	started bin
	// startedAt is when work was first started.
	startedAt time.Duration
	begun     bool
}

// row is the state of one workspace's work for one service.
type row struct {
	// arrived is the work that arrived, each part divided by the share that was admitted of it.
	arrived, ended bin
	// demand is what it asked for per second lately, average a moving average, and usual its value without the weight
	// of the time before the first decision.
	demand, average, usual float64
	limit                  gate
	// share is admitted now; previous was before the last decision. blind is set while jobs are rejected for the
	// expected wait, so that arrivals do not show the demand.
	share, previous Share
	blind           bool
}

// bin counts work by intervals.
type bin struct{ present, last float64 }

// shift begins the next interval.
func (bn *bin) shift() { bn.last, bn.present = bn.present, 0 }

// peak returns the work per second in the busier one of the last two intervals.
func (bn *bin) peak() float64 { return max(bn.present, bn.last) / Interval.Seconds() }

// rate returns the work per second over the last two intervals.
func (bn *bin) rate() float64 { return (bn.present + bn.last) / (2 * Interval.Seconds()) }

// New returns an allocator that admits all work.
func New() *Allocator { return &Allocator{services: map[string]*service{}, rows: map[Key]*row{}} }

// Arrive records work that was admitted.
func (al *Allocator) Arrive(now time.Duration, key Key, work float64) {
	rw := al.row(key)
	admitted := rw.share.Admitted
	if now-al.decidedAt < propagation {
		admitted = rw.previous.Admitted
	}
	rw.arrived.present += work / admitted
}

// Start records work that was started.
func (al *Allocator) Start(now time.Duration, key Key, work float64) {
	sv := al.service(key.Service)
	if !sv.begun {
		sv.begun, sv.startedAt = true, now
	}
	sv.started.present += work
}

// End records work whose runs ended.
func (al *Allocator) End(key Key, work float64) { al.row(key).ended.present += work }

func (al *Allocator) row(key Key) *row {
	rw, ok := al.rows[key]
	if !ok {
		open := Share{Key: key, Admitted: 1}
		rw = &row{share: open, previous: open}
		al.rows[key] = rw
	}
	return rw
}

func (al *Allocator) service(name string) *service {
	sv, ok := al.services[name]
	if !ok {
		sv = &service{}
		al.services[name] = sv
	}
	return sv
}

// Due reports whether the next decision is due.
func (al *Allocator) Due(now time.Duration) bool { return now-al.decidedAt >= Interval }

// Decide decides what is admitted until the next decision, from the work that waits and the weights of the workspaces.
// A weight of 0 counts as 1.
func (al *Allocator) Decide(now time.Duration, waiting map[Key]Waiting, weight func(workspace string) float64) {
	al.decidedAt = now
	al.weight += (1 - al.weight) * averaging
	for key := range waiting {
		al.row(key)
	}
	keys := map[string][]Key{}
	for key, rw := range al.rows {
		rw.measure(al.weight)
		keys[key.Service] = append(keys[key.Service], key)
	}
	for _, name := range slices.Sorted(maps.Keys(keys)) {
		al.decideService(now, name, keys[name], waiting, weight)
	}
	for _, sh := range al.Shares()[min(len(al.Shares()), MaxShares):] {
		rw := al.rows[sh.Key]
		rw.share, rw.blind = Share{Key: sh.Key, Admitted: 1}, false
	}
	for key, rw := range al.rows {
		rw.arrived.shift()
		rw.ended.shift()
		if _, waits := waiting[key]; !waits && rw.idle() {
			delete(al.rows, key)
		}
	}
	for _, sv := range al.services {
		sv.started.shift()
	}
}

// idle reports whether nothing is known of the row that the next decisions need.
func (rw *row) idle() bool {
	return rw.demand == 0 && rw.average < negligible && rw.share.Admitted == 1 && rw.previous.Admitted == 1 && rw.arrived == bin{} && rw.ended == bin{}
}

// negligible is the demand per second below which a workspace asks for nothing.
const negligible = 1e-6

// measure estimates the demand. weight is the weight of the moving average so far.
func (rw *row) measure(weight float64) {
	measured := rw.arrived.rate()
	if rw.blind {
		measured = max(measured, rw.demand)
	}
	rw.demand = max(measured, rw.demand*demandDecay)
	if rw.demand < negligible {
		rw.demand = 0
	}
	rw.average += (rw.demand - rw.average) * averaging
	rw.usual = rw.average / weight
}

// decideService divides the rate of one service.
func (al *Allocator) decideService(now time.Duration, name string, keys []Key, waiting map[Key]Waiting, weight func(string) float64) {
	slices.SortFunc(keys, func(a, b Key) int { return cmp.Compare(a.Workspace, b.Workspace) })
	sv := al.service(name)
	asks := make([]ask, len(keys))
	limits := make([]allowance, len(keys))
	var excess backlog
	var demand float64
	for at, key := range keys {
		rw, wt := al.rows[key], waiting[key]
		limits[at] = rw.limit.update(rw.ended, backlog{wt.Limited, wt.Limited, wt.LimitedLate}, rw.demand)
		asks[at] = ask{work: limits[at].bound(rw.demand), weight: cmp.Or(max(weight(key.Workspace), 0), 1)}
		excess.overdue += wt.Overdue - wt.Limited
		excess.late += wt.Late - wt.LimitedLate
		excess.inTime += wt.InTime - wt.LimitedInTime
		demand += asks[at].work
	}
	total := allowance{open: true}
	// Before anything has been started for an interval, the rate is unknown: a new planner starts nothing until it has
	// heard of all workers, and a service without workers waits for some.
	if sv.begun && now-sv.startedAt >= 2*Interval && (sv.started.rate() > 0 || sv.gate.closed) {
		total = sv.gate.update(sv.started, excess, demand)
	}
	levels := total.divide(asks)
	for at, key := range keys {
		sh := Share{
			Key: key, Wait: max(total.wait(excess.inTime), limits[at].wait(waiting[key].InTime)),
			Drain: max(total.drain, limits[at].drain),
		}
		al.rows[key].admit(sh, min(levels[at], limits[at].level()), waiting[key].Slack)
	}
}

// admit sets what is admitted by the level up to which the demand of the workspace is. What usually asks for less is
// admitted.
func (rw *row) admit(sh Share, level float64, slack time.Duration) {
	rw.previous = rw.share
	sh.Admitted = 1
	if asked := min(rw.demand, rw.usual); level < fullShare*asked {
		sh.Admitted = max(level/rw.demand, minShare)
	} else {
		sh.Wait, sh.Drain = 0, 0
	}
	rw.share = sh
	rw.blind = sh.Admitted < 1 && slack > 0 && sh.Wait > slack
}

// Shares returns the shares below 1, lowest first.
func (al *Allocator) Shares() []Share {
	var list []Share
	for _, rw := range al.rows {
		if rw.share.Admitted < 1 {
			list = append(list, rw.share)
		}
	}
	slices.SortFunc(list, func(a, b Share) int {
		return cmp.Or(cmp.Compare(a.Admitted, b.Admitted), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Workspace, b.Workspace))
	})
	return list
}
