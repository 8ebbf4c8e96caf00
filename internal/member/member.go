// Package member maintains the cluster's membership: it keeps this node in the cluster map, exchanges heartbeats
// with the other nodes, and removes dead nodes from the map.
//
// A node is removed only when its own key in the store has expired and neither this node nor any node reachable
// from it receives its heartbeats. Removing a node that still runs is safe: workers refuse its older epoch, and
// the store refuses writes to its journal.
package member

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"tackbeam.example/tackbeam/internal/clustermap"
	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/ids"
	"tackbeam.example/tackbeam/internal/loop"
	"tackbeam.example/tackbeam/internal/nodemsg"
	"tackbeam.example/tackbeam/internal/peer"
	"tackbeam.example/tackbeam/internal/store"
	"tackbeam.example/tackbeam/internal/wire"
)

// livePrefix is the prefix of one key per node, bound to the node's lease of the store.
const livePrefix = "live/"

// maxLiveAge is the maximum age of the known live keys for removing a node; a watch of the store answers more
// often than that.
const maxLiveAge = 40 * time.Second

// rejoinTimeout limits one attempt to join again.
const rejoinTimeout = 20 * time.Second

// Options configure a Member.
type Options struct {
	Node              clustermap.Node
	HeartbeatInterval time.Duration
	SuspectAfter      time.Duration
	LeaseTTL          time.Duration
}

// peerState is what this node knows about another node from its heartbeats.
type peerState struct {
	lastHeard time.Time
	heartbeat nodemsg.Heartbeat
	// unreachable is set once the node was reported as unreachable.
	unreachable bool
}

// Member is this node's membership in the cluster.
type Member struct {
	opts  Options
	clock clockwork.Clock
	log   logr.Logger
	store *store.Client
	peer  *peer.Peer

	// fillHeartbeat completes this node's own heartbeat; set before Start.
	fillHeartbeat func(*nodemsg.Heartbeat)
	// tableDiffers is called when another node has a different table; set before Start.
	tableDiffers func(addr string)

	mu            sync.Mutex
	node          clustermap.Node
	current       *clustermap.Map
	version       uint64
	peers         map[string]*peerState
	live          map[string]bool
	liveUpdatedAt time.Time
	subs          []func(*clustermap.Map)
	onUnreachable []func(name string)
	lease         string
	stopped       bool
	draining      bool
	changing      sync.Mutex
	rejoining     sync.Mutex
	applying      sync.Mutex
	cancel        context.CancelFunc
	wg            sync.WaitGroup
}

// New returns a member that has not joined the cluster yet.
func New(
	clock clockwork.Clock, log logr.Logger, cl *store.Client, pr *peer.Peer, opts Options,
) *Member {
	mb := &Member{
		opts: opts, clock: clock, log: log.WithName("member"), store: cl, peer: pr,
		node:          opts.Node,
		current:       clustermap.New(),
		peers:         map[string]*peerState{},
		live:          map[string]bool{},
		fillHeartbeat: func(*nodemsg.Heartbeat) {},
		tableDiffers:  func(string) {},
	}
	mb.node.Incarnation = ids.Random(5)
	peer.Handle(pr, nodemsg.KindHeartbeat, mb.onHeartbeat)
	return mb
}

// SetHeartbeatFiller sets the function that completes this node's heartbeats. Call it before Start.
func (mb *Member) SetHeartbeatFiller(fill func(*nodemsg.Heartbeat)) { mb.fillHeartbeat = fill }

// OnTableDiffers sets the function called with the address of a node whose table differs. Call it before Start.
func (mb *Member) OnTableDiffers(callback func(addr string)) { mb.tableDiffers = callback }

// Subscribe registers a function called with each new map, one at a time, in order. The function must not change
// the map itself; it may start a goroutine that does.
func (mb *Member) Subscribe(callback func(*clustermap.Map)) {
	mb.mu.Lock()
	defer mb.mu.Unlock()
	mb.subs = append(mb.subs, callback)
}

