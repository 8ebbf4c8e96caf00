package planner_test

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/size"
	"tackbeam.example/policy/work"

	"tackbeam.example/tackbeam/internal/agent"
	"tackbeam.example/tackbeam/internal/joblog"
	"tackbeam.example/tackbeam/internal/kv"
	"tackbeam.example/tackbeam/internal/standin/memkv"
	"tackbeam.example/tackbeam/internal/standin/memworkers"
)

// TestCrashingStartsAreBounded draws from a seed how planners die, are cut off from the store or are suspended while
// tasks crash the workers that start them, with faults of the store, lost, unanswered or late orders, and restarts of
// other workers. No such task may be started more often than the limit allows.
//
//	TACKBEAM_LIVES_SEEDS=200 go test ./internal/planner -run TestCrashingStartsAreBounded
func TestCrashingStartsAreBounded(t *testing.T) {
	for seed := range crashPlaySeeds(t) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runCrashPlay(t, rand.New(rand.NewPCG(seed, 2)), 0) })
		})
	}
}

// crashPlaySeeds returns the number of seeds to play.
func crashPlaySeeds(t *testing.T) uint64 {
	seeds, err := strconv.ParseUint(cmp.Or(os.Getenv("TACKBEAM_LIVES_SEEDS"), "12"), 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return seeds
}

const (
	// crashingPrefix begins the ids of the jobs whose tasks crash their workers.
	crashingPrefix = "bad"
	// crashPlayNodes is the number of nodes.
	crashPlayNodes = 4
	// crashedFor is how long a crashed worker is away, entryDelay the time from its restart to its entry.
	crashedFor = 1500 * time.Millisecond
	entryDelay = 100 * time.Millisecond
)

// crashPlay is one seed of TestCrashingStartsAreBounded.
type crashPlay struct {
	*testbed
	log logr.Logger

	mu  sync.Mutex
	rnd *rand.Rand
	// workers are the ids of the running workers.
	workers []string
	crashed int
	// live are the nodes that take jobs. names counts the nodes that were ever added.
	live  []*playNode
	names int
	// starting is locked while a node is added.
	starting sync.Mutex
	// accepted are the jobs that were accepted.
	accepted map[string]bool
	// storeFault decides on the fault of a call of any node that is not cut off.
	storeFault func(client string) memkv.Fault
	cut        map[string]bool
}

// playNode is a node that the play can freeze.
type playNode struct {
	*node
	name string

	mu     sync.Mutex
	thawed chan struct{} // closed unless the node is frozen
}

// runCrashPlay plays one seed. At least minInUse workers are in use, 0 for the planner's default.
func runCrashPlay(t *testing.T, rnd *rand.Rand, minInUse int) {
	cp := newCrashPlay(t, rnd)
	cp.minInUse = minInUse
	defer cp.end()
	for range crashPlayNodes {
		cp.start()
		time.Sleep(entryDelay)
	}
	time.Sleep(time.Second)
	var series, callers sync.WaitGroup
	ended := make(chan struct{})
	for range 1 + cp.draw(3) {
		series.Go(func() {
			for cp.pause(200, 1500, ended) {
				cp.injectFault()
			}
		})
	}
	bad := 1 + cp.draw(2)
	cp.submitJobs(bad, &callers)
	close(ended)
	series.Wait()
	cp.clearAll()
	callers.Wait()
	time.Sleep(45 * time.Second)
	cp.check()
}

func newCrashPlay(t *testing.T, rnd *rand.Rand) *crashPlay {
	var ids []string
	for n := range 6 + rnd.IntN(7) {
		ids = append(ids, fmt.Sprint("w", n))
	}
	cp := &crashPlay{
		testbed: newTestbed(t, time.Duration(50+rnd.IntN(600))*time.Millisecond, ids...), rnd: rnd, workers: ids,
		accepted: map[string]bool{}, cut: map[string]bool{},
	}
	cp.log = cp.testbed.log("play")
	cp.setStoreFault(func(string) memkv.Fault { return memkv.None })
	cp.store.SetFault(func(client, _ string) memkv.Fault {
		cp.mu.Lock()
		defer cp.mu.Unlock()
		if cp.cut[client] {
			return memkv.RequestLost
		}
		return cp.storeFault(client)
	})
	cp.fleet.SetCrash(func(sr cell.Start) bool {
		bad := strings.HasPrefix(sr.Task.Job, crashingPrefix)
		if bad {
			cp.log.Info("Start is executed.", "task", sr.Task.String(), "run", sr.Run, "addressed", sr.Worker)
		}
		return bad
	}, crashedFor, cp.workerReturns)
	return cp
}

// draw returns a random number below most.
func (cp *crashPlay) draw(most int) int {
	cp.mu.Lock()
	defer cp.mu.Unlock()
	return cp.rnd.IntN(most)
}

// drawTime returns a random duration in milliseconds.
func (cp *crashPlay) drawTime(minMS, maxMS int) time.Duration {
	return time.Duration(minMS+cp.draw(maxMS-minMS)) * time.Millisecond
}

// pause waits for a random time. It returns false once the faults are to end.
func (cp *crashPlay) pause(minMS, maxMS int, ended <-chan struct{}) bool {
	select {
	case <-time.After(cp.drawTime(minMS, maxMS)):
		return true
	case <-ended:
		return false
	}
}

// workerReturns replaces a crashed worker: every other one returns under its own id.
func (cp *crashPlay) workerReturns(id string) {
	cp.mu.Lock()
	cp.crashed++
	own := cp.crashed%2 == 0
	if !own {
		cp.workers = slices.DeleteFunc(cp.workers, func(one string) bool { return one == id })
		cp.workers = append(cp.workers, id+"x")
	}
	cp.mu.Unlock()
	cp.log.Info("Crashed worker returns.", "worker", id, "own_id", own)
	if own {
		cp.returnOwn(id)
		return
	}
	cp.store.Delete(workersPrefix + id)
	cp.addWorker(id + "x")
}

// returnOwn starts an incarnation under the worker's id, which writes its entry a little later.
func (cp *crashPlay) returnOwn(id string) {
	cp.fleet.Add(id)
	cp.clock.AfterFunc(entryDelay, func() {
		if cp.running(id) {
			cp.list(id)
		}
	})
}

// running reports whether a worker has not been replaced by one with another id.
func (cp *crashPlay) running(id string) bool {
	cp.mu.Lock()
	defer cp.mu.Unlock()
	return slices.Contains(cp.workers, id)
}

// start adds a node under a new name.
func (cp *crashPlay) start() {
	cp.starting.Lock()
	defer cp.starting.Unlock()
	cp.mu.Lock()
	name := fmt.Sprint("n", cp.names)
	cp.names++
	cp.mu.Unlock()
	pn := &playNode{name: name, thawed: make(chan struct{})}
	close(pn.thawed)
	cp.wrapStore = func(st *kv.Store) *kv.Store { return pn.wrapStore(st, cp.logRecords) }
	cp.agents = pn.wrapAgents(cp.fleet.Agents())
	pn.node = cp.addNode(name)
	cp.mu.Lock()
	defer cp.mu.Unlock()
	cp.live = append(cp.live, pn)
}

// wait blocks while the node is frozen, and reports whether it was.
func (pn *playNode) wait() (frozen bool) {
	pn.mu.Lock()
	thawed := pn.thawed
	pn.mu.Unlock()
	select {
	case <-thawed:
		return false
	default:
		<-thawed
		return true
	}
}

// freeze makes the node send and receive nothing until the returned function is called.
func (pn *playNode) freeze() (thaw func()) {
	pn.mu.Lock()
	defer pn.mu.Unlock()
	thawed := make(chan struct{})
	pn.thawed = thawed
	return sync.OnceFunc(func() { close(thawed) })
}

// exchange makes a call of the node. A frozen node makes none, and reads the answer to an earlier one once it is thawed.
func (pn *playNode) exchange(ctx context.Context, call func() error, noAnswer error) error {
	if pn.wait() {
		return noAnswer
	}
	err := call()
	if pn.wait() && ctx.Err() != nil {
		return noAnswer
	}
	return err
}

// wrapStore returns st with the calls of a node that may be frozen. It calls written after each transaction.
func (pn *playNode) wrapStore(st *kv.Store, written func(node string, txn kv.Txn, err error)) *kv.Store {
	wrapped := *st
	wrapped.Range = func(ctx context.Context, prefix, after string, stale bool) (page kv.Page, err error) {
		err = pn.exchange(ctx, func() error {
			page, err = st.Range(ctx, prefix, after, stale)
			return err
		}, kv.ErrNoAnswer)
		return page, err
	}
	wrapped.Watch = func(ctx context.Context, prefix string, after uint64, wait time.Duration) (events kv.Events, err error) {
		err = pn.exchange(ctx, func() error {
			events, err = st.Watch(ctx, prefix, after, wait)
			return err
		}, kv.ErrNoAnswer)
		return events, err
	}
	wrapped.Commit = func(ctx context.Context, txn kv.Txn) (revision uint64, items []kv.Item, err error) {
		err = pn.exchange(ctx, func() error {
			revision, items, err = st.Commit(ctx, txn)
			return err
		}, kv.ErrNoAnswer)
		written(pn.name, txn, err)
		return revision, items, err
	}
	wrapped.Renew = func(ctx context.Context, lease uint64) error {
		return pn.exchange(ctx, func() error { return st.Renew(ctx, lease) }, kv.ErrNoAnswer)
	}
	return &wrapped
}

// logRecords logs the records about crashing tasks that a node has tried to write.
func (cp *crashPlay) logRecords(node string, txn kv.Txn, err error) {
	for _, put := range txn.Puts {
		if !strings.HasPrefix(put.Key, joblog.Records) {
			continue
		}
		recs, decodeErr := joblog.Decode[[]cell.Record](put.Value)
		if decodeErr != nil {
			continue // an item that is no write of records
		}
		for _, rec := range recs {
			for _, rn := range rec.Held {
				if strings.HasPrefix(rn.Task.Job, crashingPrefix) {
					cp.log.Info("Held run was sent.", "node", node, "task", rn.Task.String(), "run", rn.Number, "worker", rec.Worker,
						"stop", rec.Stop, "error", fmt.Sprint(err))
				}
			}
			if rec.Task != nil && strings.HasPrefix(rec.Task.Job, crashingPrefix) {
				cp.log.Info("Record was sent.", "node", node, "task", rec.Task.String(), "run", rec.Run, "result", rec.Result,
					"explained", rec.Explained, "worker", rec.RunWorker, "error", fmt.Sprint(err))
			}
		}
	}
}

// wrapAgents returns ag with the orders of a node that may be frozen.
func (pn *playNode) wrapAgents(ag *agent.Agents) *agent.Agents {
	return &agent.Agents{
		Hold: func(ctx context.Context, to agent.Target, hd agent.Hold) (report agent.Report, err error) {
			err = pn.exchange(ctx, func() error {
				report, err = ag.Hold(ctx, to, hd)
				return err
			}, agent.ErrNoAnswer)
			return report, err
		},
		Start: func(ctx context.Context, to agent.Target, token uint64, deadline time.Duration, sr cell.Start) (answer agent.StartAnswer, err error) {
			err = pn.exchange(ctx, func() error {
				answer, err = ag.Start(ctx, to, token, deadline, sr)
				return err
			}, agent.ErrNoAnswer)
			return answer, err
		},
		Stop: func(ctx context.Context, to agent.Target, token uint64, sp cell.Stop) error {
			return pn.exchange(ctx, func() error { return ag.Stop(ctx, to, token, sp) }, agent.ErrNoAnswer)
		},
		Pace: func(ctx context.Context, to agent.Target, token uint64, pc cell.Pace) error {
			return pn.exchange(ctx, func() error { return ag.Pace(ctx, to, token, pc) }, agent.ErrNoAnswer)
		},
	}
}

// submitJobs submits healthy jobs for a while, and crashing ones among them.
func (cp *crashPlay) submitJobs(bad int, callers *sync.WaitGroup) {
	const jobs = 120
	submitted := 0
	for n := range jobs {
		callers.Go(func() { cp.submitUntilAccepted(fmt.Sprint("good", n), 1+cp.draw(3)) })
		if submitted < bad && cp.draw(jobs/8) == 0 {
			submitted++
			callers.Go(func() { cp.submitUntilAccepted(fmt.Sprint(crashingPrefix, submitted), 1) })
		}
		time.Sleep(cp.drawTime(50, 350))
	}
}

// submitUntilAccepted submits a job to random nodes until one accepts it.
func (cp *crashPlay) submitUntilAccepted(id string, tasks int) {
	jb := &work.Job{ID: id, Spec: id, Queue: cp.testbed.accepted, Steps: []work.Step{
		{Count: tasks, Need: size.New(1000, 100, 0), Estimate: 200 * time.Millisecond},
	}}
	for {
		cp.mu.Lock()
		var nd *playNode
		if len(cp.live) > 0 {
			nd = cp.live[cp.rnd.IntN(len(cp.live))]
		}
		cp.mu.Unlock()
		if nd != nil && cp.submitTo(nd, jb) {
			cp.mu.Lock()
			defer cp.mu.Unlock()
			cp.accepted[id] = true
			return
		}
		time.Sleep(entryDelay)
	}
}

func (cp *crashPlay) submitTo(nd *playNode, jb *work.Job) bool {
	ctx, cancel := context.WithTimeout(cp.t.Context(), time.Second)
	defer cancel()
	return nd.intake.Submit(ctx, jb) == nil
}

// injectFault injects a random fault and waits until it is over.
func (cp *crashPlay) injectFault() {
	duration := cp.drawTime(300, 2500)
	switch cp.draw(12) {
	case 0, 1:
		cp.endNode(true, duration)
	case 2:
		cp.endNode(false, duration)
	case 3:
		cp.freezeNode(duration)
	case 4:
		cp.suspendNode(duration)
	case 5:
		cp.cutNode(duration)
	case 6, 7:
		cp.failStore(duration)
	case 8, 9:
		cp.failOrders(duration)
	case 10, 11:
		cp.restartWorkers()
	}
}

// choose returns the planner in two of three cases, otherwise any node, or nil if there is none.
func (cp *crashPlay) choose() *playNode {
	cp.mu.Lock()
	defer cp.mu.Unlock()
	if len(cp.live) == 0 {
		return nil
	}
	if cp.rnd.IntN(3) > 0 {
		for _, pn := range cp.live {
			if pn.term.Leading() {
				return pn
			}
		}
	}
	return cp.live[cp.rnd.IntN(len(cp.live))]
}

// endNode ends a node, in order or as by a kill, and starts another one later.
func (cp *crashPlay) endNode(kill bool, away time.Duration) {
	pn := cp.choose()
	if pn == nil {
		return
	}
	cp.log.Info("Node ends.", "node", pn.name, "kill", kill, "planner", pn.term.Leading())
	cp.mu.Lock()
	cp.live = slices.DeleteFunc(cp.live, func(one *playNode) bool { return one == pn })
	cp.cut[pn.name] = kill
	cp.mu.Unlock()
	pn.cancel()
	time.Sleep(away)
	cp.start()
}

func (cp *crashPlay) freezeNode(duration time.Duration) {
	pn := cp.choose()
	if pn == nil {
		return
	}
	cp.log.Info("Node is frozen.", "node", pn.name, "for", duration.String(), "planner", pn.term.Leading())
	thaw := pn.freeze()
	time.Sleep(duration)
	thaw()
}

// suspendNode adds to the node's time of day and time since boot.
func (cp *crashPlay) suspendNode(duration time.Duration) {
	pn := cp.choose()
	if pn == nil {
		return
	}
	cp.log.Info("Node was suspended.", "node", pn.name, "for", duration.String(), "planner", pn.term.Leading())
	pn.suspended.Add(int64(duration))
}

// cutNode disconnects a node from the store.
func (cp *crashPlay) cutNode(duration time.Duration) {
	pn := cp.choose()
	if pn == nil {
		return
	}
	cp.log.Info("Node is cut off from the store.", "node", pn.name, "for", duration.String(), "planner", pn.term.Leading())
	cp.setCut(pn.name, true)
	time.Sleep(duration)
	if !pn.stopped.Load() {
		cp.setCut(pn.name, false)
	}
}

func (cp *crashPlay) setCut(name string, cut bool) {
	cp.mu.Lock()
	defer cp.mu.Unlock()
	cp.cut[name] = cut
}

func (cp *crashPlay) setStoreFault(fault func(client string) memkv.Fault) {
	cp.mu.Lock()
	defer cp.mu.Unlock()
	cp.storeFault = fault
}

// failStore lets the store refuse calls or leave them unanswered, for all nodes or for one.
func (cp *crashPlay) failStore(duration time.Duration) {
	fault := []memkv.Fault{memkv.Refused, memkv.ResponseLost, memkv.RequestLost}[cp.draw(3)]
	share := []float64{0.3, 1}[cp.draw(2)]
	only := ""
	if pn := cp.choose(); pn != nil && cp.draw(2) == 0 {
		only = pn.name
	}
	cp.log.Info("Store fails.", "fault", int(fault), "share", share, "only", only, "for", duration.String())
	cp.setStoreFault(func(client string) memkv.Fault { // called with the lock
		if (only == "" || only == client) && cp.rnd.Float64() < share {
			return fault
		}
		return memkv.None
	})
	time.Sleep(duration)
	cp.setStoreFault(func(string) memkv.Fault { return memkv.None })
}

// failOrders lets workers leave a share of the orders unanswered or carry them out late.
func (cp *crashPlay) failOrders(duration time.Duration) {
	const share = 0.2
	fault := []memworkers.Fault{memworkers.ResponseLost, memworkers.RequestLost, memworkers.Delayed}[cp.draw(3)]
	cp.log.Info("Orders fail.", "fault", int(fault), "for", duration.String())
	cp.fleet.SetFault(func(worker, order string) memworkers.Fault {
		cp.mu.Lock()
		defer cp.mu.Unlock()
		if cp.rnd.Float64() >= share {
			return memworkers.None
		}
		if order == "start" {
			cp.log.Info("Start has a fault.", "worker", worker, "fault", int(fault))
		}
		return fault
	})
	time.Sleep(duration)
	cp.clearFaults()
}

// restartWorkers ends incarnations of one, some or all workers and starts new ones under the same ids: immediately, a
// little later, or after their leases have expired.
func (cp *crashPlay) restartWorkers() {
	cp.mu.Lock()
	ids := slices.Clone(cp.workers)
	cp.mu.Unlock()
	first := cp.draw(len(ids))
	count := []int{1, 1, 1 + cp.draw(len(ids)), len(ids)}[cp.draw(4)]
	away := []time.Duration{0, crashedFor / 2, 7 * time.Second}[cp.draw(3)]
	ids = ids[first:min(first+count, len(ids))]
	cp.log.Info("Workers restart.", "workers", fmt.Sprint(ids), "away", away.String())
	for _, id := range ids {
		cp.fleet.Kill(id)
	}
	time.Sleep(away)
	for _, id := range ids {
		if cp.running(id) {
			cp.returnOwn(id)
		}
	}
}

// clearAll ends all faults. A node that was cut off while it was killed stays so.
func (cp *crashPlay) clearAll() {
	cp.clearFaults()
	cp.setStoreFault(func(string) memkv.Fault { return memkv.None })
	cp.mu.Lock()
	defer cp.mu.Unlock()
	for _, pn := range cp.live {
		cp.cut[pn.name] = false
	}
}

// check compares the starts and the ends of the jobs with what is allowed.
func (cp *crashPlay) check() {
	cp.t.Helper()
	planner := cp.leader()
	if planner == nil {
		cp.t.Fatal("no node plans")
	}
	for id := range cp.accepted {
		phase, err := planner.planner.JobPhase(cp.t.Context(), id, "")
		bad := strings.HasPrefix(id, crashingPrefix)
		switch {
		case bad && phase == cell.Failed:
		case !bad && phase == cell.Succeeded:
		case !bad && phase == cell.Failed && cp.fleet.LostRuns(id) >= minLosses:
		default:
			cp.t.Errorf("job %s is %q, %v, after the end of %d incarnations that ran it", id, phase, err, cp.fleet.LostRuns(id))
		}
		if bad {
			cp.checkBound(id)
		}
	}
}
