package daemon_test

import (
	"fmt"
	"testing"
)

// BenchmarkLookup sends lookups through one node, at several numbers of workers,
// stand-ins and client in the same process.
func BenchmarkLookup(b *testing.B) {
	for _, count := range []int{7, 139} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			bd := newBed(b, count, "n1")
			cl := bd.api("n1")
			setCells(b, cl, "workspace/brno weight 1", "workload/lookup class service")
			for b.Loop() {
				if own, err := ask(cl, "brake pad"); err != nil || !own {
					b.Fatal(own, err)
				}
			}
		})
	}
}

// BenchmarkJob submits jobs and waits for their ends, many at once.
func BenchmarkJob(b *testing.B) {
	bd := newBed(b, 20, "n1")
	cl := bd.api("n1")
	setCells(b, cl, "workspace/brno weight 1", "workload/push class batch")
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if vw, err := submitJob(cl, "push", "m", 1, 0.01, 10); err != nil || vw.Answer != "ran" {
				b.Error(vw, err)
			}
		}
	})
}
