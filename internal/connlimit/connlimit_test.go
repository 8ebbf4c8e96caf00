package connlimit_test

import (
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"tackbeam.example/tackbeam/internal/connlimit"
)

// pool is a connlimit.Pool that only counts its idle connections.
type pool struct {
	limit *connlimit.Limit
	mu    sync.Mutex
	idle  int
	// closeCalls counts the calls of CloseIdleConnections.
	closeCalls int
}

func (pl *pool) CloseIdleConnections() {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	for range pl.idle {
		pl.limit.Release()
	}
	pl.idle = 0
	pl.closeCalls++
}

// markIdle adds an idle connection.
func (pl *pool) markIdle() {
	pl.mu.Lock()
	pl.idle++
	pl.mu.Unlock()
	pl.limit.MarkIdle(pl)
}

func ExampleLimit() {
	limit := connlimit.New(logr.Discard(), 1)
	fmt.Println(limit.Acquire(time.Second), limit.Acquire(time.Millisecond))
	limit.Release()
	fmt.Println(limit.Acquire(time.Second), limit.Open())
	// Output:
	// <nil> connection limit reached
	// <nil> 1
}

// TestEvictsLeastRecentlyUsed guards against closing idle connections of recently used pools before those of others.
func TestEvictsLeastRecentlyUsed(t *testing.T) {
	is := is.New(t)
	limit := connlimit.New(logr.Discard(), 3)
	first, second, third := &pool{limit: limit}, &pool{limit: limit}, &pool{limit: limit}
	for _, pl := range []*pool{first, second, third} {
		is.NoErr(limit.Acquire(time.Second))
		pl.markIdle()
	}
	first.markIdle() // now the most recently used
	first.idle--
	is.NoErr(limit.Acquire(time.Second))
	is.Equal([]int{first.closeCalls, second.closeCalls, third.closeCalls}, []int{0, 1, 0})
	is.NoErr(limit.Acquire(time.Second))
	is.Equal([]int{first.closeCalls, second.closeCalls, third.closeCalls}, []int{0, 1, 1})
	is.Equal(limit.Open(), int64(3))
	is.Equal(limit.Evicted(), int64(2))
}

// TestAddsBeyondLimit guards against accepted connections being held up, or not closing idle ones, at the limit.
func TestAddsBeyondLimit(t *testing.T) {
	is := is.New(t)
	limit := connlimit.New(logr.Discard(), 2)
	pl := &pool{limit: limit}
	for range 2 {
		is.NoErr(limit.Acquire(time.Second))
	}
	pl.markIdle()
	limit.Add()
	is.Equal(pl.closeCalls, 1)
	is.Equal(limit.Open(), int64(2))
	limit.Add()
	is.Equal(limit.Open(), int64(3))
	is.True(errors.Is(limit.Acquire(time.Millisecond), connlimit.ErrLimitReached))
	is.Equal(limit.Refused(), int64(1))
}

// TestWaits guards against lost wakeups of waiting callers, and against waits longer than their timeout.
func TestWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const maxConns, callers = 10, 100
		limit := connlimit.New(logr.Discard(), maxConns)
		var group sync.WaitGroup
		began := time.Now()
		for range callers {
			group.Go(func() {
				is.NoErr(limit.Acquire(time.Minute))
				time.Sleep(time.Second)
				limit.Release()
			})
		}
		group.Wait()
		is.Equal(time.Since(began), callers/maxConns*time.Second)
		is.Equal(limit.Open(), int64(0))

		for range maxConns {
			is.NoErr(limit.Acquire(time.Second))
		}
		began = time.Now()
		is.Equal(limit.Acquire(time.Second), connlimit.ErrLimitReached)
		is.Equal(time.Since(began), time.Second)
	})
}

// TestNoLimit checks that a limit of 0 counts nothing and does not block.
func TestNoLimit(t *testing.T) {
	is := is.New(t)
	limit := connlimit.New(logr.Discard(), 0)
	limit.Add()
	is.NoErr(limit.Acquire(0))
	limit.MarkIdle(&pool{limit: limit})
	limit.Release()
	is.Equal(limit.Open()+limit.Evicted()+limit.Refused(), int64(0))
}
