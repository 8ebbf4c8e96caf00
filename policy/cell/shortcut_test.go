package cell_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/incarnation"
	"tackbeam.example/policy/size"
	"tackbeam.example/policy/work"
)

// decisions plays a load and returns what the cells decide, one text for each output.
func decisions(seed uint64, shortcuts bool, span time.Duration, load func(*waitingLoad, time.Duration)) []string {
	wl := newWaitingLoad(seed, 60, 400)
	var list []string
	wl.onCell = func(cl *cell.Cell) {
		if !shortcuts {
			cl.DisableShortcuts()
		}
	}
	wl.onOutput = func(out cell.Output) {
		var records []string
		for _, rec := range out.Records {
			slices.SortFunc(rec.Held, func(a, b cell.Run) int { return byText(a, b) })
			records = append(records, describe(rec))
		}
		slices.Sort(records) // the order of records about different tasks at one time is not defined
		slices.SortFunc(out.Stops, func(a, b cell.Stop) int { return byText(a, b) })
		list = append(list, fmt.Sprintf("%v: starts %+v stops %+v requests %+v reports %v records %v",
			wl.now, out.Starts, out.Stops, out.AdviceRequests, out.ReportRequests, records))
	}
	wl.replacePlanner()
	for wl.now < span {
		load(wl, wl.now)
		wl.advance(timeStep, true)
	}
	return list
}

// describe returns a record as text, with what it points to.
func describe(rec cell.Record) string {
	text := fmt.Sprintf("%+v", rec.Held)
	if rec.Task != nil {
		text += fmt.Sprintf(" task %+v", *rec.Task)
	}
	if rec.Started != nil {
		text += fmt.Sprintf(" started %+v", *rec.Started)
	}
	rec.Task, rec.Started, rec.Held = nil, nil, nil
	return fmt.Sprintf("%+v %s", rec, text)
}

func byText[E any](a, b E) int { return slices.Compare([]byte(fmt.Sprint(a)), []byte(fmt.Sprint(b))) }

