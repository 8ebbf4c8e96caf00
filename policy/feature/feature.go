// Package feature names the optional parts of scheduling, which the settings of a deployment enable.
package feature

import (
	"fmt"
	"slices"
	"strings"
)

// Set is a set of enabled features. The zero value enables none.
type Set uint

// The features.
const (
	// RoomAdmission rejects jobs for which there will be no room in time.
	RoomAdmission Set = 1 << iota
	// UrgentHeadroom keeps room for the urgent work that is expected to arrive.
	UrgentHeadroom
	// AdviceBudget divides the advisor's time among the steps that can use its answers.
	AdviceBudget
	// WorkerSpeeds places work by the speeds that workers have shown.
	WorkerSpeeds
)

// names are the names of the features in settings, in the order of their bits.
var names = []string{"room-admission", "urgent-headroom", "advice-budget", "worker-speeds"}

// Parse returns the set of features with the given names.
func Parse(list []string) (Set, error) {
	var set Set
	for _, name := range list {
		bit := slices.Index(names, name)
		if bit < 0 {
			return 0, fmt.Errorf("feature %q does not exist; there are %s", name, strings.Join(names, ", "))
		}
		set |= 1 << bit
	}
	return set, nil
}

// Has reports whether all of the given features are enabled.
func (set Set) Has(features Set) bool { return set&features == features }

// String returns the names of the enabled features, separated by commas.
func (set Set) String() string {
	var list []string
	for bit, name := range names {
		if set.Has(1 << bit) {
			list = append(list, name)
		}
	}
	return strings.Join(list, ",")
}
