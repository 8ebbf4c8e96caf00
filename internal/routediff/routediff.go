// Package routediff computes and applies the differences between versions of the configuration, so that nodes can
// exchange changes instead of the full configuration: a route takes some 55 bytes, a version of 5,000 routes takes
// 1.4 MB as the store sends it.
package routediff

import (
	"github.com/pkg/errors"

	"tackbeam.example/tackbeam/internal/routes"
)

// Diff leads from one revision of the configuration to a later one. Nodes send it to each other.
type Diff struct {
	// From is the revision that the diff applies to; 0 means that it contains the full configuration.
	From uint64 `cbor:"1,keyasint,omitempty"`
	// To and Version are those of the resulting configuration.
	To      uint64        `cbor:"2,keyasint"`
	Version uint64        `cbor:"3,keyasint"`
	Limits  routes.Limits `cbor:"4,keyasint"`
	// Put are the routes that are new or changed, Removed the names of the queues whose routes are gone.
	Put     []routes.Route `cbor:"5,keyasint,omitempty"`
	Removed []string       `cbor:"6,keyasint,omitempty"`
	// KeyRequired is that of the resulting configuration.
	KeyRequired bool `cbor:"7,keyasint,omitempty"`
	// PutWorkspaces and RemovedWorkspaces are the same for workspaces. A workspace with a key added or removed is
	// sent with all its keys.
	PutWorkspaces     []routes.Workspace `cbor:"8,keyasint,omitempty"`
	RemovedWorkspaces []string           `cbor:"9,keyasint,omitempty"`
}

// Full returns the diff that sends a version to a node that has none.
func Full(cf *routes.Config) *Diff {
	return &Diff{
		To: cf.Revision, Version: cf.Version, Limits: cf.Limits, Put: cf.Routes,
		KeyRequired: cf.KeyRequired, PutWorkspaces: cf.Workspaces,
	}
}

// Between returns the diff that leads from one version to another. If two rows of one version have the same name,
// it contains the full configuration.
func Between(old, cf *routes.Config) *Diff {
	df := &Diff{From: old.Revision, To: cf.Revision, Version: cf.Version, Limits: cf.Limits, KeyRequired: cf.KeyRequired}
	var ok, workspacesOK bool
	df.Put, df.Removed, ok = diffRows(old.Routes, cf.Routes, routeName, func(a, b *routes.Route) bool { return *a == *b })
	df.PutWorkspaces, df.RemovedWorkspaces, workspacesOK = diffRows(old.Workspaces, cf.Workspaces, workspaceName, (*routes.Workspace).Equal)
	if !ok || !workspacesOK {
		return Full(cf)
	}
	return df
}

func routeName(rt *routes.Route) string { return rt.Queue.Name }

func workspaceName(ws *routes.Workspace) string { return ws.Name }

// diffRows returns the rows that are new or changed and the names of those that are gone, or false if two rows of
// the same version have the same name.
func diffRows[R any](old, now []R, name func(*R) string, equal func(a, b *R) bool) (put []R, removed []string, ok bool) {
	before, unique := byName(old, name)
	after, alsoUnique := byName(now, name)
	if !unique || !alsoUnique {
		return nil, nil, false
	}
	for at := range now {
		if previous, ok := before[name(&now[at])]; !ok || !equal(previous, &now[at]) {
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

// byName returns rows by name, and whether the names are unique.
func byName[R any](rows []R, name func(*R) string) (map[string]*R, bool) {
	names := make(map[string]*R, len(rows))
	for at := range rows {
		names[name(&rows[at])] = &rows[at]
	}
	return names, len(names) == len(rows)
}

// Apply returns the result of applying the diff to a version, which is not modified; nil stands for no version.
func (df *Diff) Apply(old *routes.Config) (*routes.Config, error) {
	out := &routes.Config{Revision: df.To, Version: df.Version, Limits: df.Limits, KeyRequired: df.KeyRequired}
	switch {
	case df.From == 0:
		out.Routes, out.Workspaces = df.Put, df.PutWorkspaces
		return out, nil
	case old == nil || old.Revision != df.From:
		return nil, errors.Errorf("the diff applies to revision %d, which is not that of the copy", df.From)
	}
	out.Routes = applyRows(old.Routes, df.Put, df.Removed, routeName)
	out.Workspaces = applyRows(old.Workspaces, df.PutWorkspaces, df.RemovedWorkspaces, workspaceName)
	return out, nil
}

// applyRows returns the old rows with those in put replaced, or appended if they are new, and without the removed
// ones.
func applyRows[R any](old, put []R, removed []string, name func(*R) string) []R {
	updates, _ := byName(put, name)
	gone := make(map[string]bool, len(removed))
	for _, row := range removed {
		gone[row] = true
	}
	out := make([]R, 0, len(old)+len(put))
	for at := range old {
		row := name(&old[at])
		switch {
		case gone[row]:
		case updates[row] != nil:
			out = append(out, *updates[row])
			delete(updates, row)
		default:
			out = append(out, old[at])
		}
	}
	for at := range put {
		if updates[name(&put[at])] != nil {
			out = append(out, put[at])
		}
	}
	return out
}

// keysPerRoute is how many API keys take as many bytes as a route.
const keysPerRoute = 4

// Size returns the size of the diff, counted in routes.
func (df *Diff) Size() int {
	rows := len(df.Put) + len(df.Removed) + len(df.PutWorkspaces) + len(df.RemovedWorkspaces)
	keys := 0
	for at := range df.PutWorkspaces {
		keys += len(df.PutWorkspaces[at].Keys)
	}
	return rows + keys/keysPerRoute
}