// TestShortcutsChangeNothing plays the same load with and without what plans remember from earlier ones, and compares
// all orders, records and advice requests. A step that stayed skipped although it could start would start later, and
// one ranked by an outdated estimate would be served out of turn.
func TestShortcutsChangeNothing(t *testing.T) {
	if testing.Short() {
		t.Skip("plays each load twice")
	}
	none := func(*waitingLoad, time.Duration) {}
	at := func(when time.Duration, call func(wl *waitingLoad)) func(*waitingLoad, time.Duration) {
		return func(wl *waitingLoad, now time.Duration) {
			if now == when {
				call(wl)
			}
		}
	}
	const middle = 6 * time.Second
	tests := map[string]func(*waitingLoad, time.Duration){
		"steady load":          none,
		"new planner":          at(middle, func(wl *waitingLoad) { wl.replacePlanner() }),
		"planner gone for 1 s": at(middle, func(wl *waitingLoad) { wl.noPlanner = true; wl.schedule(time.Second, wl.replacePlanner) }),
		"workers lost": at(middle, func(wl *waitingLoad) {
			for _, id := range wl.workers[10:20] {
				wl.loseWorker(id, 3*time.Second)
			}
		}),
		"workers drain": at(middle, func(wl *waitingLoad) {
			for _, id := range wl.workers[:5] {
				wl.cell.PutWorker(wl.now, cell.Worker{ID: id, Service: "svc", Capacity: wl.capacityOf(id), Draining: true, Remaining: time.Second})
			}
		}),
		"workers change": func(wl *waitingLoad, now time.Duration) {
			if now%time.Second != 0 {
				return
			}
			for n, id := range wl.workers[:12] {
				grown := wl.capacityOf(id).Add(size.New(int64(8000*((n+int(now/time.Second))%3)), 0, 0))
				wl.cell.PutWorker(now, cell.Worker{ID: id, Service: "svc", Rack: "1", Capacity: grown, Labels: []string{fmt.Sprint(now / (2 * time.Second) % 2)}})
			}
		},
		"queues change": at(middle, func(wl *waitingLoad) {
			wl.cell.UpdateQueues(func(name string) (work.Queue, bool) {
				for _, sm := range wl.streams {
					if qu := sm.queue; qu.Name == name {
						qu.Version, qu.Stretch, qu.Advised = 2, qu.Stretch+0.5, qu.Advised && name != "long"
						qu.Priority = (qu.Priority + 1) % 3
						return qu, true
					}
				}
				return work.Queue{}, false
			})
		}),
		"queues change service": func(wl *waitingLoad, now time.Duration) {
			if now == 0 {
				for n := 0; n < len(wl.workers); n += 3 {
					id := wl.workers[n]
					wl.cell.PutWorker(now, cell.Worker{ID: id, Service: "svc2", Capacity: wl.capacityOf(id)})
				}
			}
			if now%(2*time.Second) == 0 {
				version := uint64(1 + now/(2*time.Second))
				wl.cell.UpdateQueues(func(name string) (work.Queue, bool) {
					for n, sm := range wl.streams {
						if qu := sm.queue; qu.Name == name {
							qu.Version, qu.Service = version, []string{"svc", "svc2"}[(n+int(version))%2]
							return qu, true
						}
					}
					return work.Queue{}, false
				})
			}
		},
		"starts answered late at times": func(wl *waitingLoad, now time.Duration) {
			if now == 0 {
				wl.initialWindow = 100
				wl.replacePlanner()
			}
			wl.startDelay = 10 * time.Millisecond * time.Duration(1+20*(int(now/(500*time.Millisecond))%2))
		},
		"workspaces change": func(wl *waitingLoad, now time.Duration) {
			if now%(2*time.Second) == 0 {
				share := int64(1 + now/(2*time.Second)%4)
				wl.cell.UpdateWorkspaces(func(name string) (work.Workspace, bool) {
					return work.Workspace{Name: name, Version: uint64(now / time.Second), Limit: size.New(share*otherCores/24, 0, 0)}, true
				})
			}
		},
		"starts refused": func(wl *waitingLoad, now time.Duration) {
			wl.refuse = func(sr cell.Start) (cell.Refusal, bool) {
				reasons := []cell.Refusal{cell.RefusedTicket, cell.RefusedNoCapacity, cell.RefusedInvalid, cell.RefusedLate}
				return reasons[sr.Task.Index%len(reasons)], (len(sr.Task.Job)+sr.Run+int(now/timeStep))%7 == 0
			}
		},
		"advisor fails": func(wl *waitingLoad, now time.Duration) {
			wl.adviceFails = now > middle && now < middle+2*time.Second
		},
		"jobs cancelled": func(wl *waitingLoad, now time.Duration) {
			if now%(100*time.Millisecond) == 0 && len(wl.arrivals) > 100 {
				wl.cell.Cancel(now, wl.arrivals[len(wl.arrivals)-50].spec.ID, "")
			}
		},
		"work of all kinds": mixedJobs,
	}
	for name, load := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			const span = 12 * time.Second
			want := decisions(5, false, span, load)
			got := decisions(5, true, span, load)
			for n := range min(len(want), len(got)) {
				if got[n] != want[n] {
					t.Fatalf("output %d\n got %s\nwant %s", n, got[n], want[n])
				}
			}
			is.Equal(len(got), len(want))
			is.True(len(got) > int(span/timeStep)/2) // most plans decide something
		})
	}
}

// mixedJobs adds jobs of the kinds that the streams lack.
func mixedJobs(wl *waitingLoad, now time.Duration) {
	if now%(200*time.Millisecond) != 0 {
		return
	}
	defs := []work.Step{
		{Count: 4, PerWorker: 1, Need: size.New(16000, 1000, 0)},
		{Count: 3, Gang: true, SameRack: true, Need: size.New(20000, 1000, 0)},
		{Count: 6, BestEffort: true, Need: size.New(4000, 1000, 0)},
		{Count: 5, Rack: "2", Need: size.New(9000, 1000, 0)},
		{Count: 2, LongRunning: true, Need: size.New(6000, 1000, 0)},
	}
	n := int(now / (200 * time.Millisecond))
	def := defs[n%len(defs)]
	def.Estimate = time.Second
	qu := wl.streams[n/len(defs)%len(wl.streams)].queue
	sj := &simJob{
		stream: n / len(defs) % len(wl.streams), arrivedAt: now, runTime: time.Second, remaining: 2 * def.Count,
		spec: &work.Job{ID: fmt.Sprintf("m%04d", n), Queue: qu, Steps: []work.Step{def, def}},
	}
	sj.spec.Steps[1].After = []int{0}
	wl.jobs[sj.spec.ID] = sj
	wl.begun[sj.spec.ID] = math.MinInt // they are not counted
	wl.arrivals = append(wl.arrivals, sj)
	wl.cell.Add(now, sj.spec, false)
}

