// Package routes is the configuration that operators gave: which queue a caller's
// host and path lead to. The version in force never goes back.
package routes

import (
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"tackbeam.example/policy/work"

	"tackbeam.example/tackbeam/internal/apikey"
)

// Route leads callers of a host and path to a queue. It travels between nodes.
type Route struct {
	Host   string     `cbor:"1,keyasint"`
	Prefix string     `cbor:"2,keyasint"`
	Queue  work.Queue `cbor:"3,keyasint"`
	// Public routes take calls without an API key.
	Public bool `cbor:"4,keyasint,omitempty"`
}

// Workspace is a workspace with the API keys of its callers. It travels between nodes.
type Workspace struct {
	work.Workspace `cbor:"1,keyasint"`
	Keys           []apikey.Digest `cbor:"2,keyasint,omitempty"`
}

// Equal reports whether both are alike; the order of the keys counts.
func (ws *Workspace) Equal(other *Workspace) bool {
	return ws.Workspace == other.Workspace && slices.Equal(ws.Keys, other.Keys)
}

// Limits are what the operators allow callers. They travel between nodes.
type Limits struct {
	MaxBody int           `cbor:"1,keyasint"`
	Idle    time.Duration `cbor:"2,keyasint"`
}

// Config is one version of the configuration.
type Config struct {
	Version uint64
	// Revision is the store's, at which the version was written.
	Revision uint64
	Routes   []Route
	Limits   Limits
	// KeyRequired is set where calls need the API key of a workspace, unless their route is public.
	KeyRequired bool
	Workspaces  []Workspace
}

// Table is the version in force. It is safe for concurrent use.
type Table struct {
	inForce atomic.Pointer[indexed]
}

// indexed is a version with its index.
type indexed struct {
	config *Config
	index  *index
}

// Set puts a version in force, unless a later one is. It reports whether it did.
func (tb *Table) Set(cf *Config) bool {
	var fresh *indexed
	for {
		old := tb.inForce.Load()
		if old != nil && cf.Version <= old.config.Version {
			return false
		}
		if fresh == nil {
			fresh = &indexed{cf, newIndex(cf.Routes, cf.Workspaces)}
		}
		if tb.inForce.CompareAndSwap(old, fresh) {
			return true
		}
	}
}

// Config returns the version in force, or nil before the first.
func (tb *Table) Config() *Config {
	if now := tb.inForce.Load(); now != nil {
		return now.config
	}
	return nil
}

// Find returns the route with the host and the longest prefix of the path, and the
// rest of the path.
func (tb *Table) Find(host, path string) (route *Route, rest string) {
	now := tb.inForce.Load()
	if now == nil {
		return nil, ""
	}
	found := now.index.find(bare(host), path)
	if found == nil {
		return nil, ""
	}
	route = now.dated(found)
	return route, path[len(route.Prefix):]
}

// dated returns a route with the version that it is from.
func (ix *indexed) dated(rt *Route) *Route {
	out := *rt
	out.Queue.Version = ix.config.Version
	return &out
}

// bare returns a host without its port, in lower case.
func bare(host string) string {
	if at := strings.LastIndexByte(host, ':'); at >= 0 {
		host = host[:at]
	}
	return strings.ToLower(host)
}

// Queue returns the settings of a queue, or false where its route is gone.
func (tb *Table) Queue(name string) (work.Queue, bool) {
	now := tb.inForce.Load()
	if now == nil {
		return work.Queue{}, false
	}
	route, ok := now.index.queues[name]
	if !ok {
		return work.Queue{}, false
	}
	return now.dated(route).Queue, true
}

// Caller is who calls, by a node's copy of the configuration. The zero value needs no API key. It travels
// between nodes.
type Caller struct {
	Key apikey.Digest `cbor:"1,keyasint"`
	// Workspace is the key's, with the version of the configuration that says so.
	Workspace work.Workspace `cbor:"2,keyasint"`
}

// KeyRequired reports whether calls of a route need an API key.
func (tb *Table) KeyRequired(rt *Route) bool {
	now := tb.inForce.Load()
	return now != nil && now.config.KeyRequired && !rt.Public
}

// Caller returns the caller with an API key, or false where no workspace has the key.
func (tb *Table) Caller(key apikey.Digest) (Caller, bool) {
	now := tb.inForce.Load()
	if now == nil {
		return Caller{}, false
	}
	ws, ok := now.index.keys[key]
	if !ok {
		return Caller{}, false
	}
	return Caller{Key: key, Workspace: now.datedWorkspace(ws)}, true
}

// Workspace returns the settings of a workspace, or false where the configuration lacks it.
func (tb *Table) Workspace(name string) (work.Workspace, bool) {
	now := tb.inForce.Load()
	if now == nil {
		return work.Workspace{}, false
	}
	ws, ok := now.index.workspaces[name]
	if !ok {
		return work.Workspace{}, false
	}
	return now.datedWorkspace(ws), true
}

// datedWorkspace returns a workspace's settings with the version that they are from.
func (ix *indexed) datedWorkspace(ws *Workspace) work.Workspace {
	out := ws.Workspace
	out.Version = ix.config.Version
	return out
}

// HasService reports whether any queue's tasks run on workers of a service.
func (tb *Table) HasService(service string) bool {
	now := tb.inForce.Load()
	return now != nil && now.index.services[service]
}
