// Package timeline keeps things by the time at which they are due.
package timeline

import (
	"container/heap"
	"slices"
	"time"
)

// Timeline gives things back in the order of their times, and of their addition
// among equals. The zero value is empty. It is not safe for concurrent use.
type Timeline[T any] struct {
	list  list[T]
	added uint64
}

// moment is a thing and when it is due.
type moment[T any] struct {
	at    time.Duration
	order uint64
	thing T
}

// Add adds a thing that is due at a time.
func (tl *Timeline[T]) Add(at time.Duration, thing T) {
	tl.added++
	heap.Push(&tl.list, moment[T]{at, tl.added, thing})
}

// Len returns the number of things.
func (tl *Timeline[T]) Len() int { return len(tl.list) }

// PopDue takes off the first thing that is due by a time, or reports false.
func (tl *Timeline[T]) PopDue(by time.Duration) (thing T, ok bool) {
	if len(tl.list) == 0 || tl.list[0].at > by {
		return thing, false
	}
	return heap.Pop(&tl.list).(moment[T]).thing, true
}

// NextDue returns when the first thing is due, or false where there is none.
func (tl *Timeline[T]) NextDue() (time.Duration, bool) {
	if len(tl.list) == 0 {
		return 0, false
	}
	return tl.list[0].at, true
}

// Retain drops the things that keep does not report.
func (tl *Timeline[T]) Retain(keep func(T) bool) {
	tl.list = slices.DeleteFunc(tl.list, func(mo moment[T]) bool { return !keep(mo.thing) })
	heap.Init(&tl.list)
}

// list is the heap behind a timeline.
type list[T any] []moment[T]

// Len, Less, Swap, Push and Pop are what container/heap asks for.
func (ls list[T]) Len() int { return len(ls) }

// Less orders two moments.
func (ls list[T]) Less(i, j int) bool {
	if ls[i].at != ls[j].at {
		return ls[i].at < ls[j].at
	}
	return ls[i].order < ls[j].order
}

// Swap exchanges two moments.
func (ls list[T]) Swap(i, j int) { ls[i], ls[j] = ls[j], ls[i] }

// Push adds a moment.
func (ls *list[T]) Push(x any) { *ls = append(*ls, x.(moment[T])) }

// Pop takes the last moment off.
func (ls *list[T]) Pop() any {
	old := *ls
	last := old[len(old)-1]
	old[len(old)-1] = moment[T]{}
	*ls = old[:len(old)-1]
	return last
}
