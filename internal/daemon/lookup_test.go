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

// sendLookup sends a lookup and reports whether the response is complete and belongs
// to the request.
func sendLookup(cl *client.Client, body string) (matches bool, err error) {
	rsp, err := cl.Do(client.Request{
		Method: "POST", Path: "/v1/lookups/lookup", Body: []byte(body),
		Headers: map[string]string{api.HeaderWorkspace: "brno"},
	})
	return string(rsp.Body) == string(standinworker.ExpectedAnswer([]byte(body))), err
}

func counters(t *testing.T, cl *client.Client) map[string]int64 {
	t.Helper()
	st, err := client.JSON[api.Stats](cl, client.Request{Method: "GET", Path: api.PathStats})
	must(t, err)
	return st.Report.Counters
}

// TestFaultyAnswers runs concurrent lookups on workers that answer late, out of order,
// partially, twice, or requests that were never sent. Callers must only receive
// complete answers to their own requests.
func TestFaultyAnswers(t *testing.T) {
	cases := map[string]struct {
		faults  standinworker.Faults
		answers bool
		counter string
	}{
		"in order":         {standinworker.Faults{}, true, ""},
		"out of order":     {standinworker.Faults{LookupDelay: 20 * time.Millisecond}, true, ""},
		"foreign answers":  {standinworker.Faults{SendUnrequested: true}, true, owner.CounterLate},
		"duplicates":       {standinworker.Faults{SendTwice: true}, true, owner.CounterLate},
		"truncated":        {standinworker.Faults{Truncate: true}, false, owner.CounterTruncated},
		"all faults":       {standinworker.Faults{Truncate: true, SendTwice: true, SendUnrequested: true, LookupDelay: time.Millisecond}, false, owner.CounterTruncated},
		"fails everything": {standinworker.Faults{FailAll: true}, false, "errors_" + string(fault.EndpointFailed)},
	}
	bd := newTestbed(t, 4, "n1", "n2")
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
					matches, err := sendLookup(bd.api([]string{"n1", "n2"}[i%2]), fmt.Sprintf("%s %d", name, i))
					if err == nil {
						answered.Add(1)
					}
					if err == nil && !matches {
						wrong.Add(1)
					}
				}()
			}
			wg.Wait()
			is.Equal(wrong.Load(), int64(0)) // no caller receives a wrong answer
			is.Equal(answered.Load() == 40, tc.answers)
			is.Equal(answered.Load() == 0, !tc.answers)
			after := counters(t, bd.api("n1"))[tc.counter] + counters(t, bd.api("n2"))[tc.counter]
			is.Equal(after > before, tc.counter != "") // dropped answers are counted
		})
	}
}

// TestAnswerAfterTimeout lets lookups time out before their answers. A slot must stay
// in use until the worker has answered, and the late answer must be dropped.
func TestAnswerAfterTimeout(t *testing.T) {
	is := is.New(t)
	bd := newTestbed(t, 1, "n1")
	setCells(t, bd.api("n1"), "workspace/brno weight 1", "workload/lookup class service", "workload/lookup repeatable yes")
	bd.workers.Workers()[0].SetFaults(standinworker.Faults{LookupDelay: 600 * time.Millisecond})
	impatient := client.New(200*time.Millisecond, bd.nodes["n1"].HTTPAddr())
	late := 0
	for range 4 { // every second lookup is delayed
		_, err := sendLookup(impatient, "brake pad")
		if fault.Is(err, fault.Timeout) {
			late++
		}
	}
	is.Equal(late, 2)
	is.True(bd.nodes["n1"].FreeSlots() < 8) // the worker is still running the lookups
	bd.eventually("the late answers have freed their slots", func() bool {
		return bd.nodes["n1"].FreeSlots() == 8
	})
	is.Equal(counters(t, bd.api("n1"))[owner.CounterLate], int64(2))
}

// TestLookupOverload sends more lookups than the slots can run within the deadline.
// Lookups that do not fit must be refused with Full as not run, and none may fail in
// another way than by Full or a timeout.
func TestLookupOverload(t *testing.T) {
	is := is.New(t)
	bd := newTestbed(t, 1, "n1")
	setCells(t, bd.api("n1"), "workspace/brno weight 1", "workload/lookup class service")
	bd.workers.Workers()[0].SetFaults(standinworker.Faults{LookupDelay: 300 * time.Millisecond})
	cl := client.New(400*time.Millisecond, bd.nodes["n1"].HTTPAddr())
	for range 8 {
		_, err := sendLookup(client.New(5*time.Second, bd.nodes["n1"].HTTPAddr()), "warm up")
		is.NoErr(err)
	}
	var wg sync.WaitGroup
	var full, other atomic.Int64
	for i := range 100 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			_, err := sendLookup(cl, fmt.Sprint("crowd ", i))
			switch {
			case fault.Is(err, fault.Full) && !fault.From(err).MayHaveRun:
				full.Add(1)
			case err != nil && !fault.Is(err, fault.Timeout):
				other.Add(1)
			}
		}()
	}
	wg.Wait()
	is.True(full.Load() > 0)
	is.Equal(other.Load(), int64(0)) // only success, Full or Timeout
}

// TestHistograms checks the latency histogram of a class and workspace.
func TestHistograms(t *testing.T) {
	is := is.New(t)
	bd := newTestbed(t, 1, "n1")
	setCells(t, bd.api("n1"), "workspace/brno weight 1", "workload/lookup class service")
	for range 5 {
		_, err := sendLookup(bd.api("n1"), "x")
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

// TestWorkerConnectionLoss closes the connections to the workers in turn, under more
// concurrent lookups than there are slots. No lookup may run twice at the same time,
// although many are retried, and all slots must become free again.
func TestWorkerConnectionLoss(t *testing.T) {
	is := is.New(t)
	bd := newTestbed(t, 2, "n1")
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
				if matches, err := sendLookup(bd.api("n1"), fmt.Sprintf("part %d of client %d", n, i)); err == nil && matches {
					answered.Add(1)
				}
			}
		}()
	}
	for n := range 10 {
		time.Sleep(50 * time.Millisecond)
		bd.workers.Workers()[n%2].CloseConnections() // the other worker keeps its connection and queue
	}
	close(stop)
	wg.Wait()
	is.True(answered.Load() > 0)
	bd.eventually("all slots are free again", func() bool { return bd.nodes["n1"].FreeSlots() == 16 })
	running := map[string]int{}
	for _, rc := range sortedRecords(bd) {
		switch rc.Event {
		case standinworker.EventOverCapacity:
			t.Errorf("worker %s exceeded its capacity", rc.Worker)
		case standinworker.EventEnd:
			running[rc.Mark]--
		case standinworker.EventBegin:
			if running[rc.Mark]++; running[rc.Mark] > 1 {
				t.Errorf("%s ran twice at the same time", rc.Mark)
			}
		}
	}
}

// sortedRecords returns the records of all workers in order of time.
func sortedRecords(bd *testbed) []standinworker.Record {
	var all []standinworker.Record
	for _, wk := range bd.workers.Workers() {
		all = append(all, wk.Records()...)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].At.Before(all[j].At) })
	return all
}
