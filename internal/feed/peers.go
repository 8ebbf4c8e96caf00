package feed

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"tackbeam.example/tackbeam/internal/joblog"
)

// How other nodes are asked.
const (
	// hold is how long a question waits at a reader that does not have the change yet, before the
	// next one is asked.
	hold = 150 * time.Millisecond
	// nodeFirstByte is when a node's answer has to begin, beyond the hold: it answers from memory,
	// and the next one is to be asked in time.
	nodeFirstByte = 300 * time.Millisecond
	// vouchAfter is the age of a copy from which other nodes are asked for theirs, where the store
	// does not answer: half of the copies are younger.
	vouchAfter = 900 * time.Millisecond
	// vouchers is how many nodes are asked in turn for a younger copy, vouchEvery the time until
	// they are asked again.
	vouchers   = 3
	vouchEvery = 300 * time.Millisecond
)

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
	if !an.Reader {
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
func (fd *Feed) askNode(ctx context.Context, mb joblog.Member, hold time.Duration) (Response, error) {
	qn := Request{Have: fd.revision(), MaxWait: hold}
	call, cancel := context.WithTimeout(ctx, hold+nodeFirstByte)
	defer cancel()
	sent := fd.clock.Now()
	an, err := fd.opts.Request(call, mb.PeerAddr, qn)
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
func (fd *Feed) agree(an Response, had uint64, asOf time.Time) bool {
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
