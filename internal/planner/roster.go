package planner

import (
	"tackbeam.example/tackbeam/internal/kv"
)

// takeWorkers takes in changes of the list of workers.
func (ld *lead) takeWorkers(items []kv.Item, _ bool) {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	for _, item := range items {
		if item.Gone {
			ld.unlist(item.Key)
			continue
		}
		en, err := ld.parts.DecodeWorker(item)
		if err != nil {
			ld.log.Error(err, "Entry of a worker cannot be read.", "key", item.Key)
			continue
		}
		ld.list(en)
	}
	ld.kick()
}

func (ld *lead) list(en Entry) {
	ld.cell.PutWorker(ld.now(), en.Worker)
	se, ok := ld.sessions[en.ID]
	if !ok {
		se = newSession(ld, en)
		ld.sessions[en.ID] = se
		ld.spawn(func() { se.run(ld.ctx) })
		ld.log.Info("Worker is listed.", "worker", en.ID, "address", en.Address, "draining", en.Draining)
		return
	}
	if se.entry.Draining != en.Draining {
		ld.log.Info("Worker drains.", "worker", en.ID, "draining", en.Draining)
	}
	se.entry = en
}

func (ld *lead) unlist(key string) {
	id := key[len(ld.parts.WorkersPrefix):]
	ld.cell.Unlist(id)
	ld.log.Info("Worker's entry is gone.", "worker", id)
}
