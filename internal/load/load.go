// Package load sends lookups and jobs to a running system at times that do not
// depend on its answers, checks every answer, and measures from the moment at
// which each should have been sent.
package load

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"tackbeam.example/tackbeam/internal/client"
	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/trace"
)

// Options of a load.
type Options struct {
	// LookupRate and JobRate are the mean rates a second.
	LookupRate, JobRate float64
	Span                time.Duration
	Seed                uint64
	Workspaces          []string
	// Service and Batch are the workloads that lookups and jobs are of.
	Service, Batch string
	// RunTime is how long each job runs.
	RunTime time.Duration
	// MaxInFlight bounds the requests under way; what comes on top is not sent and counted.
	MaxInFlight int
	// JobWait is how long a job's end is waited for.
	JobWait time.Duration
	// ExpectedAnswer returns the answer that a lookup must get; nil takes any.
	ExpectedAnswer func(body []byte) []byte
}

// arrival is one request and when it is to be sent.
type arrival struct {
	at  time.Duration
	act func(ld *Load, due time.Time)
}

// Load is one run of a load.
type Load struct {
	opts     Options
	clock    clockwork.Clock
	clients  []*client.Client
	arrivals []arrival
	slots    chan struct{}
	wg       sync.WaitGroup
	// Sent and Answered are for showing how far the load has come.
	sent, answered atomic.Int64
	tally          *tally
}

// New plans a load at even mean rates, with gaps by chance from the seed.
func New(clock clockwork.Clock, cls []*client.Client, op Options) (*Load, error) {
	if op.Span <= 0 || op.LookupRate < 0 || op.JobRate < 0 || op.LookupRate+op.JobRate == 0 {
		return nil, fault.New(fault.BadRequest, "give a time and a rate of lookups or jobs above 0")
	}
	if len(op.Workspaces) == 0 {
		return nil, fault.New(fault.BadRequest, "name at least one workspace")
	}
	ld := newLoad(clock, cls, op)
	rd := rand.New(rand.NewPCG(op.Seed, 0))
	ld.stream(rd, op.LookupRate, func(n int) func(*Load, time.Time) {
		workspace := op.Workspaces[rd.IntN(len(op.Workspaces))]
		body := fmt.Appendf(nil, "lookup %d of seed %d", n, op.Seed)
		return func(ld *Load, due time.Time) { ld.lookup(workspace, op.Service, body, due) }
	})
	ld.stream(rd, op.JobRate, func(n int) func(*Load, time.Time) {
		jb := trace.Job{
			ID: fmt.Sprintf("load-%d-%d", op.Seed, n), Workspace: op.Workspaces[rd.IntN(len(op.Workspaces))],
			Workload: op.Batch, Tasks: 1, RunTime: op.RunTime,
		}
		return func(ld *Load, due time.Time) { ld.job(jb, due) }
	})
	return ld, ld.check()
}

// FromTrace plans the arrivals of a workload trace. Its workers, limits, cancels and
// losses are the site's own matter and are passed over.
func FromTrace(clock clockwork.Clock, cls []*client.Client, op Options, tr *trace.Trace) (*Load, error) {
	ld := newLoad(clock, cls, op)
	for _, ev := range tr.Events() {
		switch {
		case ev.Job != nil:
			jb := *ev.Job
			ld.add(ev.At, func(ld *Load, due time.Time) { ld.job(jb, due) })
		case ev.Lookups != nil:
			ld.lookups(ev.At, *ev.Lookups)
		}
	}
	return ld, ld.check()
}

func newLoad(clock clockwork.Clock, cls []*client.Client, op Options) *Load {
	return &Load{opts: op, clock: clock, clients: cls, slots: make(chan struct{}, max(1, op.MaxInFlight)), tally: newTally()}
}

// client returns the client whose turn it is, as a balancer would.
func (ld *Load) client() *client.Client { return ld.clients[int(ld.sent.Load())%len(ld.clients)] }

func (ld *Load) add(at time.Duration, act func(*Load, time.Time)) {
	if at < ld.opts.Span {
		ld.arrivals = append(ld.arrivals, arrival{at, act})
	}
}

// stream plans requests at a mean rate a second.
func (ld *Load) stream(rd *rand.Rand, rate float64, make func(n int) func(*Load, time.Time)) {
	if rate == 0 {
		return
	}
	at := time.Duration(0)
	for n := 0; at < ld.opts.Span; n++ {
		at += time.Duration(rd.ExpFloat64() / rate * float64(time.Second))
		ld.add(at, make(n))
	}
}

// lookups plans a stream of lookups of a trace.
func (ld *Load) lookups(from time.Duration, st trace.Lookups) {
	rd := rand.New(rand.NewPCG(st.Seed, 1))
	at := from
	for n := 0; ; n++ {
		at += time.Duration(rd.ExpFloat64() / st.Rate * float64(time.Second))
		if at >= from+st.Duration {
			return
		}
		body := fmt.Appendf(nil, "lookup %d of %s from seed %d", n, st.Workspace, st.Seed)
		ld.add(at, func(ld *Load, due time.Time) { ld.lookup(st.Workspace, ld.opts.Service, body, due) })
	}
}

// maxArrivals bounds a load in number.
const maxArrivals = 5_000_000

func (ld *Load) check() error {
	if len(ld.arrivals) > maxArrivals {
		return fault.New(fault.BadRequest, "%d requests are over %d; give a lower rate or a shorter time",
			len(ld.arrivals), maxArrivals)
	}
	slices.SortStableFunc(ld.arrivals, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	return nil
}

// Planned returns the number of requests.
func (ld *Load) Planned() int { return len(ld.arrivals) }

// Progress returns how many requests were sent and answered so far.
func (ld *Load) Progress() (sent, answered int64) { return ld.sent.Load(), ld.answered.Load() }

// Run sends every request at its time, waits for the answers, and reports. When the
// context ends, nothing more is sent.
func (ld *Load) Run(ctx context.Context) Report {
	began := ld.clock.Now()
	for _, ar := range ld.arrivals {
		due := began.Add(ar.at)
		if wait := due.Sub(ld.clock.Now()); wait > 0 {
			select {
			case <-ctx.Done():
			case <-ld.clock.After(wait):
			}
		}
		if ctx.Err() != nil {
			break
		}
		ld.send(ar, due)
	}
	ld.wg.Wait()
	return ld.tally.report(ld.clock.Since(began))
}

// send starts one request, unless too many are under way.
func (ld *Load) send(ar arrival, due time.Time) {
	select {
	case ld.slots <- struct{}{}:
	default:
		ld.tally.unsent()
		return
	}
	ld.sent.Add(1)
	ld.wg.Go(func() {
		ar.act(ld, due)
		<-ld.slots
		ld.answered.Add(1)
	})
}
