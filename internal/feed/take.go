package feed

import (
	"encoding/base64"

	"tackbeam.example/tackbeam/internal/kv"
	"tackbeam.example/tackbeam/internal/routediff"
	"tackbeam.example/tackbeam/internal/routes"
)

// keptChanges is how many changes a node keeps for others: those that come while one asks. A
// node that lacks more gets the whole, 55 bytes a route.
const keptChanges = 16

// take takes a value of the key in, unless the copy is as late.
func (fd *Feed) take(item kv.Item) {
	if item.Deleted || item.Revision == 0 {
		return // nothing is in force but what was
	}
	fd.mu.Lock()
	old := fd.copy
	fd.mu.Unlock()
	if old != nil && item.Revision <= old.Revision {
		return
	}
	fd.size = base64.StdEncoding.EncodedLen(len(item.Value)) // as values travel
	cf, err := fd.opts.Decode(item)
	if err != nil {
		fd.log.Error(err, "Configuration cannot be read; the one before stays in force.", "revision", item.Revision)
		return
	}
	cf.Revision = item.Revision
	df := routediff.Full(cf)
	if old != nil {
		df = routediff.Between(old, cf)
	}
	fd.install(cf, df, "store")
}

// follow applies changes that another node told of, and returns the first error.
func (fd *Feed) follow(changes []*routediff.Diff, node string) error {
	for _, df := range changes {
		fd.mu.Lock()
		old := fd.copy
		fd.mu.Unlock()
		if old != nil && df.To <= old.Revision {
			continue
		}
		cf, err := df.Apply(old)
		if err != nil {
			return err
		}
		fd.install(cf, df, node)
	}
	return nil
}

// install makes a version the copy, and puts it in force.
func (fd *Feed) install(cf *routes.Config, df *routediff.Diff, source string) {
	fd.mu.Lock()
	fd.copy = cf
	if df.From == 0 {
		fd.changes = nil // nobody gets here from an earlier version
	} else {
		fd.changes = append(fd.changes, df)
		fd.changes = fd.changes[max(len(fd.changes)-keptChanges, 0):]
	}
	close(fd.later)
	fd.later = make(chan struct{})
	fd.mu.Unlock()
	if !fd.opts.Activate(cf) {
		fd.log.Info("Configuration is no later than the one in force.", "version", cf.Version, "revision", cf.Revision)
		return
	}
	fd.log.Info("Configuration is in force.", "version", cf.Version, "revision", cf.Revision, "routes", len(cf.Routes),
		"changed", df.Size(), "from", source)
}

// since returns what leads from a revision to the copy. The caller holds the lock.
func (fd *Feed) since(revision uint64) []*routediff.Diff {
	size, whole := 0, routediff.Full(fd.copy)
	for at := len(fd.changes) - 1; at >= 0; at-- {
		if size += fd.changes[at].Size(); size > whole.Size() {
			break // the whole is shorter
		}
		if fd.changes[at].From == revision {
			return fd.changes[at:]
		}
	}
	return []*routediff.Diff{whole}
}
