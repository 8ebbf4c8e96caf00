package cell_test

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/incarnation"
	"tackbeam.example/policy/size"
	"tackbeam.example/policy/work"
)

// finishingLoad is a cell whose jobs end as soon as they have started.
type finishingLoad struct {
	*cell.Cell
	now   time.Duration
	jobs  int
	ends  map[incarnation.ID]int
	queue work.Queue
}

const finishingWorkers = 200

func newFinishingLoad(retention time.Duration) *finishingLoad {
	fl := &finishingLoad{
		Cell: cell.New(cell.Options{Retention: retention, FirstRun: 1}), ends: map[incarnation.ID]int{},
		queue: work.Queue{Name: "q", Service: "svc", Attempts: 3, Stretch: 2, Target: time.Second, Advised: true,
			AdviceBase: 11 * time.Millisecond, AdviceEach: 160 * time.Microsecond},
	}
	for n := range finishingWorkers {
		fl.PutWorker(0, cell.Worker{ID: finishingWorker(n), Service: "svc", Capacity: size.New(64000, 256000, 0)})
	}
	fl.FinishRecovery()
	return fl
}

func finishingWorker(n int) incarnation.ID { return incarnation.ID(fmt.Sprintf("w%03d", n)) }

// advance runs a tick of 50 ms in which a number of jobs with eight tasks each arrive, start and end.
func (fl *finishingLoad) advance(jobs int) {
	const tick, tasks = 50 * time.Millisecond, 8
	fl.now += tick
	for n := range finishingWorkers {
		fl.AckedEnd(finishingWorker(n))
		fl.Report(fl.now, finishingWorker(n), fl.now, nil, nil)
	}
	for range jobs {
		fl.jobs++
		fl.Add(fl.now, &work.Job{
			ID: fmt.Sprintf("%016x", fl.jobs), Spec: fmt.Sprintf("%0200d", fl.jobs), Queue: fl.queue,
			Steps: []work.Step{{Count: tasks, Need: size.New(14000, 45000, 0), Estimate: 800 * time.Millisecond}},
		}, false)
	}
	fl.SetCommitted(fl.RecordCount())
	fl.Tick(fl.now, fl.now)
	for pass := range 3 { // requests for advice, starts, ends
		fl.Plan(fl.now + time.Duration(pass))
		out := fl.TakeOutput()
		for _, rq := range out.AdviceRequests {
			var rows []cell.Ticket
			for _, id := range rq.Workers {
				rows = append(rows, cell.Ticket{Worker: id, Text: fmt.Sprintf("%s/%s", rq.Step.StepName(), id)})
			}
			fl.AddAdvice(fl.now, rq, rows, 1500*time.Millisecond)
		}
		for _, sr := range out.Starts {
			fl.Started(fl.now, sr)
			fl.ends[sr.Worker]++
			others := slices.DeleteFunc(fl.HeldRuns(sr.Worker), func(rn cell.Run) bool { return rn.Task == sr.Task })
			fl.Report(fl.now, sr.Worker, fl.now, others, []cell.End{{
				Seq: fl.ends[sr.Worker], Run: cell.Run{Task: sr.Task, Number: sr.Run}, Result: cell.ResultDone,
			}})
		}
	}
	fl.SetCommitted(fl.RecordCount())
	fl.TakeOutput()
}

// heapInUse returns the number of bytes in use on the heap.
func heapInUse() float64 {
	var ms runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&ms)
	return float64(ms.HeapAlloc)
}

// TestMemoryOfEndedJobs checks what the cell keeps of ended jobs while they can be queried, and that this does not grow
// beyond that time. At 1,000 starts per second it must not take more than a quarter of the 147 MB that the runtime of a
// node with 184 MB may use: 300 bytes for each of 120,000 tasks.
func TestMemoryOfEndedJobs(t *testing.T) {
	const (
		retention      = 120 * time.Second
		ticksPerSecond = 20
		jobsPerTick    = 2
		tasksPerSecond = ticksPerSecond * jobsPerTick * 8
		maxBytes       = 300
	)
	fl := newFinishingLoad(retention)
	for range 2 * ticksPerSecond {
		fl.advance(jobsPerTick)
	}
	before := heapInUse()
	var bytes [2]float64 // per task that can be queried, after one and after two times the retention
	for i := range bytes {
		for range int(retention.Seconds()) * ticksPerSecond {
			fl.advance(jobsPerTick)
		}
		bytes[i] = (heapInUse() - before) / (retention.Seconds() * tasksPerSecond)
	}
	if jobs, waiting, _ := fl.Counts(); waiting > jobsPerTick || float64(jobs) > 1.1*retention.Seconds()*ticksPerSecond*jobsPerTick {
		t.Fatalf("%d jobs and %d waiting steps: the load does not end", jobs, waiting)
	}
	t.Logf("%.0f, later %.0f bytes per task", bytes[0], bytes[1])
	if max(bytes[0], bytes[1]) > maxBytes {
		t.Errorf("%.0f, later %.0f bytes are kept per task, more than %d", bytes[0], bytes[1], maxBytes)
	}
	if bytes[1] > 1.1*bytes[0] {
		t.Errorf("memory grows: %.0f, later %.0f bytes per task", bytes[0], bytes[1])
	}
	runtime.KeepAlive(fl)
}

// TestRunOfCompactedJob has a worker report a run of a job long after its end. The run must be stopped, and jobs can be
// queried for as long as they must be.
func TestRunOfCompactedJob(t *testing.T) {
	fl := newFinishingLoad(2 * time.Minute)
	fl.advance(1)
	const id = "0000000000000001"
	if phase, _ := fl.Phase(id, ""); phase != cell.Succeeded {
		t.Fatalf("the job is %s", phase)
	}
	fl.now += time.Minute
	fl.Tick(fl.now, fl.now)
	fl.now += time.Second
	fl.Report(fl.now, finishingWorker(7), fl.now, []cell.Run{{Task: work.Task{Job: id, Index: 3}, Number: 1}}, nil)
	stops := fl.TakeOutput().Stops
	if len(stops) != 1 || stops[0].Worker != finishingWorker(7) || stops[0].Task.Index != 3 {
		t.Errorf("stops: %v", stops)
	}
	if phase, known := fl.Phase(id, ""); !known || phase != cell.Succeeded {
		t.Errorf("the job is %q", phase)
	}
	fl.now += time.Minute
	fl.Tick(fl.now, fl.now)
	if _, known := fl.Phase(id, ""); known {
		t.Error("the job is known after the retention")
	}
}
