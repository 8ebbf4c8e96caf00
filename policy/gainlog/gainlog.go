// Package gainlog records which elements have recently gained something, so that those who found none of them usable
// need to look only at what has changed since.
package gainlog

// Log is a list of elements in the order in which they were added. It keeps a limited number of them. It is not safe
// for concurrent use.
type Log[E any] struct {
	limit   int
	entries []E
	// dropped is how many entries were removed: the position of the first one that is kept.
	dropped int
}

// New returns an empty log that keeps at least the last entries, as many as limit.
func New[E any](limit int) *Log[E] { return &Log[E]{limit: limit} }

// Add adds an element at the end.
func (lg *Log[E]) Add(elem E) {
	if len(lg.entries) >= 2*lg.limit {
		excess := len(lg.entries) - lg.limit
		kept := copy(lg.entries, lg.entries[excess:])
		clear(lg.entries[kept:])
		lg.entries = lg.entries[:kept]
		lg.dropped += excess
	}
	lg.entries = append(lg.entries, elem)
}

// End returns the position at which the next element will be added. Positions only increase.
func (lg *Log[E]) End() int { return lg.dropped + len(lg.entries) }

// Since returns the elements from a position on, and false if the log does not have all of them any more. The slice is
// valid until the next call of Add.
func (lg *Log[E]) Since(position int) ([]E, bool) {
	if position < lg.dropped {
		return nil, false
	}
	return lg.entries[position-lg.dropped:], true
}
