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
	"tackbeam.example/policy/incarnation"
	"tackbeam.example/policy/size"
	"tackbeam.example/policy/work"
)

// stream is one kind of job that arrives all day.
type stream struct {
	queue work.Queue
	// each is the mean time between two jobs; width, cores and run are the means of what
	// one has, each with a spread of its logarithm of 0.6 at the most.
	each  time.Duration
	width float64
	most  int
	cores float64
	// memory is in MB.
	memory float64
	// accelerators are drawn from for each job: what one of its tasks needs.
	accelerators []int64
	run          time.Duration
	gang         bool
	// saves is the share of jobs whose tasks save their progress.
	saves float64
	// fails is the share of jobs of which one run fails halfway.
	fails float64
	// off is the spread of the callers' estimates.
	off float64
	// good is the share of workers that the advisor allows.
	good float64
}

// busyDay is a cell under steady load for a while, with an advisor that takes its time.
type busyDay struct {
	rd      *rand.Rand
	now     time.Duration
	cell    *cell.Cell
	reign   int
	workers []incarnation.ID
	// capacity is what each worker has.
	capacity size.Size
	streams  []stream
	next     []time.Duration
	jobs     map[string]*arrival
	order    []*arrival
	runs     map[work.Task]*dayRun
	ends     map[incarnation.ID]int
	// dark is set while there is no planner; kept are the ends that workers keep meanwhile.
	dark    bool
	kept    map[incarnation.ID][]cell.End
	queue   events
	records []cell.Record
	// asks is when each node that asks the advisor is free again.
	asks []time.Duration
	// used are the thousandths of a core in use on each worker.
	used map[incarnation.ID]int64
	// questions counts those asked, misses those that found all nodes busy.
	questions, misses int
	// took is the advisor's time that each stream used, count its questions.
	took  [3]time.Duration
	count [3]int
	// answered takes the answer to the question that is asked in place of the cell, where it is set.
	answered func(rows []cell.Ticket)
	// admits reports whether a job is taken; nil where all are.
	admits func(qu work.Queue) bool
}

type arrival struct {
	spec    *work.Job
	stream  int
	at      time.Duration
	run     time.Duration
	started time.Duration
	left    int
	ended   time.Duration
	fails   bool
}

type dayRun struct {
	number  int
	worker  incarnation.ID
	started time.Duration
	over    time.Duration
	// from is the work that was done before, which the run goes on from once it is restored.
	from time.Duration
}

// done is the work of its task that a run has done.
func (rn *dayRun) done(now time.Duration) time.Duration {
	if rn.from == 0 {
		return now - rn.started
	}
	return rn.from + max(now-rn.started-restoreTime, 0)
}

// checkpoint is what a run has saved of its work, as text.
func (rn *dayRun) checkpoint(now time.Duration) string {
	if saved := rn.done(now).Truncate(saveEvery); saved > 0 {
		return saved.String()
	}
	return ""
}

