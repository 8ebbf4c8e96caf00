// Package daemon assembles the services of one node and runs them from the
// first to the last.
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

// stopTimeout bounds the last step of a stop, after the drain.
const stopTimeout = 10 * time.Second

// Daemon is one node.
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

// New assembles a node from checked settings.
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

// find looks up the services that the daemon itself speaks to.
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

// Start starts the services.
func (dm *Daemon) Start(ctx context.Context) error {
	if err := dm.kernel.Start(ctx); err != nil {
		return err
	}
	dm.log.Info("Node is up.", "http", dm.front.Addr(), "peer", dm.peer.Addr())
	return nil
}

// HTTPAddr returns the address for callers and operators.
func (dm *Daemon) HTTPAddr() string { return dm.front.Addr() }

// FreeSlots returns the free slots of the workers that this node owns.
func (dm *Daemon) FreeSlots() int {
	room, _ := dm.owner.Summary()
	return room.FreeSlots
}

// Peer returns the node's links to other nodes, for tests that cut them.
func (dm *Daemon) Peer() *peer.Peer { return dm.peer }

// Drain asks the node to stop as planned; Run returns then.
func (dm *Daemon) Drain() { dm.once.Do(func() { close(dm.drain) }) }

// Run starts the node, tells ready its addresses, and stops it, as planned, when
// the context ends or a drain is asked for.
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

// Stop hands everything over, waits for what is in flight, and ends. What the
// drain time does not suffice for is named in the error.
func (dm *Daemon) Stop() error {
	dm.log.Info("Node is stopping.")
	ctx, cancel := context.WithTimeout(context.Background(), dm.settings.Limits.Drain)
	defer cancel()
	dm.front.Drain()
	if err := dm.member.MarkLeaving(ctx); err != nil {
		dm.log.Error(err, "Node could not say that it leaves.")
	}
	left := dm.settle(ctx)
	if err := dm.member.Leave(ctx); err != nil {
		dm.log.Error(err, "Node could not leave the map; others will take it out.")
	}
	stop, cancelStop := context.WithTimeout(context.Background(), stopTimeout)
	defer cancelStop()
	dm.kernel.Stop(stop)
	dm.log.Info("Node has stopped.")
	return left
}

// settle waits until nothing is in flight and the other nodes have taken over
// what this one had.
func (dm *Daemon) settle(ctx context.Context) error {
	const pause = 20 * time.Millisecond
	until := dm.clock.Now().Add(dm.settings.Limits.Unready)
	for {
		busy := dm.front.InFlight() > 0 || dm.owner.PendingLookups() > 0 || dm.mustHand()
		if !busy && !dm.clock.Now().Before(until) {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Errorf("drain time is over with %d requests and %d lookups in flight",
				dm.front.InFlight(), dm.owner.PendingLookups())
		case <-dm.clock.After(pause):
		}
	}
}

// mustHand reports whether another node still has to take records from this one.
func (dm *Daemon) mustHand() bool {
	mp := dm.member.Map()
	if len(mp.Active()) == 0 {
		return false
	}
	log := dm.member.Node().JournalName()
	for _, hm := range mp.Homes {
		for _, former := range hm.Former {
			if former == log {
				return true
			}
		}
	}
	return false
}
