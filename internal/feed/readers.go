package feed

import (
	"cmp"
	"slices"

	"tackbeam.example/tackbeam/internal/joblog"
)

// Who reads the whole.
const (
	// leastReaders read the whole at the least: two may be lost with a change.
	leastReaders = 3
	// askers is how many nodes there are to each reader. 16 times 80 kB, which 1,400 routes take,
	// are 1 s of a link of 10 Mbit/s; and 63 readers of 1,000 nodes take 1.4 MB each from a store
	// in 0.7 s, at 1,000 Mbit/s.
	askers = 16
	// slowerLink is how many times slower than the fastest a reader's link may be: with a reader of
	// 10 Mbit/s beside one of 200 a change came to 12 nodes after 2.9 s instead of 0.3 s.
	slowerLink = 4
)

// ranking returns the members in the order in which they read the whole, those with the fastest
// links first: the same on all nodes that know the same members.
func ranking(members []joblog.Member) []joblog.Member {
	members = slices.Clone(members)
	slices.SortFunc(members, func(a, b joblog.Member) int {
		return cmp.Or(cmp.Compare(b.Link, a.Link), cmp.Compare(b.Processors, a.Processors), cmp.Compare(a.Node, b.Node))
	})
	return members
}

// readers returns how many of the members, in their ranking, read the whole.
func readers(members []joblog.Member) int {
	most := max(leastReaders, (len(members)+askers-1)/askers)
	count := 0
	for count < min(most, len(members)) && members[count].Link*slowerLink >= members[0].Link {
		count++
	}
	return count
}

// place returns the members in their ranking, and this node's place there, -1 where it is not
// listed yet.
func (fd *Feed) place() ([]joblog.Member, int) {
	members := ranking(fd.opts.Members())
	return members, slices.IndexFunc(members, func(mb joblog.Member) bool { return mb.Node == fd.opts.Node })
}

// reads reports whether this node is a reader, or knows no other node.
func (fd *Feed) reads() bool {
	members, place := fd.place()
	return len(members) == 0 || place >= 0 && place < readers(members)
}
