// Package daemon assembles the services of a node and runs them.
package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"tackbeam.example/tackbeam/internal/front"
	"tackbeam.example/tackbeam/internal/home"
	"tackbeam.example/tackbeam/internal/kernel"
	"tackbeam.example/tackbeam/internal/member"
	"tackbeam.example/tackbeam/internal/meter"
	"tackbeam.example/tackbeam/internal/owner"
	"tackbeam.example/tackbeam/internal/peer"
	"tackbeam.example/tackbeam/internal/settings"
	"tackbeam.example/tackbeam/internal/store"
	"tackbeam.example/tackbeam/internal/table"
)

// stopTimeout limits the time for stopping the services, after the drain.
const stopTimeout = 10 * time.Second

// Daemon runs a node.
type Daemon struct {
	settings *settings.Settings
	clock    clockwork.Clock
	log      logr.Logger
	kernel   *kernel.Kernel
	drain    chan struct{}
	once     sync.Once

	member *member.Member
	owner  *owner.Owner
	home   *home.Home
	front  *front.Front
	peer   *peer.Peer
	table  *table.Table
	store  *store.Client
	meter  *meter.Meter
}

// New assembles a node from validated settings.
func New(st *settings.Settings, clock clockwork.Clock, log logr.Logger) (*Daemon, error) {
	dm := &Daemon{
		settings: st, clock: clock, log: log.WithValues("node", st.Node),
		drain: make(chan struct{}),
	}
	dm.kernel = kernel.New(dm.log)
	for _, sv := range dm.services() {
		if err := dm.kernel.Add(sv); err != nil {
			return nil, err
		}
	}
	return dm, dm.find()
}

// find looks up the services that the daemon itself uses.
func (dm *Daemon) find() error {
	fd := dm.kernel.Finder()
	kernel.Find(fd, nameMember, &dm.member)
	kernel.Find(fd, nameOwner, &dm.owner)
	kernel.Find(fd, nameHome, &dm.home)
	kernel.Find(fd, namePeer, &dm.peer)
	kernel.Find(fd, nameFront, &dm.front)
	kernel.Find(fd, nameTable, &dm.table)
	kernel.Find(fd, nameStore, &dm.store)
	kernel.Find(fd, nameMeter, &dm.meter)
	return fd.Err()
}

// Start starts the services in order.
func (dm *Daemon) Start(ctx context.Context) error {
	if err := dm.kernel.Start(ctx); err != nil {
		return err
	}
	dm.log.Info("Node is up.", "http", dm.front.Addr(), "peer", dm.peer.Addr())
	return nil
}

// HTTPAddr returns the address of the HTTP API.
func (dm *Daemon) HTTPAddr() string { return dm.front.Addr() }

// FreeSlots returns the number of free slots on the workers that this node owns.
func (dm *Daemon) FreeSlots() int {
	summary, _ := dm.owner.Summary()
	return summary.FreeSlots
}

// Peer returns the node's connections to other nodes, for tests that block them.
func (dm *Daemon) Peer() *peer.Peer { return dm.peer }

// Drain starts a graceful stop, after which Run returns.
func (dm *Daemon) Drain() { dm.once.Do(func() { close(dm.drain) }) }

// Run starts the node, calls ready with its addresses, and stops it gracefully when
// the context ends or Drain is called.
func (dm *Daemon) Run(ctx context.Context, ready func(callers, nodes string)) error {
	if err := dm.Start(ctx); err != nil {
		return err
	}
	ready(dm.HTTPAddr(), dm.peer.Addr())
	select {
	case <-ctx.Done():
	case <-dm.drain:
	}
	return dm.Stop()
}

// Stop hands the node's records and workers over to other nodes, waits for requests
// and lookups in flight, and stops the services. If the drain timeout expires first,
// the error says how many are left.
func (dm *Daemon) Stop() error {
	dm.log.Info("Node is stopping.")
	ctx, cancel := context.WithTimeout(context.Background(), dm.settings.Limits.DrainTimeout)
	defer cancel()
	dm.front.Drain()
	if err := dm.member.MarkLeaving(ctx); err != nil {
		dm.log.Error(err, "Marking the node as leaving failed.")
	}
	drainErr := dm.awaitDrained(ctx)
	if err := dm.member.Leave(ctx); err != nil {
		dm.log.Error(err, "Leaving the cluster map failed; other nodes will remove this node.")
	}
	stop, cancelStop := context.WithTimeout(context.Background(), stopTimeout)
	defer cancelStop()
	dm.kernel.Stop(stop)
	dm.log.Info("Node has stopped.")
	return drainErr
}

// awaitDrained waits until nothing is in flight and the other nodes have taken over
// the records of this one, and at least for the unready time, in which the load
// balancer notices that the node is not ready.
func (dm *Daemon) awaitDrained(ctx context.Context) error {
	const pause = 20 * time.Millisecond
	until := dm.clock.Now().Add(dm.settings.Limits.UnreadyDelay)
	for {
		busy := dm.front.InFlight() > 0 || dm.owner.PendingLookups() > 0 || dm.handoverPending()
		if !busy && !dm.clock.Now().Before(until) {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Errorf("drain timeout expired with %d requests and %d lookups in flight",
				dm.front.InFlight(), dm.owner.PendingLookups())
		case <-dm.clock.After(pause):
		}
	}
}

// handoverPending reports whether another node still has to take over records from
// this node's journal.
func (dm *Daemon) handoverPending() bool {
	mp := dm.member.Map()
	if len(mp.Active()) == 0 {
		return false
	}
	journal := dm.member.Node().JournalName()
	for _, hm := range mp.Homes {
		for _, former := range hm.Former {
			if former == journal {
				return true
			}
		}
	}
	return false
}
