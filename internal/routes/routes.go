// Package routes holds the operators' configuration, which maps a caller's host and path to a queue. An active
// version is never replaced by an older one.
package routes

import (
	"slices"
	"sync/atomic"
	"time"

	"tackbeam.example/policy/work"

	"tackbeam.example/tackbeam/internal/apikey"
)

// Route maps a host and path prefix to a queue. Nodes send it to each other.
type Route struct {
	Host   string     `cbor:"1,keyasint"`
	Prefix string     `cbor:"2,keyasint"`
	Queue  work.Queue `cbor:"3,keyasint"`
	// Public routes accept calls without an API key.
	Public bool `cbor:"4,keyasint,omitempty"`
}

// Workspace is a workspace with the API keys of its callers. Nodes send it to each other.
type Workspace struct {
	work.Workspace `cbor:"1,keyasint"`
	Keys           []apikey.Digest `cbor:"2,keyasint,omitempty"`
}

// Equal reports whether both are equal, including the order of the keys.
func (ws *Workspace) Equal(other *Workspace) bool {
	return ws.Workspace == other.Workspace && slices.Equal(ws.Keys, other.Keys)
}

// Limits are the operators' limits for callers. Nodes send them to each other.
type Limits struct {
	MaxBody int           `cbor:"1,keyasint"`
	Idle    time.Duration `cbor:"2,keyasint"`
}

// Config is one version of the configuration.
type Config struct {
	Version uint64
	// Revision is the store revision at which the version was written.
	Revision uint64
	Routes   []Route
	Limits   Limits
	// KeyRequired is set if calls need the API key of a workspace, unless their route is public.
	KeyRequired bool
	Workspaces  []Workspace
}

// Table holds the active version. It is safe for concurrent use.
type Table struct {
	active atomic.Pointer[indexed]
}

// indexed is a version with its index.
type indexed struct {
	config *Config
	index  *index
}

// Set activates a version, unless the active one is at least as recent. It reports whether it did.
func (tb *Table) Set(cf *Config) bool {
	var next *indexed
	for {
		old := tb.active.Load()
		if old != nil && cf.Version <= old.config.Version {
			return false
		}
		if next == nil {
			next = &indexed{cf, newIndex(cf.Routes, cf.Workspaces)}
		}
		if tb.active.CompareAndSwap(old, next) {
			return true
		}
	}
}

// View returns the active version. All lookups of one request belong to the same view.
func (tb *Table) View() View { return View{active: tb.active.Load()} }

// Config returns the active version, or nil before the first.
func (tb *Table) Config() *Config { return tb.View().Config() }

// Queue returns the settings of a queue, or false if no route leads to it.
func (tb *Table) Queue(name string) (work.Queue, bool) { return tb.View().Queue(name) }

// Workspace returns the settings of a workspace, or false if the configuration lacks it.
func (tb *Table) Workspace(name string) (work.Workspace, bool) { return tb.View().Workspace(name) }

// HasService reports whether tasks of any queue run on workers of the service.
func (tb *Table) HasService(service string) bool { return tb.View().HasService(service) }

// Caller identifies a caller according to a node's copy of the configuration. The zero value is a caller that
// needs no API key. Nodes send it to each other.
type Caller struct {
	Key apikey.Digest `cbor:"1,keyasint"`
	// Workspace is the workspace of the key, with the version of the configuration it comes from.
	Workspace work.Workspace `cbor:"2,keyasint"`
}
