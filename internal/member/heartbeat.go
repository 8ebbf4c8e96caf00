package member

import (
	"context"
	"slices"
	"sort"
	"time"

	"tackbeam.example/policy/ledger"
	"tackbeam.example/tackbeam/internal/clustermap"
	"tackbeam.example/tackbeam/internal/loop"
	"tackbeam.example/tackbeam/internal/nodemsg"
	"tackbeam.example/tackbeam/internal/peer"
)

// View is another node as this one hears it.
type View struct {
	node  clustermap.Node
	beat  nodemsg.Beat
	heard bool
}

// Node returns the node's entry in the map.
func (vw View) Node() clustermap.Node { return vw.node }

// Reachable reports whether the node was heard of late.
func (vw View) Reachable() bool { return vw.heard }

// Summary returns the digest of the node's ledger.
func (vw View) Summary() ledger.Room { return vw.beat.Room }

// Heartbeat returns the node's last heartbeat.
func (vw View) Heartbeat() nodemsg.Beat { return vw.beat }

// Peers returns the other nodes of the map, by name.
func (mb *Member) Peers() []View {
	mb.mu.Lock()
	defer mb.mu.Unlock()
	views := make([]View, 0, len(mb.peers))
	for name, ps := range mb.peers {
		nd, ok := mb.current.Nodes[name]
		if !ok {
			continue
		}
		views = append(views, View{node: nd, beat: ps.beat, heard: mb.hears(ps)})
	}
	sort.Slice(views, func(i, j int) bool { return views[i].node.Name < views[j].node.Name })
	return views
}

// Addresses returns the peer addresses of the other nodes, by name.
func (mb *Member) Addresses() map[string]string {
	addrs := map[string]string{}
	for _, vw := range mb.Peers() {
		addrs[vw.node.Name] = vw.node.Peer
	}
	return addrs
}

// FreshAddresses returns the peer addresses of the other nodes, by name, after it has read
// the map anew: this node may not have been told yet of a member that has joined.
// Where the store does not answer, they are those that this node knows of.
func (mb *Member) FreshAddresses(ctx context.Context) map[string]string {
	if err := mb.readMap(ctx); err != nil {
		mb.log.Info("Map cannot be read, a new member may be passed over.", "cause", err.Error())
	}
	return mb.Addresses()
}

func (mb *Member) hears(ps *peerState) bool {
	return ps.beat.Node != "" && mb.clock.Since(ps.heard) < mb.opts.SuspectAfter
}

// Isolated reports whether there are other nodes and none was heard of late.
func (mb *Member) Isolated() bool {
	views := mb.Peers()
	for _, vw := range views {
		if vw.heard {
			return false
		}
	}
	return len(views) > 0
}

// LastContact returns when this node last heard the store or another node.
func (mb *Member) LastContact() time.Time {
	at := mb.store.LastOK()
	mb.mu.Lock()
	defer mb.mu.Unlock()
	for _, ps := range mb.peers {
		if ps.beat.Node != "" && ps.heard.After(at) {
			at = ps.heard
		}
	}
	return at
}

// MembershipConfirmedAt returns when this node was last certain that no known member can have
// taken it out: it reached the store, or every other member heard it. A node that
// hears only some of the others may be on the side of a split without the store.
func (mb *Member) MembershipConfirmedAt() time.Time {
	at := mb.store.LastOK()
	mb.mu.Lock()
	defer mb.mu.Unlock()
	heard := mb.clock.Now()
	for _, ps := range mb.peers {
		if !slices.Contains(ps.beat.Hears, mb.node.Name) {
			return at
		}
		if ps.heard.Before(heard) {
			heard = ps.heard
		}
	}
	if heard.After(at) {
		return heard
	}
	return at
}

// Stale reports whether this node may lack an edit that was accepted: it reaches
// neither the store nor a node that does, and somebody else might.
func (mb *Member) Stale() bool {
	if !mb.store.Down() {
		return false
	}
	views := mb.Peers()
	for _, vw := range views {
		if !vw.heard {
			return true // a node we cannot ask may reach the store
		}
	}
	return false
}

// beatLoop exchanges heartbeats with every other node.
func (mb *Member) beatLoop(ctx context.Context) {
	loop.Every(ctx, mb.clock, mb.opts.HeartbeatInterval, func() { mb.beatAll(ctx) })
}

// beatAll calls the nodes that come after this one by name; they answer with
// their own beat. A node before this one is called only when it has not called.
func (mb *Member) beatAll(ctx context.Context) {
	const patience = 3
	own := mb.ownBeat()
	for _, vw := range mb.Peers() {
		mb.mu.Lock()
		ps := mb.peers[vw.node.Name]
		quiet := ps != nil && mb.clock.Since(ps.heard) > patience*mb.opts.HeartbeatInterval/2
		mb.mu.Unlock()
		if vw.node.Name > own.Node || quiet {
			go mb.beat(ctx, vw.node, own, quiet)
		}
	}
	mb.tellSilence(mb.fallenSilent())
	mb.judge(ctx)
}

// fallenSilent returns the nodes whose silence has not been told yet.
func (mb *Member) fallenSilent() []string {
	mb.mu.Lock()
	defer mb.mu.Unlock()
	var names []string
	for name, ps := range mb.peers {
		if ps.beat.Node != "" && !ps.silent && !mb.hears(ps) {
			ps.silent = true
			names = append(names, name)
		}
	}
	return names
}

