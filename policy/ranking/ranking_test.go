package ranking_test

import (
	"fmt"
	"strings"
	"testing"

	"tackbeam.example/policy/ledger"
	"tackbeam.example/policy/ranking"
	"tackbeam.example/policy/size"
)

// room is an owner's digest: workers of ten cores, some cores free in all and at
// most on one worker.
func room(free, largest int64) ledger.Summary {
	return ledger.Summary{
		Capacity: size.New(40000, 40, 0), LargestCapacity: size.New(10000, 10, 0),
		Free: size.New(free*1000, free, 0), LargestFree: size.New(largest*1000, 10, 0),
	}
}

func TestOrder(t *testing.T) {
	owner := func(name string, free, largest int64) ranking.Owner {
		return ranking.Owner{Name: name, Summary: room(free, largest)}
	}
	near := func(ow ranking.Owner) ranking.Owner { ow.Local = true; return ow }
	has := func(ow ranking.Owner) ranking.Owner { ow.Placed = 1; return ow }
	want := ranking.Request{Size: size.New(4000, 1, 0), Tasks: 2}
	reserve := want
	reserve.Reserve = true
	cases := map[string]struct {
		owners []ranking.Owner
		want   ranking.Request
		asks   string
	}{
		"the one that can take all first":    {[]ranking.Owner{owner("a", 5, 5), owner("b", 9, 9)}, want, "b:2 a:2"},
		"among equals the fullest":           {[]ranking.Owner{owner("a", 20, 9), owner("b", 9, 9)}, want, "b:2 a:2"},
		"among equals the near one":          {[]ranking.Owner{owner("a", 9, 9), near(owner("b", 20, 9))}, want, "b:2 a:2"},
		"near, but it can take fewer":        {[]ranking.Owner{owner("a", 9, 9), near(owner("b", 5, 5))}, want, "a:2 b:2"},
		"none without room for one":          {[]ranking.Owner{owner("a", 20, 3)}, want, ""},
		"one more than seems to fit":         {[]ranking.Owner{owner("a", 3, 4)}, want, "a:1"},
		"one that has places of it already":  {[]ranking.Owner{has(owner("a", 0, 0))}, want, "a:1"},
		"all that could, where it reserves":  {[]ranking.Owner{owner("a", 0, 0), owner("b", 5, 5)}, reserve, "b:2 a:2"},
		"none that never could, if reserved": {[]ranking.Owner{{Name: "a"}}, reserve, ""},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var got []string
			for _, ask := range ranking.Order(tc.owners, tc.want) {
				got = append(got, fmt.Sprintf("%s:%d", ask.Owner, ask.Tasks))
			}
			if strings.Join(got, " ") != tc.asks {
				t.Errorf("asks %v, want %s", got, tc.asks)
			}
		})
	}
}
