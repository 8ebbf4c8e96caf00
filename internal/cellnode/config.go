package cellnode

import (
	"cmp"
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/feed"
	"tackbeam.example/tackbeam/internal/peerlink"
	"tackbeam.example/tackbeam/internal/routes"
)

const (
	// defaultApplyTime is the time within which a configuration change must be active if the settings do not specify
	// it.
	defaultApplyTime = 2 * time.Second
	// applyMargin is the part of that time that is reserved for transmitting and processing a request. With a slow
	// store, the copy is at most 1.7 s old, which is still within 2 s less this margin.
	applyMargin = 200 * time.Millisecond
	// defaultRollbackTime is how long a node may act by an older version after a worker has seen a later one through it if
	// the settings do not specify it. rollbackMargin is the part of that time that is reserved for transmitting a request.
	defaultRollbackTime = 250 * time.Millisecond
	rollbackMargin      = 50 * time.Millisecond
)

// activate makes a configuration the active one, and reports whether it is newer than the previous one.
func (nd *Node) activate(cf *routes.Config) bool {
	if !nd.table.Set(cf) {
		return false
	}
	nd.planner.ApplySettings()
	return true
}

// staleAfter returns the age beyond which the copy of the configuration may miss a change that was confirmed longer ago
// than the time that the node has to apply it.
func (nd *Node) staleAfter() time.Duration {
	apply := nd.adapter.Site.Bounds.ConfigApplyTime
	if apply == 0 {
		apply = defaultApplyTime
	}
	return max(apply-applyMargin, 0)
}

// View returns the active configuration and the state of its copy at the same moment: a request that was looked up in one
// version must not be allowed by the age of the next one.
func (nd *Node) View() routes.View {
	for {
		vw := nd.table.View()
		st := nd.configState(vw)
		if nd.table.Config() == vw.Config() { // otherwise the state may be that of a later version
			return vw.With(st)
		}
	}
}

// configState returns the state of the copy while the view is the active one.
func (nd *Node) configState(vw routes.View) routes.State {
	age, loaded := nd.config.Age()
	later, known, missing := nd.config.Missing()
	err := nd.checkConfig(age, loaded && vw.Config() != nil)
	if err == nil && missing && known > nd.maxRollback() {
		err = fault.New(fault.Stale, "configuration %d is in use on other nodes, this one has %d; not run", later, vw.Version()).WithRetryAfter(retryAfter)
	}
	incomplete := err
	if err == nil && (missing || nd.config.Behind()) {
		incomplete = fault.New(fault.Stale, "newer configuration not loaded yet").WithRetryAfter(retryAfter)
	}
	return routes.State{Age: age, Err: err, Incomplete: incomplete}
}

// maxRollback returns for how long requests may be answered by a version older than one that the node has heard of. It has
// heard of a version before a worker sees its effect through this node.
func (nd *Node) maxRollback() time.Duration {
	return max(cmp.Or(nd.adapter.Site.Bounds.RollbackTime, defaultRollbackTime)-rollbackMargin, 0)
}

// checkConfig returns an error if the copy of the configuration is too old to know the current routes, or nil.
// Callers are then refused at once: otherwise jobs on a removed route would still run, and counts on it would still be
// answered, for as long as the copy is old.
func (nd *Node) checkConfig(age time.Duration, loaded bool) error {
	switch {
	case !loaded:
		return fault.New(fault.Unavailable, "no configuration loaded").WithRetryAfter(retryAfter)
	case age > nd.staleAfter() && nd.health.Down():
		return fault.New(fault.Unavailable, "store unavailable, configuration %s old; not run", age.Round(time.Millisecond)).WithRetryAfter(retryAfter)
	case age > nd.staleAfter():
		return fault.New(fault.Stale, "configuration is %s old; not run", age.Round(time.Millisecond)).WithRetryAfter(retryAfter)
	}
	return nil
}

// registerConfigGauges adds gauges for the active configuration's version, the maximum age of its copy, for how long the node has
// known of a later version that it lacks, and the number of its routes.
func (nd *Node) registerConfigGauges() {
	gauges := map[string]func() int64{
		"config.age_ms": func() int64 {
			if age, loaded := nd.config.Age(); loaded {
				return age.Milliseconds()
			}
			return -1
		},
		"config.missing_ms": func() int64 {
			_, since, _ := nd.config.Missing()
			return since.Milliseconds()
		},
		"config.version": func() int64 { return int64(nd.activeConfig().Version) },
		"config.routes":  func() int64 { return int64(len(nd.activeConfig().Routes)) },
	}
	for name, value := range gauges {
		if err := nd.meters.Register(name, metrics.NewFunctionalGauge(value)); err != nil {
			nd.log.Error(err, "Metric could not be registered.", "name", name)
		}
	}
}

// activeConfig returns the active configuration, or an empty one if none is loaded.
func (nd *Node) activeConfig() *routes.Config {
	if cf := nd.table.Config(); cf != nil {
		return cf
	}
	return &routes.Config{}
}

// requestConfig requests the configuration from another node.
func (nd *Node) requestConfig(ctx context.Context, address string, rq feed.Request) (feed.Response, error) {
	reply, err := nd.link.Call(ctx, address, peerlink.Request{Config: &rq})
	switch {
	case err != nil:
		return feed.Response{}, err
	case reply.Config == nil:
		return feed.Response{}, fault.New(fault.Internal, "node %s did not return the configuration", address)
	}
	return *reply.Config, nil
}

// serveConfig answers another node's request for the configuration.
func (nd *Node) serveConfig(ctx context.Context, rq feed.Request) (peerlink.Reply, error) {
	res, err := nd.config.Serve(ctx, rq)
	if err != nil {
		return peerlink.Reply{}, err
	}
	return peerlink.Reply{Config: &res}, nil
}
