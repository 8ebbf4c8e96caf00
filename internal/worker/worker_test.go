package worker_test

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"tackbeam.example/policy/size"
	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/standin/standinworker"
	"tackbeam.example/tackbeam/internal/worker"
	"tackbeam.example/tackbeam/internal/workermsg"
)

// attach establishes a link with an epoch, and returns it with a channel of the reported ends.
func attach(t *testing.T, wk *standinworker.Worker, epoch uint64) (*worker.Link, chan workermsg.Ended, error) {
	t.Helper()
	ends := make(chan workermsg.Ended, 16)
	ln, err := worker.New(context.Background(), clockwork.NewRealClock(), worker.Options{
		Name: "w1", Addr: wk.Addr(), Owner: "n1", Epoch: epoch, Dial: worker.Dial,
	}, worker.Events{
		Ended: func(en workermsg.Ended) { ends <- en }, Answered: func(workermsg.Answer) {},
		Heartbeat: func(workermsg.Heartbeat) {}, Leaving: func() {}, Lost: func(error) {},
	})
	if err == nil {
		t.Cleanup(ln.Close)
	}
	return ln, ends, err
}

func start(t *testing.T) *standinworker.Worker {
	t.Helper()
	return startNamed(t, "w1")
}

func startNamed(t *testing.T, name string) *standinworker.Worker {
	t.Helper()
	wk, err := standinworker.New(standinworker.Options{Name: name, Beat: 50 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = wk.Close() })
	return wk
}

// TestOrders sends each kind of order to a worker. A repeated start must not start the task twice, and a fenced task
// must not start later.
func TestOrders(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	ln, ends, err := attach(t, start(t), 1)
	is.NoErr(err)
	long := workermsg.Start{Task: "j.1.0", Size: size.New(1000, 64, 0), Payload: []byte(`{"run":600}`)}
	rp, err := ln.Start(ctx, long)
	is.NoErr(err)
	is.Equal(rp.State, workermsg.Running)
	rp, err = ln.Start(ctx, long) // a repeated start has no effect
	is.NoErr(err)
	is.Equal(rp.State, workermsg.Running)
	time.Sleep(10 * time.Millisecond)
	rp, err = ln.Order(ctx, worker.Checkpoint, "j.1.0")
	is.NoErr(err)
	is.True(rp.Saved > 0) // the checkpoint has the work so far
	_, err = ln.Throttle(ctx, "j.1.0", 50)
	is.NoErr(err)
	rp, err = ln.Order(ctx, worker.Stop, "j.1.0")
	is.NoErr(err)
	is.Equal(rp.State, workermsg.Stopped)
	is.True(rp.Started)
	is.Equal((<-ends).State, workermsg.Stopped) // the end is reported as well
	rp, err = ln.Order(ctx, worker.Fence, "j.9.0")
	is.NoErr(err)
	is.Equal(rp.State, workermsg.NotStarted)
	rp, err = ln.Start(ctx, workermsg.Start{Task: "j.9.0"})
	is.NoErr(err)
	is.Equal(rp.Refusal, workermsg.TaskFenced) // a fenced task cannot start later
}

// TestEpochs checks that a worker accepts a newer owner, whose inventory has the running task, and refuses starts and
// attachments of older ones.
func TestEpochs(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	wk := start(t)
	old, _, err := attach(t, wk, 3)
	is.NoErr(err)
	_, err = old.Start(ctx, workermsg.Start{Task: "j.1.0", Size: size.New(1000, 64, 0), Payload: []byte(`{"run":600}`)})
	is.NoErr(err)
	newer, _, err := attach(t, wk, 4)
	is.NoErr(err)
	is.Equal(len(newer.Hello().Tasks), 1) // the inventory has the running task
	rp, err := old.Start(ctx, workermsg.Start{Task: "j.2.0"})
	is.NoErr(err)
	is.Equal(rp.Refusal, workermsg.StaleEpoch)
	_, _, err = attach(t, wk, 3)
	is.True(fault.Is(err, fault.Conflict))
}

// TestOtherWorker checks that attaching fails if another worker answers at the address, because the list of VMs is
// wrong. Otherwise the capacity of that worker would be counted twice.
func TestOtherWorker(t *testing.T) {
	_, _, err := attach(t, startNamed(t, "w2"), 1)
	is.New(t).True(fault.Is(err, fault.Conflict))
}
