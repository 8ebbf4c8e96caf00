package table

import (
	"context"
	"sort"

	"github.com/samber/lo"

	"tackbeam.example/tackbeam/internal/column"
	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/ids"
	"tackbeam.example/tackbeam/internal/nodemsg"
	"tackbeam.example/tackbeam/internal/peer"
	"tackbeam.example/tackbeam/internal/store"
	"tackbeam.example/tackbeam/internal/storemsg"
)

// Change is an operator's request to set one cell. If Expect is set, the change
// applies only if the cell still has that value.
type Change struct {
	Kind   column.Kind
	Row    string
	Column string
	Value  string
	Expect *string
	By     string
}

// EditResult describes an edit that was stored: the resulting row, and the nodes
// that have and have not confirmed that it is active.
type EditResult struct {
	Row         Row      `json:"row"`
	Confirmed   []string `json:"confirmed"`
	Unconfirmed []string `json:"unconfirmed"`
}

// Set changes one cell. It returns after the store has confirmed the write and
// lists the nodes that confirmed the edit before the context ended.
func (tb *Table) Set(ctx context.Context, ch Change) (EditResult, error) {
	cl, err := column.Find(ch.Kind, ch.Column)
	if err != nil {
		return EditResult{}, err
	}
	if ch.Value, err = cl.Parse(ch.Kind, ch.Row, ch.Value); err != nil {
		return EditResult{}, err
	}
	key, err := Key(ch.Kind, ch.Row)
	if err != nil {
		return EditResult{}, err
	}
	ed := Edit{Column: ch.Column, New: ch.Value, By: ch.By, At: tb.clock.Now(), WriteID: ids.Random(8)}
	item, err := tb.compareAndSwap(ctx, key, ch, ed)
	if err != nil {
		return EditResult{}, err
	}
	return tb.publish(ctx, item)
}

// compareAndSwap writes the edit, and retries while only other cells of the row
// change concurrently. A concurrent change of the same cell is a conflict.
func (tb *Table) compareAndSwap(ctx context.Context, key string, ch Change, ed Edit) (storemsg.Item, error) {
	expected := ch.Expect
	for {
		item, err := tb.store.Get(ctx, store.Table, key)
		if err != nil {
			return item, err
		}
		row, err := tb.rowFromItem(key, item)
		if err != nil {
			return item, err
		}
		current := row.Cells[ch.Column]
		if expected != nil && current != *expected {
			return item, conflictError(row, ch, *expected, current)
		}
		expected = &current
		ed.Old = current
		raw, err := row.withEdit(ed).encode()
		if err != nil {
			return item, err
		}
		item, ok, err := tb.store.Put(ctx, store.Table, store.Write{
			Key: key, Value: raw, Version: item.Version,
			IsApplied: func(value []byte) bool {
				stored, err := decodeRow(key, value, 0)
				return err == nil && stored.hasWrite(ed.WriteID)
			},
		})
		if err != nil {
			return item, unconfirmedError(err)
		}
		if ok {
			return item, nil
		}
	}
}

func (tb *Table) rowFromItem(key string, item storemsg.Item) (Row, error) {
	if item.Version == 0 {
		kd, name, _ := splitKey(key)
		return Row{Kind: kd, Name: name, Cells: map[string]string{}}, nil
	}
	return decodeRow(key, item.Value, item.Version)
}

// conflictError reports a concurrent change of the same cell, with the expected and
// the current value.
func conflictError(row Row, ch Change, expected, current string) error {
	by := ""
	if at, ok := lo.Find(row.History, func(ed Edit) bool { return ed.Column == ch.Column }); ok {
		by = ", set by " + at.By
	}
	return fault.New(fault.Conflict, "%s/%s %s: you set %q expecting %q, but it is now %q%s",
		ch.Kind, ch.Row, ch.Column, ch.Value, expected, current, by)
}

// unconfirmedError replaces the error of a write that may have been stored by one
// that says so.
func unconfirmedError(err error) error {
	er := fault.From(err)
	if !er.MayHaveRun {
		return er
	}
	return fault.New(fault.Unavailable,
		"the store did not confirm the edit, which may have been stored; read the cell before trying again").
		WithRetryAfter(er.RetryAfter).MarkMayHaveRun()
}

// Remove deletes a row.
func (tb *Table) Remove(ctx context.Context, kd column.Kind, name string) (EditResult, error) {
	key, err := Key(kd, name)
	if err != nil {
		return EditResult{}, err
	}
	item, err := tb.store.Get(ctx, store.Table, key)
	if err != nil {
		return EditResult{}, err
	}
	if item.Version == 0 {
		return EditResult{}, fault.New(fault.UnknownRow, "%s/%s is not in the table", kd, name)
	}
	deleted, ok, err := tb.store.Put(ctx, store.Table, store.Write{
		Key: key, Version: item.Version, Delete: true,
	})
	if err != nil {
		return EditResult{}, unconfirmedError(err)
	}
	if !ok {
		return EditResult{}, fault.New(fault.Conflict, "%s/%s was edited concurrently; read it before trying again", kd, name)
	}
	deleted.Key, deleted.Deleted = key, true
	deleted.Version = max(deleted.Version, item.Version+1)
	return tb.publish(ctx, deleted)
}

// publish activates a stored row on this node and pushes it to all other nodes,
// including those that joined before the row was stored.
func (tb *Table) publish(ctx context.Context, item storemsg.Item) (EditResult, error) {
	tb.applyItems([]storemsg.Item{item})
	result := EditResult{}
	if !item.Deleted {
		row, err := decodeRow(item.Key, item.Value, item.Version)
		if err != nil {
			return result, err
		}
		result.Row = row
	}
	push := nodemsg.Row{Key: item.Key, Value: item.Value, Version: item.Version, Deleted: item.Deleted}
	others := tb.otherNodes(ctx)
	answers := make(chan lo.Tuple2[string, bool], len(others))
	for name, addr := range others {
		go func() { answers <- lo.T2(name, tb.push(ctx, addr, push)) }()
	}
	for range others {
		if an := <-answers; an.B {
			result.Confirmed = append(result.Confirmed, an.A)
		} else {
			result.Unconfirmed = append(result.Unconfirmed, an.A)
		}
	}
	sort.Strings(result.Confirmed)
	sort.Strings(result.Unconfirmed)
	return result, nil
}

// push sends the row to one node, with retries, until the node confirms it or the
// timeout expires.
func (tb *Table) push(ctx context.Context, addr string, rw nodemsg.Row) bool {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	for attempt := 0; ctx.Err() == nil; attempt++ {
		got, err := peer.Call[nodemsg.Row, nodemsg.RowState](ctx, tb.peer, addr, nodemsg.KindRowPush, rw)
		if err == nil && got.Version >= rw.Version {
			return true
		}
		select {
		case <-ctx.Done():
		case <-tb.clock.After(store.Backoff(attempt)):
		}
	}
	return false
}
