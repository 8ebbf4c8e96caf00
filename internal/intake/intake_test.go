package intake_test

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"tackbeam.example/policy/work"

	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/intake"
	"tackbeam.example/tackbeam/internal/joblog"
	"tackbeam.example/tackbeam/internal/standin/memkv"
)

// TestUnsentBatch checks that callers get an error at once if the store is found to be unavailable while their
// batch is collected. The batch was not sent, so its jobs have surely not run; a caller must not wait for its
// timeout of 3 s and then be told that the outcome is unknown.
func TestUnsentBatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		clock := clockwork.NewRealClock() // the clock of the synctest bubble
		store := memkv.New(clock)
		var down atomic.Bool
		in := intake.New(clock, logr.Discard(), store.Client("n1"), intake.Options{
			Node: "n1", WriteRate: 10, NodeCount: func() int { return 1 }, StoreDown: down.Load,
		})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go in.Run(ctx)
		submit := func(id string) error {
			call, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			return in.Submit(call, &work.Job{ID: id})
		}
		is.NoErr(submit("first")) // the next batch is collected for 0.2 s
		answer := make(chan error)
		go func() { answer <- submit("second") }()
		time.Sleep(50 * time.Millisecond)
		store.SetFault(func(string, string) memkv.Fault { return memkv.RequestLost })
		down.Store(true)
		began := time.Now()
		err := <-answer
		is.True(fault.Is(err, fault.Unavailable))
		is.True(fault.From(err).RetryAfter > 0)
		is.True(time.Since(began) <= 200*time.Millisecond)
	})
}

// TestUnreadableJob guards against a job or a cancellation that makes its batch unreadable: the planner skips such a
// batch, and the other jobs in it, which were accepted, are never run.
func TestUnreadableJob(t *testing.T) {
	tests := map[string]func(ctx context.Context, in *intake.Intake) error{
		"id of a job": func(ctx context.Context, in *intake.Intake) error {
			return in.Submit(ctx, &work.Job{ID: "\xff\xfe"})
		},
		"list of steps that is too long": func(ctx context.Context, in *intake.Intake) error {
			return in.Submit(ctx, &work.Job{ID: "bad", Steps: []work.Step{{After: make([]int, 200_000)}}})
		},
		"id of a cancelled job": func(ctx context.Context, in *intake.Intake) error { return in.Cancel(ctx, "\xff\xfe", "") },
	}
	for name, send := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				clock := clockwork.NewRealClock() // the clock of the synctest bubble
				store := memkv.New(clock)
				client := store.Client("n1")
				in := intake.New(clock, logr.Discard(), client, intake.Options{
					Node: "n1", WriteRate: 10, NodeCount: func() int { return 1 }, StoreDown: func() bool { return false },
				})
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go in.Run(ctx)
				is.NoErr(in.Submit(ctx, &work.Job{ID: "first"})) // the next batch is collected for 0.2 s
				good := make(chan error)
				go func() { good <- in.Submit(ctx, &work.Job{ID: "good"}) }()
				began := time.Now()
				refused := send(ctx, in)
				took := time.Since(began)
				is.NoErr(<-good)
				is.True(fault.Is(refused, fault.BadRequest))
				is.Equal(took, time.Duration(0))
				scanner := client.Scan(clock, joblog.Batches)
				is.NoErr(scanner.Continue(ctx))
				items := scanner.Items()
				is.Equal(len(items), 2)
				bt, err := joblog.Decode[joblog.Batch](items[1].Value)
				is.NoErr(err) // the planner can read the batch
				is.Equal(len(bt.Jobs), 1)
				is.Equal(bt.Jobs[0].ID, "good")
			})
		})
	}
}

// TestLargeJobsAtOnce guards against jobs that are never sent because the next batch takes the place of one that is full.
func TestLargeJobsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const jobs, specSize = 150, 4000
		clock := clockwork.NewRealClock() // the clock of the synctest bubble
		in := intake.New(clock, logr.Discard(), memkv.New(clock).Client("n1"), intake.Options{
			Node: "n1", WriteRate: 400, NodeCount: func() int { return 7 }, StoreDown: func() bool { return false },
		})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go in.Run(ctx)
		answers := make(chan error, jobs)
		for n := range jobs {
			go func() {
				call, cancel := context.WithTimeout(ctx, 3*time.Second)
				defer cancel()
				answers <- in.Submit(call, &work.Job{ID: fmt.Sprint("j", n), Spec: strings.Repeat("x", specSize)})
			}()
		}
		for range jobs {
			is.NoErr(<-answers)
		}
	})
}
