package feed

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/joblog"
	"tackbeam.example/tackbeam/internal/routediff"
)

// Question asks another node's feed for what the asker's copy lacks.
type Question struct {
	// Have is the revision of the asker's copy; 0 where it has none.
	Have uint64 `cbor:"1,keyasint,omitempty"`
	// Hold is how long the answer may be held back until there is a later version.
	Hold time.Duration `cbor:"2,keyasint,omitempty"`
}

// Answer is what another node's feed knows.
type Answer struct {
	// Changes lead from what the asker has to the answering node's copy, in order.
	Changes []*routediff.Diff `cbor:"1,keyasint,omitempty"`
	// Revision is that of the copy; up to At there was no later one, as of Age ago.
	Revision uint64        `cbor:"2,keyasint"`
	At       uint64        `cbor:"3,keyasint"`
	Age      time.Duration `cbor:"4,keyasint"`
	// Coming is set where the answering node is a reader that would have a later version soon.
	Coming bool `cbor:"5,keyasint,omitempty"`
}

// How other nodes are asked.
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
	// hold is how long a question waits at a reader that does not have the change yet, before the
	// next one is asked.
	hold = 150 * time.Millisecond
	// nodeFirstByte is when a node's answer has to begin, beyond the hold: it answers from memory,
	// and the next one is to be asked in time.
	nodeFirstByte = 300 * time.Millisecond
	// mostSending is how much of its time a reader's link is filled ahead: 15 askers take 1.2 s for
	// 1,400 routes at 10 Mbit/s. With 5,000 routes to nodes that had none 36 askers of three such
	// readers took 5 s, though the store could send each of them the whole in 1.1 s.
	mostSending = 1500 * time.Millisecond
	// routeBytes is what a route takes in an answer, 55 to 72 measured.
	routeBytes = 72
	// vouchAfter is the age of a copy from which other nodes are asked for theirs, where the store
	// does not answer: half of the copies are younger.
	vouchAfter = 900 * time.Millisecond
	// vouchers is how many nodes are asked in turn for a younger copy, vouchEvery the time until
	// they are asked again.
	vouchers   = 3
	vouchEvery = 300 * time.Millisecond
)

// Answer answers another node.
func (fd *Feed) Answer(ctx context.Context, qn Question) (Answer, error) {
	fd.await(ctx, qn)
	reads := fd.reads()
	fd.mu.Lock()
	defer fd.mu.Unlock()
	if fd.copy == nil {
		return Answer{}, fault.New(fault.Unavailable, "no configuration here yet")
	}
	an := Answer{Revision: fd.copy.Revision, At: fd.at, Age: fd.clock.Since(fd.asOf)}
	an.Coming = reads && !fd.down
	if qn.Have < fd.copy.Revision {
		an.Changes = fd.since(qn.Have)
	}
	if !fd.admit(an.Changes) {
		return Answer{}, fault.New(fault.Full, "too many nodes are sent the configuration").After(mostSending)
	}
	return an, nil
}

// admit reports whether there is time on the link for an answer, and takes it. The caller holds
// the lock.
func (fd *Feed) admit(changes []*routediff.Diff) bool {
	size := 0
	for _, df := range changes {
		size += df.Size()
	}
	if size == 0 || fd.opts.Link == 0 {
		return true
	}
	now := fd.clock.Now()
	if fd.sending.Before(now) {
		fd.sending = now
	}
	if fd.sending.Sub(now) > mostSending {
		return false
	}
	const bits, mega = 8, 1e6
	fd.sending = fd.sending.Add(time.Duration(float64(size*routeBytes*bits) / (fd.opts.Link * mega) * float64(time.Second)))
	return true
}

// await waits for a version that is later than the asker's, for as long as it says.
func (fd *Feed) await(ctx context.Context, qn Question) {
	over := fd.clock.After(min(qn.Hold, hold))
	for {
		fd.mu.Lock()
		later, here := fd.later, fd.copy != nil && fd.copy.Revision > qn.Have
		fd.mu.Unlock()
		if here {
			return
		}
		select {
		case <-later:
		case <-over:
			return
		case <-ctx.Done():
			return
		}
	}
}

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

