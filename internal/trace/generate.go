package trace

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/samber/lo"

	"tackbeam.example/policy/size"
	"tackbeam.example/tackbeam/internal/fault"
)

// Sizes of the workers at the users' sites: millicores, MiB and slots.
const (
	siteCores  = 64000
	brnoMemory = 128 << 10
	aklMemory  = 256 << 10
	siteSlots  = 8
)

// builder collects the events of a trace.
type builder struct {
	rd     *rand.Rand
	events []Event
	jobs   int
}

// workload describes a shipped trace; build generates its events.
type workload struct {
	description string
	span        time.Duration
	outcomes    Outcomes
	build       func(bd *builder)
}

// Names returns the names of the traces that can be generated.
func Names() []string { return slices.Sorted(slices.Values(lo.Keys(workloads))) }

// Generate generates a trace by name; the same seed gives the same trace.
func Generate(name string, seed uint64) (*Trace, error) {
	wl, ok := workloads[name]
	if !ok {
		return nil, fault.New(fault.BadRequest, "no trace %s; known traces are %v", name, Names())
	}
	bd := &builder{rd: rand.New(rand.NewPCG(seed, uint64(len(name))))}
	wl.build(bd)
	slices.SortStableFunc(bd.events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return New(Header{Name: name, Description: wl.description, Span: wl.span, Owners: 3, Outcomes: wl.outcomes}, bd.events), nil
}

func (bd *builder) add(at time.Duration, ev Event) {
	ev.At = at
	bd.events = append(bd.events, ev)
}

// addBrno adds 48 workers in three halls, in racks of eight.
func (bd *builder) addBrno() { bd.addHalls([]string{"brno-1", "brno-2", "olomouc"}, 16, 8, brnoMemory) }

// addAuckland adds 48 workers in four halls, in racks of six.
func (bd *builder) addAuckland() {
	bd.addHalls([]string{"akl-1", "akl-2", "akl-3", "akl-4"}, 12, 6, aklMemory)
}

func (bd *builder) addHalls(halls []string, count, rack int, memory int64) {
	for _, hall := range halls {
		bd.add(0, Event{Workers: &Workers{
			Hall: hall, Count: count, Rack: rack, Size: size.New(siteCores, memory, 0), Slots: siteSlots,
		}})
	}
}

// jobTemplate describes jobs of one kind and how they vary.
type jobTemplate struct {
	workload string
	tasks    int
	size     size.Size
	run      time.Duration
	// sigma is the standard deviation of the logarithm of the run time.
	sigma      float64
	deadline   time.Duration
	priority   int
	repeatable bool
	// declaredFactor is the ratio of the declared size to the size that the jobs use; 0 means 1.
	declaredFactor float64
}

// Job templates of the users' workloads; their sizes and times are assumptions.
var (
	push    = jobTemplate{workload: "push", tasks: 1, size: size.New(4000, 4<<10, 0), run: 3 * time.Second, sigma: 0.3, priority: 5}
	refresh = jobTemplate{workload: "refresh", tasks: 1, size: size.New(16000, 12<<10, 0), run: 20 * time.Second, sigma: 0.5, priority: 4, repeatable: true}
	rebuild = jobTemplate{workload: "rebuild", tasks: 24, size: size.New(32000, 40<<10, 0), run: 40 * time.Second, sigma: 0.2, priority: 5, repeatable: true}
	urgent  = jobTemplate{workload: "urgent", tasks: 1, size: size.New(16000, 8<<10, 0), run: 5 * time.Second, sigma: 0.2, priority: 9}
)

// with returns a modified copy.
func (jt jobTemplate) with(change func(*jobTemplate)) jobTemplate {
	change(&jt)
	return jt
}

// addJob adds a job and returns its ID.
func (bd *builder) addJob(at time.Duration, workspace string, jt jobTemplate) string {
	bd.jobs++
	id := fmt.Sprint("j", bd.jobs)
	declared := jt.size
	if jt.declaredFactor > 0 {
		for d := range declared {
			declared[d] = int64(float64(declared[d]) * jt.declaredFactor)
		}
	}
	run := time.Duration(float64(jt.run) * math.Exp(jt.sigma*bd.rd.NormFloat64()))
	bd.add(at, Event{Job: &Job{
		ID: id, Workspace: workspace, Workload: jt.workload, Tasks: jt.tasks, Size: declared, Used: jt.size,
		RunTime: run.Round(time.Millisecond), Deadline: jt.deadline, Priority: jt.priority, Repeatable: jt.repeatable,
	}})
	return id
}

// addJobs adds jobs at a mean rate per second, with exponentially distributed gaps.
func (bd *builder) addJobs(from, to time.Duration, rate float64, workspaces []string, jt jobTemplate) {
	for at := from; ; {
		at += time.Duration(bd.rd.ExpFloat64() / rate * float64(time.Second))
		if at >= to {
			return
		}
		bd.addJob(at, workspaces[bd.rd.IntN(len(workspaces))], jt)
	}
}

// addLookups adds a stream of lookups.
func (bd *builder) addLookups(from, to time.Duration, rate float64, workspace string) {
	bd.add(from, Event{Lookups: &Lookups{
		Workspace: workspace, Rate: rate, Duration: to - from, RunTime: 100 * time.Millisecond,
		Budget: 2 * time.Second, Seed: bd.rd.Uint64(),
	}})
}

// workspaceNames returns the names of n workspaces.
func workspaceNames(n int) []string {
	return lo.Times(n, func(i int) string { return fmt.Sprintf("ws-%03d", i+1) })
}
