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
