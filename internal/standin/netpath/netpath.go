// Package netpath is a stand-in of a network path over TCP: its connections may share a
// bandwidth, be reset, or go silent for good without a reset while new ones work.
package netpath

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Path leads to one address over TCP.
type Path struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	links  []*link
	opened int
	// rate is the bandwidth back to where the path starts, in bytes a second; 0 is no limit.
	rate int
	// free is when the bandwidth is free again, carried the bytes that were taken back.
	free    time.Time
	carried int
}

// link is one connection through the path, with its two ends.
type link struct {
	silent atomic.Bool
	ends   [2]net.Conn
}

// New returns a path to an address; it starts at a free port of this machine.
func New(target string) (*Path, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	pt := &Path{listener: ln, target: target}
	go pt.accept()
	return pt, nil
}

// Address returns where the path starts.
func (pt *Path) Address() string { return pt.listener.Addr().String() }

// Opened returns how many connections were made so far.
func (pt *Path) Opened() int {
	pt.mu.Lock()
	defer pt.mu.Unlock()
	return pt.opened
}

// SetBandwidth gives the way back a bandwidth in bytes a second, which all connections share.
func (pt *Path) SetBandwidth(rate int) {
	pt.mu.Lock()
	defer pt.mu.Unlock()
	pt.rate = rate
}

// BytesReturned returns how many bytes were taken back so far.
func (pt *Path) BytesReturned() int {
	pt.mu.Lock()
	defer pt.mu.Unlock()
	return pt.carried
}

// Reset ends all present connections.
func (pt *Path) Reset() {
	pt.mu.Lock()
	defer pt.mu.Unlock()
	for _, lk := range pt.links {
		lk.close()
	}
	pt.links = nil
}

// Blackhole swallows from now on whatever either end of a present connection says, its
// closing too. Both ends stay open.
func (pt *Path) Blackhole() {
	pt.mu.Lock()
	defer pt.mu.Unlock()
	for _, lk := range pt.links {
		lk.silent.Store(true)
	}
}

// Close ends the path and all its connections.
func (pt *Path) Close() error {
	err := pt.listener.Close()
	pt.mu.Lock()
	defer pt.mu.Unlock()
	for _, lk := range pt.links {
		lk.close()
	}
	return errors.Wrap(err, "close path")
}

func (pt *Path) accept() {
	for {
		near, err := pt.listener.Accept()
		if err != nil {
			return // the path is closed
		}
		far, err := net.Dial("tcp4", pt.target)
		if err != nil {
			_ = near.Close() // as the address itself refuses it
			continue
		}
		lk := &link{ends: [2]net.Conn{near, far}}
		pt.mu.Lock()
		pt.links = append(pt.links, lk)
		pt.opened++
		pt.mu.Unlock()
		go lk.carry(near, far, func(int) {})
		go lk.carry(far, near, pt.pass)
	}
}

// pass waits until a number of bytes is through on the way back.
func (pt *Path) pass(count int) {
	pt.mu.Lock()
	pt.carried += count
	if pt.rate == 0 {
		pt.mu.Unlock()
		return
	}
	now := time.Now()
	if now.Sub(pt.free) > maxCredit {
		pt.free = now // idle: don't accumulate credit
	}
	pt.free = pt.free.Add(time.Second * time.Duration(count) / time.Duration(pt.rate))
	wait := pt.free.Sub(now)
	pt.mu.Unlock()
	if wait > 0 {
		time.Sleep(wait)
	}
}

// maxCredit limits how far free may lag behind the clock. Up to this limit, late wakeups
// from time.Sleep don't reduce the throughput of the path below its bandwidth.
const maxCredit = 50 * time.Millisecond

// carry takes bytes from one end to the other until the first one closes. Each part waits
// for pass.
func (lk *link) carry(from, to net.Conn, pass func(count int)) {
	const room = 8 << 10 // 7 ms at 10 Mbit/s
	buf := make([]byte, room)
	for {
		count, err := from.Read(buf)
		switch {
		case err != nil && lk.silent.Load():
			return
		case err != nil:
			lk.close()
			return
		case lk.silent.Load():
			continue
		}
		pass(count)
		if _, err := to.Write(buf[:count]); err != nil {
			lk.close()
			return
		}
	}
}

func (lk *link) close() {
	for _, end := range lk.ends {
		_ = end.Close() // it may be closed already
	}
}