// OnUnreachable registers a function called with the name of each node from which no heartbeat has been received
// for too long, once each time, and of each node that left the map.
func (mb *Member) OnUnreachable(callback func(name string)) {
	mb.mu.Lock()
	defer mb.mu.Unlock()
	mb.onUnreachable = append(mb.onUnreachable, callback)
}

// Node returns this node's entry in the map, with its present incarnation.
func (mb *Member) Node() clustermap.Node {
	mb.mu.Lock()
	defer mb.mu.Unlock()
	return mb.node
}

// Map returns the newest map that this node knows. The caller must not change it.
func (mb *Member) Map() *clustermap.Map {
	mb.mu.Lock()
	defer mb.mu.Unlock()
	return mb.current
}

// SetHTTP sets the address for callers in the node's entry. Call it before Start.
func (mb *Member) SetHTTP(addr string) {
	mb.mu.Lock()
	defer mb.mu.Unlock()
	mb.node.HTTP = addr
}

// Start joins the cluster and starts the watches and heartbeats.
func (mb *Member) Start(ctx context.Context) error {
	run, cancel := context.WithCancel(context.Background())
	mb.cancel = cancel
	if err := mb.joinWithRetry(ctx); err != nil {
		cancel()
		return errors.Wrap(err, "join cluster")
	}
	for _, callback := range []func(context.Context){mb.heartbeatLoop, mb.leaseLoop, mb.watchMap, mb.watchLive} {
		mb.wg.Go(func() {
			callback(run)
		})
	}
	return nil
}

// Stop ends the loops. For a planned stop, call Leave first.
func (mb *Member) Stop(context.Context) error {
	mb.mu.Lock()
	mb.stopped = true
	mb.mu.Unlock()
	if mb.cancel != nil {
		mb.cancel()
	}
	mb.wg.Wait()
	return nil
}

// joinWithRetry joins the cluster, trying again while the store does not answer.
func (mb *Member) joinWithRetry(ctx context.Context) error {
	for attempt := 0; ; attempt++ {
		err := mb.join(ctx)
		if err == nil || !fault.Is(err, fault.Unavailable) {
			return err
		}
		if attempt == 0 {
			mb.log.Info("Store does not answer; waiting to join the cluster.", "cause", err.Error())
		}
		if !loop.Pause(ctx, mb.clock, store.Backoff(attempt)) {
			return err
		}
	}
}

// join adds this node to the map and creates its live key.
func (mb *Member) join(ctx context.Context) error {
	if err := mb.renewLease(ctx); err != nil {
		return err
	}
	err := mb.Change(ctx, func(mp *clustermap.Map) (*clustermap.Map, bool) {
		nd := mb.Node()
		if mp.Has(nd) {
			return mp, false
		}
		return mp.Join(nd), true
	})
	if err != nil {
		return err
	}
	mb.log.Info("Node joined the cluster.", "epoch", mb.Map().Epoch)
	return nil
}

// MarkLeaving marks this node as leaving and moves its racks and partitions to others, in one write.
func (mb *Member) MarkLeaving(ctx context.Context) error {
	mb.mu.Lock()
	mb.draining = true
	mb.mu.Unlock()
	return mb.Change(ctx, func(mp *clustermap.Map) (*clustermap.Map, bool) {
		nd, ok := mp.Nodes[mb.opts.Node.Name]
		if !ok || nd.Leaving {
			return mp, false
		}
		return mp.Leave(nd.Name), true
	})
}

// Leave removes this node from the map.
func (mb *Member) Leave(ctx context.Context) error {
	mb.mu.Lock()
	mb.draining = true
	mb.stopped = true
	mb.mu.Unlock()
	return mb.Change(ctx, func(mp *clustermap.Map) (*clustermap.Map, bool) {
		if !mp.Has(mb.Node()) {
			return mp, false
		}
		return mp.Remove(mb.opts.Node.Name), true
	})
}

