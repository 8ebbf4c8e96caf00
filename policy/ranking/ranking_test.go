package ranking_test

import (
	"fmt"
	"strings"
	"testing"

	"tackbeam.example/policy/ledger"
	"tackbeam.example/policy/ranking"
	"tackbeam.example/policy/size"
)

// summary returns an owner's summary: workers of ten cores, with the given number of cores free in total and at
// most on one worker.
func summary(free, largest int64) ledger.Summary {
	return ledger.Summary{
		Capacity: size.New(40000, 40, 0), LargestCapacity: size.New(10000, 10, 0),
		Free: size.New(free*1000, free, 0), LargestFree: size.New(largest*1000, 10, 0),
	}
}

func TestOrder(t *testing.T) {
	owner := func(name string, free, largest int64) ranking.Owner {
		return ranking.Owner{Name: name, Summary: summary(free, largest)}
	}
	local := func(ow ranking.Owner) ranking.Owner { ow.Local = true; return ow }
	placed := func(ow ranking.Owner) ranking.Owner { ow.Placed = 1; return ow }
	req := ranking.Request{Size: size.New(4000, 1, 0), Tasks: 2}
	reserve := req
	reserve.Reserve = true
	cases := map[string]struct {
		owners []ranking.Owner
		req    ranking.Request
		want   string
	}{
		"owner that can take all tasks first":    {[]ranking.Owner{owner("a", 5, 5), owner("b", 9, 9)}, req, "b:2 a:2"},
		"least free among equals":                {[]ranking.Owner{owner("a", 20, 9), owner("b", 9, 9)}, req, "b:2 a:2"},
		"local among equals":                     {[]ranking.Owner{owner("a", 9, 9), local(owner("b", 20, 9))}, req, "b:2 a:2"},
		"local, but can take fewer":              {[]ranking.Owner{owner("a", 9, 9), local(owner("b", 5, 5))}, req, "a:2 b:2"},
		"no worker fits a task":                  {[]ranking.Owner{owner("a", 20, 3)}, req, ""},
		"one more task than fits":                {[]ranking.Owner{owner("a", 3, 4)}, req, "a:1"},
		"full, but has tasks of the job":         {[]ranking.Owner{placed(owner("a", 0, 0))}, req, "a:1"},
		"reserving asks full owners":             {[]ranking.Owner{owner("a", 0, 0), owner("b", 5, 5)}, reserve, "b:2 a:2"},
		"reserving skips owners without workers": {[]ranking.Owner{{Name: "a"}}, reserve, ""},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var got []string
			for _, qy := range ranking.Order(tc.owners, tc.req) {
				got = append(got, fmt.Sprintf("%s:%d", qy.Owner, qy.Tasks))
			}
			if strings.Join(got, " ") != tc.want {
				t.Errorf("got queries %v, want %s", got, tc.want)
			}
		})
	}
}
