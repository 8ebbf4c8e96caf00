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
	// KeyRequired is that of the result.
	KeyRequired bool `cbor:"7,keyasint,omitempty"`
	// PutWorkspaces and RemovedWorkspaces are the same of the workspaces; one with a key more or less
	// is told of as a whole.
	PutWorkspaces     []routes.Workspace `cbor:"8,keyasint,omitempty"`
	RemovedWorkspaces []string           `cbor:"9,keyasint,omitempty"`
}

// Full returns the diff that brings a version to a node that has none.
func Full(cf *routes.Config) *Diff {
	return &Diff{
		To: cf.Revision, Version: cf.Version, Limits: cf.Limits, Put: cf.Routes,
		KeyRequired: cf.KeyRequired, PutWorkspaces: cf.Workspaces,
	}
}

// Between returns what leads from one version to another. Where two routes of one of them have
// one name it brings all.
func Between(old, cf *routes.Config) *Diff {
	df := &Diff{From: old.Revision, To: cf.Revision, Version: cf.Version, Limits: cf.Limits, KeyRequired: cf.KeyRequired}
	var ok, also bool
	df.Put, df.Removed, ok = changed(old.Routes, cf.Routes, routeName, func(a, b *routes.Route) bool { return *a == *b })
	df.PutWorkspaces, df.RemovedWorkspaces, also = changed(old.Workspaces, cf.Workspaces, workspaceName, (*routes.Workspace).Equal)
	if !ok || !also {
		return Full(cf)
	}
	return df
}

func routeName(rt *routes.Route) string { return rt.Queue.Name }

func workspaceName(ws *routes.Workspace) string { return ws.Name }

// changed returns the rows that are new or changed, and the names of those that are gone; false where two
// rows of one side have one name.
func changed[R any](old, now []R, name func(*R) string, equal func(a, b *R) bool) (put []R, removed []string, ok bool) {
	before, unique := byName(old, name)
	after, alsoUnique := byName(now, name)
	if !unique || !alsoUnique {
		return nil, nil, false
	}
	for at := range now {
		if was, ok := before[name(&now[at])]; !ok || !equal(was, &now[at]) {
			put = append(put, now[at])
		}
	}
	for at := range old {
		if row := name(&old[at]); after[row] == nil {
			removed = append(removed, row)
		}
	}
	return put, removed, true
}

// byName returns rows by their names, and whether each has one of its own.
func byName[R any](rows []R, name func(*R) string) (map[string]*R, bool) {
	names := make(map[string]*R, len(rows))
	for at := range rows {
		names[name(&rows[at])] = &rows[at]
	}
	return names, len(names) == len(rows)
}

// Apply returns what the diff makes of a version, which stays as it is; nil is none.
func (df *Diff) Apply(old *routes.Config) (*routes.Config, error) {
	out := &routes.Config{Revision: df.To, Version: df.Version, Limits: df.Limits, KeyRequired: df.KeyRequired}
	switch {
	case df.From == 0:
		out.Routes, out.Workspaces = df.Put, df.PutWorkspaces
		return out, nil
	case old == nil || old.Revision != df.From:
		return nil, errors.Errorf("the change begins at revision %d, which is not the present one", df.From)
	}
	out.Routes = apply(old.Routes, df.Put, df.Removed, routeName)
	out.Workspaces = apply(old.Workspaces, df.PutWorkspaces, df.RemovedWorkspaces, workspaceName)
	return out, nil
}

// apply returns old rows with those that are put in their places, or at the end, and without those removed.
func apply[R any](old, put []R, removed []string, name func(*R) string) []R {
	fresh, _ := byName(put, name)
	gone := make(map[string]bool, len(removed))
	for _, row := range removed {
		gone[row] = true
	}
	out := make([]R, 0, len(old)+len(put))
	for at := range old {
		row := name(&old[at])
		switch {
		case gone[row]:
		case fresh[row] != nil:
			out = append(out, *fresh[row])
			delete(fresh, row)
		default:
			out = append(out, old[at])
		}
	}
	for at := range put {
		if fresh[name(&put[at])] != nil {
			out = append(out, put[at])
		}
	}
	return out
}

// keysARoute is how many API keys take as many bytes as a route.
const keysARoute = 4

// Size is how much the diff tells of, in routes.
func (df *Diff) Size() int {
	rows := len(df.Put) + len(df.Removed) + len(df.PutWorkspaces) + len(df.RemovedWorkspaces)
	keys := 0
	for at := range df.PutWorkspaces {
		keys += len(df.PutWorkspaces[at].Keys)
	}
	return rows + keys/keysARoute
}
