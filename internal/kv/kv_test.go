package kv_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"tackbeam.example/tackbeam/internal/kv"
)

// TestAllReadsPages reads pages until there are no more, and keeps the first page's
// revision, from which a watch misses nothing.
func TestAllReadsPages(t *testing.T) {
	is := is.New(t)
	pages := map[string]kv.Page{
		"":  {Items: []kv.Item{{Key: "a"}, {Key: "b"}}, More: true, At: 7},
		"b": {Items: []kv.Item{{Key: "c"}}, At: 9},
	}
	st := &kv.Store{Range: func(_ context.Context, _, after string, _ bool) (kv.Page, error) {
		return pages[after], nil
	}}
	items, at, err := st.All(t.Context(), "")
	is.NoErr(err)
	is.Equal(len(items), 3)
	is.Equal(at, uint64(7))
}

// TestAllIsBounded gives each page's read a deadline, so that a silent store does not
// hold the reader up after its return.
func TestAllIsBounded(t *testing.T) {
	is := is.New(t)
	var left time.Duration
	st := &kv.Store{Range: func(ctx context.Context, _, _ string, _ bool) (kv.Page, error) {
		deadline, ok := ctx.Deadline()
		is.True(ok)
		left = time.Until(deadline)
		return kv.Page{}, kv.ErrLost
	}}
	_, _, err := st.All(t.Context(), "")
	is.Equal(err, kv.ErrLost)
	is.True(left <= 2*time.Second)
}
