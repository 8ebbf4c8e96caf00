package home

import (
	"context"
	"time"

	policy "tackbeam.example/policy/home"
	"tackbeam.example/tackbeam/internal/job"
	"tackbeam.example/tackbeam/internal/nodemsg"
	"tackbeam.example/tackbeam/internal/peer"
)

// expire ends a job whose deadline passed while it waited. The caller holds the lock, and the state machine has removed
// the job.
func (hm *Home) expire(id string) {
	if en, ok := hm.jobs[id]; ok && !en.frozen {
		hm.endWaiting(en, "the deadline passed before resources were available")
	}
}

// endWaiting ends a waiting job. Its answer is "not run", unless an earlier attempt had started. The caller holds the
// lock.
func (hm *Home) endWaiting(en *entry, reason string) {
	if en.rec.StartedAttempts > 0 {
		hm.end(en, job.Unknown, "", reason+", and an earlier attempt had started")
		return
	}
	hm.end(en, job.NotRun, "", reason)
}

// end writes a job's end to the journal. Only after that is the end reported, and are the workers allowed to forget
// the tasks. The caller holds the lock.
func (hm *Home) end(en *entry, an job.Answer, result, reason string) {
	if en.ending || en.rec.State == job.Done {
		return
	}
	en.ending = true
	en.busy++
	hm.unreserve(en)
	rec := en.rec
	rec.State, rec.Answer, rec.Result, rec.Reason = job.Done, an, result, reason
	rec.EndedAt = hm.Clock.Now()
	rec.EndedMapAge = hm.Member.Map().Age
	rec.Payload = nil
	rec.Version++
	raw, err := rec.Encode()
	if err != nil {
		hm.Log.Error(err, "Record of job's end could not be encoded.", "job", rec.ID)
		return
	}
	pending := hm.journal.Append(raw)
	go func() {
		<-pending.Done()
		hm.mu.Lock()
		defer hm.mu.Unlock()
		en.busy--
		en.ending = false
		if pending.Err() != nil {
			hm.Log.V(1).Info("Record of job's end was not written to the journal.", "job", rec.ID, "cause", pending.Err().Error())
			return // another home runs the job to its end
		}
		hm.endRecorded(en, rec)
	}()
}

// endRecorded reports an end that the journal has. The caller holds the lock.
func (hm *Home) endRecorded(en *entry, rec job.Record) {
	if hm.jobs[rec.ID] == en {
		hm.unfinished--
	}
	en.rec = rec
	if !en.frozen {
		hm.step(policy.Event{Remove: &policy.Remove{Job: rec.ID}})
	}
	hm.Meter.Count("jobs_"+string(rec.Answer), 1)
	hm.Meter.Observe("job_time", rec.Class, rec.Workspace, rec.EndedAt.Sub(rec.Submitted))
	en.notify()
	places := append(en.toAck, rec.Places...)
	en.toAck = nil
	if len(places) > 0 {
		go hm.ackAll(places)
	}
}

// ackAll lets the workers forget ended tasks. If a message is lost, the workers only keep the tasks until the owner
// reports the end again.
func (hm *Home) ackAll(places []nodemsg.Place) {
	const timeout = 2 * time.Second
	ctx, cancel := context.WithTimeout(hm.ctx, timeout)
	defer cancel()
	for node, group := range hm.byOwner(places) {
		ak := nodemsg.Ack{Tasks: nodemsg.TasksOf(group)}
		if node == hm.Member.Node().Name {
			hm.Local.Ack(ak)
			continue
		}
		nd := hm.Member.Map().Nodes[node]
		_, err := peer.Call[nodemsg.Ack, nodemsg.Empty](ctx, hm.Peer, nd.Peer, nodemsg.KindAck, ak)
		if err != nil {
			hm.Log.V(1).Info("Ends of tasks could not be acknowledged.", "node", node, "cause", err.Error())
		}
	}
}

// byOwner groups places by the node that currently owns their rack.
func (hm *Home) byOwner(places []nodemsg.Place) map[string][]nodemsg.Place {
	mp := hm.Member.Map()
	groups := map[string][]nodemsg.Place{}
	for _, pl := range places {
		node := mp.Racks[pl.Rack].Owner
		groups[node] = append(groups[node], pl)
	}
	return groups
}