// event is something that happens later.
type event struct {
	at  time.Duration
	act func()
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

// Figures of the day: the pool of nodes that ask the advisor is the runtime's.
const (
	dayStep     = 10 * time.Millisecond
	ticketValid = 1500 * time.Millisecond
	workerCores = 64000
	// workerMemory is in MB.
	workerMemory = 131072
	askPatience  = 300 * time.Millisecond
	askLongest   = 2500 * time.Millisecond
	askReserved  = 6
	// saveEvery is the work between two checkpoints, restoreTime what going on from one takes.
	saveEvery   = 500 * time.Millisecond
	restoreTime = 600 * time.Millisecond
)

func newBusyDay(seed uint64, workers, nodes int, streams []stream) *busyDay {
	return newEquippedDay(seed, workers, nodes, 0, streams)
}

// newEquippedDay is a busy day on workers with accelerators.
func newEquippedDay(seed uint64, workers, nodes int, accelerators int64, streams []stream) *busyDay {
	bd := &busyDay{
		capacity: size.New(workerCores, workerMemory, accelerators),
		rd:       rand.New(rand.NewPCG(seed, 7)), streams: streams, next: make([]time.Duration, len(streams)),
		jobs: map[string]*arrival{}, runs: map[work.Task]*dayRun{}, ends: map[incarnation.ID]int{}, kept: map[incarnation.ID][]cell.End{},
		asks: make([]time.Duration, nodes), used: map[incarnation.ID]int64{},
	}
	for n := range workers {
		bd.workers = append(bd.workers, incarnation.ID(fmt.Sprintf("w%03d", n)))
	}
	bd.elect()
	return bd
}

// elect starts another planner, which knows the journal and what the workers report.
func (bd *busyDay) elect() {
	bd.dark = false
	bd.reign++
	bd.cell = cell.New(cell.Options{Retention: 2 * time.Minute, FirstRun: (bd.reign-1)*64 + 1, StopTimeout: stopTime})
	for _, ar := range bd.order {
		bd.cell.AddAged(bd.now, bd.now-ar.at, ar.spec)
	}
	bd.cell.Restore(bd.now, bd.records)
	for n, id := range bd.workers {
		bd.cell.PutWorker(bd.now, cell.Worker{ID: id, Service: "svc", Rack: fmt.Sprint(n / 12), Capacity: bd.capacity})
		bd.report(id, bd.kept[id])
	}
	clear(bd.kept)
	bd.cell.SetCommitted(bd.cell.RecordCount())
	bd.cell.FinishRecovery()
	bd.carryOut()
}

// after has something happen later in the reign.
func (bd *busyDay) after(span time.Duration, act func()) {
	heap.Push(&bd.queue, event{bd.now + span, act})
}

// happen has the next event happen.
func (bd *busyDay) happen() { heap.Pop(&bd.queue).(event).act() }

func (bd *busyDay) draw(mean, spread float64) float64 {
	return mean * math.Exp(spread*bd.rd.NormFloat64()-spread*spread/2)
}

func (bd *busyDay) arrive() {
	for at, sm := range bd.streams {
		for bd.next[at] <= bd.now {
			bd.next[at] += time.Duration(bd.rd.ExpFloat64() * float64(sm.each))
			run := time.Duration(min(bd.draw(float64(sm.run), 0.5), 2.6*float64(sm.run)))
			count := min(max(int(math.Round(bd.draw(sm.width, 0.7))), 1), sm.most)
			cores := int64(1000 * min(bd.draw(sm.cores, 0.4), max(30, sm.cores)))
			memory := int64(min(bd.draw(sm.memory, 0.5), 3*sm.memory, workerMemory))
			var accelerators int64
			if len(sm.accelerators) > 0 {
				accelerators = sm.accelerators[bd.rd.IntN(len(sm.accelerators))]
			}
			ar := &arrival{stream: at, at: bd.now, run: run, left: count, fails: bd.rd.Float64() < sm.fails, spec: &work.Job{
				ID: fmt.Sprintf("s%dj%05d", at, len(bd.order)), Queue: sm.queue,
				Steps: []work.Step{{
					Count: count, Gang: sm.gang, Checkpoints: sm.saves > 0 && bd.rd.Float64() < sm.saves, Need: size.New(cores, memory, accelerators),
					Estimate: time.Duration(float64(run) * math.Exp(sm.off*bd.rd.NormFloat64())),
				}},
			}}
			if bd.admits != nil && !bd.admits(sm.queue) {
				continue
			}
			bd.jobs[ar.spec.ID] = ar
			bd.order = append(bd.order, ar)
			bd.cell.Add(bd.now, ar.spec, false)
		}
	}
}

// pass lets time go by until the end of a span, with new jobs or without.
func (bd *busyDay) pass(span time.Duration, traffic bool) {
	for end := bd.now + span; bd.now < end; {
		bd.now += dayStep
		if traffic {
			bd.arrive()
		}
		for len(bd.queue) > 0 && bd.queue[0].at <= bd.now {
			bd.happen()
		}
		if bd.dark {
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
		bd.carryOut()
	}
}

func (bd *busyDay) carryOut() {
	for out := range orders(bd.cell, &bd.records) {
		for _, sr := range out.Starts {
			bd.start(sr)
		}
		for _, sp := range out.Stops {
			bd.stop(sp)
		}
		for _, qn := range out.AdviceRequests {
			bd.ask(qn)
		}
	}
}

func (bd *busyDay) start(sr cell.Start) {
	bd.run(sr)
	bd.cell.Started(bd.now, sr)
}

// run has a worker begin what it was told to.
func (bd *busyDay) run(sr cell.Start) {
	ar := bd.jobs[sr.Task.Job]
	if ar.started == 0 {
		ar.started = bd.now
	}
	rn := &dayRun{number: sr.Run, worker: sr.Worker, started: bd.now, over: bd.now + ar.run}
	if sr.Checkpoint != "" {
		rn.from, _ = time.ParseDuration(sr.Checkpoint) // written by checkpoint
		rn.over += restoreTime - rn.from
	}
	bd.runs[sr.Task] = rn
	bd.used[sr.Worker] += ar.spec.Steps[0].Need.Processors()
	if ar.fails && sr.Task.Index == 0 {
		ar.fails = false
		bd.after(ar.run/2, func() { bd.end(sr.Task, rn, cell.ResultFailed) })
		return
	}
	bd.after(rn.over-bd.now, func() { bd.end(sr.Task, rn, cell.ResultDone) })
}

func (bd *busyDay) stop(sp cell.Stop) {
	bd.cell.Stopped(bd.now, sp)
	if rn := bd.runs[sp.Task]; rn != nil && rn.number == sp.Run {
		bd.after(stopTime, func() { bd.end(sp.Task, rn, cell.ResultStopped) })
	}
}

// end ends a run, unless another has taken its place, and has its worker report.
func (bd *busyDay) end(name work.Task, rn *dayRun, how cell.Result) {
	if bd.runs[name] != rn {
		return
	}
	delete(bd.runs, name)
	ar := bd.jobs[name.Job]
	bd.used[rn.worker] -= ar.spec.Steps[0].Need.Processors()
	if how == cell.ResultDone {
		if ar.left--; ar.left == 0 {
			ar.ended = bd.now
		}
	}
	bd.ends[rn.worker]++
	end := cell.End{Seq: bd.ends[rn.worker], Run: cell.Run{Task: name, Number: rn.number}, Result: how}
	if ar.spec.Steps[0].Checkpoints {
		end.Checkpoint = rn.checkpoint(bd.now)
	}
	if bd.dark {
		bd.kept[rn.worker] = append(bd.kept[rn.worker], end)
		return
	}
	bd.report(rn.worker, []cell.End{end})
}

func (bd *busyDay) report(id incarnation.ID, ends []cell.End) {
	var runs []cell.Run
	for name, rn := range bd.runs {
		if rn.worker == id {
			ar := bd.jobs[name.Job]
			run := cell.Run{Task: name, Number: rn.number, Percent: int(100 * rn.done(bd.now) / ar.run)}
			if ar.spec.Steps[0].Checkpoints {
				run.Checkpoint = rn.checkpoint(bd.now)
			}
			runs = append(runs, run)
		}
	}
	bd.cell.Report(bd.now, id, bd.now, runs, ends)
}

// ask puts a question to the node that is free soonest, or refuses it where all have
// too much to do.
func (bd *busyDay) ask(qn cell.AdviceRequest) {
	nodes, most := bd.asks, askLongest
	if !qn.Urgent {
		nodes, most = bd.asks[min(askReserved, len(bd.asks)/3):], askPatience
	}
	best := 0
	for at := range nodes {
		if nodes[at] < nodes[best] {
			best = at
		}
	}
	wait := max(nodes[best]-bd.now, 0)
	if wait > most {
		bd.misses++
		bd.cell.AdviceDeferred(bd.now, qn)
		return
	}
	bd.questions++
	stream := bd.jobs[qn.Step.Job].stream
	bd.took[stream] += qn.Takes
	bd.count[stream]++
	nodes[best] = bd.now + wait + qn.Takes
	reign, answered := bd.reign, bd.answered
	bd.after(wait+qn.Takes, func() {
		if reign != bd.reign {
			return
		}
		var rows []cell.Ticket
		good := bd.streams[stream].good
		for _, id := range qn.Workers {
			if allows(qn.Step.StepName(), id, good) {
				rows = append(rows, cell.Ticket{Worker: id, Text: "t"})
			}
		}
		if answered != nil {
			answered(rows)
			return
		}
		bd.cell.AddAdvice(bd.now, qn, rows, ticketValid)
	})
}

// allows draws, always the same for a step and a worker, whether the advisor allows it.
func allows(step string, worker incarnation.ID, good float64) bool {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(step + "/" + string(worker)))
	return float64(hash.Sum32()%1000) < 1000*good
}

// inUse is the part of all processors that runs use.
func (bd *busyDay) inUse() float64 {
	var used int64
	for _, each := range bd.used {
		used += each
	}
	return float64(used) / float64(workerCores*len(bd.workers))
}

// waiting returns how many jobs have not begun, and the age of the oldest of them.
func (bd *busyDay) waiting() (count int, oldest time.Duration) {
	for _, ar := range bd.order {
		if ar.started == 0 {
			count++
			oldest = max(oldest, bd.now-ar.at)
		}
	}
	return count, oldest
}

// inTime is the share of a stream's jobs that ended within their objective, and largest
// that of the tenth of them with most work.
func (bd *busyDay) inTime(stream int) (all, largest float64) {
	var list []*arrival
	for _, ar := range bd.order {
		if ar.stream == stream {
			list = append(list, ar)
		}
	}
	slices.SortFunc(list, func(a, b *arrival) int { return cmp.Compare(b.work(), a.work()) })
	share := func(list []*arrival) float64 {
		good := 0
		for _, ar := range list {
			if qu := ar.spec.Queue; ar.ended > 0 && ar.ended-ar.at <= time.Duration(qu.Stretch*float64(ar.run))+qu.Target {
				good++
			}
		}
		return float64(good) / float64(len(list))
	}
	return share(list), share(list[:len(list)/10])
}

// work is what a job uses, in core-seconds.
func (ar *arrival) work() float64 {
	st := ar.spec.Steps[0]
	return float64(st.Count) * float64(st.Need.Processors()) / 1000 * ar.run.Seconds()
}

// grownStreams are the loads of a cell of 350 workers that fill four fifths of it: wide
// gangs on a quarter of the workers, patient tasks, and urgent ones of three tasks.
func grownStreams(scale float64) []stream {
	every := func(perSecond float64) time.Duration {
		return time.Duration(float64(time.Second) / (perSecond * scale))
	}
	return []stream{
		{
			queue: work.Queue{Name: "wide", Service: "svc", Priority: 1, Attempts: 3, Stretch: 2.2, Target: time.Second, Advised: true,
				AdviceBase: 540 * time.Millisecond, AdviceEach: 7700 * time.Microsecond},
			each: every(4.1), width: 20, most: 120, cores: 18, memory: 26000, fails: 0.05, run: 6200 * time.Millisecond, gang: true, off: 0.9, good: 0.25,
		},
		{
			queue: work.Queue{Name: "patient", Service: "svc", Priority: 2, Attempts: 2, Stretch: 4, Target: 3 * time.Second, Advised: true,
				AdviceBase: 80 * time.Millisecond, AdviceEach: 1100 * time.Microsecond},
			each: every(16.8), width: 25, most: 150, cores: 6.9, memory: 13000, fails: 0.02, run: 2200 * time.Millisecond, off: 0.2, good: 0.45,
		},
		{
			queue: work.Queue{Name: "urgent", Service: "svc", Priority: 0, Attempts: 3, Stretch: 1.5, Target: 250 * time.Millisecond, Advised: true,
				AdviceBase: 7200 * time.Microsecond, AdviceEach: 100 * time.Microsecond},
			each: every(125), width: 3.2, most: 19, cores: 9.9, memory: 18000, run: 640 * time.Millisecond, off: 0.5, good: 0.7,
		},
	}
}

// longestStart is the longest time that a job of a stream waited for its first start.
func (bd *busyDay) longestStart(stream int) time.Duration {
	var longest time.Duration
	for _, ar := range bd.order {
		if ar.stream == stream && ar.started > 0 {
			longest = max(longest, ar.started-ar.at)
		}
	}
	return longest
}
