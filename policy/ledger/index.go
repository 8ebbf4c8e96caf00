package ledger

import (
	"slices"

	"tackbeam.example/policy/size"
)

// buckets is the number of buckets into which workers are sorted by free share.
const buckets = 64

// maxCompared is the number of fitting workers of one bucket that are compared. The free shares in a bucket differ
// by at most 1/64, so comparing more would gain little.
const maxCompared = 8

// index sorts the workers that accept new work by their dominant free share, so that a search for a fitting
// worker does not examine all of them.
type index struct {
	lists [buckets][]*entry
	// counts is, for each dimension, the number of workers in each bucket of the free share.
	counts [3][buckets]int
	// largest is the component-wise maximum of the capacities of all workers ever indexed.
	largest size.Size
}

// bucketOf returns the bucket of a share from 0 to 1.
func bucketOf(share float64) int { return max(0, min(buckets-1, int(share*buckets))) }

// freeShares returns the worker's free share in each dimension.
func (en *entry) freeShares() [3]float64 {
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
	list := en.freeShares()
	dominant := slices.Max(list[:])
	en.bucket = bucketOf(dominant)
	en.at = len(ix.lists[en.bucket])
	ix.lists[en.bucket] = append(ix.lists[en.bucket], en)
	for d, share := range list {
		en.shares[d] = bucketOf(share)
		ix.counts[d][en.shares[d]]++
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
	for d, bucket := range en.shares {
		ix.counts[d][bucket]--
	}
}

// noneFits reports whether the counts rule out that any worker has enough free resources for the size.
func (ix *index) noneFits(sz size.Size) bool {
	for d := range ix.counts {
		if sz[d] <= 0 {
			continue
		}
		if ix.largest[d] < sz[d] {
			return true
		}
		from := bucketOf(float64(sz[d]) / float64(ix.largest[d]))
		found := false
		for bucket := from; bucket < buckets && !found; bucket++ {
			found = ix.counts[d][bucket] > 0
		}
		if !found {
			return true
		}
	}
	return false
}

// bestFit returns, of the first bucket with a fitting worker, the one with the smallest free share left.
func (ix *index) bestFit(sz size.Size, allowed func(worker string) bool) *entry {
	if ix.noneFits(sz) {
		return nil
	}
	for bucket := bucketOf(sz.DominantShare(ix.largest)); bucket < buckets; bucket++ {
		if en := ix.bestOf(ix.lists[bucket], sz, allowed); en != nil {
			return en
		}
	}
	return nil
}

func (ix *index) bestOf(list []*entry, sz size.Size, allowed func(worker string) bool) *entry {
	var best *entry
	bestLeft, found := 0.0, 0
	for _, en := range list {
		if !en.accepts(sz, 0) || allowed != nil && !allowed(en.Name) {
			continue
		}
		if left := en.free().Sub(sz).DominantShare(en.Capacity); best == nil || left < bestLeft {
			best, bestLeft = en, left
		}
		if found++; found == maxCompared {
			break
		}
	}
	return best
}
