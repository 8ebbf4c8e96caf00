package daemon_test

import (
	"fmt"
	"testing"
)

// BenchmarkLookup measures lookups through one node with several numbers of workers.
// Simulated workers and the client run in the same process.
func BenchmarkLookup(b *testing.B) {
	for _, count := range []int{7, 139} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			bd := newTestbed(b, count, "n1")
			cl := bd.api("n1")
			setCells(b, cl, "workspace/brno weight 1", "workload/lookup class service")
			for b.Loop() {
				if matches, err := sendLookup(cl, "brake pad"); err != nil || !matches {
					b.Fatal(matches, err)
				}
			}
		})
	}
}

// BenchmarkJob measures concurrent jobs from submission to end.
func BenchmarkJob(b *testing.B) {
	bd := newTestbed(b, 20, "n1")
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
