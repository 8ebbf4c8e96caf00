package owner

import (
	"context"
	"sort"

	policy "tackbeam.example/policy/owner"
	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/nodemsg"
)

// States of a worker as shown to operators.
const (
	StateReady       = "ready"
	StateLeaving     = "leaving"
	StateUnreachable = "unreachable"
	// StateQuarantined workers have recently failed everything, and get no new work for a while.
	StateQuarantined = "resting"
)

// Workers returns the workers of this owner, sorted by name.
func (ow *Owner) Workers() nodemsg.Workers {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	views := map[string]*nodemsg.WorkerView{}
	for name, wc := range ow.conns {
		vw := &nodemsg.WorkerView{
			Name: name, Hall: wc.vm.Hall, Rack: wc.vm.Rack, Owner: ow.opts.Name,
			State: StateUnreachable, Reported: wc.used,
		}
		if wc.link != nil {
			vw.State = StateReady
		}
		views[name] = vw
	}
	for _, ac := range ow.machine.Ledger().Accounts() {
		vw, ok := views[ac.Name]
		if !ok {
			continue
		}
		vw.Capacity, vw.Used = ac.Capacity, ac.Used
		vw.Slots, vw.InUse = ac.Slots, ac.SlotsUsed
		switch {
		case vw.State != StateReady:
		case ac.Leaving:
			vw.State = StateLeaving
		case ac.Quarantined:
			vw.State = StateQuarantined
		}
	}
	for _, tk := range ow.tasks {
		if vw, ok := views[tk.worker]; ok && tk.ended == nil {
			vw.Tasks++
		}
	}
	list := nodemsg.Workers{}
	for _, vw := range views {
		list.Workers = append(list.Workers, *vw)
	}
	sort.Slice(list.Workers, func(i, j int) bool { return list.Workers[i].Name < list.Workers[j].Name })
	return list
}

// DrainWorker tells a worker to accept no new work. Running tasks continue.
func (ow *Owner) DrainWorker(_ context.Context, name string) error {
	ow.mu.Lock()
	wc, ok := ow.conns[name]
	if ok {
		ow.step(policy.Event{WorkerGone: &policy.WorkerGone{Worker: name}})
		wc.leaving = true
	}
	ow.mu.Unlock()
	if !ok {
		return fault.New(fault.NotFound, "node %s does not own worker %s", ow.opts.Name, name)
	}
	if wc.link == nil {
		return fault.New(fault.Unavailable, "worker %s is unreachable", name)
	}
	return wc.link.Drain()
}

// Traffic returns the number of bytes sent to and received from workers on the control connections.
func (ow *Owner) Traffic() (sent, received int64) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	sent, received = ow.pastSent, ow.pastReceived
	for _, wc := range ow.conns {
		if wc.link != nil {
			s, r := wc.link.Traffic()
			sent += s
			received += r
		}
	}
	return sent, received
}
