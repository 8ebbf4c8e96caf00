//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// clients hand jobs in and ask for them, as the clients of the platform do.
type clients struct {
	rig *rig

	mu   sync.Mutex
	jobs map[string]*job
	http http.Client
}

// job is what the clients know of a job.
type job struct {
	id    string
	host  string
	route string
	// accepted is when a 2xx came, 0 before.
	accepted time.Duration
	// phase is the last phase that was shown, shown when.
	phase string
	shown time.Duration
}

const (
	// timeBudget is how long a client waits for an answer.
	timeBudget = 3 * time.Second
	// retries is how often a client tries again.
	retries = 4
)

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// call sends one request to one node. The status is 0 if there was no answer.
func (cs *clients) call(nd *node, method, host, path string, body any) (status int, answer []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), timeBudget)
	defer cancel()
	var raw []byte
	if body != nil {
		raw, _ = json.Marshal(body)
	}
	rq, err := http.NewRequestWithContext(ctx, method, "http://"+nd.frontend+path, bytes.NewReader(raw))
	if err != nil {
		return 0, nil
	}
	rq.Host = host
	rq.Header.Set("Content-Type", "application/json")
	rq.Header.Set("Deadline-Ms", fmt.Sprint(timeBudget.Milliseconds()))
	rs, err := cs.http.Do(rq)
	if err != nil {
		return 0, nil
	}
	defer rs.Body.Close()
	answer, err = io.ReadAll(rs.Body)
	if err != nil {
		return 0, nil
	}
	return rs.StatusCode, answer
}

// anyNode returns one of the nodes.
func (cs *clients) anyNode() *node { return cs.rig.nodes[rand.IntN(len(cs.rig.nodes))] }

// submit hands a job in, with the client's retries. It returns the job if it was accepted, or nil.
func (cs *clients) submit(host, route string, body any) *job {
	jb := &job{id: newID(), host: host, route: route}
	for range 1 + retries {
		if cs.try(jb, body) {
			return jb
		}
		time.Sleep(time.Second)
	}
	return nil
}

// submitOnce hands a job in without retries.
func (cs *clients) submitOnce(host, route string, body any) {
	cs.try(&job{id: newID(), host: host, route: route}, body)
}

// try hands a job in at one node, and reports whether it was accepted.
func (cs *clients) try(jb *job, body any) bool {
	nd := cs.anyNode()
	status, answer := cs.call(nd, http.MethodPost, jb.host, jb.route+jb.id, body)
	cs.rig.rec.write("client", "POST %s%s to %s: %d %.80s", jb.route, jb.id, nd.name, status, answer)
	if status/100 != 2 {
		return false
	}
	cs.mu.Lock()
	defer cs.mu.Unlock()
	jb.accepted = cs.rig.rec.now()
	cs.jobs[jb.id] = jb
	return true
}

// ask asks for a job's phase once. It returns an empty phase if there was no answer with one.
func (cs *clients) ask(jb *job) (phase string, status int) {
	nd := cs.anyNode()
	status, answer := cs.call(nd, http.MethodGet, jb.host, jb.route+jb.id, nil)
	var body struct {
		Phase string `json:"phase"`
	}
	_ = json.Unmarshal(answer, &body)
	cs.rig.rec.write("client", "GET %s%s from %s: %d %.80s", jb.route, jb.id, nd.name, status, answer)
	if status == http.StatusOK {
		cs.mu.Lock()
		jb.phase, jb.shown = body.Phase, cs.rig.rec.now()
		cs.mu.Unlock()
	}
	return body.Phase, status
}

// list returns all accepted jobs.
func (cs *clients) list() []*job {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	var list []*job
	for _, jb := range cs.jobs {
		list = append(list, jb)
	}
	return list
}

// awaitReady waits until the nodes accept a job of a route, or panics.
func (cs *clients) awaitReady(host, route string) {
	for range 150 {
		ready := 0
		for _, nd := range cs.rig.nodes {
			if status, _ := cs.call(nd, http.MethodGet, host, route, nil); status == http.StatusOK {
				ready++
			}
		}
		if ready == len(cs.rig.nodes) {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	panic("the nodes are not ready")
}
