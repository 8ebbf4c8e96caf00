package cell_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/feature"
	"tackbeam.example/policy/incarnation"
	"tackbeam.example/policy/size"
	"tackbeam.example/policy/work"
)

// stream is one kind of job with random arrivals.
type stream struct {
	queue work.Queue
	// interval is the mean time between two jobs; tasks, cores and runTime are the means of
	// log-normal distributions, each with a standard deviation of its logarithm of 0.7 at most.
	interval time.Duration
	tasks    float64
	maxTasks int
	cores    float64
	// memory is in MB.
	memory float64
	// accelerators are the values from which the need of a job's tasks is drawn.
	accelerators []int64
	runTime      time.Duration
	gang         bool
	// checkpointing is the share of jobs whose tasks write checkpoints.
	checkpointing float64
	// failing is the share of jobs of which one run fails halfway.
	failing float64
	// estimateSpread is the standard deviation of the logarithm of the callers' estimates.
	estimateSpread float64
	// allowedShare is the share of workers that the advisor allows.
	allowedShare float64
}

// loadTestbed is a cell under steady load, with an advisor that needs time to answer.
type loadTestbed struct {
	rng     *rand.Rand
	now     time.Duration
	cell    *cell.Cell
	term    int
	workers []incarnation.ID
	// capacity is what each worker has, unless capacities has another value for it.
	capacity   size.Size
	capacities map[incarnation.ID]size.Size
	// lostWorkers neither report nor start anything.
	lostWorkers map[incarnation.ID]bool
	streams     []stream
	nextArrival []time.Duration
	jobs        map[string]*simJob
	arrivals    []*simJob
	runs        map[work.Task]*simRun
	ends        map[incarnation.ID]int
	// noPlanner is set while there is no planner; pendingEnds are the ends that workers keep until the next one.
	noPlanner   bool
	pendingEnds map[incarnation.ID][]cell.End
	events      events
	records     []cell.Record
	// nodeFreeAt is when each node that queries the advisor is free again.
	nodeFreeAt []time.Duration
	// usedMillicores is what is in use on each worker.
	usedMillicores map[incarnation.ID]int64
	// requests counts the advice requests sent, deferred those for which all nodes were busy.
	requests, deferred int
	// advisorTime is the advisor's time that each stream used, requestCounts the number of its requests.
	advisorTime   [4]time.Duration
	requestCounts [4]int
	// onAdvice, if set, receives the answer to an advice request instead of the cell.
	onAdvice func(rows []cell.Ticket)
	// onStart, if set, is called for each run that begins, onLostStart for each start that is sent to a lost worker.
	onStart, onLostStart func(cell.Start)
	// admit reports whether a job is accepted; nil accepts all.
	admit func(qu work.Queue) bool
	// features are the features of the next planner.
	features feature.Set
}

type simJob struct {
	spec      *work.Job
	stream    int
	arrivedAt time.Duration
	runTime   time.Duration
	startedAt time.Duration
	remaining int
	endedAt   time.Duration
	willFail  bool
}

type simRun struct {
	number    int
	worker    incarnation.ID
	startedAt time.Duration
	endsAt    time.Duration
	// restored is the work done by earlier runs, from which this run continues after the restore.
	restored time.Duration
}

// done returns how much of its task's work a run has completed.
func (rn *simRun) done(now time.Duration) time.Duration {
	if rn.restored == 0 {
		return now - rn.startedAt
	}
	return rn.restored + max(now-rn.startedAt-restoreTime, 0)
}

// checkpoint returns the work up to the run's last checkpoint, as text.
func (rn *simRun) checkpoint(now time.Duration) string {
	if saved := rn.done(now).Truncate(checkpointInterval); saved > 0 {
		return saved.String()
	}
	return ""
}

// event is a scheduled call.
type event struct {
	at   time.Duration
	call func()
}

type events []event

func (ev events) Len() int           { return len(ev) }
func (ev events) Less(i, j int) bool { return ev[i].at < ev[j].at }
func (ev events) Swap(i, j int)      { ev[i], ev[j] = ev[j], ev[i] }
func (ev *events) Push(x any)        { *ev = append(*ev, x.(event)) }
func (ev *events) Pop() any {
	last := (*ev)[len(*ev)-1]
	*ev = (*ev)[:len(*ev)-1]
	return last
}

