// Package member knows who is here: it keeps this node in the cluster map, hears
// the other nodes' heartbeats, and takes out those that are surely gone.
//
// A node is taken out only when its own record in the store has lapsed and
// neither this node nor any that it hears has heard from it. Nothing unsafe
// follows from taking out a node that still runs: workers refuse its older epoch
// and the store its journal.
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

// livePrefix holds a key for each node, bound to the node's lease of the store.
const livePrefix = "live/"

// liveAge is the age from which what is known of the nodes' records is too old
// to take a node out by; a watch of the store answers more often.
const liveAge = 40 * time.Second

// joinTime bounds one try to join again.
const joinTime = 20 * time.Second

// Options of a member.
type Options struct {
	Node              clustermap.Node
	HeartbeatInterval time.Duration
	SuspectAfter      time.Duration
	LeaseTTL          time.Duration
}

// peerState is what this node has heard of another.
type peerState struct {
	heard time.Time
	beat  nodemsg.Beat
	// silent is set once the silence was told.
	silent bool
}

// Member is this node's view of the cluster.
type Member struct {
	opts  Options
	clock clockwork.Clock
	log   logr.Logger
	store *store.Client
	peer  *peer.Peer

	// Fill completes this node's own heartbeat; set before Start.
	fill func(*nodemsg.Beat)
	// Behind is called when another node has a table that differs; set before Start.
	behind func(addr string)

	mu        sync.Mutex
	node      clustermap.Node
	current   *clustermap.Map
	version   uint64
	peers     map[string]*peerState
	live      map[string]bool
	liveAt    time.Time
	subs      []func(*clustermap.Map)
	silence   []func(name string)
	lease     string
	stopped   bool
	draining  bool
	changing  sync.Mutex
	rejoining sync.Mutex
	applying  sync.Mutex
	cancel    context.CancelFunc
	wg        sync.WaitGroup
}

// New returns a member that is not yet in the cluster.
func New(
	clock clockwork.Clock, log logr.Logger, cl *store.Client, pr *peer.Peer, opts Options,
) *Member {
	mb := &Member{
		opts: opts, clock: clock, log: log.WithName("member"), store: cl, peer: pr,
		node:    opts.Node,
		current: clustermap.New(),
		peers:   map[string]*peerState{},
		live:    map[string]bool{},
		fill:    func(*nodemsg.Beat) {},
		behind:  func(string) {},
	}
	mb.node.Incarnation = ids.Random(5)
	peer.Handle(pr, nodemsg.KindBeat, mb.onBeat)
	return mb
}

// SetHeartbeatFiller sets the function that completes this node's heartbeats.
func (mb *Member) SetHeartbeatFiller(fill func(*nodemsg.Beat)) { mb.fill = fill }

// OnTableDiffers sets the function called with the address of a node whose table differs.
func (mb *Member) OnTableDiffers(behind func(addr string)) { mb.behind = behind }

// Subscribe calls act with each new map, one at a time, in order. The function
// must not change the map itself; it may start a goroutine that does.
func (mb *Member) Subscribe(act func(*clustermap.Map)) {
	mb.mu.Lock()
	defer mb.mu.Unlock()
	mb.subs = append(mb.subs, act)
}

// OnUnreachable calls act with the name of each node that has not been heard for too
// long, once for each silence, and of each that left the map.
func (mb *Member) OnUnreachable(act func(name string)) {
	mb.mu.Lock()
	defer mb.mu.Unlock()
	mb.silence = append(mb.silence, act)
}

// Node returns this node as it stands in the map, with its present incarnation.
func (mb *Member) Node() clustermap.Node {
	mb.mu.Lock()
	defer mb.mu.Unlock()
	return mb.node
}

// Map returns the newest map this node knows. The caller does not change it.
func (mb *Member) Map() *clustermap.Map {
	mb.mu.Lock()
	defer mb.mu.Unlock()
	return mb.current
}

// SetHTTP sets the address for callers that the map shows; before Start.
func (mb *Member) SetHTTP(addr string) {
	mb.mu.Lock()
	defer mb.mu.Unlock()
	mb.node.HTTP = addr
}

// Start joins the cluster and begins to watch and to beat.
func (mb *Member) Start(ctx context.Context) error {
	run, cancel := context.WithCancel(context.Background())
	mb.cancel = cancel
	if err := mb.joinUntil(ctx); err != nil {
		cancel()
		return errors.Wrap(err, "join cluster")
	}
	for _, act := range []func(context.Context){mb.beatLoop, mb.leaseLoop, mb.followMap, mb.followLive} {
		mb.wg.Go(func() {
			act(run)
		})
	}
	return nil
}

// Stop ends the loops. Leave comes before it on a planned stop.
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

// joinUntil joins, again and again while the store does not answer.
func (mb *Member) joinUntil(ctx context.Context) error {
	for try := 0; ; try++ {
		err := mb.join(ctx)
		if err == nil || !fault.Is(err, fault.Unavailable) {
			return err
		}
		if try == 0 {
			mb.log.Info("Store does not answer, the node waits to join.", "cause", err.Error())
		}
		if !loop.Pause(ctx, mb.clock, store.Backoff(try)) {
			return err
		}
	}
}

// join puts this node into the map and makes its live key.
func (mb *Member) join(ctx context.Context) error {
	if err := mb.renew(ctx); err != nil {
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
	mb.log.Info("Node joined.", "epoch", mb.Map().Epoch)
	return nil
}

// MarkLeaving gives this node's racks and homes to others, in one write.
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

// Leave takes this node out of the map.
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

// Change edits the map by compare-and-swap until it is kept or needs no change.
func (mb *Member) Change(
	ctx context.Context, edit func(*clustermap.Map) (*clustermap.Map, bool),
) error {
	mb.changing.Lock()
	defer mb.changing.Unlock()
	for try := 0; ; try++ {
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
		kept, ok, err := mb.write(ctx, next, item.Version)
		if err != nil {
			return err
		}
		if ok {
			mb.apply(next, kept)
			return nil
		}
		mb.clock.Sleep(store.Backoff(min(try, 2)))
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
		return nil, errors.Wrap(err, "read cluster map")
	}
	return mp.Clone(), nil
}

// apply takes a map into force if it is newer, and tells the subscribers.
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
			mb.peers[name] = &peerState{heard: now}
		}
	}
	var gone []string
	for name := range mb.peers {
		if _, ok := mp.Nodes[name]; !ok {
			delete(mb.peers, name)
			gone = append(gone, name)
		}
	}
	subs := slices.Clone(mb.subs)
	evicted := !mb.stopped && !mp.Has(mb.node) && mp.Epoch > 0
	mb.mu.Unlock()
	for _, act := range subs {
		act(mp)
	}
	mb.tellSilence(gone)
	if evicted && mb.cancel != nil {
		go mb.rejoin()
	}
}

// rejoin comes back under a new incarnation after others took this node out.
func (mb *Member) rejoin() {
	mb.rejoining.Lock() // several maps without this node may come at once
	defer mb.rejoining.Unlock()
	mb.mu.Lock()
	if mb.stopped || mb.draining || mb.current.Has(mb.node) {
		mb.mu.Unlock()
		return
	}
	mb.node.Incarnation = ids.Random(5)
	mb.lease = ""
	mb.mu.Unlock()
	mb.log.Info("Node was taken out, joining again.")
	ctx, cancel := context.WithTimeout(context.Background(), joinTime)
	defer cancel()
	if err := mb.join(ctx); err != nil {
		mb.log.Error(err, "Node could not join again.")
	}
}