// Draining reports whether this node has begun to leave.
func (mb *Member) Draining() bool {
	mb.mu.Lock()
	defer mb.mu.Unlock()
	return mb.draining
}

// Change edits the map by compare-and-swap until the edit is stored or changes nothing.
func (mb *Member) Change(
	ctx context.Context, edit func(*clustermap.Map) (*clustermap.Map, bool),
) error {
	mb.changing.Lock()
	defer mb.changing.Unlock()
	for attempt := 0; ; attempt++ {
		item, err := mb.store.Get(ctx, store.Ownership, clustermap.Key)
		if err != nil {
			return err
		}
		mp, err := decode(item.Value)
		if err != nil {
			return err
		}
		next, changed := edit(mp)
		if !changed {
			mb.apply(mp, item.Version)
			return nil
		}
		newVersion, ok, err := mb.write(ctx, next, item.Version)
		if err != nil {
			return err
		}
		if ok {
			mb.apply(next, newVersion)
			return nil
		}
		mb.clock.Sleep(store.Backoff(min(attempt, 2)))
	}
}

func (mb *Member) write(ctx context.Context, mp *clustermap.Map, version uint64) (uint64, bool, error) {
	raw, err := wire.Encode(mp)
	if err != nil {
		return 0, false, err
	}
	item, ok, err := mb.store.Put(ctx, store.Ownership, store.Write{
		Key: clustermap.Key, Value: raw, Version: version,
	})
	return item.Version, ok, err
}

func decode(raw []byte) (*clustermap.Map, error) {
	if len(raw) == 0 {
		return clustermap.New(), nil
	}
	mp := clustermap.New()
	if err := wire.Decode(raw, mp); err != nil {
		return nil, errors.Wrap(err, "decode cluster map")
	}
	return mp.Clone(), nil
}

// apply makes a map the current one if it is newer, and calls the subscribers.
func (mb *Member) apply(mp *clustermap.Map, version uint64) {
	mb.applying.Lock()
	defer mb.applying.Unlock()
	mb.mu.Lock()
	if version <= mb.version {
		mb.mu.Unlock()
		return
	}
	mb.version = version
	mb.current = mp
	mb.store.SetNodes(len(mp.Nodes))
	now := mb.clock.Now()
	for name := range mp.Nodes {
		if _, ok := mb.peers[name]; !ok && name != mb.node.Name {
			mb.peers[name] = &peerState{lastHeard: now}
		}
	}
	var removed []string
	for name := range mb.peers {
		if _, ok := mp.Nodes[name]; !ok {
			delete(mb.peers, name)
			removed = append(removed, name)
		}
	}
	subs := slices.Clone(mb.subs)
	evicted := !mb.stopped && !mp.Has(mb.node) && mp.Epoch > 0
	mb.mu.Unlock()
	for _, callback := range subs {
		callback(mp)
	}
	mb.notifyUnreachable(removed)
	if evicted && mb.cancel != nil {
		go mb.rejoin()
	}
}

// rejoin joins again with a new incarnation after others removed this node from the map.
func (mb *Member) rejoin() {
	mb.rejoining.Lock() // several maps without this node may arrive at the same time
	defer mb.rejoining.Unlock()
	mb.mu.Lock()
	if mb.stopped || mb.draining || mb.current.Has(mb.node) {
		mb.mu.Unlock()
		return
	}
	mb.node.Incarnation = ids.Random(5)
	mb.lease = ""
	mb.mu.Unlock()
	mb.log.Info("Node was removed from the cluster map; joining again.")
	ctx, cancel := context.WithTimeout(context.Background(), rejoinTimeout)
	defer cancel()
	if err := mb.join(ctx); err != nil {
		mb.log.Error(err, "Node could not join the cluster again.")
	}
}