// Parameters of the simulation. The pool of nodes that query the advisor is modelled on the runtime's.
const (
	timeStep    = 10 * time.Millisecond
	ticketTTL   = 1500 * time.Millisecond
	workerCores = 64000
	// workerMemory is in MB.
	workerMemory       = 131072
	maxQueueWait       = 300 * time.Millisecond
	maxUrgentQueueWait = 2500 * time.Millisecond
	reservedNodes      = 6
	// checkpointInterval is the work between two checkpoints, restoreTime the time to resume from one.
	checkpointInterval = 500 * time.Millisecond
	restoreTime        = 600 * time.Millisecond
	// startTimeout is how long a start takes that is not answered.
	startTimeout = time.Second
)

func newLoadTestbed(seed uint64, workers, nodes int, streams []stream) *loadTestbed {
	return newAcceleratorTestbed(seed, workers, nodes, 0, streams)
}

// newAcceleratorTestbed is a loadTestbed on workers with accelerators.
func newAcceleratorTestbed(seed uint64, workers, nodes int, accelerators int64, streams []stream) *loadTestbed {
	bd := &loadTestbed{
		capacity: size.New(workerCores, workerMemory, accelerators),
		rng:      rand.New(rand.NewPCG(seed, 7)), streams: streams, nextArrival: make([]time.Duration, len(streams)),
		jobs: map[string]*simJob{}, runs: map[work.Task]*simRun{}, ends: map[incarnation.ID]int{}, pendingEnds: map[incarnation.ID][]cell.End{},
		nodeFreeAt: make([]time.Duration, nodes), usedMillicores: map[incarnation.ID]int64{}, capacities: map[incarnation.ID]size.Size{},
	}
	for n := range workers {
		bd.workers = append(bd.workers, incarnation.ID(fmt.Sprintf("w%03d", n)))
	}
	bd.replacePlanner()
	return bd
}

// replacePlanner starts a new planner, which knows the journal and what the workers report.
func (bd *loadTestbed) replacePlanner() {
	bd.noPlanner = false
	bd.term++
	bd.cell = cell.New(cell.Options{Retention: 2 * time.Minute, FirstRun: (bd.term-1)*64 + 1, StopTimeout: stopTime, Features: bd.features})
	for _, sj := range bd.arrivals {
		bd.cell.AddAged(bd.now, bd.now-sj.arrivedAt, sj.spec)
	}
	bd.cell.Restore(bd.now, bd.records)
	for n, id := range bd.workers {
		bd.cell.PutWorker(bd.now, cell.Worker{ID: id, Service: "svc", Rack: fmt.Sprint(n / 12), Capacity: bd.capacityOf(id)})
		bd.report(id, bd.pendingEnds[id])
	}
	clear(bd.pendingEnds)
	bd.cell.SetCommitted(bd.cell.RecordCount())
	bd.cell.FinishRecovery()
	bd.executeOrders()
}

// schedule adds an event after a time span.
func (bd *loadTestbed) schedule(span time.Duration, call func()) {
	heap.Push(&bd.events, event{bd.now + span, call})
}

// runNextEvent runs the next event.
func (bd *loadTestbed) runNextEvent() { heap.Pop(&bd.events).(event).call() }

func (bd *loadTestbed) drawLogNormal(mean, spread float64) float64 {
	return mean * math.Exp(spread*bd.rng.NormFloat64()-spread*spread/2)
}

