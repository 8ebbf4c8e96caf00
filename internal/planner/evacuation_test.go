package planner_test

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"tackbeam.example/policy/cell"

	"tackbeam.example/tackbeam/internal/agent"
	"tackbeam.example/tackbeam/internal/kv"
	"tackbeam.example/tackbeam/internal/standin/memkv"
	"tackbeam.example/tackbeam/internal/standin/memworkers"
)

const (
	// evacuationTime is the time from which no start may be sent to an evacuated hall.
	evacuationTime = 5 * time.Second
	// evacuationsPrefix is the prefix of the keys that name evacuated halls.
	evacuationsPrefix = "evacuate/"
)

// hallBed is a testbed with workers in several halls, which checks each start that planners send.
type hallBed struct {
	*testbed
	halls map[string]string // by worker

	hallMu sync.Mutex
	// evacuatedAt is since when a hall has been evacuated.
	evacuatedAt map[string]time.Time
	// sent counts the starts sent to each hall.
	sent map[string]int
}

// newHallBed returns a hallBed with workers in halls a, b and c.
func newHallBed(t *testing.T, run time.Duration, perHall int) *hallBed {
	hb := &hallBed{testbed: newTestbed(t, run), halls: map[string]string{}, evacuatedAt: map[string]time.Time{}, sent: map[string]int{}}
	hb.evacuationsPrefix, hb.evacuationTime = evacuationsPrefix, evacuationTime
	hb.onStart = hb.checkStart
	for _, hall := range []string{"a", "b", "c"} {
		for n := range perHall {
			id := hall + strconv.Itoa(n)
			hb.halls[id] = hall
			hb.fleet.Add(id)
			hb.list(id, "hall", hall)
		}
	}
	return hb
}

// evacuate evacuates a hall, or withdraws that.
func (hb *hallBed) evacuate(hall string, evacuated bool) {
	hb.hallMu.Lock()
	defer hb.hallMu.Unlock()
	if evacuated {
		hb.store.Set(evacuationsPrefix+hall, []byte("{}"))
		hb.evacuatedAt[hall] = hb.clock.Now()
		return
	}
	hb.store.Delete(evacuationsPrefix + hall)
	delete(hb.evacuatedAt, hall)
}

// checkStart fails the test if a start is sent to a worker whose hall has been evacuated for too long.
func (hb *hallBed) checkStart(to agent.Target, sr cell.Start) {
	hb.hallMu.Lock()
	defer hb.hallMu.Unlock()
	hall := hb.halls[to.Incarnation.WorkerID()]
	hb.sent[hall]++
	since, evacuated := hb.evacuatedAt[hall]
	if waited := hb.clock.Since(since); evacuated && waited > evacuationTime {
		hb.t.Errorf("start of %s is sent to %s, whose hall was evacuated %v ago", sr.Task, to.Incarnation, waited)
	}
}

// sentTo returns how many starts were sent to a hall.
func (hb *hallBed) sentTo(hall string) int {
	hb.hallMu.Lock()
	defer hb.hallMu.Unlock()
	return hb.sent[hall]
}

// submitSeries submits a job of two tasks every 50 ms for a time.
func (hb *hallBed) submitSeries(nd *node, prefix string, span time.Duration) (ids []string) {
	const interval = 50 * time.Millisecond
	for n := range int(span / interval) {
		id := fmt.Sprint(prefix, n)
		hb.submit(nd, id, 2)
		ids = append(ids, id)
		time.Sleep(interval)
	}
	return ids
}

// TestEvacuation evacuates a hall, changes the planner meanwhile, and withdraws the evacuation.
func TestEvacuation(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		hb := newHallBed(t, 300*time.Millisecond, 2)
		defer hb.end()
		first, second := hb.addTwo()
		ids := hb.submitSeries(second, "before", 2*time.Second)
		if hb.sentTo("a") == 0 {
			t.Error("no start was sent to a hall that is not evacuated")
		}
		hb.evacuate("a", true)
		time.Sleep(time.Second) // the planner's watch is answered at once
		before := hb.sentTo("a")
		ids = append(ids, hb.submitSeries(second, "evacuated", 2*time.Second)...)
		list, err := first.planner.Evacuations()
		if err != nil || len(list) != 1 || list[0].Hall != "a" || list[0].KnownForMS < 2900 || list[0].Runs != 0 {
			t.Errorf("evacuations: %+v, %v", list, err)
		}
		hb.cutOff("n1")
		first.cancel()
		time.Sleep(4 * time.Second) // the next planner takes over
		ids = append(ids, hb.submitSeries(second, "next", 2*time.Second)...)
		if after := hb.sentTo("a"); after != before {
			t.Errorf("%d starts were sent to the evacuated hall", after-before)
		}
		hb.evacuate("a", false)
		time.Sleep(500 * time.Millisecond)
		ids = append(ids, hb.submitSeries(second, "after", 2*time.Second)...)
		if hb.sentTo("a") == before {
			t.Error("no start was sent to the hall after its evacuation was withdrawn")
		}
		for _, id := range ids {
			hb.await(id, cell.Succeeded, 10*time.Second)
		}
	})
}

