package memworkers

import (
	"time"

	"tackbeam.example/policy/cell"
)

// Behavior is how a run behaves.
type Behavior struct {
	// Takes is how long the run takes.
	Takes time.Duration
	// Fails is set if it then ends as failed.
	Fails bool
	// Gang is the number of the members of its gang, 0 if it belongs to none. They take the time of the last one.
	Gang int
}

// SetBehavior sets the function that returns the behavior of the run that a start begins. It replaces the run time of New.
func (fl *Fleet) SetBehavior(behavior func(worker string, sr cell.Start) Behavior) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.behavior = behavior
}

// behaviorOf returns the behavior of the run that a start begins on a worker now.
func (fl *Fleet) behaviorOf(id string, sr cell.Start) Behavior {
	if fl.behavior == nil {
		return Behavior{Takes: fl.runTime(id)}
	}
	return fl.behavior(id, sr)
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
