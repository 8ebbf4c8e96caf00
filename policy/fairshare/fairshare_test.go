package fairshare_test

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"tackbeam.example/policy/fairshare"
)

// server is a service that starts the work of workspaces in order of arrival, late work last, at a rate. It admits what
// the allocator lets it.
type server struct {
	now       time.Duration
	allocator *fairshare.Allocator
	rate      float64
	// demand is what each workspace submits per second, and limits what it may start per second, if it has one.
	demand, limits map[string]float64
	queue          []item
	admitted       map[string]float64
	// shares are the shares in force, by workspace.
	shares map[string]fairshare.Share
}

type item struct {
	workspace string
	work      float64
	at        time.Duration
}

const (
	testSlack = 600 * time.Millisecond
	testStep  = 10 * time.Millisecond
)

func newServer(rate float64) *server {
	return &server{
		allocator: fairshare.New(), rate: rate, demand: map[string]float64{}, limits: map[string]float64{},
		admitted: map[string]float64{}, shares: map[string]fairshare.Share{},
	}
}

func key(workspace string) fairshare.Key { return fairshare.Key{Service: "svc", Workspace: workspace} }

// run serves for a time and returns the lowest share of each decision.
func (sv *server) run(span time.Duration) (lowest []float64) {
	for end := sv.now + span; sv.now < end; {
		sv.now += testStep
		for name, demand := range sv.demand {
			work := demand * testStep.Seconds() * sv.share(name)
			if work > 0 {
				sv.queue = append(sv.queue, item{name, work, sv.now})
				sv.admitted[name] += work
				sv.allocator.Arrive(sv.now, key(name), work)
			}
		}
		sv.serve()
		if sv.allocator.Due(sv.now) {
			lowest = append(lowest, sv.decide())
		}
	}
	return lowest
}

func (sv *server) share(name string) float64 {
	if sh, ok := sv.shares[name]; ok {
		return sh.Admitted
	}
	return 1
}

// late returns 1 for work that cannot be in time, which is started last, and 0 for other work.
func (sv *server) late(it item) int {
	if sv.now-it.at > testSlack {
		return 1
	}
	return 0
}

// serve starts what the rate and the limits allow in a step.
func (sv *server) serve() {
	left := sv.rate * testStep.Seconds()
	may := map[string]float64{}
	for name, limit := range sv.limits {
		may[name] = limit * testStep.Seconds()
	}
	slices.SortStableFunc(sv.queue, func(a, b item) int { return cmp.Compare(sv.late(a), sv.late(b)) })
	kept := sv.queue[:0]
	for _, it := range sv.queue {
		part := min(it.work, left)
		if limit, ok := may[it.workspace]; ok {
			part = min(part, limit)
			may[it.workspace] -= part
		}
		left -= part
		if part > 0 {
			sv.allocator.Start(sv.now, key(it.workspace), part)
			sv.allocator.End(key(it.workspace), part)
		}
		if it.work -= part; it.work > 1e-12 {
			kept = append(kept, it)
		}
	}
	sv.queue = kept
}

// decide has the allocator decide and returns the lowest share.
func (sv *server) decide() float64 {
	waiting := map[fairshare.Key]fairshare.Waiting{}
	for _, it := range sv.queue {
		wt := waiting[key(it.workspace)]
		wt.Slack = testSlack
		_, limited := sv.limits[it.workspace]
		part := 0.0
		if limited {
			part = it.work
		}
		switch waited := sv.now - it.at; {
		case waited > testSlack+fairshare.LateAfter:
			wt.Late += it.work
			wt.LimitedLate += part
		case waited > testSlack/2:
			wt.Overdue += it.work
			wt.Limited += part
		}
		if sv.now-it.at <= testSlack {
			wt.InTime += it.work
		}
		waiting[key(it.workspace)] = wt
	}
	sv.allocator.Decide(sv.now, waiting, func(string) float64 { return 1 })
	clear(sv.shares)
	lowest := 1.0
	for _, sh := range sv.allocator.Shares() {
		sv.shares[sh.Workspace] = sh
		lowest = min(lowest, sh.Admitted)
	}
	return lowest
}

// setDemand divides a load among three workspaces, of which the first submits a twentieth.
func (sv *server) setDemand(load float64) {
	sv.demand = map[string]float64{"small": 0.05 * load, "middle": 0.35 * load, "large": 0.6 * load}
}

