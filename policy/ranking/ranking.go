// Package ranking decides in which order the owners of workers are asked for room
// for a job, and for how much.
package ranking

import (
	"slices"

	"tackbeam.example/policy/ledger"
	"tackbeam.example/policy/size"
)

// Owner is an owner as the job's home knows it. Its room may have changed since.
type Owner struct {
	Name    string
	Summary ledger.Summary
	// Placed is the number of places that the job has there already.
	Placed int
	// Local is set for the owner on the home's own node, which is asked without a
	// message.
	Local bool
}

// Request is what a job asks for.
type Request struct {
	Size  size.Size
	Tasks int
	// Reserve also asks owners that have no room yet.
	Reserve bool
}

// Query is one owner to ask, and for how many tasks at most.
type Query struct {
	Owner string
	Tasks int
	fits  int64
	free  float64
	near  bool
}

// Order lists the owners to ask: those that can take the most tasks first, and
// among equals the near one, then the fullest, so that large room stays whole. One more task is
// asked for than seems to fit, since the room may have grown.
func Order(owners []Owner, wt Request) []Query {
	var asks []Query
	for _, ow := range owners {
		bound := ow.Summary.LargestFree
		if wt.Reserve {
			bound = ow.Summary.LargestCapacity
		}
		if !wt.Size.Fits(bound) && ow.Placed == 0 {
			continue
		}
		ask := Query{
			Owner: ow.Name, Tasks: wt.Tasks,
			fits: wt.Size.Count(ow.Summary.Free, int64(wt.Tasks)),
			free: ow.Summary.Free.DominantShare(ow.Summary.Capacity), near: ow.Local,
		}
		if !wt.Reserve {
			ask.Tasks = min(wt.Tasks, int(ask.fits)+1)
		}
		asks = append(asks, ask)
	}
	slices.SortStableFunc(asks, func(a, b Query) int {
		switch {
		case a.fits != b.fits:
			return int(b.fits - a.fits)
		case a.near != b.near:
			if a.near {
				return -1
			}
			return 1
		case a.free < b.free:
			return -1
		case a.free > b.free:
			return 1
		}
		return 0
	})
	return asks
}
