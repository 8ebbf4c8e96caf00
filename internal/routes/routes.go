// Package routes is the configuration that operators gave: which queue a caller's
// host and path lead to. The version in force never goes back.
package routes

import (
	"strings"
	"sync/atomic"
	"time"

	"tackbeam.example/policy/work"
)

// Route leads callers of a host and path to a queue. It travels between nodes.
type Route struct {
	Host   string     `cbor:"1,keyasint"`
	Prefix string     `cbor:"2,keyasint"`
	Queue  work.Queue `cbor:"3,keyasint"`
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
			fresh = &indexed{cf, newIndex(cf.Routes)}
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

// Serves reports whether any queue's tasks run on workers of a service.
func (tb *Table) Serves(service string) bool {
	now := tb.inForce.Load()
	return now != nil && now.index.services[service]
}
