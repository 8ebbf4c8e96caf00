// Package standalone runs one node and stand-ins for the whole platform in one process, for demos.
package standalone

import (
	"context"
	"os"
	"path/filepath"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"tackbeam.example/tackbeam/internal/daemon"
	"tackbeam.example/tackbeam/internal/keys"
	"tackbeam.example/tackbeam/internal/settings"
	"tackbeam.example/tackbeam/internal/standin/fleet"
	"tackbeam.example/tackbeam/internal/standin/standinstore"
	"tackbeam.example/tackbeam/internal/standin/standinvms"
)

// nodeName is the name of the only node.
const nodeName = "node-1"

// Options of a standalone run.
type Options struct {
	// Listen is the address for callers and operators.
	Listen string
	// Workers is the number of stand-in workers.
	Workers int
	// RecordPath is the file to which the trace of decisions is written; empty for none.
	RecordPath string
	// OnReady is called with the node's addresses once the node is up.
	OnReady func(callers, nodes string)
}

// Run runs the node until the context is cancelled or the node is drained.
func Run(ctx context.Context, clock clockwork.Clock, log logr.Logger, opts Options) error {
	dir, err := os.MkdirTemp("", "tackbeam-keys-")
	if err != nil {
		return errors.Wrap(err, "make key directory")
	}
	defer func() { _ = os.RemoveAll(dir) }() // on failure only test keys remain
	if err := keys.Issue(dir, []string{nodeName}); err != nil {
		return err
	}
	store, err := standinstore.New(standinstore.Options{})
	if err != nil {
		return err
	}
	defer func() { _ = store.Close() }() // nothing in it outlives the process
	list, err := standinvms.New("")
	if err != nil {
		return err
	}
	defer func() { _ = list.Close() }() // nothing in it outlives the process
	workers, err := fleet.New(fleet.Options{Count: opts.Workers, FirstNumber: 1, Halls: 3, RackSize: 8})
	if err != nil {
		return err
	}
	defer func() { _ = workers.Close() }() // nothing in it outlives the process
	for _, vm := range workers.VMs() {
		list.Put(vm)
	}
	dm, err := daemon.New(nodeSettings(dir, store.Addr(), list.Addr(), opts), clock, log)
	if err != nil {
		return err
	}
	return dm.Run(ctx, opts.OnReady)
}

func nodeSettings(dir, store, list string, opts Options) *settings.Settings {
	st := settings.New()
	st.Node = nodeName
	st.HTTP.Listen = opts.Listen
	st.Peer.Listen = "127.0.0.1:0"
	st.Peer.Cert = filepath.Join(dir, nodeName+keys.CertSuffix)
	st.Peer.Key = filepath.Join(dir, nodeName+keys.KeySuffix)
	st.Peer.CA = filepath.Join(dir, keys.CAFile)
	st.Store.Addresses = []string{store}
	st.VMs.Address = list
	st.Limits.UnreadyDelay = 0
	st.Record.Path = opts.RecordPath
	return st
}
