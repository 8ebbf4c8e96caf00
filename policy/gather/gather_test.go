package gather_test

import (
	"fmt"
	"strings"
	"testing"

	"tackbeam.example/policy/gather"
	"tackbeam.example/policy/ledger"
	"tackbeam.example/policy/size"
)

// room is an owner's digest: workers of ten cores, some cores free in all and at
// most on one worker.
func room(free, largest int64) ledger.Room {
	return ledger.Room{
		Capacity: size.New(40000, 40, 0), Biggest: size.New(10000, 10, 0),
		Free: size.New(free*1000, free, 0), Largest: size.New(largest*1000, 10, 0),
	}
}

func TestOrder(t *testing.T) {
	owner := func(name string, free, largest int64) gather.Owner {
		return gather.Owner{Name: name, Room: room(free, largest)}
	}
	near := func(ow gather.Owner) gather.Owner { ow.Near = true; return ow }
	has := func(ow gather.Owner) gather.Owner { ow.Have = 1; return ow }
	want := gather.Want{Size: size.New(4000, 1, 0), Tasks: 2}
	reserve := want
	reserve.Reserve = true
	cases := map[string]struct {
		owners []gather.Owner
		want   gather.Want
		asks   string
	}{
		"the one that can take all first":    {[]gather.Owner{owner("a", 5, 5), owner("b", 9, 9)}, want, "b:2 a:2"},
		"among equals the fullest":           {[]gather.Owner{owner("a", 20, 9), owner("b", 9, 9)}, want, "b:2 a:2"},
		"among equals the near one":          {[]gather.Owner{owner("a", 9, 9), near(owner("b", 20, 9))}, want, "b:2 a:2"},
		"near, but it can take fewer":        {[]gather.Owner{owner("a", 9, 9), near(owner("b", 5, 5))}, want, "a:2 b:2"},
		"none without room for one":          {[]gather.Owner{owner("a", 20, 3)}, want, ""},
		"one more than seems to fit":         {[]gather.Owner{owner("a", 3, 4)}, want, "a:1"},
		"one that has places of it already":  {[]gather.Owner{has(owner("a", 0, 0))}, want, "a:1"},
		"all that could, where it reserves":  {[]gather.Owner{owner("a", 0, 0), owner("b", 5, 5)}, reserve, "b:2 a:2"},
		"none that never could, if reserved": {[]gather.Owner{{Name: "a"}}, reserve, ""},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var got []string
			for _, ask := range gather.Order(tc.owners, tc.want) {
				got = append(got, fmt.Sprintf("%s:%d", ask.Owner, ask.Tasks))
			}
			if strings.Join(got, " ") != tc.asks {
				t.Errorf("asks %v, want %s", got, tc.asks)
			}
		})
	}
}
