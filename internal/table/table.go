// Package table maintains a node's copy of the operators' table. It watches the rows
// in the store, edits them by compare-and-swap, and reports which nodes have
// activated an edit.
//
// An edit reaches a node in three ways: by a push from the node that made the edit,
// by the watch on the store, and by heartbeats, which carry a digest of the table. A
// row is only replaced by a higher version, so a delayed message never reverts a cell.
package table

import (
	"context"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"tackbeam.example/tackbeam/internal/column"
	"tackbeam.example/tackbeam/internal/nodemsg"
	"tackbeam.example/tackbeam/internal/peer"
	"tackbeam.example/tackbeam/internal/store"
	"tackbeam.example/tackbeam/internal/storemsg"
)

// Interval between full reads of the table, and timeout of pushes and catch-ups.
const (
	resyncInterval = 5 * time.Minute
	pushTimeout    = 2 * time.Second
)

// maxTombstones is the maximum number of deleted rows whose versions are kept.
const maxTombstones = 4096

// Table is a node's copy of the operators' table.
type Table struct {
	clock clockwork.Clock
	log   logr.Logger
	store *store.Client
	peer  *peer.Peer
	// otherNodes returns the addresses of the other nodes, by name.
	otherNodes func(context.Context) map[string]string

	current     atomic.Pointer[Snapshot]
	mu          sync.Mutex
	tombstones  map[string]uint64
	changed     chan struct{}
	subscribers []func(*Snapshot)
	pulling     atomic.Bool
	cancel      context.CancelFunc
	wg          sync.WaitGroup
}

// New returns an empty table. The function others returns the peer addresses of the
// other nodes, by name.
func New(
	clock clockwork.Clock, log logr.Logger, cl *store.Client, pr *peer.Peer,
	others func(context.Context) map[string]string,
) *Table {
	tb := &Table{
		clock: clock, log: log.WithName("table"), store: cl, peer: pr, otherNodes: others,
		tombstones: map[string]uint64{}, changed: make(chan struct{}),
	}
	tb.current.Store(newSnapshot(map[string]Row{}))
	if pr != nil {
		peer.Handle(pr, nodemsg.KindRowPush, tb.onPush)
		peer.Handle(pr, nodemsg.KindRowsSince, tb.onRowsSince)
	}
	return tb
}

// Snapshot returns the current snapshot.
func (tb *Table) Snapshot() *Snapshot { return tb.current.Load() }

// Subscribe registers a function that is called with each new snapshot, in order.
func (tb *Table) Subscribe(notify func(*Snapshot)) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.subscribers = append(tb.subscribers, notify)
}

// Start reads the table and starts to watch it. An unavailable store does not
// prevent the start.
func (tb *Table) Start(ctx context.Context) error {
	run, cancel := context.WithCancel(context.Background())
	tb.cancel = cancel
	items, revision, err := tb.store.List(ctx, store.Table, Prefix)
	if err != nil {
		tb.log.Error(err, "Initial read of the table failed.")
	} else {
		tb.applyAll(items, revision)
	}
	tb.wg.Go(func() {
		tb.follow(run)
	})
	return nil
}

// Stop stops watching the table and waits until the watch has ended.
func (tb *Table) Stop(context.Context) error {
	if tb.cancel != nil {
		tb.cancel()
	}
	tb.wg.Wait()
	return nil
}

// follow applies the changes of the rows in the store until the context ends.
func (tb *Table) follow(ctx context.Context) {
	tb.store.Follow(ctx, store.FollowOptions{
		Prefix: Prefix, Class: store.Table, ResyncAfter: resyncInterval,
		OnSnapshot: tb.applyAll, OnChange: tb.applyItems,
	})
}

// applyAll applies a full read of the table at a revision. Rows that are missing
// from it are deleted, unless their version is newer than the revision.
func (tb *Table) applyAll(items []storemsg.Item, revision uint64) {
	present := map[string]bool{}
	for _, item := range items {
		present[item.Key] = true
	}
	for key, row := range tb.Snapshot().rows {
		if !present[key] && row.Version <= revision {
			items = append(items, storemsg.Item{Key: key, Version: revision, Deleted: true})
		}
	}
	tb.applyItems(items)
}

func (tb *Table) applyItems(items []storemsg.Item) {
	rows := make([]nodemsg.Row, 0, len(items))
	for _, item := range items {
		rows = append(rows, nodemsg.Row{
			Key: item.Key, Value: item.Value, Version: item.Version, Deleted: item.Deleted,
		})
	}
	tb.apply(rows)
}

