// Package wake lets one goroutine wake another.
package wake

// Signal is received from by the one that sleeps.
type Signal chan struct{}

// New returns a signal that nobody has given.
func New() Signal { return make(Signal, 1) }

// Notify wakes the one that sleeps, now or as soon as it looks. It never waits; several
// given before it looks count as one.
func (sg Signal) Notify() {
	select {
	case sg <- struct{}{}:
	default:
	}
}