func (mb *Member) tellSilence(names []string) {
	mb.mu.Lock()
	acts := mb.silence
	mb.mu.Unlock()
	for _, name := range names {
		for _, act := range acts {
			act(name)
		}
	}
}

func (mb *Member) beat(ctx context.Context, nd clustermap.Node, own nodemsg.Beat, quiet bool) {
	call, cancel := context.WithTimeout(ctx, mb.opts.SuspectAfter)
	defer cancel()
	got, err := peer.Call[nodemsg.Beat, nodemsg.Beat](call, mb.peer, nd.Peer, nodemsg.KindBeat, own)
	if err == nil {
		mb.hear(got)
		return
	}
	if quiet && ctx.Err() == nil {
		mb.peer.Forget(nd.Peer) // the link may lead to a process that is gone
	}
}

func (mb *Member) ownBeat() nodemsg.Beat {
	mb.mu.Lock()
	bt := nodemsg.Beat{
		Node: mb.node.Name, Incarnation: mb.node.Incarnation,
		MapEpoch: mb.current.Epoch, Draining: mb.draining,
	}
	for name, ps := range mb.peers {
		if mb.hears(ps) {
			bt.Hears = append(bt.Hears, name)
		}
	}
	mb.mu.Unlock()
	sort.Strings(bt.Hears)
	bt.StoreDown = mb.store.Down()
	mb.fill(&bt)
	return bt
}

func (mb *Member) onBeat(_ context.Context, _ string, bt nodemsg.Beat) (nodemsg.Beat, error) {
	mb.hear(bt)
	return mb.ownBeat(), nil
}

// hear notes a heartbeat, and catches up where its sender is ahead.
func (mb *Member) hear(bt nodemsg.Beat) {
	mb.mu.Lock()
	nd, known := mb.current.Nodes[bt.Node]
	ps, ok := mb.peers[bt.Node]
	if known && ok && nd.Incarnation == bt.Incarnation {
		ps.heard = mb.clock.Now()
		ps.beat = bt
		ps.silent = false
	}
	ahead := bt.MapEpoch > mb.current.Epoch
	mb.mu.Unlock()
	if ahead {
		go mb.catchUp()
	}
	if !known {
		return
	}
	var own nodemsg.Beat
	mb.fill(&own)
	if own.Digest != bt.Digest {
		mb.behind(nd.Peer)
	}
}

// catchUp reads the map because another node has a newer one.
func (mb *Member) catchUp() {
	ctx, cancel := context.WithTimeout(context.Background(), mb.opts.SuspectAfter)
	defer cancel()
	if err := mb.readMap(ctx); err != nil {
		mb.log.V(1).Info("Newer map cannot be read yet.", "cause", err.Error())
	}
}

// judge takes out one node that is surely gone. The nodes that would do so wait
// by their rank, so that one of them writes.
func (mb *Member) judge(ctx context.Context) {
	gone, rank := mb.gone()
	if gone.Name == "" || mb.store.Down() {
		return
	}
	if mb.clock.Since(mb.heardAt(gone.Name)) < mb.opts.SuspectAfter+time.Duration(rank)*mb.opts.HeartbeatInterval {
		return
	}
	go func() {
		call, cancel := context.WithTimeout(ctx, mb.opts.SuspectAfter)
		defer cancel()
		err := mb.Change(call, func(mp *clustermap.Map) (*clustermap.Map, bool) {
			if !mp.Has(gone) {
				return mp, false
			}
			return mp.Remove(gone.Name), true
		})
		if err != nil {
			mb.log.Error(err, "Node could not be taken out.", "node", gone.Name)
			return
		}
		mb.log.Info("Node was taken out.", "node", gone.Name, "incarnation", gone.Incarnation)
	}()
}

func (mb *Member) heardAt(name string) time.Time {
	mb.mu.Lock()
	defer mb.mu.Unlock()
	if ps, ok := mb.peers[name]; ok {
		return ps.heard
	}
	return mb.clock.Now()
}

// gone returns a node whose record has lapsed and that nobody hears, and this
// node's rank among those that could take it out.
func (mb *Member) gone() (clustermap.Node, int) {
	mb.mu.Lock()
	defer mb.mu.Unlock()
	if mb.clock.Since(mb.liveAt) > liveAge {
		return clustermap.Node{}, 0
	}
	names := mb.current.Active()
	for name, ps := range mb.peers {
		nd := mb.current.Nodes[name]
		if mb.live[nd.JournalName()] || mb.clock.Since(ps.heard) < mb.opts.SuspectAfter || mb.heardByOther(name) {
			continue
		}
		rank := 0
		for _, other := range names {
			if other < mb.node.Name && other != name && mb.peers[other] != nil && mb.hears(mb.peers[other]) {
				rank++
			}
		}
		return nd, rank
	}
	return clustermap.Node{}, 0
}

// heardByOther reports whether a node that we hear hears the one of the name.
func (mb *Member) heardByOther(name string) bool {
	for other, ps := range mb.peers {
		if other == name || !mb.hears(ps) {
			continue
		}
		for _, heard := range ps.beat.Hears {
			if heard == name {
				return true
			}
		}
	}
	return false
}
