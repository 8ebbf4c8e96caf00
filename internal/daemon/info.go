package daemon

import "tackbeam.example/tackbeam/internal/nodemsg"

// The states of a node as operators see them.
const (
	stateActive  = "active"
	stateLeaving = "leaving"
	stateOut     = "not a member"
)

// fillBeat completes a heartbeat with what the services know.
func (dm *Daemon) fillBeat(bt *nodemsg.Heartbeat) {
	if dm.meter == nil {
		return // the node is still being assembled
	}
	bt.Summary, bt.Waiting = dm.owner.Summary()
	bt.Digest = dm.table.Snapshot().Digest()
}

// info describes this node to operators.
func (dm *Daemon) info() nodemsg.NodeInfo {
	mp, nd := dm.member.Map(), dm.member.Node()
	info := nodemsg.NodeInfo{
		Name: nd.Name, Incarnation: nd.Incarnation, Region: nd.Region, Hall: nd.Hall,
		State: stateActive, MapEpoch: mp.Epoch, Stale: dm.member.Stale(),
		WaitingJobs: dm.home.Waiting(), HTTP: dm.front.Addr(), Control: dm.control(),
	}
	switch {
	case !mp.Has(nd):
		info.State = stateOut
	case dm.member.Draining():
		info.State = stateLeaving
	}
	info.Summary, info.Waiting = dm.owner.Summary()
	for _, rk := range mp.Racks {
		if rk.Owner == nd.Name {
			info.Racks++
		}
	}
	for _, hm := range mp.Homes {
		if hm.Node == nd.Name {
			info.Partitions++
		}
	}
	info.TableRev = dm.table.Snapshot().Newest()
	info.StoreDown = dm.store.Down()
	return info
}

// control returns what this node has spent on control.
func (dm *Daemon) control() nodemsg.ControlUsage {
	var ct nodemsg.ControlUsage
	cost := dm.meter.Cost(dm.clock.Now())
	ct.CPU, ct.Resident, ct.Uptime = cost.CPU, cost.Resident, cost.Up
	ct.StoreReads, ct.StoreWrites, ct.StoreFailed, ct.StoreBudgetUsed = dm.store.Calls()
	ct.PeerSent, ct.PeerReceived = dm.peer.Traffic()
	ct.WorkerSent, ct.WorkerReceived = dm.owner.Traffic()
	return ct
}

// notReady returns why the balancer should send nothing here, or nothing.
func (dm *Daemon) notReady() []string {
	var why []string
	if !dm.member.Map().Has(dm.member.Node()) {
		why = append(why, "the node is not a member yet")
	}
	if dm.member.Draining() {
		why = append(why, "the node is leaving")
	}
	return why
}
