// Package routes is the configuration that operators gave: which queue a caller's
// host and path lead to. The version in force never goes back.
package routes

import (
	"strings"
	"sync/atomic"
	"time"

	"tackbeam.example/policy/work"
)

// Route leads callers of a host and path to a queue.
type Route struct {
	Host   string
	Prefix string
	Queue  work.Queue
}

// Limits are what the operators allow callers.
type Limits struct {
	MaxBody int
	Idle    time.Duration
}

// Config is one version of the configuration.
type Config struct {
	Version uint64
	Routes  []Route
	Limits  Limits
}

// Table is the version in force. It is safe for concurrent use.
type Table struct {
	config atomic.Pointer[Config]
}

// Set puts a version in force, unless a later one is. It reports whether it did.
func (tb *Table) Set(cf *Config) bool {
	for {
		old := tb.config.Load()
		if old != nil && cf.Version <= old.Version {
			return false
		}
		if tb.config.CompareAndSwap(old, cf) {
			return true
		}
	}
}

// Config returns the version in force, or nil before the first.
func (tb *Table) Config() *Config { return tb.config.Load() }

// Find returns the route with the host and the longest prefix of the path, and the
// rest of the path.
func (tb *Table) Find(host, path string) (route *Route, rest string) {
	cf := tb.config.Load()
	if cf == nil {
		return nil, ""
	}
	host = bare(host)
	for at := range cf.Routes {
		rt := &cf.Routes[at]
		if rt.Host != host || !strings.HasPrefix(path, rt.Prefix) {
			continue
		}
		if route == nil || len(rt.Prefix) > len(route.Prefix) {
			route = rt
		}
	}
	if route == nil {
		return nil, ""
	}
	return route, path[len(route.Prefix):]
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
	cf := tb.config.Load()
	if cf == nil {
		return work.Queue{}, false
	}
	for at := range cf.Routes {
		if cf.Routes[at].Queue.Name == name {
			return cf.Routes[at].Queue, true
		}
	}
	return work.Queue{}, false
}
