// Package routediff is what changes between two versions of the configuration, so that
// nodes can pass on a change instead of the whole: a route takes some 55 bytes, a version of
// 5,000 routes 1.4 MB as the store sends it.
package routediff

import (
	"github.com/pkg/errors"

	"tackbeam.example/tackbeam/internal/routes"
)

// Diff leads from one revision of the configuration to a later one. It travels between
// nodes.
type Diff struct {
	// From is the revision that it changes; 0 is none: it brings all routes.
	From uint64 `cbor:"1,keyasint,omitempty"`
	// To and Version are those of the result.
	To      uint64        `cbor:"2,keyasint"`
	Version uint64        `cbor:"3,keyasint"`
	Limits  routes.Limits `cbor:"4,keyasint"`
	// Put are the routes that are new or changed, Removed the names of the queues whose routes
	// are gone.
	Put     []routes.Route `cbor:"5,keyasint,omitempty"`
	Removed []string       `cbor:"6,keyasint,omitempty"`
}

// Whole returns the diff that brings a version to a node that has none.
func Whole(cf *routes.Config) *Diff {
	return &Diff{To: cf.Revision, Version: cf.Version, Limits: cf.Limits, Put: cf.Routes}
}

// Between returns what leads from one version to another. Where two routes of one of them have
// one name it brings all.
func Between(old, cf *routes.Config) *Diff {
	before, unique := byName(old)
	after, alsoUnique := byName(cf)
	if !unique || !alsoUnique {
		return Whole(cf)
	}
	df := &Diff{From: old.Revision, To: cf.Revision, Version: cf.Version, Limits: cf.Limits}
	for _, rt := range cf.Routes {
		if was, ok := before[rt.Queue.Name]; !ok || was != rt {
			df.Put = append(df.Put, rt)
		}
	}
	for _, rt := range old.Routes {
		if _, ok := after[rt.Queue.Name]; !ok {
			df.Removed = append(df.Removed, rt.Queue.Name)
		}
	}
	return df
}

// byName returns the routes by the names of their queues, and whether each has one of its own.
func byName(cf *routes.Config) (map[string]routes.Route, bool) {
	names := make(map[string]routes.Route, len(cf.Routes))
	for _, rt := range cf.Routes {
		names[rt.Queue.Name] = rt
	}
	return names, len(names) == len(cf.Routes)
}

// Apply returns what the diff makes of a version, which stays as it is; nil is none.
func (df *Diff) Apply(old *routes.Config) (*routes.Config, error) {
	out := &routes.Config{Revision: df.To, Version: df.Version, Limits: df.Limits}
	switch {
	case df.From == 0:
		out.Routes = df.Put
		return out, nil
	case old == nil || old.Revision != df.From:
		return nil, errors.Errorf("the change begins at revision %d, which is not the present one", df.From)
	}
	put := make(map[string]routes.Route, len(df.Put))
	for _, rt := range df.Put {
		put[rt.Queue.Name] = rt
	}
	removed := make(map[string]bool, len(df.Removed))
	for _, name := range df.Removed {
		removed[name] = true
	}
	out.Routes = make([]routes.Route, 0, len(old.Routes)+len(df.Put)-len(df.Removed))
	for _, rt := range old.Routes {
		name := rt.Queue.Name
		if removed[name] {
			continue
		}
		if fresh, ok := put[name]; ok {
			rt = fresh
			delete(put, name)
		}
		out.Routes = append(out.Routes, rt)
	}
	for _, rt := range df.Put {
		if _, ok := put[rt.Queue.Name]; ok {
			out.Routes = append(out.Routes, rt)
		}
	}
	return out, nil
}

// Size is the number of routes that the diff tells of.
func (df *Diff) Size() int { return len(df.Put) + len(df.Removed) }
