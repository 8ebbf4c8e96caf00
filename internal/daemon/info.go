package daemon

import "tackbeam.example/tackbeam/internal/nodemsg"

// The states of a node in the operators' view.
const (
	stateActive    = "active"
	stateLeaving   = "leaving"
	stateNotMember = "not a member"
)

// fillHeartbeat adds the state of the services to a heartbeat.
func (dm *Daemon) fillHeartbeat(hb *nodemsg.Heartbeat) {
	if dm.meter == nil {
		return // the node is still being assembled
	}
	hb.Summary, hb.Waiting = dm.owner.Summary()
	hb.Digest = dm.table.Snapshot().Digest()
}

// info returns the description of this node for operators.
func (dm *Daemon) info() nodemsg.NodeInfo {
	mp, nd := dm.member.Map(), dm.member.Node()
	info := nodemsg.NodeInfo{
		Name: nd.Name, Incarnation: nd.Incarnation, Region: nd.Region, Hall: nd.Hall,
		State: stateActive, MapEpoch: mp.Epoch, Stale: dm.member.Stale(),
		WaitingJobs: dm.home.Waiting(), HTTP: dm.front.Addr(), Control: dm.control(),
	}
	switch {
	case !mp.Has(nd):
		info.State = stateNotMember
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
	info.TableRev = dm.table.Snapshot().MaxVersion()
	info.StoreDown = dm.store.Down()
	return info
}

// control returns the resources, store calls and traffic that this node has used.
func (dm *Daemon) control() nodemsg.ControlUsage {
	var ct nodemsg.ControlUsage
	cost := dm.meter.Usage(dm.clock.Now())
	ct.CPU, ct.Resident, ct.Uptime = cost.CPU, cost.ResidentBytes, cost.Uptime
	ct.StoreReads, ct.StoreWrites, ct.StoreFailed, ct.StoreBudgetUsed = dm.store.Calls()
	ct.PeerSent, ct.PeerReceived = dm.peer.Traffic()
	ct.WorkerSent, ct.WorkerReceived = dm.owner.Traffic()
	return ct
}

// notReady returns the reasons why the load balancer should not send requests to
// this node, or none.
func (dm *Daemon) notReady() []string {
	var reasons []string
	if !dm.member.Map().Has(dm.member.Node()) {
		reasons = append(reasons, "the node is not a member yet")
	}
	if dm.member.Draining() {
		reasons = append(reasons, "the node is leaving")
	}
	return reasons
}
