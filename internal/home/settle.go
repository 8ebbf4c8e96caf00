package home

import (
	"context"
	"time"

	policy "tackbeam.example/policy/home"
	"tackbeam.example/tackbeam/internal/job"
	"tackbeam.example/tackbeam/internal/nodemsg"
	"tackbeam.example/tackbeam/internal/peer"
)

// late ends a job that passed its deadline while it waited. The caller holds the
// lock, and the machine has dropped the job.
func (hm *Home) late(id string) {
	if en, ok := hm.jobs[id]; ok && !en.frozen {
		hm.settleWaiting(en, "the deadline passed before there was room")
	}
}

// settleWaiting ends a job that waits. It was not run, unless an attempt before
// this wait began. The caller holds the lock.
func (hm *Home) settleWaiting(en *entry, reason string) {
	if en.rec.StartedAttempts > 0 {
		hm.settle(en, job.Unknown, "", reason+", and an earlier attempt had begun")
		return
	}
	hm.settle(en, job.NotRun, "", reason)
}

// settle puts a job's end in line for the journal; the end is said and the
// workers may forget it only once it is kept. The caller holds the lock.
func (hm *Home) settle(en *entry, an job.Answer, result, reason string) {
	if en.settling || en.rec.State == job.Done {
		return
	}
	en.settling = true
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
		hm.Log.Error(err, "End of job cannot be encoded.", "job", rec.ID)
		return
	}
	pending := hm.journal.Append(raw)
	go func() {
		<-pending.Done()
		hm.mu.Lock()
		defer hm.mu.Unlock()
		en.busy--
		en.settling = false
		if pending.Err() != nil {
			hm.Log.V(1).Info("End of job was not kept.", "job", rec.ID, "cause", pending.Err().Error())
			return // another home sees the job through
		}
		hm.ended(en, rec)
	}()
}

// ended makes a kept end known. The caller holds the lock.
func (hm *Home) ended(en *entry, rec job.Record) {
	if hm.jobs[rec.ID] == en {
		hm.open--
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

// ackAll lets the workers forget ended tasks. A lost message only costs memory
// there until the owner asks again.
func (hm *Home) ackAll(places []nodemsg.Place) {
	const patience = 2 * time.Second
	ctx, cancel := context.WithTimeout(hm.ctx, patience)
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
			hm.Log.V(1).Info("Ends were not acknowledged yet.", "node", node, "cause", err.Error())
		}
	}
}

// byOwner groups places by the node that owns their rack now.
func (hm *Home) byOwner(places []nodemsg.Place) map[string][]nodemsg.Place {
	mp := hm.Member.Map()
	groups := map[string][]nodemsg.Place{}
	for _, pl := range places {
		node := mp.Racks[pl.Rack].Owner
		groups[node] = append(groups[node], pl)
	}
	return groups
}