func (bd *loadTestbed) submitArrivals() {
	for at, sm := range bd.streams {
		for bd.nextArrival[at] <= bd.now {
			bd.nextArrival[at] += time.Duration(bd.rng.ExpFloat64() * float64(sm.interval))
			run := time.Duration(min(bd.drawLogNormal(float64(sm.runTime), 0.5), 2.6*float64(sm.runTime)))
			count := min(max(int(math.Round(bd.drawLogNormal(sm.tasks, 0.7))), 1), sm.maxTasks)
			cores := int64(1000 * min(bd.drawLogNormal(sm.cores, 0.4), max(30, sm.cores)))
			memory := int64(min(bd.drawLogNormal(sm.memory, 0.5), 3*sm.memory, workerMemory))
			var accelerators int64
			if len(sm.accelerators) > 0 {
				accelerators = sm.accelerators[bd.rng.IntN(len(sm.accelerators))]
			}
			sj := &simJob{stream: at, arrivedAt: bd.now, runTime: run, remaining: count, willFail: bd.rng.Float64() < sm.failing, spec: &work.Job{
				ID: fmt.Sprintf("s%dj%05d", at, len(bd.arrivals)), Queue: sm.queue,
				Steps: []work.Step{{
					Count: count, Gang: sm.gang, Checkpoints: sm.checkpointing > 0 && bd.rng.Float64() < sm.checkpointing, Need: size.New(cores, memory, accelerators),
					Estimate: time.Duration(float64(run) * math.Exp(sm.estimateSpread*bd.rng.NormFloat64())),
				}},
			}}
			if bd.admit != nil && !bd.admit(sm.queue) {
				continue
			}
			bd.jobs[sj.spec.ID] = sj
			bd.arrivals = append(bd.arrivals, sj)
			bd.cell.Add(bd.now, sj.spec, false)
		}
	}
}

// advance moves the time forward by a span, with or without new jobs.
func (bd *loadTestbed) advance(span time.Duration, traffic bool) {
	for end := bd.now + span; bd.now < end; {
		bd.now += timeStep
		if traffic {
			bd.submitArrivals()
		}
		for len(bd.events) > 0 && bd.events[0].at <= bd.now {
			bd.runNextEvent()
		}
		if bd.noPlanner {
			continue
		}
		if bd.now%(50*time.Millisecond) == 0 {
			bd.cell.Tick(bd.now, bd.now)
		}
		if bd.now%time.Second == 0 {
			for _, id := range bd.workers {
				bd.report(id, nil)
			}
		}
		bd.cell.Plan(bd.now)
		bd.executeOrders()
	}
}

func (bd *loadTestbed) executeOrders() {
	for out := range drainOutput(bd.cell, &bd.records) {
		for _, sr := range out.Starts {
			bd.start(sr)
		}
		for _, sp := range out.Stops {
			bd.stop(sp)
		}
		for _, req := range out.AdviceRequests {
			bd.requestAdvice(req)
		}
	}
}

func (bd *loadTestbed) start(sr cell.Start) {
	if bd.lostWorkers[sr.Worker] {
		if bd.onLostStart != nil {
			bd.onLostStart(sr)
		}
		bd.schedule(startTimeout, func() { bd.cell.StartUnconfirmed(bd.now, sr) })
		return
	}
	bd.beginRun(sr)
	if bd.onStart != nil {
		bd.onStart(sr)
	}
	bd.cell.Started(bd.now, sr)
}

// beginRun starts a run on its worker.
func (bd *loadTestbed) beginRun(sr cell.Start) {
	sj := bd.jobs[sr.Task.Job]
	if sj.startedAt == 0 {
		sj.startedAt = bd.now
	}
	rn := &simRun{number: sr.Run, worker: sr.Worker, startedAt: bd.now, endsAt: bd.now + sj.runTime}
	if sr.Checkpoint != "" {
		rn.restored, _ = time.ParseDuration(sr.Checkpoint) // written by checkpoint
		rn.endsAt += restoreTime - rn.restored
	}
	bd.runs[sr.Task] = rn
	bd.usedMillicores[sr.Worker] += sj.spec.Steps[0].Need.Processors()
	if sj.willFail && sr.Task.Index == 0 {
		sj.willFail = false
		bd.schedule(sj.runTime/2, func() { bd.end(sr.Task, rn, cell.ResultFailed) })
		return
	}
	bd.schedule(rn.endsAt-bd.now, func() { bd.end(sr.Task, rn, cell.ResultDone) })
}