// TestStability guards against a decision that alternates between admitting nothing and everything while the load is
// steady, and against one that still rejects work 2 s after the load has fallen.
func TestStability(t *testing.T) {
	for _, load := range []float64{0.7, 1, 1.5, 2.5, 5} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			is := is.New(t)
			sv := newServer(1)
			sv.setDemand(load)
			const settling, steady = 6 * time.Second, 14 * time.Second
			begin := sv.run(settling)
			clear(sv.admitted)
			shares := sv.run(steady)
			total := sv.admitted["small"] + sv.admitted["middle"] + sv.admitted["large"]
			t.Logf("lowest shares %.2f, then %.2f; admitted %.2f per second, %v", begin, shares, total/steady.Seconds(), sv.admitted)
			if load <= 1 {
				for _, share := range append(begin, shares...) {
					is.Equal(share, 1.0)
				}
				return
			}
			for at := range shares[1:] {
				is.True(shares[at] < 1)               // it stays limited
				is.True(shares[at+1] <= 2*shares[at]) // and does not jump up
				is.True(shares[at+1] >= shares[at]/2) // or down
			}
			is.True(total/steady.Seconds() > 0.8) // it uses the service
			is.True(total/steady.Seconds() < 1.1) // and no more
			sv.setDemand(0.7)
			const recovery = 2 * time.Second
			t.Logf("lowest shares after the load has fallen: %.2f", sv.run(recovery))
			for _, share := range sv.run(steady) {
				is.Equal(share, 1.0)
			}
		})
	}
}

// TestSmallWorkspaces guards against the work of small workspaces being rejected because of one that submits 7.5 times
// its usual work.
func TestSmallWorkspaces(t *testing.T) {
	is := is.New(t)
	sv := newServer(1)
	sv.demand = map[string]float64{"small": 0.05, "middle": 0.2, "hot": 0.3}
	sv.run(10 * time.Second)
	sv.demand["hot"] *= 7.5
	for range 13 {
		sv.run(fairshare.Interval)
		is.Equal(sv.share("small"), 1.0)
		is.Equal(sv.share("middle"), 1.0)
	}
	t.Logf("share of the hot workspace %.2f", sv.share("hot"))
	is.True(sv.share("hot") < 0.5)
}

// TestLimitedWorkspace guards against accepting the work of a workspace at its limit, which waits until it has no value
// whatever capacity is free, and against rejecting the work of others for it.
func TestLimitedWorkspace(t *testing.T) {
	is := is.New(t)
	sv := newServer(1)
	sv.demand = map[string]float64{"limited": 0.4, "free": 0.5}
	sv.limits["limited"] = 0.1
	sv.run(10 * time.Second)
	clear(sv.admitted)
	for range 20 {
		sv.run(fairshare.Interval)
		is.Equal(sv.share("free"), 1.0)
		is.True(sv.share("limited") < 0.8)
	}
	t.Logf("admitted %v", sv.admitted)
	is.True(sv.admitted["limited"] < 2)
	delete(sv.limits, "limited")
	sv.run(3 * time.Second)
	is.Equal(sv.share("limited"), 1.0)
}

// TestStuckWork guards against rejecting work because of a step that fits on no worker, and while a new planner does
// not start anything yet.
func TestStuckWork(t *testing.T) {
	tests := map[string]struct {
		started, stuck float64 // per second, and in all
	}{
		"few workers can run one step": {started: 0.5, stuck: 0.05},
		"nothing is started yet":       {stuck: 4},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			al := fairshare.New()
			for now := fairshare.Interval; now < 10*time.Second; now += fairshare.Interval {
				work := tt.started * fairshare.Interval.Seconds()
				al.Arrive(now, key("a"), work)
				if work > 0 {
					al.Start(now, key("a"), work)
				}
				stuck := fairshare.Waiting{Overdue: tt.stuck, Slack: testSlack}
				al.Decide(now, map[fairshare.Key]fairshare.Waiting{key("a"): stuck}, func(string) float64 { return 0 })
				is.Equal(len(al.Shares()), 0)
			}
		})
	}
}

func ExampleAllocator() {
	al := fairshare.New()
	small, large := fairshare.Key{Service: "svc", Workspace: "small"}, fairshare.Key{Service: "svc", Workspace: "large"}
	for now := fairshare.Interval; now <= 4*fairshare.Interval; now += fairshare.Interval {
		al.Arrive(now, small, 0.05)
		al.Arrive(now, large, 1.2)
		al.Start(now, large, 0.5) // a service that starts 1 per second
		al.Decide(now, map[fairshare.Key]fairshare.Waiting{large: {Overdue: 0.4, InTime: 0.5}}, func(string) float64 { return 1 })
	}
	for _, sh := range al.Shares() {
		fmt.Printf("%s %.2f, wait %s\n", sh.Workspace, sh.Admitted, sh.Wait)
	}
	// Output:
	// large 0.12, wait 500ms
}