// apply applies the rows whose versions are higher than the current ones, and
// notifies the subscribers if anything changed.
func (tb *Table) apply(rows []nodemsg.Row) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	old := tb.Snapshot()
	next := make(map[string]Row, len(old.rows)+len(rows))
	for key, row := range old.rows {
		next[key] = row
	}
	changed := false
	for _, rw := range rows {
		changed = tb.applyRow(next, rw) || changed
	}
	if !changed {
		return
	}
	sn := newSnapshot(next)
	tb.current.Store(sn)
	close(tb.changed)
	tb.changed = make(chan struct{})
	for _, notify := range tb.subscribers {
		notify(sn)
	}
}

func (tb *Table) applyRow(rows map[string]Row, rw nodemsg.Row) bool {
	if rw.Version <= rows[rw.Key].Version || rw.Version <= tb.tombstones[rw.Key] {
		return false
	}
	if rw.Deleted {
		_, had := rows[rw.Key]
		delete(rows, rw.Key)
		if len(tb.tombstones) >= maxTombstones {
			tb.tombstones = map[string]uint64{} // the watch and the next full read still delete the rows
		}
		tb.tombstones[rw.Key] = rw.Version
		return had
	}
	row, err := decodeRow(rw.Key, rw.Value, rw.Version)
	if err != nil {
		tb.log.Error(err, "Row cannot be decoded; keeping its previous version.", "key", rw.Key)
		return false
	}
	rows[rw.Key] = row
	return true
}

// newSnapshot returns a snapshot with the typed forms of all rows.
func newSnapshot(rows map[string]Row) *Snapshot {
	sn := &Snapshot{
		rows: rows, workspaces: map[string]Workspace{}, workloads: map[string]Workload{},
	}
	for key, row := range rows {
		sn.maxVersion = max(sn.maxVersion, row.Version)
		sn.digest ^= xxhash.Sum64String(key + "@" + strconv.FormatUint(row.Version, 10))
		if row.Kind == column.Workspace {
			sn.workspaces[row.Name] = newWorkspace(row)
		} else {
			sn.workloads[row.Name] = newWorkload(row)
		}
	}
	return sn
}

// Rows returns all rows, workspaces before workloads, sorted by name.
func (tb *Table) Rows() []Row {
	sn := tb.Snapshot()
	rows := make([]Row, 0, len(sn.rows))
	for _, row := range sn.rows {
		rows = append(rows, row)
	}
	sort.Slice(rows, func(i, j int) bool {
		if rows[i].Kind != rows[j].Kind {
			return rows[i].Kind > rows[j].Kind
		}
		return rows[i].Name < rows[j].Name
	})
	return rows
}

// Changes returns the rows with versions higher than after. It waits for one until
// the context ends.
func (tb *Table) Changes(ctx context.Context, after uint64) []Row {
	for {
		tb.mu.Lock()
		changed := tb.changed
		tb.mu.Unlock()
		var rows []Row
		for _, row := range tb.Rows() {
			if row.Version > after {
				rows = append(rows, row)
			}
		}
		if len(rows) > 0 {
			return rows
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// CatchUp fetches the rows of the node at the address in the background and applies
// the newer ones.
func (tb *Table) CatchUp(addr string) {
	if !tb.pulling.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer tb.pulling.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), pushTimeout)
		defer cancel()
		got, err := peer.Call[nodemsg.RowsSince, nodemsg.Rows](
			ctx, tb.peer, addr, nodemsg.KindRowsSince, nodemsg.RowsSince{})
		if err != nil {
			tb.log.V(1).Info("Rows of another node could not be fetched.", "cause", err.Error())
			return
		}
		tb.apply(got.Rows)
	}()
}

func (tb *Table) onRowsSince(_ context.Context, _ string, req nodemsg.RowsSince) (nodemsg.Rows, error) {
	var res nodemsg.Rows
	for key, row := range tb.Snapshot().rows {
		if row.Version <= req.After {
			continue
		}
		raw, err := row.encode()
		if err != nil {
			return res, err
		}
		res.Rows = append(res.Rows, nodemsg.Row{Key: key, Value: raw, Version: row.Version})
	}
	tb.mu.Lock()
	defer tb.mu.Unlock()
	for key, version := range tb.tombstones {
		res.Rows = append(res.Rows, nodemsg.Row{Key: key, Version: version, Deleted: true})
	}
	return res, nil
}

func (tb *Table) onPush(_ context.Context, _ string, rw nodemsg.Row) (nodemsg.RowState, error) {
	tb.apply([]nodemsg.Row{rw})
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return nodemsg.RowState{Version: max(tb.Snapshot().rows[rw.Key].Version, tb.tombstones[rw.Key])}, nil
}
