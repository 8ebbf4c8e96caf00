package cellnode

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/feed"
	"tackbeam.example/tackbeam/internal/peerlink"
	"tackbeam.example/tackbeam/internal/routes"
)

const (
	// defaultApply is within how long a change of the configuration has to be in force where the
	// settings do not tell.
	defaultApply = 2 * time.Second
	// applyMargin is kept of that time for the request's way and work. The copy is 1.7 s old at
	// the most while a slow store answers, which 2 s less this leave room for.
	applyMargin = 200 * time.Millisecond
)

// configure puts a configuration in force, and reports whether it is later than the one before.
func (nd *Node) configure(cf *routes.Config) bool {
	if !nd.table.Set(cf) {
		return false
	}
	nd.planner.ApplySettings()
	return true
}

// staleAfter is the age of the configuration's copy beyond which a node cannot know what is in
// force: a change that it lacks may have been confirmed longer ago than it may take.
func (nd *Node) staleAfter() time.Duration {
	apply := nd.adapter.Site.Bounds.Apply
	if apply == 0 {
		apply = defaultApply
	}
	return max(apply-applyMargin, 0)
}

// knows reports why the node cannot tell which routes are in force, or nil. Its callers are
// refused at once then: a job on a route that was removed would run, and a count on it would be
// answered, for as long as the copy is old.
func (nd *Node) knows() error {
	age, loaded := nd.config.Age()
	switch {
	case !loaded || nd.table.Config() == nil:
		return fault.New(fault.Unavailable, "no configuration yet").WithRetryAfter(comeBack)
	case age > nd.staleAfter() && nd.health.Down():
		return fault.New(fault.Unavailable, "the store is away, the configuration here %s old; not run", age.Round(time.Millisecond)).WithRetryAfter(comeBack)
	case age > nd.staleAfter():
		return fault.New(fault.Stale, "the configuration here is %s old; not run", age.Round(time.Millisecond)).WithRetryAfter(comeBack)
	}
	return nil
}

// Configured reports why routes that are not in the table may exist all the same.
func (nd *Node) Configured() error {
	if err := nd.knows(); err != nil {
		return err
	}
	if nd.config.Behind() {
		return fault.New(fault.Stale, "a later configuration is on its way here").WithRetryAfter(comeBack)
	}
	return nil
}

// measureConfig has the node's measures tell which configuration is in force, how old the copy may
// be, and how many routes there are.
func (nd *Node) measureConfig() {
	gauges := map[string]func() int64{
		"config.age_ms": func() int64 {
			if age, loaded := nd.config.Age(); loaded {
				return age.Milliseconds()
			}
			return -1
		},
		"config.version": func() int64 { return int64(nd.inForce().Version) },
		"config.routes":  func() int64 { return int64(len(nd.inForce().Routes)) },
	}
	for name, value := range gauges {
		if err := nd.meters.Register(name, metrics.NewFunctionalGauge(value)); err != nil {
			nd.log.Error(err, "Measure is not told.", "name", name)
		}
	}
}

// inForce returns the configuration in force, an empty one before the first.
func (nd *Node) inForce() *routes.Config {
	if cf := nd.table.Config(); cf != nil {
		return cf
	}
	return &routes.Config{}
}

// askConfig asks another node for the configuration.
func (nd *Node) askConfig(ctx context.Context, address string, qn feed.Request) (feed.Response, error) {
	reply, err := nd.link.Call(ctx, address, peerlink.Request{Config: &qn})
	switch {
	case err != nil:
		return feed.Response{}, err
	case reply.Config == nil:
		return feed.Response{}, fault.New(fault.Internal, "node %s did not tell of the configuration", address)
	}
	return *reply.Config, nil
}

// tellConfig tells another node of the configuration.
func (nd *Node) tellConfig(ctx context.Context, qn feed.Request) (peerlink.Reply, error) {
	an, err := nd.config.Serve(ctx, qn)
	if err != nil {
		return peerlink.Reply{}, err
	}
	return peerlink.Reply{Config: &an}, nil
}
