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

// View is the state of another node as seen by this one.
type View struct {
	node      clustermap.Node
	heartbeat nodemsg.Heartbeat
	reachable bool
}

// Node returns the node's entry in the map.
func (vw View) Node() clustermap.Node { return vw.node }

// Reachable reports whether a heartbeat of the node was received recently.
func (vw View) Reachable() bool { return vw.reachable }

// Summary returns the summary of the node's ledger.
func (vw View) Summary() ledger.Summary { return vw.heartbeat.Summary }

// Heartbeat returns the node's last heartbeat.
func (vw View) Heartbeat() nodemsg.Heartbeat { return vw.heartbeat }

// Peers returns the other nodes of the map, sorted by name.
func (mb *Member) Peers() []View {
	mb.mu.Lock()
	defer mb.mu.Unlock()
	views := make([]View, 0, len(mb.peers))
	for name, ps := range mb.peers {
		nd, ok := mb.current.Nodes[name]
		if !ok {
			continue
		}
		views = append(views, View{node: nd, heartbeat: ps.heartbeat, reachable: mb.isReachable(ps)})
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

// FreshAddresses returns the peer addresses of the other nodes, by name, after reading the map again, since this
// node may not know yet of a member that has joined. If the store does not answer, it returns the known addresses.
func (mb *Member) FreshAddresses(ctx context.Context) map[string]string {
	if err := mb.readMap(ctx); err != nil {
		mb.log.Info("Cluster map could not be read; a new member may be missed.", "cause", err.Error())
	}
	return mb.Addresses()
}

func (mb *Member) isReachable(ps *peerState) bool {
	return ps.heartbeat.Node != "" && mb.clock.Since(ps.lastHeard) < mb.opts.SuspectAfter
}

// Isolated reports whether there are other nodes but none is reachable.
func (mb *Member) Isolated() bool {
	views := mb.Peers()
	for _, vw := range views {
		if vw.reachable {
			return false
		}
	}
	return len(views) > 0
}

// LastContact returns when this node last received an answer from the store or a heartbeat from another node.
func (mb *Member) LastContact() time.Time {
	at := mb.store.LastOK()
	mb.mu.Lock()
	defer mb.mu.Unlock()
	for _, ps := range mb.peers {
		if ps.heartbeat.Node != "" && ps.lastHeard.After(at) {
			at = ps.lastHeard
		}
	}
	return at
}

// MembershipConfirmedAt returns when it was last certain that no known member can have removed this node from the
// map: this node reached the store, or every other member received its heartbeats. A node that reaches only some
// of the others may be on the side of a partition that does not reach the store.
func (mb *Member) MembershipConfirmedAt() time.Time {
	at := mb.store.LastOK()
	mb.mu.Lock()
	defer mb.mu.Unlock()
	oldest := mb.clock.Now()
	for _, ps := range mb.peers {
		if !slices.Contains(ps.heartbeat.ReachableNodes, mb.node.Name) {
			return at
		}
		if ps.lastHeard.Before(oldest) {
			oldest = ps.lastHeard
		}
	}
	if oldest.After(at) {
		return oldest
	}
	return at
}

// Stale reports whether this node may lack an accepted edit: it does not reach the store, and another node, which
// might reach the store, is unreachable.
func (mb *Member) Stale() bool {
	if !mb.store.Down() {
		return false
	}
	views := mb.Peers()
	for _, vw := range views {
		if !vw.reachable {
			return true // a node that cannot be asked may reach the store
		}
	}
	return false
}

// heartbeatLoop exchanges heartbeats with every other node.
func (mb *Member) heartbeatLoop(ctx context.Context) {
	loop.Every(ctx, mb.clock, mb.opts.HeartbeatInterval, func() { mb.exchangeHeartbeats(ctx) })
}

// exchangeHeartbeats calls the nodes whose names sort after this node's; they answer with their own heartbeat. A
// node that sorts before it is called only if it has not called for one and a half intervals.
func (mb *Member) exchangeHeartbeats(ctx context.Context) {
	const halfIntervals = 3
	own := mb.ownHeartbeat()
	for _, vw := range mb.Peers() {
		mb.mu.Lock()
		ps := mb.peers[vw.node.Name]
		overdue := ps != nil && mb.clock.Since(ps.lastHeard) > halfIntervals*mb.opts.HeartbeatInterval/2
		mb.mu.Unlock()
		if vw.node.Name > own.Node || overdue {
			go mb.sendHeartbeat(ctx, vw.node, own, overdue)
		}
	}
	mb.notifyUnreachable(mb.newlyUnreachable())
	mb.removeDeadNode(ctx)
}

// newlyUnreachable returns the nodes that have become unreachable and were not reported yet.
func (mb *Member) newlyUnreachable() []string {
	mb.mu.Lock()
	defer mb.mu.Unlock()
	var names []string
	for name, ps := range mb.peers {
		if ps.heartbeat.Node != "" && !ps.unreachable && !mb.isReachable(ps) {
			ps.unreachable = true
			names = append(names, name)
		}
	}
	return names
}

func (mb *Member) notifyUnreachable(names []string) {
	mb.mu.Lock()
	callbacks := mb.onUnreachable
	mb.mu.Unlock()
	for _, name := range names {
		for _, callback := range callbacks {
			callback(name)
		}
	}
}

func (mb *Member) sendHeartbeat(ctx context.Context, nd clustermap.Node, own nodemsg.Heartbeat, overdue bool) {
	call, cancel := context.WithTimeout(ctx, mb.opts.SuspectAfter)
	defer cancel()
	got, err := peer.Call[nodemsg.Heartbeat, nodemsg.Heartbeat](call, mb.peer, nd.Peer, nodemsg.KindHeartbeat, own)
	if err == nil {
		mb.handleHeartbeat(got)
		return
	}
	if overdue && ctx.Err() == nil {
		mb.peer.Disconnect(nd.Peer) // the connection may lead to a process that has ended
	}
}

func (mb *Member) ownHeartbeat() nodemsg.Heartbeat {
	mb.mu.Lock()
	bt := nodemsg.Heartbeat{
		Node: mb.node.Name, Incarnation: mb.node.Incarnation,
		MapEpoch: mb.current.Epoch, Draining: mb.draining,
	}
	for name, ps := range mb.peers {
		if mb.isReachable(ps) {
			bt.ReachableNodes = append(bt.ReachableNodes, name)
		}
	}
	mb.mu.Unlock()
	sort.Strings(bt.ReachableNodes)
	bt.StoreDown = mb.store.Down()
	mb.fillHeartbeat(&bt)
	return bt
}

func (mb *Member) onHeartbeat(_ context.Context, _ string, bt nodemsg.Heartbeat) (nodemsg.Heartbeat, error) {
	mb.handleHeartbeat(bt)
	return mb.ownHeartbeat(), nil
}

// handleHeartbeat records a heartbeat, and catches up with its sender if that has a newer map or another table.
func (mb *Member) handleHeartbeat(bt nodemsg.Heartbeat) {
	mb.mu.Lock()
	nd, known := mb.current.Nodes[bt.Node]
	ps, ok := mb.peers[bt.Node]
	if known && ok && nd.Incarnation == bt.Incarnation {
		ps.lastHeard = mb.clock.Now()
		ps.heartbeat = bt
		ps.unreachable = false
	}
	ahead := bt.MapEpoch > mb.current.Epoch
	mb.mu.Unlock()
	if ahead {
		go mb.catchUp()
	}
	if !known {
		return
	}
	var own nodemsg.Heartbeat
	mb.fillHeartbeat(&own)
	if own.Digest != bt.Digest {
		mb.tableDiffers(nd.Peer)
	}
}

// catchUp reads the map because another node has a newer one.
func (mb *Member) catchUp() {
	ctx, cancel := context.WithTimeout(context.Background(), mb.opts.SuspectAfter)
	defer cancel()
	if err := mb.readMap(ctx); err != nil {
		mb.log.V(1).Info("Newer cluster map could not be read yet.", "cause", err.Error())
	}
}

// removeDeadNode removes one dead node from the map. The nodes that may do so wait according to their rank, so
// that only one of them writes.
func (mb *Member) removeDeadNode(ctx context.Context) {
	dead, rank := mb.deadNode()
	if dead.Name == "" || mb.store.Down() {
		return
	}
	if mb.clock.Since(mb.lastHeardFrom(dead.Name)) < mb.opts.SuspectAfter+time.Duration(rank)*mb.opts.HeartbeatInterval {
		return
	}
	go func() {
		call, cancel := context.WithTimeout(ctx, mb.opts.SuspectAfter)
		defer cancel()
		err := mb.Change(call, func(mp *clustermap.Map) (*clustermap.Map, bool) {
			if !mp.Has(dead) {
				return mp, false
			}
			return mp.Remove(dead.Name), true
		})
		if err != nil {
			mb.log.Error(err, "Dead node could not be removed from the cluster map.", "node", dead.Name)
			return
		}
		mb.log.Info("Dead node was removed from the cluster map.", "node", dead.Name, "incarnation", dead.Incarnation)
	}()
}

func (mb *Member) lastHeardFrom(name string) time.Time {
	mb.mu.Lock()
	defer mb.mu.Unlock()
	if ps, ok := mb.peers[name]; ok {
		return ps.lastHeard
	}
	return mb.clock.Now()
}

// deadNode returns a node whose key in the store has expired and that no reachable node receives heartbeats from,
// and this node's rank among those that may remove it.
func (mb *Member) deadNode() (clustermap.Node, int) {
	mb.mu.Lock()
	defer mb.mu.Unlock()
	if mb.clock.Since(mb.liveUpdatedAt) > maxLiveAge {
		return clustermap.Node{}, 0
	}
	names := mb.current.Active()
	for name, ps := range mb.peers {
		nd := mb.current.Nodes[name]
		if mb.live[nd.JournalName()] || mb.clock.Since(ps.lastHeard) < mb.opts.SuspectAfter || mb.reachableFromOther(name) {
			continue
		}
		rank := 0
		for _, other := range names {
			if other < mb.node.Name && other != name && mb.peers[other] != nil && mb.isReachable(mb.peers[other]) {
				rank++
			}
		}
		return nd, rank
	}
	return clustermap.Node{}, 0
}

// reachableFromOther reports whether a reachable node receives heartbeats from the named node.
func (mb *Member) reachableFromOther(name string) bool {
	for other, ps := range mb.peers {
		if other == name || !mb.isReachable(ps) {
			continue
		}
		for _, reached := range ps.heartbeat.ReachableNodes {
			if reached == name {
				return true
			}
		}
	}
	return false
}
