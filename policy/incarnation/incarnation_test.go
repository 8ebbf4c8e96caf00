package incarnation_test

import (
	"fmt"
	"testing"

	"tackbeam.example/policy/incarnation"
)

func ExampleID() {
	first, second := incarnation.New("i-1", 1769588838734), incarnation.New("i-1", 1769588840112)
	fmt.Println(first, first.WorkerID() == second.WorkerID(), first == second)
	// Output: i-1@1769588838734 true false
}

// TestParts reads ids and times back, whatever the ids are.
func TestParts(t *testing.T) {
	for name, tc := range map[string]struct {
		id   string
		born int64
	}{
		"usual":               {"i-1c408c3bdb", 1769588838734},
		"time not known":      {"i-1", 0},
		"id with the mark":    {"a@b", 7},
		"id like a life":      {"i-1@7", 0},
		"id like another":     {"i-1@7", 8},
		"id that is the mark": {"@", 0},
		"no id":               {"", 5},
		"before 1970":         {"i-1", -3},
	} {
		t.Run(name, func(t *testing.T) {
			lf := incarnation.New(tc.id, tc.born)
			if lf.WorkerID() != tc.id || lf.StartedAt() != tc.born {
				t.Errorf("%q is of %q, born %d", lf, lf.WorkerID(), lf.StartedAt())
			}
		})
	}
}