// loseWorker makes a worker unreachable until its lease has expired, and lets it answer again some time later.
func (wl *waitingLoad) loseWorker(id incarnation.ID, lease time.Duration) {
	wl.lostWorkers[id] = true
	wl.cell.Unreachable(wl.now, id, wl.now+lease)
	wl.schedule(lease, func() {
		for name, rn := range wl.runs {
			if rn.worker == id {
				delete(wl.runs, name)
			}
		}
		wl.cell.LeaseExpired(wl.now, id)
	})
	wl.schedule(lease+time.Second, func() {
		delete(wl.lostWorkers, id)
		wl.report(id, nil)
	})
}

// TestTicketsCountForLonger has a step find no capacity while starts are answered so late that its ticket for a free
// worker would expire before the start arrives. Once starts are answered sooner, the ticket is valid long enough, and the
// step must not stay skipped.
func TestTicketsCountForLonger(t *testing.T) {
	is := is.New(t)
	cl := cell.New(cell.Options{Retention: time.Minute, FirstRun: 1, InitialWindow: 1000})
	cl.PutWorker(0, cell.Worker{ID: "full", Service: "svc", Capacity: size.New(64000, 64000, 0), Labels: []string{"filled"}})
	cl.PutWorker(0, cell.Worker{ID: "free", Service: "svc", Capacity: size.New(64000, 64000, 0)})
	now := time.Second
	cl.Report(now, "full", now, nil, nil)
	cl.Report(now, "free", now, nil, nil)
	cl.SetCommitted(cl.RecordCount())
	cl.FinishRecovery()
	plan := func() cell.Output {
		cl.Plan(now)
		return cl.TakeOutput()
	}
	submitStep(cl, "filler", work.Step{Count: 64, Label: "filled", Need: size.New(1000, 1000, 0), Estimate: time.Hour}, plainQueue("f", 1, 2))
	starts := plan().Starts
	is.Equal(len(starts), 64)
	cl.Started(now, starts[0]) // the next one takes longer
	now += 200 * time.Millisecond
	cl.Started(now, starts[1])

	submitStep(cl, "one", work.Step{Count: 1, Need: size.New(1000, 1000, 0), Estimate: time.Hour}, work.Queue{Name: "q", Service: "svc", Attempts: 3, Advised: true, Stretch: 2})
	requests := plan().AdviceRequests
	is.Equal(len(requests), 1)
	cl.AddAdvice(now, requests[0], []cell.Ticket{{Worker: "full", Text: "t"}}, time.Second)
	cl.AddAdvice(now, requests[0], []cell.Ticket{{Worker: "free", Text: "t"}}, 250*time.Millisecond)
	now += time.Millisecond
	is.Equal(len(plan().Starts), 0)

	for _, sr := range starts[2:] {
		sr.DecidedAt = now // these are answered at once
		cl.Started(now, sr)
	}
	now += time.Millisecond
	starts = plan().Starts
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Worker, incarnation.ID("free"))
}

// TestQueueNeedsNoMoreAdvice has the advisor refuse the only worker, and then changes the queue so that its steps need
// no advice. The step must not stay off the worker because of the verdict that it has.
func TestQueueNeedsNoMoreAdvice(t *testing.T) {
	is := is.New(t)
	cl := newTestCell(1)
	qu := work.Queue{Name: "q", Service: "svc", Attempts: 3, Advised: true, Priority: 1, Stretch: 2}
	submitStep(cl, "one", work.Step{Count: 1, Need: size.New(1000, 100, 0), Estimate: time.Second}, qu)
	cl.Plan(0)
	requests := cl.TakeOutput().AdviceRequests
	is.Equal(len(requests), 1)
	cl.AddAdvice(0, requests[0], nil, time.Second)
	cl.Plan(time.Millisecond)
	is.Equal(len(cl.TakeOutput().Starts), 0)

	qu.Version, qu.Advised = 1, false
	cl.UpdateQueues(func(string) (work.Queue, bool) { return qu, true })
	cl.Plan(2 * time.Millisecond)
	is.Equal(len(cl.TakeOutput().Starts), 1)
}
