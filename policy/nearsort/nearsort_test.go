package nearsort_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"

	"tackbeam.example/policy/nearsort"
)

func ExampleSorter_Sort() {
	so := nearsort.Sorter[int]{Compare: cmp.Compare[int]}
	fmt.Println(so.Sort([]int{1, 4, 3, 7, 9, 2}, 4)) // the first four are nearly sorted
	// Output: [1 2 3 4 7 9]
}

// TestSort compares the result with that of a full sort: an element out of place would be served in the wrong order.
func TestSort(t *testing.T) {
	tests := map[string]struct {
		// size is the initial length, swaps how many neighbours change places before each sort, added how many
		// elements are added.
		size, swaps, added int
		shuffled           bool
	}{
		"empty":            {},
		"only new":         {added: 40},
		"unchanged":        {size: 100},
		"few changes":      {size: 100, swaps: 5, added: 3},
		"many changes":     {size: 300, swaps: 300, added: 100},
		"all in new order": {size: 500, shuffled: true, added: 10},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			rng := rand.New(rand.NewPCG(1, 2))
			so := nearsort.Sorter[int]{Compare: cmp.Compare[int]}
			var list []int
			for n := range tt.size {
				list = append(list, 3*n)
			}
			for range 20 {
				kept := len(list)
				for range tt.swaps {
					at := rng.IntN(kept - 1)
					list[at], list[at+1] = list[at+1], list[at]
				}
				if tt.shuffled {
					rng.Shuffle(kept, func(i, j int) { list[i], list[j] = list[j], list[i] })
				}
				for range tt.added {
					list = append(list, rng.IntN(10000))
				}
				want := slices.Sorted(slices.Values(list))
				list = so.Sort(list, kept)
				is.Equal(list, want)
			}
		})
	}
}