var (
	// errAlone means that there is no other node to ask.
	errAlone = errors.New("no other node is known")
	// errNoLater means that the node that was asked knows no more than this one.
	errNoLater = errors.New("the other node knows no more")
)

// ask asks a reader for what the copy lacks. The nodes spread evenly over them; each stays with a
// reader that is about to have it, and goes on to the next one from any other.
func (fd *Feed) ask(ctx context.Context) error {
	members, place := fd.place()
	sources := fd.others(members[:readers(members)])
	if len(sources) == 0 {
		return errAlone
	}
	source := sources[(max(place, 0)+fd.asked)%len(sources)]
	an, err := fd.askNode(ctx, source, fd.patient())
	if !an.Coming {
		fd.asked++
	}
	if err != nil && !errors.Is(err, errNoLater) {
		fd.failed++
		return err
	}
	fd.failed = 0
	return err
}

// patient is how long a reader may hold its answer back: not at all where it can say at once
// whether there is a later version.
func (fd *Feed) patient() time.Duration {
	fd.mu.Lock()
	defer fd.mu.Unlock()
	if fd.unsure && fd.copy != nil {
		return 0
	}
	return hold
}

// vouch asks other nodes for their copies' age, where the own one grows old because the store does
// not answer this node.
func (fd *Feed) vouch(ctx context.Context) {
	sources := fd.others(fd.opts.Members())
	if !fd.agesBeyond(vouchAfter) || fd.clock.Since(fd.vouched) < vouchEvery {
		return
	}
	fd.vouched = fd.clock.Now()
	rand.Shuffle(len(sources), func(a, b int) { sources[a], sources[b] = sources[b], sources[a] })
	for _, source := range sources[:min(vouchers, len(sources))] {
		if _, err := fd.askNode(ctx, source, 0); err != nil {
			fd.log.V(1).Info("Another node did not tell how old its configuration is.", "reason", err.Error())
		}
		if !fd.agesBeyond(vouchAfter) {
			return
		}
	}
}

// agesBeyond reports whether there is a copy that is older than an age.
func (fd *Feed) agesBeyond(age time.Duration) bool {
	now, loaded := fd.Age()
	return loaded && now > age
}

// others returns the members without this node.
func (fd *Feed) others(members []joblog.Member) []joblog.Member {
	return slices.DeleteFunc(slices.Clone(members), func(mb joblog.Member) bool { return mb.Node == fd.opts.Node })
}

// askNode asks one node, and takes in what it knows.
func (fd *Feed) askNode(ctx context.Context, mb joblog.Member, hold time.Duration) (Answer, error) {
	qn := Question{Have: fd.revision(), Hold: hold}
	call, cancel := context.WithTimeout(ctx, hold+nodeFirstByte)
	defer cancel()
	sent := fd.clock.Now()
	an, err := fd.opts.Ask(call, mb.Peers, qn)
	if err != nil {
		return an, err
	}
	if err := fd.follow(an.Changes, mb.Node); err != nil {
		return an, err
	}
	if !fd.agree(an, qn.Have, sent.Add(-an.Age)) && hold == 0 {
		return an, errNoLater
	}
	return an, nil
}

// revision returns that of the copy, 0 where there is none.
func (fd *Feed) revision() uint64 {
	fd.mu.Lock()
	defer fd.mu.Unlock()
	if fd.copy == nil {
		return 0
	}
	return fd.copy.Revision
}

// agree takes over what another node knows of the version that is the copy now: up to which
// revision there was no later one, and as of when. It reports whether the copy lacks nothing
// that this node knows of.
func (fd *Feed) agree(an Answer, had uint64, asOf time.Time) bool {
	fd.mu.Lock()
	defer fd.mu.Unlock()
	if fd.copy == nil || fd.copy.Revision != an.Revision {
		return fd.behind.IsZero() // the other's copy is older
	}
	if asOf.After(fd.asOf) {
		fd.asOf = asOf
	}
	if an.Revision > had || fd.unsure && an.At > fd.at {
		fd.placed, fd.behind = true, time.Time{}
	}
	if fd.behind.IsZero() {
		fd.at = max(fd.at, an.At)
	}
	return fd.behind.IsZero()
}
