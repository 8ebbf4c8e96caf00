package feed

import (
	"encoding/base64"

	"tackbeam.example/tackbeam/internal/kv"
	"tackbeam.example/tackbeam/internal/routediff"
	"tackbeam.example/tackbeam/internal/routes"
)

// maxKeptChanges is how many changes a node keeps for others: those that arrive while one node makes its requests.
// A node that lacks more gets the full configuration, 55 bytes per route.
const maxKeptChanges = 16

// applyItem applies a value of the key, unless the copy is at least as recent.
func (fd *Feed) applyItem(item kv.Item, call string) {
	if item.Deleted || item.Revision == 0 {
		return // the active version stays
	}
	fd.mu.Lock()
	old := fd.config
	fd.mu.Unlock()
	if old != nil && item.Revision <= old.Revision {
		return
	}
	fd.valueSize = base64.StdEncoding.EncodedLen(len(item.Value)) // the store sends values in base64
	cf, err := fd.opts.Decode(item)
	if err != nil {
		fd.log.Error(err, "Configuration could not be decoded; the active version stays.", "revision", item.Revision)
		return
	}
	if old != nil && cf.Version <= old.Version {
		fd.log.Info("Configuration is not newer than the active version, which stays.", "version", cf.Version, "revision", item.Revision, "active", old.Version)
		return
	}
	cf.Revision = item.Revision
	df := routediff.Full(cf)
	if old != nil {
		df = routediff.Between(old, cf)
	}
	fd.install(cf, df, "store", call)
}

// applyDiffs applies changes received from another node, and returns the first error.
func (fd *Feed) applyDiffs(changes []*routediff.Diff, node string) error {
	for _, df := range changes {
		fd.mu.Lock()
		old := fd.config
		fd.mu.Unlock()
		if old != nil && df.To <= old.Revision {
			continue
		}
		cf, err := df.Apply(old)
		if err != nil {
			return err
		}
		fd.install(cf, df, node, "changes")
	}
	return nil
}

// install makes a version the copy and activates it. Source and call tell from where and by which call it came.
func (fd *Feed) install(cf *routes.Config, df *routediff.Diff, source, call string) {
	fd.mu.Lock()
	fd.config = cf
	if df.From == 0 {
		fd.changes = nil // no diff leads here from an earlier version
	} else {
		fd.changes = append(fd.changes, df)
		fd.changes = fd.changes[max(len(fd.changes)-maxKeptChanges, 0):]
	}
	close(fd.nextVersion)
	fd.nextVersion = make(chan struct{})
	fd.mu.Unlock()
	defer fd.dropInstalled()
	if !fd.opts.Activate(cf) {
		fd.log.Info("Configuration is not newer than the active version.", "version", cf.Version, "revision", cf.Revision)
		return
	}
	fd.log.Info("Configuration activated.", "version", cf.Version, "revision", cf.Revision, "routes", len(cf.Routes),
		"changed", df.Size(), "from", source, "by", call)
}

// changesSince returns the diffs that lead from a revision to the copy. The caller holds the lock.
func (fd *Feed) changesSince(revision uint64) []*routediff.Diff {
	size, full := 0, routediff.Full(fd.config)
	for at := len(fd.changes) - 1; at >= 0; at-- {
		if size += fd.changes[at].Size(); size > full.Size() {
			break // the full configuration is smaller
		}
		if fd.changes[at].From == revision {
			return fd.changes[at:]
		}
	}
	return []*routediff.Diff{full}
}
