// Package table is the operators' table on one node: it follows the rows in the
// store, edits them by compare-and-swap, and tells which nodes have an edit in
// force.
//
// Three ways lead an edit to a node: the editing node's push, the watch of the
// store, and heartbeats that carry a digest of the table. A row is replaced only
// by one of a higher version, so a late message never reverts a cell.
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

// Times of the table's ways.
const (
	readAgain   = 5 * time.Minute
	pushTimeout = 2 * time.Second
)

// keptTombs bounds the versions of deleted rows that are remembered.
const keptTombs = 4096

// Table is one node's copy.
type Table struct {
	clock clockwork.Clock
	log   logr.Logger
	store *store.Client
	peer  *peer.Peer
	// others returns the addresses of the other nodes, by name.
	others func(context.Context) map[string]string

	current atomic.Pointer[Snapshot]
	mu      sync.Mutex
	tombs   map[string]uint64
	changed chan struct{}
	subs    []func(*Snapshot)
	pulling atomic.Bool
	cancel  context.CancelFunc
	wg      sync.WaitGroup
}

// New returns an empty table. Others returns the peer addresses of the other nodes.
func New(
	clock clockwork.Clock, log logr.Logger, cl *store.Client, pr *peer.Peer,
	others func(context.Context) map[string]string,
) *Table {
	tb := &Table{
		clock: clock, log: log.WithName("table"), store: cl, peer: pr, others: others,
		tombs: map[string]uint64{}, changed: make(chan struct{}),
	}
	tb.current.Store(build(map[string]Row{}))
	if pr != nil {
		peer.Handle(pr, nodemsg.KindRowPush, tb.onPush)
		peer.Handle(pr, nodemsg.KindRowsSince, tb.onRowsSince)
	}
	return tb
}

// Snapshot returns the table in force now.
func (tb *Table) Snapshot() *Snapshot { return tb.current.Load() }

// Subscribe calls act with each new snapshot, in order.
func (tb *Table) Subscribe(act func(*Snapshot)) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.subs = append(tb.subs, act)
}

// Start reads the table and begins to follow it. A store that does not answer
// does not hold the start up.
func (tb *Table) Start(ctx context.Context) error {
	run, cancel := context.WithCancel(context.Background())
	tb.cancel = cancel
	items, revision, err := tb.store.List(ctx, store.Table, Prefix)
	if err != nil {
		tb.log.Error(err, "Table cannot be read yet.")
	} else {
		tb.applyAll(items, revision)
	}
	tb.wg.Go(func() {
		tb.follow(run)
	})
	return nil
}

// Stop ends the following.
func (tb *Table) Stop(context.Context) error {
	if tb.cancel != nil {
		tb.cancel()
	}
	tb.wg.Wait()
	return nil
}

// follow brings the rows of the store into force, until the context ends.
func (tb *Table) follow(ctx context.Context) {
	tb.store.Follow(ctx, store.FollowOptions{
		Prefix: Prefix, Class: store.Table, ResyncAfter: readAgain,
		OnSnapshot: tb.applyAll, OnChange: tb.applyItems,
	})
}

// applyAll takes all rows into force. Rows that are not among them are deleted,
// unless they came after the reading.
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

// apply takes rows of higher versions into force.
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
	sn := build(next)
	tb.current.Store(sn)
	close(tb.changed)
	tb.changed = make(chan struct{})
	for _, act := range tb.subs {
		act(sn)
	}
}

func (tb *Table) applyRow(rows map[string]Row, rw nodemsg.Row) bool {
	if rw.Version <= rows[rw.Key].Version || rw.Version <= tb.tombs[rw.Key] {
		return false
	}
	if rw.Deleted {
		_, had := rows[rw.Key]
		delete(rows, rw.Key)
		if len(tb.tombs) >= keptTombs {
			tb.tombs = map[string]uint64{} // the watch and the next full read still hold
		}
		tb.tombs[rw.Key] = rw.Version
		return had
	}
	row, err := decodeRow(rw.Key, rw.Value, rw.Version)
	if err != nil {
		tb.log.Error(err, "Row cannot be read and stays as it was.", "key", rw.Key)
		return false
	}
	rows[rw.Key] = row
	return true
}

// build makes the typed forms of all rows.
func build(rows map[string]Row) *Snapshot {
	sn := &Snapshot{
		rows: rows, workspaces: map[string]Workspace{}, workloads: map[string]Workload{},
	}
	for key, row := range rows {
		sn.newest = max(sn.newest, row.Version)
		sn.digest ^= xxhash.Sum64String(key + "@" + strconv.FormatUint(row.Version, 10))
		if row.Kind == column.Workspace {
			sn.workspaces[row.Name] = workspaceOf(row)
		} else {
			sn.workloads[row.Name] = workloadOf(row)
		}
	}
	return sn
}

// Rows returns all rows, workspaces before workloads, by name.
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

// Changes waits until a row has a version above after and returns those rows.
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

// CatchUp asks the node at the address for the rows this one lacks.
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
			tb.log.V(1).Info("Rows of another node cannot be read yet.", "cause", err.Error())
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
	for key, version := range tb.tombs {
		res.Rows = append(res.Rows, nodemsg.Row{Key: key, Version: version, Deleted: true})
	}
	return res, nil
}

func (tb *Table) onPush(_ context.Context, _ string, rw nodemsg.Row) (nodemsg.RowState, error) {
	tb.apply([]nodemsg.Row{rw})
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return nodemsg.RowState{Version: max(tb.Snapshot().rows[rw.Key].Version, tb.tombs[rw.Key])}, nil
}
