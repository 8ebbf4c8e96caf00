package standinworker

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"tackbeam.example/tackbeam/internal/frames"
	"tackbeam.example/tackbeam/internal/ids"
	"tackbeam.example/tackbeam/internal/workermsg"
)

// Reply returns the answer that every stand-in worker gives to a lookup's body,
// so that a client can check that it got its own.
func Reply(body []byte) []byte {
	sum := strconv.FormatUint(xxhash.Sum64(body), 16)
	return append([]byte("answer "+sum+" to "), body...)
}

// serveLookups answers lookups, each in its own time, until the connection ends.
func (wk *Worker) serveLookups(cn *frames.Conn) {
	for {
		var msg workermsg.OwnerMessage
		if err := cn.Receive(&msg); err != nil {
			return
		}
		if msg.Lookup != nil {
			wk.lookup(cn, msg.Lookup)
		}
	}
}

// lookupPrefix begins the names of lookups in records and inventories.
const lookupPrefix = "lookup-"

// maxMark is how much of a lookup's body is written into the records.
const maxMark = 64

// lookupName is the name of a lookup in records and inventories.
func lookupName(id uint64) string { return lookupPrefix + strconv.FormatUint(id, 16) }

func (wk *Worker) lookup(cn *frames.Conn, lk *workermsg.Lookup) {
	refusal, wait, fail := wk.admitLookup(lk)
	if refusal != workermsg.Accepted {
		wk.send(cn, workermsg.WorkerMessage{Answer: &workermsg.Answer{ID: lk.ID, Refusal: refusal}})
		return
	}
	time.AfterFunc(wait, func() {
		wk.endLookup(lk.ID)
		wk.answer(cn, lk, fail)
	})
}

// admitLookup takes a slot, and returns how long the lookup will take.
func (wk *Worker) admitLookup(lk *workermsg.Lookup) (workermsg.Refusal, time.Duration, bool) {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	fences := wk.can(workermsg.Fencing)
	if fences && (lk.Epoch != wk.epoch || !time.Now().Before(wk.leaseUntil)) {
		return workermsg.StaleEpoch, 0, false
	}
	if fences && lk.Session != wk.session {
		return workermsg.StaleSession, 0, false
	}
	if wk.leaving {
		return workermsg.WorkerLeaving, 0, false
	}
	name := lookupName(lk.ID)
	mark := string(lk.Body[:min(len(lk.Body), maxMark)])
	wk.lookups[name] = pretended{size: lk.Size, mark: mark}
	wk.occupy(name, lk.Size)
	wk.record(name, EventBegin, mark)
	wk.answered++
	wait := wk.opts.LookupTime
	if wk.answered%2 == 0 {
		wait += wk.faults.LookupDelay
	}
	return workermsg.Accepted, wait, wk.faults.FailAll
}

// endLookup gives the slot back.
func (wk *Worker) endLookup(id uint64) {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	name := lookupName(id)
	wk.used = wk.used.Sub(wk.lookups[name].size)
	wk.record(name, EventEnd, wk.lookups[name].mark)
	delete(wk.lookups, name)
}

// answer sends a lookup's answer. An owner that cannot get it, but counted the
// lookup from the inventory, is told that it has ended.
func (wk *Worker) answer(cn *frames.Conn, lk *workermsg.Lookup, fail bool) {
	wk.mu.Lock()
	ft := wk.faults
	owner := wk.control
	session := wk.session
	wk.mu.Unlock()
	an := workermsg.Answer{ID: lk.ID}
	if fail {
		an.Failed = "the endpoint fails everything"
	} else {
		an.Body = Reply(lk.Body)
	}
	an.Length = len(an.Body)
	if ft.CutShort {
		an.Body = an.Body[:len(an.Body)/2]
	}
	if ft.Foreign {
		foreign := Reply([]byte(ids.Random(4)))
		wk.send(cn, workermsg.WorkerMessage{Answer: &workermsg.Answer{ID: lk.ID + 1, Length: len(foreign), Body: foreign}})
	}
	sent := wk.send(cn, workermsg.WorkerMessage{Answer: &an})
	if ft.Twice {
		wk.send(cn, workermsg.WorkerMessage{Answer: &an})
	}
	if (!sent || session != lk.Session) && owner != nil {
		wk.send(owner, workermsg.WorkerMessage{Ended: &workermsg.Ended{
			Task: lookupName(lk.ID), State: workermsg.OK, Started: true,
		}})
	}
}
