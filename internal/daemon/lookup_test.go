package daemon_test

import (
	"fmt"
	"sort"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"tackbeam.example/tackbeam/internal/api"
	"tackbeam.example/tackbeam/internal/client"
	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/meter"
	"tackbeam.example/tackbeam/internal/owner"
	"tackbeam.example/tackbeam/internal/standin/standinworker"
)

// ask sends one lookup and reports whether the answer is whole and its own.
func ask(cl *client.Client, body string) (own bool, err error) {
	rsp, err := cl.Do(client.Request{
		Method: "POST", Path: "/v1/lookups/lookup", Body: []byte(body),
		Headers: map[string]string{api.HeaderWorkspace: "brno"},
	})
	return string(rsp.Body) == string(standinworker.Reply([]byte(body))), err
}

func counters(t *testing.T, cl *client.Client) map[string]int64 {
	t.Helper()
	st, err := client.JSON[api.Stats](cl, client.Request{Method: "GET", Path: api.PathStats})
	must(t, err)
	return st.Report.Counters
}

// TestAnswers lets the workers answer late, out of order, in part, twice, and to
// nobody, side by side. Only whole answers to the caller's own request arrive.
func TestAnswers(t *testing.T) {
	cases := map[string]struct {
		faults  standinworker.Faults
		answers bool
		counter string
	}{
		"in order":         {standinworker.Faults{}, true, ""},
		"overtaking":       {standinworker.Faults{LookupDelay: 20 * time.Millisecond}, true, ""},
		"foreign answers":  {standinworker.Faults{Foreign: true}, true, owner.CounterLate},
		"twice":            {standinworker.Faults{Twice: true}, true, owner.CounterLate},
		"cut short":        {standinworker.Faults{CutShort: true}, false, owner.CounterTruncated},
		"all of it":        {standinworker.Faults{CutShort: true, Twice: true, Foreign: true, LookupDelay: time.Millisecond}, false, owner.CounterTruncated},
		"fails everything": {standinworker.Faults{FailAll: true}, false, "errors_" + string(fault.Endpoint)},
	}
	bd := newBed(t, 4, "n1", "n2")
	setCells(t, bd.api("n1"), "workspace/brno weight 1", "workload/lookup class service")
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for _, wk := range bd.workers.Workers() {
				wk.SetFaults(tc.faults)
			}
			before := counters(t, bd.api("n1"))[tc.counter] + counters(t, bd.api("n2"))[tc.counter]
			var wg sync.WaitGroup
			var wrong, answered atomic.Int64
			for i := range 40 {
				wg.Add(1)
				go func() {
					defer wg.Done()
					own, err := ask(bd.api([]string{"n1", "n2"}[i%2]), fmt.Sprintf("%s %d", name, i))
					if err == nil {
						answered.Add(1)
					}
					if err == nil && !own {
						wrong.Add(1)
					}
				}()
			}
			wg.Wait()
			is.Equal(wrong.Load(), int64(0)) // no wrong answer ever arrives
			is.Equal(answered.Load() == 40, tc.answers)
			is.Equal(answered.Load() == 0, !tc.answers)
			after := counters(t, bd.api("n1"))[tc.counter] + counters(t, bd.api("n2"))[tc.counter]
			is.Equal(after > before, tc.counter != "") // what was dropped is counted
		})
	}
}

// TestLateAnswer gives up on a lookup before its answer. The slot stays taken
// until the worker has answered, and the late answer goes to nobody.
func TestLateAnswer(t *testing.T) {
	is := is.New(t)
	bd := newBed(t, 1, "n1")
	setCells(t, bd.api("n1"), "workspace/brno weight 1", "workload/lookup class service", "workload/lookup repeatable yes")
	bd.workers.Workers()[0].SetFaults(standinworker.Faults{LookupDelay: 600 * time.Millisecond})
	short := client.New(200*time.Millisecond, bd.nodes["n1"].HTTPAddr())
	late := 0
	for range 4 { // every second one is slow
		_, err := ask(short, "brake pad")
		if fault.Is(err, fault.Timeout) {
			late++
		}
	}
	is.Equal(late, 2)
	is.True(bd.nodes["n1"].FreeSlots() < 8) // the worker is still at work
	bd.eventually("the late answers came and were dropped", func() bool {
		return bd.nodes["n1"].FreeSlots() == 8
	})
	is.Equal(counters(t, bd.api("n1"))[owner.CounterLate], int64(2))
}