func (bd *loadTestbed) stop(sp cell.Stop) {
	if bd.lostWorkers[sp.Worker] {
		bd.schedule(startTimeout, func() { bd.cell.StopUnconfirmed(sp) })
		return
	}
	bd.cell.Stopped(bd.now, sp)
	if rn := bd.runs[sp.Task]; rn != nil && rn.number == sp.Run {
		bd.schedule(stopTime, func() { bd.end(sp.Task, rn, cell.ResultStopped) })
	}
}

// end ends a run, unless another run has replaced it, and sends its worker's report.
func (bd *loadTestbed) end(name work.Task, rn *simRun, result cell.Result) {
	if bd.runs[name] != rn {
		return
	}
	delete(bd.runs, name)
	sj := bd.jobs[name.Job]
	bd.usedMillicores[rn.worker] -= sj.spec.Steps[0].Need.Processors()
	if result == cell.ResultDone {
		if sj.remaining--; sj.remaining == 0 {
			sj.endedAt = bd.now
		}
	}
	bd.ends[rn.worker]++
	end := cell.End{Seq: bd.ends[rn.worker], Run: cell.Run{Task: name, Number: rn.number}, Result: result}
	if sj.spec.Steps[0].Checkpoints {
		end.Checkpoint = rn.checkpoint(bd.now)
	}
	if bd.noPlanner {
		bd.pendingEnds[rn.worker] = append(bd.pendingEnds[rn.worker], end)
		return
	}
	bd.report(rn.worker, []cell.End{end})
}

func (bd *loadTestbed) report(id incarnation.ID, ends []cell.End) {
	if bd.lostWorkers[id] {
		return
	}
	var runs []cell.Run
	for name, rn := range bd.runs {
		if rn.worker == id {
			sj := bd.jobs[name.Job]
			run := cell.Run{Task: name, Number: rn.number, Percent: int(100 * rn.done(bd.now) / sj.runTime)}
			if sj.spec.Steps[0].Checkpoints {
				run.Checkpoint = rn.checkpoint(bd.now)
			}
			runs = append(runs, run)
		}
	}
	bd.cell.Report(bd.now, id, bd.now, runs, ends)
}

// requestAdvice queues an advice request at the node that is free soonest, or defers it if the wait would be too long.
func (bd *loadTestbed) requestAdvice(req cell.AdviceRequest) {
	nodes, maxWait := bd.nodeFreeAt, maxUrgentQueueWait
	if !req.Urgent {
		nodes, maxWait = bd.nodeFreeAt[min(reservedNodes, len(bd.nodeFreeAt)/3):], maxQueueWait
	}
	best := 0
	for at := range nodes {
		if nodes[at] < nodes[best] {
			best = at
		}
	}
	wait := max(nodes[best]-bd.now, 0)
	if wait > maxWait {
		bd.deferred++
		bd.cell.AdviceDeferred(bd.now, req)
		return
	}
	bd.requests++
	stream := bd.jobs[req.Step.Job].stream
	bd.advisorTime[stream] += req.Takes
	bd.requestCounts[stream]++
	nodes[best] = bd.now + wait + req.Takes
	term, onAdvice := bd.term, bd.onAdvice
	bd.schedule(wait+req.Takes, func() {
		if term != bd.term {
			return
		}
		var rows []cell.Ticket
		allowedShare := bd.streams[stream].allowedShare
		for _, id := range req.Workers {
			if advisorAllows(req.Step.StepName(), id, allowedShare) {
				rows = append(rows, cell.Ticket{Worker: id, Text: "t"})
			}
		}
		if onAdvice != nil {
			onAdvice(rows)
			return
		}
		bd.cell.AddAdvice(bd.now, req, rows, ticketTTL)
	})
}

// advisorAllows reports whether the advisor allows a worker for a step. The result is the same for each call.
func advisorAllows(step string, worker incarnation.ID, allowedShare float64) bool {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(step + "/" + string(worker)))
	return float64(hash.Sum32()%1000) < 1000*allowedShare
}

// utilization returns the share of all processors that is in use.
func (bd *loadTestbed) utilization() float64 {
	var used, capacity int64
	for _, id := range bd.workers {
		if !bd.lostWorkers[id] {
			used += bd.usedMillicores[id]
			capacity += bd.capacityOf(id).Processors()
		}
	}
	return float64(used) / float64(capacity)
}

