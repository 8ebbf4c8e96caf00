// Package wake provides a signal by which one goroutine wakes another.
package wake

// Signal wakes the goroutine that receives from it.
type Signal chan struct{}

// New returns a signal without a pending notification.
func New() Signal { return make(Signal, 1) }

// Notify wakes the receiver, now or at its next receive. It never blocks, and several notifications before
// the next receive count as one.
func (sg Signal) Notify() {
	select {
	case sg <- struct{}{}:
	default:
	}
}
