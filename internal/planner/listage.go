package planner

import "time"

// While the store is down, workers cannot write their entries. Once it answers again, the list of workers is up to date at
// once, but its entries are as old as before, and the capacity of a worker may have shrunk meanwhile.

// listFresh reports whether the list of workers is recent enough to start tasks by it.
func (ld *leader) listFresh() bool {
	age, read := ld.workers.Age()
	return read && age < ld.maxListAge
}

// checkOutage finds an outage of the store, in this term or before it, that was as long as the list of workers may be old.
// An entry is then used once it has been written again, or once there was time for that. A list that became too old while
// the store answered other calls is no such sign: workers could write their entries. The caller holds the lock.
func (ld *leader) checkOutage() {
	if ld.opts.StoreOutage == nil || !ld.listFresh() {
		return
	}
	length, end := ld.opts.StoreOutage()
	if length < ld.maxListAge || !end.After(ld.outageEnd) {
		return
	}
	ld.outageEnd = end
	heartbeat := ld.opts.Site.Bounds.Heartbeat
	now, until := ld.now(), end.Sub(ld.began)+heartbeat+entryDelay
	if heartbeat == 0 || until <= now {
		return
	}
	ld.cell.SetOutdated(now, until)
	ld.log.Info("Store was down; entries of workers may be outdated until they are written again.", "down", length.String(),
		"at_most", (until - now).String())
}

// entryDelay is how long it may take until an entry that a worker writes is read: a slow store answers in 0.25 s, and watches
// are workerWatchPause apart.
const entryDelay = 250*time.Millisecond + workerWatchPause
