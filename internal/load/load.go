// Package load is an open-loop load generator: it sends lookups and jobs to a running system at times that don't depend
// on the system's answers. It checks every answer and measures latencies from the planned time of each request.
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

// Options configure a load.
type Options struct {
	// LookupRate and JobRate are the mean rates per second.
	LookupRate, JobRate float64
	Span                time.Duration
	Seed                uint64
	Workspaces          []string
	// Service and Batch are the workloads of the lookups and jobs.
	Service, Batch string
	// RunTime is the run time of each job.
	RunTime time.Duration
	// MaxInFlight bounds the requests in flight; requests beyond it are counted but not sent.
	MaxInFlight int
	// JobWait is the maximum time to wait for a job's end.
	JobWait time.Duration
	// ExpectedAnswer returns the correct answer to a lookup; if nil, any answer is accepted.
	ExpectedAnswer func(body []byte) []byte
}

// arrival is a planned request.
type arrival struct {
	at  time.Duration
	act func(ld *Load, due time.Time)
}

// Load is a planned sequence of requests.
type Load struct {
	opts     Options
	clock    clockwork.Clock
	clients  []*client.Client
	arrivals []arrival
	slots    chan struct{}
	wg       sync.WaitGroup
	// sent and answered count requests, for progress displays.
	sent, answered atomic.Int64
	tally          *tally
}

// New plans a load with constant mean rates and exponentially distributed gaps, reproducible by the seed.
func New(clock clockwork.Clock, cls []*client.Client, op Options) (*Load, error) {
	if op.Span <= 0 || op.LookupRate < 0 || op.JobRate < 0 || op.LookupRate+op.JobRate == 0 {
		return nil, fault.New(fault.BadRequest, "duration and at least one of the rates of lookups and jobs must be above 0")
	}
	if len(op.Workspaces) == 0 {
		return nil, fault.New(fault.BadRequest, "at least one workspace is required")
	}
	ld := newLoad(clock, cls, op)
	rd := rand.New(rand.NewPCG(op.Seed, 0))
	ld.addStream(rd, op.LookupRate, func(n int) func(*Load, time.Time) {
		workspace := op.Workspaces[rd.IntN(len(op.Workspaces))]
		body := fmt.Appendf(nil, "lookup %d of seed %d", n, op.Seed)
		return func(ld *Load, due time.Time) { ld.lookup(workspace, op.Service, body, due) }
	})
	ld.addStream(rd, op.JobRate, func(n int) func(*Load, time.Time) {
		jb := trace.Job{
			ID: fmt.Sprintf("load-%d-%d", op.Seed, n), Workspace: op.Workspaces[rd.IntN(len(op.Workspaces))],
			Workload: op.Batch, Tasks: 1, RunTime: op.RunTime,
		}
		return func(ld *Load, due time.Time) { ld.job(jb, due) }
	})
	return ld, ld.finishPlan()
}

// FromTrace plans the jobs and lookups of a workload trace. It ignores the trace's workers, limits, cancellations and
// losses, which are up to the running system.
func FromTrace(clock clockwork.Clock, cls []*client.Client, op Options, tr *trace.Trace) (*Load, error) {
	ld := newLoad(clock, cls, op)
	for _, ev := range tr.Events() {
		switch {
		case ev.Job != nil:
			jb := *ev.Job
			ld.add(ev.At, func(ld *Load, due time.Time) { ld.job(jb, due) })
		case ev.Lookups != nil:
			ld.addLookups(ev.At, *ev.Lookups)
		}
	}
	return ld, ld.finishPlan()
}

func newLoad(clock clockwork.Clock, cls []*client.Client, op Options) *Load {
	return &Load{opts: op, clock: clock, clients: cls, slots: make(chan struct{}, max(1, op.MaxInFlight)), tally: newTally()}
}

// client returns the next client in turn, as a load balancer does.
func (ld *Load) client() *client.Client { return ld.clients[int(ld.sent.Load())%len(ld.clients)] }

func (ld *Load) add(at time.Duration, act func(*Load, time.Time)) {
	if at < ld.opts.Span {
		ld.arrivals = append(ld.arrivals, arrival{at, act})
	}
}

// addStream plans requests at a mean rate per second.
func (ld *Load) addStream(rd *rand.Rand, rate float64, newRequest func(n int) func(*Load, time.Time)) {
	if rate == 0 {
		return
	}
	at := time.Duration(0)
	for n := 0; at < ld.opts.Span; n++ {
		at += time.Duration(rd.ExpFloat64() / rate * float64(time.Second))
		ld.add(at, newRequest(n))
	}
}

// addLookups plans a lookup stream of a trace.
func (ld *Load) addLookups(from time.Duration, st trace.Lookups) {
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

// maxArrivals is the maximum number of requests of a load.
const maxArrivals = 5_000_000

func (ld *Load) finishPlan() error {
	if len(ld.arrivals) > maxArrivals {
		return fault.New(fault.BadRequest, "%d requests exceed the maximum of %d; use a lower rate or a shorter duration",
			len(ld.arrivals), maxArrivals)
	}
	slices.SortStableFunc(ld.arrivals, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	return nil
}

// Planned returns the number of planned requests.
func (ld *Load) Planned() int { return len(ld.arrivals) }

// Progress returns the number of requests sent and answered so far.
func (ld *Load) Progress() (sent, answered int64) { return ld.sent.Load(), ld.answered.Load() }

// Run sends every request at its planned time, waits for the answers and returns a report. When the context ends, it
// sends no further requests.
func (ld *Load) Run(ctx context.Context) Report {
	startedAt := ld.clock.Now()
	for _, ar := range ld.arrivals {
		due := startedAt.Add(ar.at)
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
	return ld.tally.report(ld.clock.Since(startedAt))
}

// send starts a request unless MaxInFlight requests are in flight.
func (ld *Load) send(ar arrival, due time.Time) {
	select {
	case ld.slots <- struct{}{}:
	default:
		ld.tally.addNotSent()
		return
	}
	ld.sent.Add(1)
	ld.wg.Go(func() {
		ar.act(ld, due)
		<-ld.slots
		ld.answered.Add(1)
	})
}
