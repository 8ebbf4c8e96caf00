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

// Change is an operator's wish to set one cell. Expect, where given, is the
// value that the operator saw there.
type Change struct {
	Kind   column.Kind
	Row    string
	Column string
	Value  string
	Expect *string
	By     string
}

// Kept is an edit that was accepted: the row as it now is, and which nodes have
// it in force.
type Kept struct {
	Row         Row      `json:"row"`
	Confirmed   []string `json:"confirmed"`
	Unconfirmed []string `json:"unconfirmed"`
}

// Set changes one cell. It returns only once the write is known to be in the
// store, with the answers of the nodes that confirmed it within the context.
func (tb *Table) Set(ctx context.Context, ch Change) (Kept, error) {
	cl, err := column.Find(ch.Kind, ch.Column)
	if err != nil {
		return Kept{}, err
	}
	if ch.Value, err = cl.Parse(ch.Kind, ch.Row, ch.Value); err != nil {
		return Kept{}, err
	}
	key, err := Key(ch.Kind, ch.Row)
	if err != nil {
		return Kept{}, err
	}
	ed := Edit{Column: ch.Column, New: ch.Value, By: ch.By, At: tb.clock.Now(), WriteID: ids.Random(8)}
	item, err := tb.swap(ctx, key, ch, ed)
	if err != nil {
		return Kept{}, err
	}
	return tb.publish(ctx, item)
}

// swap repeats the compare-and-swap while only other cells of the row change. A
// change of the same cell in the meantime loses the race.
func (tb *Table) swap(ctx context.Context, key string, ch Change, ed Edit) (storemsg.Item, error) {
	seen := ch.Expect
	for {
		item, err := tb.store.Get(ctx, store.Table, key)
		if err != nil {
			return item, err
		}
		row, err := tb.rowOf(key, item)
		if err != nil {
			return item, err
		}
		now := row.Cells[ch.Column]
		if seen != nil && now != *seen {
			return item, lost(row, ch, *seen, now)
		}
		seen = &now
		ed.Old = now
		raw, err := row.with(ed).encode()
		if err != nil {
			return item, err
		}
		item, ok, err := tb.store.Put(ctx, store.Table, store.Write{
			Key: key, Value: raw, Version: item.Version,
			IsApplied: func(value []byte) bool {
				kept, err := decodeRow(key, value, 0)
				return err == nil && kept.wrote(ed.WriteID)
			},
		})
		if err != nil {
			return item, doubtful(err)
		}
		if ok {
			return item, nil
		}
	}
}

func (tb *Table) rowOf(key string, item storemsg.Item) (Row, error) {
	if item.Version == 0 {
		kd, name, _ := splitKey(key)
		return Row{Kind: kd, Name: name, Cells: map[string]string{}}, nil
	}
	return decodeRow(key, item.Value, item.Version)
}

// lost is the answer to the one who lost a race: both values.
func lost(row Row, ch Change, expected, now string) error {
	by := ""
	if at, ok := lo.Find(row.History, func(ed Edit) bool { return ed.Column == ch.Column }); ok {
		by = ", set by " + at.By
	}
	return fault.New(fault.Conflict, "%s/%s %s: you set %q expecting %q, but it is now %q%s",
		ch.Kind, ch.Row, ch.Column, ch.Value, expected, now, by)
}

func doubtful(err error) error {
	er := fault.From(err)
	if !er.Begun {
		return er
	}
	return fault.New(fault.Unavailable,
		"the store did not confirm the edit, it may be kept; read the cell before you try again").
		After(er.RetryAfter).AfterStart()
}

// Remove deletes a row.
func (tb *Table) Remove(ctx context.Context, kd column.Kind, name string) (Kept, error) {
	key, err := Key(kd, name)
	if err != nil {
		return Kept{}, err
	}
	item, err := tb.store.Get(ctx, store.Table, key)
	if err != nil {
		return Kept{}, err
	}
	if item.Version == 0 {
		return Kept{}, fault.New(fault.UnknownRow, "%s/%s is not in the table", kd, name)
	}
	gone, ok, err := tb.store.Put(ctx, store.Table, store.Write{
		Key: key, Version: item.Version, Delete: true,
	})
	if err != nil {
		return Kept{}, doubtful(err)
	}
	if !ok {
		return Kept{}, fault.New(fault.Conflict, "%s/%s was edited meanwhile; read it and decide again", kd, name)
	}
	gone.Key, gone.Deleted = key, true
	gone.Version = max(gone.Version, item.Version+1)
	return tb.publish(ctx, gone)
}

// publish takes a kept row into force here and pushes it to all other nodes, those
// that joined before the row was kept included.
func (tb *Table) publish(ctx context.Context, item storemsg.Item) (Kept, error) {
	tb.applyItems([]storemsg.Item{item})
	kept := Kept{}
	if !item.Deleted {
		row, err := decodeRow(item.Key, item.Value, item.Version)
		if err != nil {
			return kept, err
		}
		kept.Row = row
	}
	push := nodemsg.Row{Key: item.Key, Value: item.Value, Version: item.Version, Deleted: item.Deleted}
	others := tb.others(ctx)
	answers := make(chan lo.Tuple2[string, bool], len(others))
	for name, addr := range others {
		go func() { answers <- lo.T2(name, tb.push(ctx, addr, push)) }()
	}
	for range others {
		if an := <-answers; an.B {
			kept.Confirmed = append(kept.Confirmed, an.A)
		} else {
			kept.Unconfirmed = append(kept.Unconfirmed, an.A)
		}
	}
	sort.Strings(kept.Confirmed)
	sort.Strings(kept.Unconfirmed)
	return kept, nil
}

// push tells one node, again after a failure, until it confirms or time is up.
func (tb *Table) push(ctx context.Context, addr string, rw nodemsg.Row) bool {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	for try := 0; ctx.Err() == nil; try++ {
		got, err := peer.Call[nodemsg.Row, nodemsg.RowState](ctx, tb.peer, addr, nodemsg.KindRowPush, rw)
		if err == nil && got.Version >= rw.Version {
			return true
		}
		select {
		case <-ctx.Done():
		case <-tb.clock.After(store.Backoff(try)):
		}
	}
	return false
}
