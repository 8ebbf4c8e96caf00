package routes

import (
	"strings"
	"time"

	"tackbeam.example/policy/work"

	"tackbeam.example/tackbeam/internal/apikey"
)

// View is a version of the configuration, with how old the node's copy of it was at the moment of the lookup and whether
// requests may be answered by it. The zero value is a view without a version, in which nothing is found.
type View struct {
	active *indexed
	State
}

// State is what a node knows about its copy of the configuration at one moment.
type State struct {
	// Age is how old the copy may be.
	Age time.Duration
	// Err is why requests must not be answered by the copy, or nil. Incomplete is why routes and API keys that it lacks may
	// exist nevertheless, or nil; it is set if Err is.
	Err, Incomplete error
}

// With returns the view with a state.
func (vw View) With(st State) View {
	vw.State = st
	return vw
}

// Config returns the version, or nil if there is none.
func (vw View) Config() *Config {
	if vw.active == nil {
		return nil
	}
	return vw.active.config
}

// Version returns the number of the version, 0 if there is none.
func (vw View) Version() uint64 {
	if vw.active == nil {
		return 0
	}
	return vw.active.config.Version
}

// Find returns the route with the host and the longest prefix of the path, and the rest of the path.
func (vw View) Find(host, path string) (route *Route, rest string) {
	if vw.active == nil {
		return nil, ""
	}
	found := vw.active.index.find(normalizeHost(host), path)
	if found == nil {
		return nil, ""
	}
	route = vw.withVersion(found)
	return route, path[len(route.Prefix):]
}

// withVersion returns a copy of a route with the version of its configuration.
func (vw View) withVersion(rt *Route) *Route {
	out := *rt
	out.Queue.Version = vw.Version()
	return &out
}

// normalizeHost returns a host in lower case, without its port.
func normalizeHost(host string) string {
	if at := strings.LastIndexByte(host, ':'); at >= 0 {
		host = host[:at]
	}
	return strings.ToLower(host)
}

// Route returns the route that leads to a queue, or nil.
func (vw View) Route(queue string) *Route {
	if vw.active == nil {
		return nil
	}
	found, ok := vw.active.index.queues[queue]
	if !ok {
		return nil
	}
	return vw.withVersion(found)
}

// Queue returns the settings of a queue, or false if no route leads to it.
func (vw View) Queue(name string) (work.Queue, bool) {
	if route := vw.Route(name); route != nil {
		return route.Queue, true
	}
	return work.Queue{}, false
}

// KeyRequired reports whether calls of a route need an API key.
func (vw View) KeyRequired(rt *Route) bool {
	return vw.active != nil && vw.active.config.KeyRequired && !rt.Public
}

// Caller returns the caller with an API key, or false if no workspace has the key.
func (vw View) Caller(key apikey.Digest) (Caller, bool) {
	if vw.active == nil {
		return Caller{}, false
	}
	ws, ok := vw.active.index.keys[key]
	if !ok {
		return Caller{}, false
	}
	return Caller{Key: key, Workspace: vw.workspaceWithVersion(ws)}, true
}

// Workspace returns the settings of a workspace, or false if the configuration lacks it.
func (vw View) Workspace(name string) (work.Workspace, bool) {
	if vw.active == nil {
		return work.Workspace{}, false
	}
	ws, ok := vw.active.index.workspaces[name]
	if !ok {
		return work.Workspace{}, false
	}
	return vw.workspaceWithVersion(ws), true
}

// workspaceWithVersion returns a workspace's settings with the version of their configuration.
func (vw View) workspaceWithVersion(ws *Workspace) work.Workspace {
	out := ws.Workspace
	out.Version = vw.Version()
	return out
}

// HasService reports whether tasks of any queue run on workers of the service.
func (vw View) HasService(service string) bool {
	return vw.active != nil && vw.active.index.services[service]
}