// capacityOf returns the capacity of a worker.
func (bd *loadTestbed) capacityOf(id incarnation.ID) size.Size {
	if capacity, ok := bd.capacities[id]; ok {
		return capacity
	}
	return bd.capacity
}

// waiting returns how many jobs have not begun, and the age of the oldest of them.
func (bd *loadTestbed) waiting() (count int, oldest time.Duration) {
	for _, sj := range bd.arrivals {
		if sj.startedAt == 0 {
			count++
			oldest = max(oldest, bd.now-sj.arrivedAt)
		}
	}
	return count, oldest
}

// onTimeShare returns the share of a stream's jobs that ended within their objective, and
// the same share for the tenth of them with the most work.
func (bd *loadTestbed) onTimeShare(stream int) (all, largest float64) {
	var list []*simJob
	for _, sj := range bd.arrivals {
		if sj.stream == stream {
			list = append(list, sj)
		}
	}
	slices.SortFunc(list, func(a, b *simJob) int { return cmp.Compare(b.coreSeconds(), a.coreSeconds()) })
	share := func(list []*simJob) float64 {
		onTime := 0
		for _, sj := range list {
			if qu := sj.spec.Queue; sj.endedAt > 0 && sj.endedAt-sj.arrivedAt <= time.Duration(qu.Stretch*float64(sj.runTime))+qu.Target {
				onTime++
			}
		}
		return float64(onTime) / float64(len(list))
	}
	return share(list), share(list[:len(list)/10])
}

// coreSeconds returns the processor time that a job uses.
func (sj *simJob) coreSeconds() float64 {
	st := sj.spec.Steps[0]
	return float64(st.Count) * float64(st.Need.Processors()) / 1000 * sj.runTime.Seconds()
}

// mixedStreams is a load that fills four fifths of a cell of 350 workers: wide gangs that are
// allowed on a quarter of the workers, deferrable batch jobs, and urgent jobs of about three tasks.
func mixedStreams(scale float64) []stream {
	every := func(perSecond float64) time.Duration {
		return time.Duration(float64(time.Second) / (perSecond * scale))
	}
	return []stream{
		{
			queue: work.Queue{Name: "wide", Service: "svc", Priority: 1, Attempts: 3, Stretch: 2.2, Target: time.Second, Advised: true,
				AdviceBase: 540 * time.Millisecond, AdviceEach: 7700 * time.Microsecond},
			interval: every(4.1), tasks: 20, maxTasks: 120, cores: 18, memory: 26000, failing: 0.05, runTime: 6200 * time.Millisecond, gang: true, estimateSpread: 0.9, allowedShare: 0.25,
		},
		{
			queue: work.Queue{Name: "patient", Service: "svc", Priority: 2, Attempts: 2, Stretch: 4, Target: 3 * time.Second, Advised: true,
				AdviceBase: 80 * time.Millisecond, AdviceEach: 1100 * time.Microsecond},
			interval: every(16.8), tasks: 25, maxTasks: 150, cores: 6.9, memory: 13000, failing: 0.02, runTime: 2200 * time.Millisecond, estimateSpread: 0.2, allowedShare: 0.45,
		},
		{
			queue: work.Queue{Name: "urgent", Service: "svc", Priority: 0, Attempts: 3, Stretch: 1.5, Target: 250 * time.Millisecond, Advised: true,
				AdviceBase: 7200 * time.Microsecond, AdviceEach: 100 * time.Microsecond},
			interval: every(125), tasks: 3.2, maxTasks: 19, cores: 9.9, memory: 18000, runTime: 640 * time.Millisecond, estimateSpread: 0.5, allowedShare: 0.7,
		},
	}
}

// longestStartDelay returns the longest time that a job of a stream waited for its first start.
func (bd *loadTestbed) longestStartDelay(stream int) time.Duration {
	var longest time.Duration
	for _, sj := range bd.arrivals {
		if sj.stream == stream && sj.startedAt > 0 {
			longest = max(longest, sj.startedAt-sj.arrivedAt)
		}
	}
	return longest
}