// silenceEvacuations makes the store leave reads of the evacuated halls unanswered while silent is set. All other calls
// are answered.
func (hb *hallBed) silenceEvacuations(silent *atomic.Bool) {
	hb.agents = hb.fleet.Agents()
	hb.agents.Start = hb.observeStart(hb.agents.Start)
	hb.wrapStore = func(st *kv.Store) *kv.Store {
		scan, watch := st.Range, st.Watch
		st.Range = func(ctx context.Context, prefix, after string, stale bool) (kv.Page, error) {
			if prefix == evacuationsPrefix && silent.Load() {
				<-ctx.Done()
				return kv.Page{}, kv.ErrNoAnswer
			}
			return scan(ctx, prefix, after, stale)
		}
		st.Watch = func(ctx context.Context, prefix string, after uint64, wait time.Duration) (kv.Events, error) {
			events, err := watch(ctx, prefix, after, wait)
			if prefix == evacuationsPrefix && silent.Load() {
				<-ctx.Done()
				return kv.Events{}, kv.ErrNoAnswer
			}
			return events, err
		}
		return st
	}
}

// TestEvacuationUnknown has a hall evacuated while the planner cannot read the evacuated halls. It must not send starts
// for longer than it may be unaware of that, although its lease and its list of workers would allow it to.
func TestEvacuationUnknown(t *testing.T) {
	for name, fromTheBeginning := range map[string]bool{"from the beginning of the term": true, "later": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				hb := newHallBed(t, 300*time.Millisecond, 2)
				defer hb.end()
				var silent atomic.Bool
				silent.Store(fromTheBeginning)
				hb.silenceEvacuations(&silent)
				nd := hb.addNode("n1")
				hb.awaitLeader(nd)
				ids := hb.submitSeries(nd, "before", time.Second)
				if started := hb.sentTo("a")+hb.sentTo("b")+hb.sentTo("c") > 0; started == fromTheBeginning {
					t.Errorf("starts were sent: %v", started)
				}
				silent.Store(true)
				hb.evacuate("a", true)
				ids = append(ids, hb.submitSeries(nd, "unaware", 12*time.Second)...) // checkStart checks each start
				silent.Store(false)
				for _, id := range ids {
					hb.await(id, cell.Succeeded, 20*time.Second)
				}
			})
		})
	}
}

// TestEvacuationEntries writes keys below the prefix that are unusual. Tasks must start in the halls that none names.
func TestEvacuationEntries(t *testing.T) {
	for name, key := range map[string]string{"no hall": "", "unknown hall": "d", "path": "a/b"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				hb := newHallBed(t, 300*time.Millisecond, 1)
				defer hb.end()
				hb.store.Set(evacuationsPrefix+key, []byte("not json"))
				nd := hb.addNode("n1")
				hb.submit(nd, "job", 24)
				hb.await("job", cell.Succeeded, 5*time.Second)
				for _, hall := range []string{"a", "b", "c"} {
					if hb.sentTo(hall) != 8 {
						t.Errorf("%d starts were sent to hall %s, want 8", hb.sentTo(hall), hall)
					}
				}
			})
		})
	}
}

// TestEvacuationPlay draws from a seed when halls are evacuated, and faults beside: planners that die, nodes that are cut
// off from the store, a store that is silent or forgets its history, lost and late orders. No start may be sent to a hall
// that has been evacuated for longer than evacuationTime, and all jobs must end.
//
//	TACKBEAM_EVACUATION_SEEDS=300 go test ./internal/planner -run TestEvacuationPlay
func TestEvacuationPlay(t *testing.T) {
	seeds, err := strconv.ParseUint(cmp.Or(os.Getenv("TACKBEAM_EVACUATION_SEEDS"), "12"), 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { playEvacuations(t, rand.New(rand.NewPCG(seed, 3))) })
		})
	}
}

// playEvacuations plays one seed of TestEvacuationPlay.
func playEvacuations(t *testing.T, rnd *rand.Rand) {
	const events, settle = 30, 20 * time.Second
	hb := newHallBed(t, 400*time.Millisecond, 3)
	defer hb.end()
	names := 0
	add := func() *node {
		names++
		return hb.addNode(fmt.Sprint("n", names))
	}
	live := []*node{add(), add(), add()}
	time.Sleep(2 * time.Second)
	var ids []string
	for n := range events {
		id := fmt.Sprint("job", n)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		if live[rnd.IntN(len(live))].intake.Submit(ctx, newJob(hb.accepted, id, 1+rnd.IntN(6))) == nil {
			ids = append(ids, id)
		}
		cancel()
		switch hall := string("abc"[rnd.IntN(3)]); rnd.IntN(9) {
		case 0, 1, 2:
			hb.evacuate(hall, true)
		case 3:
			hb.evacuate(hall, false)
		case 4:
			hb.cutOff(fmt.Sprint("n", 1+rnd.IntN(names)))
		case 5:
			hb.store.SetFault(func(string, string) memkv.Fault { return memkv.RequestLost })
		case 6:
			hb.store.Compact()
			faults := rand.New(rand.NewPCG(rnd.Uint64(), 4))
			hb.fleet.SetFault(func(_, order string) memworkers.Fault {
				if order == "start" {
					return memworkers.Fault(faults.IntN(int(memworkers.Delayed) + 1))
				}
				return memworkers.None
			})
		case 7:
			at := rnd.IntN(len(live))
			live[at].cancel()
			live[at] = add()
		case 8:
			hb.store.SetFault(func(string, string) memkv.Fault { return memkv.None })
			hb.clearFaults()
		}
		time.Sleep(time.Duration(200+rnd.IntN(2000)) * time.Millisecond)
	}
	hb.store.SetFault(func(string, string) memkv.Fault { return memkv.None })
	hb.clearFaults()
	for _, hall := range []string{"a", "b", "c"} {
		hb.evacuate(hall, false)
	}
	time.Sleep(settle)
	for _, id := range ids {
		hb.await(id, cell.Succeeded, settle)
	}
}
