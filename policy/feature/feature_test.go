package feature_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"tackbeam.example/policy/feature"
)

// TestParse guards against a misspelled feature that is silently left disabled.
func TestParse(t *testing.T) {
	tests := map[string]struct {
		list []string
		want feature.Set
		err  string
	}{
		"none":  {},
		"one":   {list: []string{"worker-speeds"}, want: feature.WorkerSpeeds},
		"twice": {list: []string{"advice-budget", "advice-budget"}, want: feature.AdviceBudget},
		"does not exist": {
			list: []string{"room-admission", "speed"},
			err:  `feature "speed" does not exist; there are room-admission, urgent-headroom, advice-budget, worker-speeds`,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			set, err := feature.Parse(tt.list)
			is.Equal(set, tt.want)
			if tt.err != "" {
				is.Equal(err.Error(), tt.err)
				return
			}
			is.NoErr(err)
		})
	}
}

func ExampleSet_String() {
	set, _ := feature.Parse([]string{"worker-speeds", "room-admission"})
	fmt.Println(set)
	fmt.Println(set.Has(feature.WorkerSpeeds), set.Has(feature.AdviceBudget))
	// Output:
	// room-admission,worker-speeds
	// true false
}
