// Package timeline provides a priority queue ordered by due time.
package timeline

import (
	"container/heap"
	"slices"
	"time"
)

// Timeline returns items in the order of their due times, and in the order they were added if these are
// equal. The zero value is empty. It is not safe for concurrent use.
type Timeline[T any] struct {
	list  list[T]
	added uint64
}

// entry is an item and its due time.
type entry[T any] struct {
	at    time.Duration
	order uint64
	item  T
}

// Add adds an item with its due time.
func (tl *Timeline[T]) Add(at time.Duration, item T) {
	tl.added++
	heap.Push(&tl.list, entry[T]{at, tl.added, item})
}

// Len returns the number of items.
func (tl *Timeline[T]) Len() int { return len(tl.list) }

// PopDue removes and returns the first item that is due by a time, or reports false.
func (tl *Timeline[T]) PopDue(by time.Duration) (item T, ok bool) {
	if len(tl.list) == 0 || tl.list[0].at > by {
		return item, false
	}
	return heap.Pop(&tl.list).(entry[T]).item, true
}

// NextDue returns the due time of the first item, or false if there is none.
func (tl *Timeline[T]) NextDue() (time.Duration, bool) {
	if len(tl.list) == 0 {
		return 0, false
	}
	return tl.list[0].at, true
}

// Retain removes the items for which keep returns false.
func (tl *Timeline[T]) Retain(keep func(T) bool) {
	tl.list = slices.DeleteFunc(tl.list, func(en entry[T]) bool { return !keep(en.item) })
	heap.Init(&tl.list)
}

// list implements heap.Interface.
type list[T any] []entry[T]

// Len implements sort.Interface.
func (ls list[T]) Len() int { return len(ls) }

// Less implements sort.Interface.
func (ls list[T]) Less(i, j int) bool {
	if ls[i].at != ls[j].at {
		return ls[i].at < ls[j].at
	}
	return ls[i].order < ls[j].order
}

// Swap implements sort.Interface.
func (ls list[T]) Swap(i, j int) { ls[i], ls[j] = ls[j], ls[i] }

// Push implements heap.Interface.
func (ls *list[T]) Push(x any) { *ls = append(*ls, x.(entry[T])) }

// Pop implements heap.Interface.
func (ls *list[T]) Pop() any {
	old := *ls
	last := old[len(old)-1]
	old[len(old)-1] = entry[T]{}
	*ls = old[:len(old)-1]
	return last
}
