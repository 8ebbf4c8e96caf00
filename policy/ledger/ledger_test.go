package ledger_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"tackbeam.example/policy/ledger"
	"tackbeam.example/policy/size"
)

func worker(n int) ledger.Worker {
	return ledger.Worker{Name: fmt.Sprintf("w%04d", n), Capacity: size.New(64000, 128<<10, 2), Slots: 8}
}

// TestNoOvercommit makes and releases commitments at random and checks, after each step, that no worker is
// overcommitted and that the maintained load equals a fresh count.
func TestNoOvercommit(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	lg := ledger.New()
	var committed []string
	for step := range 20000 {
		name := worker(rnd.IntN(6)).Name
		switch rnd.IntN(9) {
		case 8:
			lg.SetQuarantined(name, rnd.IntN(2) == 0)
		case 0:
			lg.Put(worker(rnd.IntN(6)))
		case 1:
			lg.Leave(name)
		case 2:
			lg.Remove(name)
		case 3, 4:
			if len(committed) > 0 {
				lg.Release(committed[rnd.IntN(len(committed))])
			}
		default:
			id := fmt.Sprint("t", step)
			sz := size.New(int64(rnd.IntN(20000)), int64(rnd.IntN(40<<10)), int64(rnd.IntN(2)))
			if lg.Take(name, id, sz, rnd.IntN(2)) {
				committed = append(committed, id)
			}
		}
		check(t, lg)
	}
}

func check(t *testing.T, lg *ledger.Ledger) {
	t.Helper()
	var want ledger.Load
	for _, ac := range lg.Accounts() {
		if !ac.Used.Fits(ac.Capacity) || ac.SlotsUsed > ac.Slots || !ac.Used.Valid() || ac.SlotsUsed < 0 {
			t.Fatalf("worker %s: used %v of %v, %d of %d slots", ac.Name, ac.Used, ac.Capacity, ac.SlotsUsed, ac.Slots)
		}
		if !ac.Leaving && !ac.Quarantined {
			want.Workers++
			want.FreeSlots += ac.Slots - ac.SlotsUsed
		}
	}
	fits := false
	probe := size.New(16000, 16<<10, 0)
	for _, ac := range lg.Accounts() {
		fits = fits || !ac.Leaving && !ac.Quarantined && probe.Fits(ac.Capacity.Sub(ac.Used))
	}
	if _, ok := lg.BestFit(probe, nil); ok != fits {
		t.Fatalf("the index finds a fitting worker: %v, a scan: %v", ok, fits)
	}
	if got := lg.Load(); got != want {
		t.Fatalf("load is %+v, a fresh count gives %+v", got, want)
	}
}

// TestReconcile checks that only the commitments that a worker does not report are released.
func TestReconcile(t *testing.T) {
	lg := ledger.New()
	lg.Put(worker(1))
	lg.Put(worker(2))
	lg.Take("w0001", "unreported", size.New(1000, 1, 0), 0)
	lg.Take("w0001", "reported", size.New(1000, 1, 0), 1)
	lg.Take("w0002", "elsewhere", size.New(1000, 1, 0), 0)
	released := lg.Reconcile("w0001", func(id string) bool { return id == "reported" })
	if fmt.Sprint(released) != "[unreported]" || !lg.Has("reported") || !lg.Has("elsewhere") {
		t.Errorf("released %v", released)
	}
}

// BenchmarkLookup commits and releases a slot, with different numbers of workers.
func BenchmarkLookup(b *testing.B) {
	for _, count := range []int{50, 970, 10000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			lg := ledger.New()
			for n := range count {
				lg.Put(worker(n))
			}
			sz := size.New(100, 64, 0)
			for b.Loop() {
				name, _ := lg.LeastLoaded(sz, 4)
				lg.Take(name, "lookup", sz, 1)
				_ = lg.Load()
				lg.Release("lookup")
			}
		})
	}
}

// BenchmarkBestFit finds a worker for a task, with different numbers of workers.
func BenchmarkBestFit(b *testing.B) {
	for _, count := range []int{50, 970, 10000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			lg := ledger.New()
			for n := range count {
				lg.Put(worker(n))
			}
			sz := size.New(8000, 8<<10, 0)
			for b.Loop() {
				name, _ := lg.BestFit(sz, nil)
				lg.Take(name, "task", sz, 0)
				lg.Release("task")
			}
		})
	}
}

// BenchmarkBusyCell finds workers in a cell that is about 90% full with tasks of many sizes; every tenth task is
// larger than the free resources of any worker.
func BenchmarkBusyCell(b *testing.B) {
	for _, count := range []int{50, 970, 10000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			rnd := rand.New(rand.NewPCG(1, 2))
			lg := ledger.New()
			for n := range count {
				wk := worker(n)
				lg.Put(wk)
				lg.Take(wk.Name, wk.Name, size.New(54000+int64(rnd.IntN(8000)), int64(rnd.IntN(100<<10)), 0), 0)
			}
			for n := 0; b.Loop(); n++ {
				sz := size.New(500+int64(rnd.IntN(3000)), 1+int64(rnd.IntN(8<<10)), 0)
				if n%10 == 0 {
					sz = size.New(30000, 1024, 0)
				}
				if name, ok := lg.BestFit(sz, nil); ok {
					lg.Take(name, "task", sz, 0)
					lg.Release("task")
				}
			}
		})
	}
}

// BenchmarkSummary sums up the whole ledger, as each heartbeat does.
func BenchmarkSummary(b *testing.B) {
	for _, count := range []int{139, 970} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			lg := ledger.New()
			for n := range count {
				lg.Put(worker(n))
			}
			for b.Loop() {
				_ = lg.Summary()
			}
		})
	}
}
