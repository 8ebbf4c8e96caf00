package owner

import (
	"context"
	"sort"

	policy "tackbeam.example/policy/owner"
	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/nodemsg"
)

// The states of a worker as operators see them.
const (
	StateReady   = "ready"
	StateLeaving = "leaving"
	StateLost    = "unreachable"
	// StateResting workers have failed everything of late, and rest for a while.
	StateResting = "resting"
)

// Workers returns the workers of this owner, by name.
func (ow *Owner) Workers() nodemsg.Workers {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	views := map[string]*nodemsg.WorkerView{}
	for name, kp := range ow.keepers {
		vw := &nodemsg.WorkerView{
			Name: name, Hall: kp.vm.Hall, Rack: kp.vm.Rack, Owner: ow.opts.Name,
			State: StateLost, Reported: kp.used,
		}
		if kp.link != nil {
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
			vw.State = StateResting
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

// DrainWorker tells a worker to take nothing new. What runs there goes on.
func (ow *Owner) DrainWorker(_ context.Context, name string) error {
	ow.mu.Lock()
	kp, ok := ow.keepers[name]
	if ok {
		ow.step(policy.Event{WorkerGone: &policy.WorkerGone{Worker: name}})
		kp.leaving = true
	}
	ow.mu.Unlock()
	if !ok {
		return fault.New(fault.NotFound, "node %s does not own worker %s", ow.opts.Name, name)
	}
	if kp.link == nil {
		return fault.New(fault.Unavailable, "worker %s cannot be reached", name)
	}
	return kp.link.Leave()
}

// Traffic returns the bytes to and from workers on the control connections.
func (ow *Owner) Traffic() (sent, received int64) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	sent, received = ow.pastSent, ow.pastReceived
	for _, kp := range ow.keepers {
		if kp.link != nil {
			s, r := kp.link.Traffic()
			sent += s
			received += r
		}
	}
	return sent, received
}
