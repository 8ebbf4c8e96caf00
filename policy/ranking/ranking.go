// Package ranking decides in which order the owners of workers are asked for resources for a job, and for
// how many tasks each.
package ranking

import (
	"slices"

	"tackbeam.example/policy/ledger"
	"tackbeam.example/policy/size"
)

// Owner is an owner as the job's home knows it. Its free resources may have changed since.
type Owner struct {
	Name    string
	Summary ledger.Summary
	// Placed is the number of the job's tasks that already have a place there.
	Placed int
	// Local is set for the owner on the home's own node, which is asked without a message.
	Local bool
}

// Request is what a job asks for.
type Request struct {
	Size  size.Size
	Tasks int
	// Reserve also asks owners that have no free resources yet.
	Reserve bool
}

// Query is one owner to ask, and for how many tasks at most.
type Query struct {
	Owner string
	Tasks int
	fits  int64
	free  float64
	local bool
}

// Order lists the owners to ask: those that can take the most tasks first, and among equals the local one,
// then the one with the smallest free share, so that large free resources are not split. Each is asked for
// one more task than seems to fit, since resources may have been freed, or, with Reserve, for all tasks.
func Order(owners []Owner, req Request) []Query {
	var queries []Query
	for _, ow := range owners {
		bound := ow.Summary.LargestFree
		if req.Reserve {
			bound = ow.Summary.LargestCapacity
		}
		if !req.Size.Fits(bound) && ow.Placed == 0 {
			continue
		}
		qy := Query{
			Owner: ow.Name, Tasks: req.Tasks,
			fits: req.Size.Count(ow.Summary.Free, int64(req.Tasks)),
			free: ow.Summary.Free.DominantShare(ow.Summary.Capacity), local: ow.Local,
		}
		if !req.Reserve {
			qy.Tasks = min(req.Tasks, int(qy.fits)+1)
		}
		queries = append(queries, qy)
	}
	slices.SortStableFunc(queries, func(a, b Query) int {
		switch {
		case a.fits != b.fits:
			return int(b.fits - a.fits)
		case a.local != b.local:
			if a.local {
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
	return queries
}
