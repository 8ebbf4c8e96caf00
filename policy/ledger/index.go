package ledger

import (
	"slices"

	"tackbeam.example/policy/size"
)

// buckets is the number of steps that the free share of a worker is told apart by.
const buckets = 64

// enough is the number of fitting workers of one bucket that are compared. All of
// a bucket are within 1/64 of each other, so more would gain little.
const enough = 8

// index keeps the workers that take new work by their largest free share, so
// that a place is found without looking at all of them.
type index struct {
	lists [buckets][]*entry
	// counts has, for each dimension, the number of workers by free share.
	counts [3][buckets]int
	// largest bounds the capacity of any worker that was ever indexed.
	largest size.Size
}

// bucketOf returns the step of a share from 0 to 1.
func bucketOf(share float64) int { return max(0, min(buckets-1, int(share*buckets))) }

// shares returns the worker's free share in each dimension.
func (en *entry) shares() [3]float64 {
	var list [3]float64
	free := en.free()
	for d := range list {
		if en.Capacity[d] > 0 {
			list[d] = float64(free[d]) / float64(en.Capacity[d])
		}
	}
	return list
}

func (ix *index) insert(en *entry) {
	list := en.shares()
	most := slices.Max(list[:])
	en.bucket = bucketOf(most)
	en.at = len(ix.lists[en.bucket])
	ix.lists[en.bucket] = append(ix.lists[en.bucket], en)
	for d, share := range list {
		en.steps[d] = bucketOf(share)
		ix.counts[d][en.steps[d]]++
	}
	ix.largest = ix.largest.Max(en.Capacity)
}

func (ix *index) remove(en *entry) {
	list := ix.lists[en.bucket]
	last := len(list) - 1
	list[en.at] = list[last]
	list[en.at].at = en.at
	list[last] = nil
	ix.lists[en.bucket] = list[:last]
	for d, step := range en.steps {
		ix.counts[d][step]--
	}
}

// hopeless reports whether surely no worker has room for the size, from the
// counts alone.
func (ix *index) hopeless(sz size.Size) bool {
	for d := range ix.counts {
		if sz[d] <= 0 {
			continue
		}
		if ix.largest[d] < sz[d] {
			return true
		}
		from := bucketOf(float64(sz[d]) / float64(ix.largest[d]))
		any := false
		for step := from; step < buckets && !any; step++ {
			any = ix.counts[d][step] > 0
		}
		if !any {
			return true
		}
	}
	return false
}

// bestFit returns, of the first bucket with a worker that fits, the one that the
// size leaves with the smallest free share.
func (ix *index) bestFit(sz size.Size, may func(worker string) bool) *entry {
	if ix.hopeless(sz) {
		return nil
	}
	for step := bucketOf(sz.DominantShare(ix.largest)); step < buckets; step++ {
		if en := ix.bestOf(ix.lists[step], sz, may); en != nil {
			return en
		}
	}
	return nil
}

func (ix *index) bestOf(list []*entry, sz size.Size, may func(worker string) bool) *entry {
	var best *entry
	left, found := 0.0, 0
	for _, en := range list {
		if !en.takes(sz, 0) || may != nil && !may(en.Name) {
			continue
		}
		if rest := en.free().Sub(sz).DominantShare(en.Capacity); best == nil || rest < left {
			best, left = en, rest
		}
		if found++; found == enough {
			break
		}
	}
	return best
}
