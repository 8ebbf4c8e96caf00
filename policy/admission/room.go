package admission

import (
	"time"

	"tackbeam.example/policy/fairshare"
	"tackbeam.example/policy/work"
)

const (
	// maxRetryAfter is the longest delay that a caller is told to wait for the excess to drain: an urgent job has no
	// value after about 3 s, and shares may rise each 0.5 s.
	maxRetryAfter = 3 * time.Second
	// retryJitter is the part of a delay by which it is extended at random, so that retries do not arrive together.
	retryJitter = 0.5
)

// UpdateShares records the shares of urgent work that a planner admits.
func (ct *Controller) UpdateShares(now time.Duration, shares []fairshare.Share) {
	ct.sharesAt = now
	ct.shares = make(map[fairshare.Key]fairshare.Share, len(shares))
	for _, sh := range shares {
		ct.shares[sh.Key] = sh
	}
}

// RefuseForRoom reports whether a new job is refused because it would not be in time, and after how long its caller
// should retry. term is the term of the present planner, 0 if none is known; random returns numbers between 0 and 1.
func (ct *Controller) RefuseForRoom(now time.Duration, term uint64, jb *work.Job, random func() float64) (retryAfter time.Duration, refuse bool) {
	sh, ok := ct.shares[fairshare.Key{Service: jb.Queue.Service, Workspace: jb.Workspace.Name}]
	if !ok || jb.Queue.Priority > 0 || now-ct.sharesAt > maxAge || term != 0 && term != ct.term {
		return 0, false
	}
	if random() < sh.Admitted && sh.Wait <= slack(jb) {
		return 0, false
	}
	return jittered(min(max(sh.Drain, minRetryAfter), maxRetryAfter), retryJitter, random), true
}

// jittered extends a delay by a random part of it.
func jittered(delay time.Duration, part float64, random func() float64) time.Duration {
	return delay + time.Duration(part*random()*float64(delay))
}

// slack is how long a job may wait and still be in time, by the estimates of its caller.
func slack(jb *work.Job) time.Duration {
	ends := make([]time.Duration, len(jb.Steps))
	var path time.Duration
	for num, st := range jb.Steps {
		var begin time.Duration
		for _, before := range st.After {
			begin = max(begin, ends[before])
		}
		ends[num] = begin + st.Estimate
		path = max(path, ends[num])
	}
	return time.Duration((jb.Queue.Stretch-1)*float64(path)) + jb.Queue.Target
}
