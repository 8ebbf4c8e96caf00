package planner

import (
	"maps"
	"slices"

	"tackbeam.example/policy/incarnation"

	"tackbeam.example/tackbeam/internal/kv"
)

// maxIgnored limits the number of unreadable entries that are remembered, and the log lines about these and other
// ignored entries, so that foreign data in the list fills neither memory nor log.
const maxIgnored = 100

// ignoredEntries are entries of the list of workers that are not used.
type ignoredEntries struct {
	// unreadable has the keys of entries that cannot be decoded.
	unreadable map[string]bool
	// unusedService has the entries of services that neither the configuration nor a job names.
	unusedService map[string]WorkerEntry
}

func (ie *ignoredEntries) init() {
	ie.unreadable = map[string]bool{}
	ie.unusedService = map[string]WorkerEntry{}
}

// drop forgets an entry that was removed, or that is used now.
func (ie *ignoredEntries) drop(key string) {
	delete(ie.unreadable, key)
	delete(ie.unusedService, key)
}

// applyWorkers applies changes of the list of workers.
func (ld *leader) applyWorkers(items []kv.Item, _ bool) {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	for _, item := range items {
		if item.Deleted {
			ld.ignored.drop(item.Key)
			ld.dropStandby(item.Key)
			ld.deregister(item.Key)
			continue
		}
		en, err := ld.opts.DecodeWorker(item)
		if err != nil {
			ld.ignore(item.Key, err)
			continue
		}
		en.SeenAt = ld.now()
		ld.ignored.drop(item.Key)
		ld.addEntry(item.Key, en)
	}
	ld.activateWorkers()
	ld.schedulePlan()
}

// ignore handles an entry that cannot be decoded. If there is a worker with the key, it may run tasks: its lease is
// renewed as before, but it gets no new tasks until it has written a valid entry.
func (ld *leader) ignore(key string, err error) {
	ld.dropStandby(key)
	if se, ok := ld.current[ld.workerID(key)]; ok {
		if _, listed := ld.cell.Listed(se.incarnation); listed {
			ld.deregister(key)
		}
	}
	if ld.ignored.unreadable[key] || len(ld.ignored.unreadable) >= maxIgnored {
		return
	}
	ld.ignored.unreadable[key] = true
	ld.log.Info("Ignoring an entry in the list of workers that cannot be decoded.", "key", key, "reason", err.Error())
}

// addEntry lists a worker that may have runs, and puts another one on standby if its service is in use.
func (ld *leader) addEntry(key string, en WorkerEntry) {
	id := en.ID.WorkerID()
	if ld.current[id] != nil || ld.inherited(en.ID) || ld.serviceInUse(en.Service) && ld.mayGetOrders(key, id) {
		ld.dropStandby(key)
		ld.applyEntry(en)
		return
	}
	if ld.serviceInUse(en.Service) {
		ld.putStandby(key, en)
		return
	}
	ld.dropStandby(key)
	if _, known := ld.ignored.unusedService[key]; !known && len(ld.ignored.unusedService) < maxIgnored {
		ld.log.Info("Worker's service is not in use.", "worker", en.ID, "service", en.Service)
	}
	ld.ignored.unusedService[key] = en
}

// serviceInUse reports whether the configuration or a job names the service.
func (ld *leader) serviceInUse(service string) bool {
	return ld.opts.ServiceInUse(service) || ld.cell.UsesService(service)
}

// listNewlyUsed lists the workers whose services have come into use.
func (ld *leader) listNewlyUsed() {
	for _, key := range slices.Sorted(maps.Keys(ld.ignored.unusedService)) {
		if en := ld.ignored.unusedService[key]; ld.serviceInUse(en.Service) {
			delete(ld.ignored.unusedService, key)
			ld.addEntry(key, en)
			ld.schedulePlan()
		}
	}
}

// inherited reports whether an earlier planner recorded an incarnation of the worker that may have runs.
func (ld *leader) inherited(inc incarnation.ID) bool {
	return slices.ContainsFunc(ld.earlier[inc.WorkerID()], func(one incarnation.ID) bool {
		_, old := ld.unresolved[one]
		return old
	})
}

// applyEntry applies the entry of a worker whose service is in use.
func (ld *leader) applyEntry(en WorkerEntry) {
	se, ok := ld.current[en.ID.WorkerID()]
	switch {
	case !ok:
		ld.addWorker(en)
	case se.matches(en):
		ld.updateWorker(se, en)
	case se.answered:
		se.expectOther(en)
	default: // the incarnation of the previous entry has not answered
		ld.cell.Deregister(se.incarnation)
		ld.transferUnresolved(se.incarnation, en.ID)
		se.incarnationOver(ld.now())
		ld.addWorker(en)
	}
}

// addWorker adds a listed worker to the cell and begins a session with it.
func (ld *leader) addWorker(en WorkerEntry) {
	ld.cell.PutWorker(ld.now(), en.Worker)
	ld.logListed(en)
	ld.beginSession(en)
}

func (ld *leader) logListed(en WorkerEntry) {
	ld.log.Info("Worker is listed.", "worker", en.ID, "address", en.Address, "draining", en.Draining)
}

// beginSession begins a session with an incarnation of a worker.
func (ld *leader) beginSession(en WorkerEntry) {
	se := newSession(ld, en)
	ld.sessions[se.incarnation], ld.current[se.incarnation.WorkerID()] = se, se
	ld.spawn(func() { se.run(ld.ctx) })
}

// updateWorker applies a new entry of the session's incarnation.
func (ld *leader) updateWorker(se *session, en WorkerEntry) {
	en.ID, se.other = se.incarnation, nil
	if _, listed := ld.cell.Listed(se.incarnation); !listed {
		ld.logListed(en)
	}
	ld.cell.PutWorker(ld.now(), en.Worker)
	if se.entry.Capacity != en.Capacity {
		ld.log.Info("Worker's capacity has changed.", "worker", en.ID, "from", se.entry.Capacity.String(), "to", en.Capacity.String())
	}
	if se.entry.Draining != en.Draining {
		ld.log.Info("Worker's draining state has changed.", "worker", en.ID, "draining", en.Draining)
	}
	se.entry = en
}

func (ld *leader) deregister(key string) {
	se, ok := ld.current[ld.workerID(key)]
	if !ok {
		return
	}
	se.other = nil
	silent := se.isSilent(ld.now())
	if silent {
		ld.cell.DeregisterSilent(se.incarnation)
	} else {
		ld.cell.Deregister(se.incarnation)
	}
	ld.log.Info("Worker's entry was removed.", "worker", se.incarnation, "silent", silent)
}

// workerID returns the worker id in a key of the list.
func (ld *leader) workerID(key string) string { return key[len(ld.opts.WorkersPrefix):] }
