package planner

import (
	"maps"
	"slices"
	"tackbeam.example/policy/incarnation"

	"tackbeam.example/tackbeam/internal/kv"
)

// mostAside bounds the entries that are kept in mind because they cannot be read, and the lines
// about those and others that name no worker to use: a list that somebody fills with other things
// must not fill memory or log.
const mostAside = 100

// aside are entries of the list of workers that name no worker to use.
type aside struct {
	// unread are the keys of those that cannot be read.
	unread map[string]bool
	// unasked are those of services that neither the configuration nor a job names.
	unasked map[string]WorkerEntry
}

func (as *aside) init() {
	as.unread = map[string]bool{}
	as.unasked = map[string]WorkerEntry{}
}

// drop forgets an entry that is gone, or names a worker by now.
func (as *aside) drop(key string) {
	delete(as.unread, key)
	delete(as.unasked, key)
}

// takeWorkers takes in changes of the list of workers.
func (ld *lead) takeWorkers(items []kv.Item, _ bool) {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	for _, item := range items {
		if item.Deleted {
			ld.aside.drop(item.Key)
			ld.deregister(item.Key)
			continue
		}
		en, err := ld.parts.DecodeWorker(item)
		if err != nil {
			ld.leaveAside(item.Key, err)
			continue
		}
		ld.aside.drop(item.Key)
		ld.enter(item.Key, en)
	}
	ld.kick()
}

// leaveAside takes in an entry that cannot be read. The worker of the key may run tasks, if there
// is one: it is held as before, gets no new ones, and is listed again with its next sound entry.
func (ld *lead) leaveAside(key string, err error) {
	if se, ok := ld.present[ld.idOf(key)]; ok {
		if _, listed := ld.cell.Listed(se.life); listed {
			ld.deregister(key)
		}
	}
	if ld.aside.unread[key] || len(ld.aside.unread) >= mostAside {
		return
	}
	ld.aside.unread[key] = true
	ld.log.Info("Entry in the list of workers names none to use.", "key", key, "reason", err.Error())
}

// enter lists a worker if it is known, or if tasks may have to run on workers of its service.
func (ld *lead) enter(key string, en WorkerEntry) {
	if ld.present[en.ID.WorkerID()] != nil || ld.inherited(en.ID) || ld.serves(en.Service) {
		ld.list(en)
		return
	}
	if _, told := ld.aside.unasked[key]; !told && len(ld.aside.unasked) < mostAside {
		ld.log.Info("Worker's service is not in use.", "worker", en.ID, "service", en.Service)
	}
	ld.aside.unasked[key] = en
}

// serves reports whether the configuration or a job names the service.
func (ld *lead) serves(service string) bool {
	return ld.parts.ServiceInUse(service) || ld.cell.UsesService(service)
}

// relist lists the workers whose services have come into use.
func (ld *lead) relist() {
	for _, key := range slices.Sorted(maps.Keys(ld.aside.unasked)) {
		if en := ld.aside.unasked[key]; ld.serves(en.Service) {
			delete(ld.aside.unasked, key)
			ld.list(en)
			ld.kick()
		}
	}
}

// inherited reports whether an earlier planner recorded a life of the worker that may hold runs.
func (ld *lead) inherited(lf incarnation.ID) bool {
	return slices.ContainsFunc(ld.earlier[lf.WorkerID()], func(one incarnation.ID) bool {
		_, old := ld.old[one]
		return old
	})
}

// list takes in an entry of a worker to use.
func (ld *lead) list(en WorkerEntry) {
	se, ok := ld.present[en.ID.WorkerID()]
	switch {
	case !ok:
		ld.begin(en)
	case se.matches(en):
		ld.update(se, en)
	case se.answered:
		se.expect(en)
	default: // nobody has answered as the life of the entry before
		ld.cell.Deregister(se.life)
		ld.passOn(se.life, en.ID)
		se.dead(ld.now())
		ld.begin(en)
	}
}

// begin begins to hold a life of a worker that is listed.
func (ld *lead) begin(en WorkerEntry) {
	ld.cell.PutWorker(ld.now(), en.Worker)
	ld.tellListed(en)
	ld.hold(en)
}

func (ld *lead) tellListed(en WorkerEntry) {
	ld.log.Info("Worker is listed.", "worker", en.ID, "address", en.Address, "draining", en.Draining)
}

// hold begins a session with a life of a worker.
func (ld *lead) hold(en WorkerEntry) {
	se := newSession(ld, en)
	ld.sessions[se.life], ld.present[se.life.WorkerID()] = se, se
	ld.spawn(func() { se.run(ld.ctx) })
}

// update takes in a later entry of the life that is there.
func (ld *lead) update(se *session, en WorkerEntry) {
	en.ID, se.other = se.life, nil
	if _, listed := ld.cell.Listed(se.life); !listed {
		ld.tellListed(en)
	}
	ld.cell.PutWorker(ld.now(), en.Worker)
	if se.entry.Capacity != en.Capacity {
		ld.log.Info("Worker's room has changed.", "worker", en.ID, "from", se.entry.Capacity.String(), "to", en.Capacity.String())
	}
	if se.entry.Draining != en.Draining {
		ld.log.Info("Worker drains.", "worker", en.ID, "draining", en.Draining)
	}
	se.entry = en
}

func (ld *lead) deregister(key string) {
	se, ok := ld.present[ld.idOf(key)]
	if !ok {
		return
	}
	se.other = nil
	ld.cell.Deregister(se.life)
	ld.log.Info("Worker's entry is gone.", "worker", se.life)
}

// idOf returns the worker's id in a key of the list.
func (ld *lead) idOf(key string) string { return key[len(ld.parts.WorkersPrefix):] }
