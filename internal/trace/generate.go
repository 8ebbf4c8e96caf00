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

// The sizes of the sites, from the users' brief: cores, MiB, slots.
const (
	siteCores  = 64000
	brnoMemory = 128 << 10
	aklMemory  = 256 << 10
	siteSlots  = 8
)

// maker puts a trace together.
type maker struct {
	rd     *rand.Rand
	events []Event
	jobs   int
}

// recipe makes one of the shipped traces.
type recipe struct {
	about    string
	span     time.Duration
	outcomes Outcomes
	fill     func(mk *maker)
}

// Names lists the traces that can be made.
func Names() []string { return slices.Sorted(slices.Values(lo.Keys(recipes))) }

// Generate makes the trace of a name; the same seed gives the same trace.
func Generate(name string, seed uint64) (*Trace, error) {
	rc, ok := recipes[name]
	if !ok {
		return nil, fault.New(fault.BadRequest, "no trace %s; there are %v", name, Names())
	}
	mk := &maker{rd: rand.New(rand.NewPCG(seed, uint64(len(name))))}
	rc.fill(mk)
	slices.SortStableFunc(mk.events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return New(Header{Name: name, Description: rc.about, Span: rc.span, Owners: 3, Outcomes: rc.outcomes}, mk.events), nil
}

func (mk *maker) add(at time.Duration, ev Event) {
	ev.At = at
	mk.events = append(mk.events, ev)
}

// brno adds 48 workers in three halls, racks of eight.
func (mk *maker) brno() { mk.site([]string{"brno-1", "brno-2", "olomouc"}, 16, 8, brnoMemory) }

// auckland adds 48 workers in four halls, racks of six.
func (mk *maker) auckland() {
	mk.site([]string{"akl-1", "akl-2", "akl-3", "akl-4"}, 12, 6, aklMemory)
}

func (mk *maker) site(halls []string, count, rack int, memory int64) {
	for _, hall := range halls {
		mk.add(0, Event{Workers: &Workers{
			Hall: hall, Count: count, Rack: rack, Size: size.New(siteCores, memory, 0), Slots: siteSlots,
		}})
	}
}

// shape is a kind of job and how it varies.
type shape struct {
	workload string
	tasks    int
	size     size.Size
	run      time.Duration
	// spread is the deviation of the logarithm of the run time.
	spread   float64
	deadline time.Duration
	priority int
	repeat   bool
	// declared multiplies the size that jobs declare, against what they use.
	declared float64
}

// The shapes of work, from the users' brief; the figures are assumed.
var (
	push    = shape{workload: "push", tasks: 1, size: size.New(4000, 4<<10, 0), run: 3 * time.Second, spread: 0.3, priority: 5}
	refresh = shape{workload: "refresh", tasks: 1, size: size.New(16000, 12<<10, 0), run: 20 * time.Second, spread: 0.5, priority: 4, repeat: true}
	rebuild = shape{workload: "rebuild", tasks: 24, size: size.New(32000, 40<<10, 0), run: 40 * time.Second, spread: 0.2, priority: 5, repeat: true}
	urgent  = shape{workload: "urgent", tasks: 1, size: size.New(16000, 8<<10, 0), run: 5 * time.Second, spread: 0.2, priority: 9}
)

// with returns a changed copy.
func (sh shape) with(change func(*shape)) shape {
	change(&sh)
	return sh
}

// job adds one job.
func (mk *maker) job(at time.Duration, workspace string, sh shape) string {
	mk.jobs++
	id := fmt.Sprint("j", mk.jobs)
	declared := sh.size
	if sh.declared > 0 {
		for d := range declared {
			declared[d] = int64(float64(declared[d]) * sh.declared)
		}
	}
	run := time.Duration(float64(sh.run) * math.Exp(sh.spread*mk.rd.NormFloat64()))
	mk.add(at, Event{Job: &Job{
		ID: id, Workspace: workspace, Workload: sh.workload, Tasks: sh.tasks, Size: declared, Used: sh.size,
		RunTime: run.Round(time.Millisecond), Deadline: sh.deadline, Priority: sh.priority, Repeatable: sh.repeat,
	}})
	return id
}

// stream adds jobs at a mean rate a second, with gaps by chance.
func (mk *maker) stream(from, to time.Duration, rate float64, workspaces []string, sh shape) {
	for at := from; ; {
		at += time.Duration(mk.rd.ExpFloat64() / rate * float64(time.Second))
		if at >= to {
			return
		}
		mk.job(at, workspaces[mk.rd.IntN(len(workspaces))], sh)
	}
}

// lookups adds a stream of lookups.
func (mk *maker) lookups(from, to time.Duration, rate float64, workspace string) {
	mk.add(from, Event{Lookups: &Lookups{
		Workspace: workspace, Rate: rate, Duration: to - from, RunTime: 100 * time.Millisecond,
		Budget: 2 * time.Second, Seed: mk.rd.Uint64(),
	}})
}

// named returns the names of n workspaces.
func named(n int) []string {
	return lo.Times(n, func(i int) string { return fmt.Sprintf("ws-%03d", i+1) })
}
