package test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"tackbeam.example/tackbeam/internal/api"
	"tackbeam.example/tackbeam/internal/client"
	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/standin/standinworker"
)

// load sends lookups, batch jobs and gangs, checks every response and records the
// reported outcomes.
type load struct {
	cl         *cluster
	pickClient func() *client.Client
	stop       chan struct{}
	wg         sync.WaitGroup

	mu            sync.Mutex
	outcomes      []outcome
	wrongReplies  []string
	errors        map[fault.Kind]int
	errorSamples  []string
	lookups       atomic.Int64
	failedLookups atomic.Int64
	jobs          atomic.Int64
}

// startLoad starts a load. pickClient returns the client for the next request, as a
// load balancer picks a node.
func startLoad(cl *cluster, lookups, jobs int, pickClient func() *client.Client) *load {
	ld := &load{cl: cl, pickClient: pickClient, stop: make(chan struct{}), errors: map[fault.Kind]int{}}
	for i := range lookups {
		ld.repeat(func(n int) { ld.lookup(fmt.Sprintf("lookup %d of client %d", n, i), workspaceOf(n)) }, 5*time.Millisecond)
	}
	for i := range jobs {
		ld.repeat(func(n int) { ld.job(fmt.Sprintf("push-%d-%d", i, n), "push", workspaceOf(n), 1) }, 20*time.Millisecond)
		ld.repeat(func(n int) { ld.job(fmt.Sprintf("gang-%d-%d", i, n), "rebuild", workspaceOf(n), 6) }, 60*time.Millisecond)
		ld.repeat(func(n int) { ld.job(fmt.Sprintf("again-%d-%d", i, n), "refresh", workspaceOf(n), 1) }, 40*time.Millisecond)
	}
	return ld
}

func (ld *load) repeat(action func(n int), pause time.Duration) {
	ld.wg.Add(1)
	go func() {
		defer ld.wg.Done()
		for n := 0; ; n++ {
			select {
			case <-ld.stop:
				return
			case <-time.After(pause):
				action(n)
			}
		}
	}()
}

// logSummary logs the numbers of requests and errors, with samples of the errors.
func (ld *load) logSummary(t *testing.T) {
	t.Helper()
	t.Logf("%d lookups, %d failed; %d jobs; errors %v, for example %q",
		ld.lookups.Load(), ld.failedLookups.Load(), ld.jobs.Load(), ld.errors, ld.errorSamples)
}

// end stops the load, waits for requests in progress, and checks all records and
// outcomes.
func (ld *load) end() violations {
	close(ld.stop)
	ld.wg.Wait()
	ld.waitIdle()
	vi := check(ld.cl.records(), ld.outcomes)
	for _, text := range ld.wrongReplies {
		vi.add(wrongReply, "%s", text)
	}
	return vi
}

func (ld *load) addOutcome(oc outcome) {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	ld.outcomes = append(ld.outcomes, oc)
}

func (ld *load) addError(err error) {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	ld.errors[fault.From(err).Kind]++
	if len(ld.errorSamples) < 10 {
		ld.errorSamples = append(ld.errorSamples, err.Error())
	}
}

// lookup sends a lookup and checks that the response is complete and belongs to it.
func (ld *load) lookup(body, workspace string) {
	rsp, err := ld.pickClient().Do(client.Request{
		Method: "POST", Path: "/v1/lookups/lookup", Body: []byte(body),
		Headers: map[string]string{api.HeaderWorkspace: workspace},
	})
	ld.lookups.Add(1)
	if err != nil {
		ld.failedLookups.Add(1)
		ld.addError(err)
		if !fault.From(err).MayHaveRun {
			ld.addOutcome(outcome{mark: body, result: "not-run", repeatable: true})
		}
		return
	}
	if string(rsp.Body) != string(standinworker.ExpectedAnswer([]byte(body))) {
		ld.mu.Lock()
		ld.wrongReplies = append(ld.wrongReplies, fmt.Sprintf("sent %q, got %q", body, rsp.Body))
		ld.mu.Unlock()
	}
	ld.addOutcome(outcome{mark: body, result: "ran", repeatable: true})
}

// job submits a job with an idempotency key, repeats the request until the response
// has the outcome, and records it. After waitTimeout it records that there was none.
func (ld *load) job(mark, workload, workspace string, tasks int) {
	ld.jobs.Add(1)
	req := api.JobRequest{
		Workload: workload, Workspace: workspace, Tasks: tasks,
		Payload: map[string]any{"run": 0.05, "mark": mark},
	}
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); {
		vw, err := client.Send[api.Job](ld.pickClient(), client.Request{
			Method: "POST", Path: api.PathJobs, Query: map[string]string{"wait": "5"}, Wait: 5 * time.Second,
			Headers: map[string]string{api.HeaderIdempotencyKey: mark},
		}, req)
		if err == nil && vw.Answer != "" {
			ld.addOutcome(outcome{mark: mark, result: vw.Answer, repeatable: workload == "refresh"})
			return
		}
		if err != nil {
			ld.addError(err)
		}
		time.Sleep(50 * time.Millisecond)
	}
	ld.addOutcome(outcome{mark: mark})
}

// waitIdle waits until no worker runs a task or lookup.
func (ld *load) waitIdle() {
	ld.cl.eventually("all work has ended", func() bool {
		running := 0
		for _, rc := range ld.cl.records() {
			switch rc.Event {
			case standinworker.EventBegin:
				running++
			case standinworker.EventEnd:
				running--
			}
		}
		return running == 0
	})
}

// balancer stands in for the platform's load balancer. It sends requests to the nodes
// in service.
type balancer struct {
	cl    *cluster
	mu    sync.Mutex
	addrs map[string]string
}

func newBalancer(cl *cluster, names ...string) *balancer {
	ba := &balancer{cl: cl, addrs: map[string]string{}}
	for _, name := range names {
		ba.add(name)
	}
	return ba
}

func (ba *balancer) add(name string) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	ba.addrs[name] = ba.cl.nodes[name].addr
}

func (ba *balancer) remove(name string) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	delete(ba.addrs, name)
}

// client returns a client of the nodes in service. Their order is random, as that of
// map iteration.
func (ba *balancer) client() *client.Client {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	var addrs []string
	for _, addr := range ba.addrs {
		addrs = append(addrs, addr)
	}
	return ba.cl.clients.get(addrs)
}