// TestFullIsSaidAtOnce sends more lookups than there are slots and room in the
// deadline: the rest is refused as not run, with a hint when to come back.
func TestFullIsSaidAtOnce(t *testing.T) {
	is := is.New(t)
	bd := newBed(t, 1, "n1")
	setCells(t, bd.api("n1"), "workspace/brno weight 1", "workload/lookup class service")
	bd.workers.Workers()[0].SetFaults(standinworker.Faults{LookupDelay: 300 * time.Millisecond})
	cl := client.New(400*time.Millisecond, bd.nodes["n1"].HTTPAddr())
	for range 8 {
		_, err := ask(client.New(5*time.Second, bd.nodes["n1"].HTTPAddr()), "warm up")
		is.NoErr(err)
	}
	var wg sync.WaitGroup
	var full, other atomic.Int64
	for i := range 100 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			_, err := ask(cl, fmt.Sprint("crowd ", i))
			switch {
			case fault.Is(err, fault.Full) && !fault.From(err).Begun:
				full.Add(1)
			case err != nil && !fault.Is(err, fault.Timeout):
				other.Add(1)
			}
		}()
	}
	wg.Wait()
	is.True(full.Load() > 0)
	is.Equal(other.Load(), int64(0)) // answered, refused or late: nothing else
}

// TestHistograms shows the latencies by class and workspace.
func TestHistograms(t *testing.T) {
	is := is.New(t)
	bd := newBed(t, 1, "n1")
	setCells(t, bd.api("n1"), "workspace/brno weight 1", "workload/lookup class service")
	for range 5 {
		_, err := ask(bd.api("n1"), "x")
		is.NoErr(err)
	}
	st, err := client.JSON[api.Stats](bd.api("n1"), client.Request{Method: "GET", Path: api.PathStats})
	is.NoErr(err)
	var got meter.Series
	for _, sr := range st.Report.Series {
		if sr.Measure == "latency" && sr.Class == "service" && sr.Workspace == "brno" {
			got = sr
		}
	}
	is.Equal(got.Count, int64(5))
	is.True(got.P50 > 0 && got.P50 <= got.Max)
}

// TestLinkBreaks cuts the links to the workers by turns, under more lookups than
// there are slots. No lookup runs twice at once, though many are tried again, and
// every slot comes back.
func TestLinkBreaks(t *testing.T) {
	is := is.New(t)
	bd := newBed(t, 2, "n1")
	setCells(t, bd.api("n1"), "workspace/brno weight 1", "workload/lookup class service", "workload/lookup repeatable yes")
	for _, wk := range bd.workers.Workers() {
		wk.SetFaults(standinworker.Faults{LookupDelay: 30 * time.Millisecond})
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var answered atomic.Int64
	for i := range 40 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				if own, err := ask(bd.api("n1"), fmt.Sprintf("part %d of client %d", n, i)); err == nil && own {
					answered.Add(1)
				}
			}
		}()
	}
	for n := range 10 {
		time.Sleep(50 * time.Millisecond)
		bd.workers.Workers()[n%2].Cut() // the other worker's queue stands meanwhile
	}
	close(stop)
	wg.Wait()
	is.True(answered.Load() > 0)
	bd.eventually("every slot came back", func() bool { return bd.nodes["n1"].FreeSlots() == 16 })
	running := map[string]int{}
	for _, rc := range inOrder(bd) {
		switch rc.Event {
		case standinworker.EventOver:
			t.Errorf("worker %s was over its size", rc.Worker)
		case standinworker.EventEnd:
			running[rc.Mark]--
		case standinworker.EventBegin:
			if running[rc.Mark]++; running[rc.Mark] > 1 {
				t.Errorf("%s ran twice at once", rc.Mark)
			}
		}
	}
}

// inOrder returns the records of all workers by time.
func inOrder(bd *bed) []standinworker.Record {
	var all []standinworker.Record
	for _, wk := range bd.workers.Workers() {
		all = append(all, wk.Records()...)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].At.Before(all[j].At) })
	return all
}
