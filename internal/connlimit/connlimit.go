// Package connlimit limits the number of open connections of a process to stay within its file descriptors.
package connlimit

import (
	"container/list"
	"net"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
)

// ErrLimitReached means that the limit is reached and no connection was closed or became idle before the timeout.
var ErrLimitReached = errors.New("connection limit reached")

// Pool is a set of connections to one address.
type Pool interface {
	// CloseIdleConnections closes the connections that are not in use.
	CloseIdleConnections()
}

// Limit counts the open connections of a process. When the limit is reached, it closes the idle connections of the
// least recently used pool. A nil Limit counts nothing and never blocks.
type Limit struct {
	log      logr.Logger
	maxConns int

	mu   sync.Mutex
	open int
	// idle lists the pools that may have idle connections, least recently used first.
	idle *list.List
	// elements maps each pool in idle to its list element.
	elements map[Pool]*list.Element
	// waiters are woken in FIFO order, one each time that a connection is closed or becomes idle.
	waiters *list.List
	// atLimit is set when idle connections are closed at the limit and reset once more than an eighth of the limit is
	// free. It keeps this from being logged repeatedly.
	atLimit bool
	// evicted counts closures of a pool's idle connections, refused the calls of Acquire that timed out.
	evicted, refused int64
}

// New returns a limit of maxConns connections, or nil if maxConns is not positive.
func New(log logr.Logger, maxConns int) *Limit {
	if maxConns <= 0 {
		return nil
	}
	return &Limit{
		log: log.WithName("connections"), maxConns: maxConns,
		idle: list.New(), elements: map[Pool]*list.Element{}, waiters: list.New(),
	}
}

// Acquire counts a connection that is about to be opened. At the limit, it closes idle connections. If there are none,
// it waits for one to be closed or become idle, and returns ErrLimitReached after the timeout.
func (lm *Limit) Acquire(timeout time.Duration) error {
	if lm == nil {
		return nil
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		wakeup, ok := lm.tryAcquire()
		if ok {
			return nil
		}
		select {
		case <-wakeup:
		case <-timer.C:
			return lm.refuse(wakeup)
		}
	}
}

// tryAcquire counts a connection if the limit allows one more. Otherwise, it returns a channel that is closed when the
// caller should try again.
func (lm *Limit) tryAcquire() (wakeup chan struct{}, ok bool) {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	lm.evict()
	if lm.open < lm.maxConns {
		lm.open++
		return nil, true
	}
	wakeup = make(chan struct{})
	lm.waiters.PushBack(wakeup)
	return wakeup, false
}

// evict closes idle connections until the limit allows one more or none are idle. The caller must hold lm.mu, which is
// released while connections are closed.
func (lm *Limit) evict() {
	for lm.open >= lm.maxConns && lm.idle.Len() > 0 {
		if !lm.atLimit {
			lm.atLimit = true
			lm.log.Info("Connection limit reached, closing idle connections.", "limit", lm.maxConns)
		}
		pool := lm.idle.Remove(lm.idle.Front()).(Pool)
		delete(lm.elements, pool)
		lm.evicted++
		lm.mu.Unlock()
		pool.CloseIdleConnections() // calls Release
		lm.mu.Lock()
	}
}

// refuse removes a waiter that timed out. If the waiter was woken in the meantime, it wakes the next one instead.
func (lm *Limit) refuse(wakeup chan struct{}) error {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	lm.refused++
	select {
	case <-wakeup:
		lm.wake()
		return ErrLimitReached
	default:
	}
	for elem := lm.waiters.Front(); elem != nil; elem = elem.Next() {
		if elem.Value == wakeup {
			lm.waiters.Remove(elem)
			break
		}
	}
	return ErrLimitReached
}

// Add counts a connection without waiting, even above the limit. At the limit, it closes idle connections.
func (lm *Limit) Add() {
	if lm == nil {
		return
	}
	lm.mu.Lock()
	defer lm.mu.Unlock()
	lm.open++
	lm.evict()
}

// AddConn counts an open connection, such as an accepted one, until the returned connection is closed. Like Add, it
// never waits.
func (lm *Limit) AddConn(conn net.Conn) net.Conn {
	lm.Add()
	return lm.ReleaseOnClose(conn)
}

// ReleaseOnClose wraps a connection that is already counted so that closing it calls Release.
func (lm *Limit) ReleaseOnClose(conn net.Conn) net.Conn {
	if lm == nil {
		return conn
	}
	return &countedConn{Conn: conn, release: sync.OnceFunc(lm.Release)}
}

// countedConn is a net.Conn that calls release when it is first closed.
type countedConn struct {
	net.Conn
	release func()
}

func (cn *countedConn) Close() error {
	defer cn.release()
	return cn.Conn.Close()
}

// Release records that a counted connection was closed.
func (lm *Limit) Release() {
	if lm == nil {
		return
	}
	lm.mu.Lock()
	defer lm.mu.Unlock()
	lm.open--
	if lm.open < lm.maxConns-lm.maxConns/8 {
		lm.atLimit = false
	}
	lm.wake()
}

// MarkIdle records that a connection of pool became idle, and makes pool the most recently used one.
func (lm *Limit) MarkIdle(pool Pool) {
	if lm == nil {
		return
	}
	lm.mu.Lock()
	defer lm.mu.Unlock()
	if elem, ok := lm.elements[pool]; ok {
		lm.idle.MoveToBack(elem)
	} else {
		lm.elements[pool] = lm.idle.PushBack(pool)
	}
	lm.wake()
}

// wake wakes the first waiter. The caller must hold lm.mu.
func (lm *Limit) wake() {
	if first := lm.waiters.Front(); first != nil {
		close(lm.waiters.Remove(first).(chan struct{}))
	}
}

// Open returns the number of open connections.
func (lm *Limit) Open() int64 {
	if lm == nil {
		return 0
	}
	lm.mu.Lock()
	defer lm.mu.Unlock()
	return int64(lm.open)
}

// Evicted returns how many times the idle connections of a pool were closed to stay within the limit.
func (lm *Limit) Evicted() int64 {
	if lm == nil {
		return 0
	}
	lm.mu.Lock()
	defer lm.mu.Unlock()
	return lm.evicted
}

// Refused returns how many connections were not opened because Acquire timed out.
func (lm *Limit) Refused() int64 {
	if lm == nil {
		return 0
	}
	lm.mu.Lock()
	defer lm.mu.Unlock()
	return lm.refused
}
