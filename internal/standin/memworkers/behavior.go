package memworkers

import (
	"time"

	"tackbeam.example/policy/cell"
)

// Behavior is how a run behaves.
type Behavior struct {
	// Takes is how long the run takes, 0 for the run time of New.
	Takes time.Duration
	// HangsAfter is how long the run works until it makes no more progress, 0 if it does not hang.
	HangsAfter time.Duration
	// Fails is set if it then ends as failed.
	Fails bool
	// Gang is the number of the members of its gang, 0 if it belongs to none. They take the time of the last one.
	Gang int
}

// SetBehavior sets the function that returns the behavior of the run that a start begins. It is
// called with the fleet's lock.
func (fl *Fleet) SetBehavior(behavior func(worker string, sr cell.Start) Behavior) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.behavior = behavior
}

// behaviorOf returns the behavior of the run that a start begins on a worker now.
func (fl *Fleet) behaviorOf(id string, sr cell.Start) Behavior {
	var behavior Behavior
	if fl.behavior != nil {
		behavior = fl.behavior(id, sr)
	}
	if behavior.Takes == 0 {
		behavior.Takes = fl.runTime(id)
	}
	return behavior
}

// SetRefusal sets the function that returns why a worker refuses a start, empty if it does not.
func (fl *Fleet) SetRefusal(refusal func(worker string, sr cell.Start) cell.Refusal) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.refusal = refusal
}

// refusalOf returns why a worker refuses a start, empty if it does not.
func (fl *Fleet) refusalOf(id string, sr cell.Start) cell.Refusal {
	if fl.refusal == nil {
		return ""
	}
	return fl.refusal(id, sr)
}
