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

// TestParts checks that the worker's id and the start time are read back, including from ids with a separator.
func TestParts(t *testing.T) {
	for name, tc := range map[string]struct {
		id        string
		startedAt int64
	}{
		"typical":                         {"i-1c408c3bdb", 1769588838734},
		"unknown start time":              {"i-1", 0},
		"id with a separator":             {"a@b", 7},
		"id like an incarnation":          {"i-1@7", 0},
		"id like an incarnation, started": {"i-1@7", 8},
		"id is the separator":             {"@", 0},
		"empty id":                        {"", 5},
		"before 1970":                     {"i-1", -3},
	} {
		t.Run(name, func(t *testing.T) {
			inc := incarnation.New(tc.id, tc.startedAt)
			if inc.WorkerID() != tc.id || inc.StartedAt() != tc.startedAt {
				t.Errorf("%q has id %q, start time %d", inc, inc.WorkerID(), inc.StartedAt())
			}
		})
	}
}
