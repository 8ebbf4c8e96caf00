// Package nearsort sorts lists that change little from one sort to the next.
package nearsort

import "slices"

// maxShifts is how many places elements are moved in total before the sorter gives up on moving single elements, per
// element of the list. Beyond it, sorting from scratch takes less time.
const maxShifts = 4

// Sorter sorts lists by a comparison that never returns 0. Its zero value is not usable; set Compare. It is not safe
// for concurrent use.
type Sorter[E any] struct {
	// Compare returns a negative number if a comes before b, and a positive one otherwise.
	Compare func(a, b E) int
	// spare is the memory of an earlier list.
	spare []E
}

// Sort sorts a list whose first elements, as many as kept, are nearly sorted; the others are in any order. It returns
// the sorted list. The list passed in must not be used any more: it is cleared and used again.
func (so *Sorter[E]) Sort(list []E, kept int) []E {
	so.adjust(list[:kept])
	if kept == len(list) {
		return list
	}
	slices.SortFunc(list[kept:], so.Compare)
	merged := so.merge(so.spare[:0], list[:kept], list[kept:])
	clear(list) // the elements may refer to what is discarded before the memory is used again
	so.spare = list
	return merged
}

// adjust sorts a nearly sorted list.
func (so *Sorter[E]) adjust(list []E) {
	shifts := maxShifts * len(list)
	for i := 1; i < len(list); i++ {
		if so.Compare(list[i-1], list[i]) <= 0 {
			continue
		}
		elem, at := list[i], i
		for at > 0 && so.Compare(list[at-1], elem) > 0 {
			list[at] = list[at-1]
			at--
		}
		list[at] = elem
		if shifts -= i - at; shifts < 0 {
			slices.SortFunc(list, so.Compare)
			return
		}
	}
}

// merge appends the elements of two sorted lists to a third.
func (so *Sorter[E]) merge(merged, a, b []E) []E {
	merged = slices.Grow(merged, len(a)+len(b))
	for len(a) > 0 && len(b) > 0 {
		if so.Compare(a[0], b[0]) <= 0 {
			merged, a = append(merged, a[0]), a[1:]
		} else {
			merged, b = append(merged, b[0]), b[1:]
		}
	}
	return append(append(merged, a...), b...)
}
