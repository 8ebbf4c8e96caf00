// Package netpath implements a proxy that simulates a network path. Its connections may share a limited bandwidth, be
// closed, or be blackholed: all traffic is dropped without a reset, while new connections work.
package netpath

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp/fasthttputil"
)

// Path is a proxy to one address.
type Path struct {
	listener net.Listener
	// dialTarget opens a connection to the target.
	dialTarget func() (net.Conn, error)

	mu          sync.Mutex
	connections []*connection
	opened      int
	// rate is the bandwidth from the target back to the clients, in bytes per second; 0 means no limit.
	rate int
	// freeAt is when the bandwidth is available again, returned the number of bytes sent back to the clients.
	freeAt   time.Time
	returned int
}

// connection is a proxied connection with its two ends.
type connection struct {
	blackholed atomic.Bool
	ends       [2]net.Conn
}

// New starts a TCP proxy to the target on a free port of the loopback interface.
func New(target string) (*Path, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	pt := &Path{listener: ln, dialTarget: func() (net.Conn, error) { return net.Dial("tcp4", target) }}
	go pt.accept()
	return pt, nil
}

// NewInMemory starts a proxy between listeners in memory. In a bubble of testing/synctest, its connections take only the
// time that their bandwidth requires: unlike those of TCP, they let the bubble's clock advance while they are read.
func NewInMemory(near, target *fasthttputil.InmemoryListener) *Path {
	pt := &Path{listener: near, dialTarget: target.Dial}
	go pt.accept()
	return pt
}

// Address returns the listen address.
func (pt *Path) Address() string { return pt.listener.Addr().String() }

// Opened returns the number of connections opened so far.
func (pt *Path) Opened() int {
	pt.mu.Lock()
	defer pt.mu.Unlock()
	return pt.opened
}

// SetBandwidth limits the bandwidth from the target back to the clients, in bytes per second over all connections.
func (pt *Path) SetBandwidth(rate int) {
	pt.mu.Lock()
	defer pt.mu.Unlock()
	pt.rate = rate
}

// BytesReturned returns the number of bytes sent back to the clients so far.
func (pt *Path) BytesReturned() int {
	pt.mu.Lock()
	defer pt.mu.Unlock()
	return pt.returned
}

// Reset closes all current connections.
func (pt *Path) Reset() {
	pt.mu.Lock()
	defer pt.mu.Unlock()
	for _, cn := range pt.connections {
		cn.close()
	}
	pt.connections = nil
}

// Blackhole drops all further traffic of the current connections in both directions, including the close of either
// end. Both ends stay open.
func (pt *Path) Blackhole() {
	pt.mu.Lock()
	defer pt.mu.Unlock()
	for _, cn := range pt.connections {
		cn.blackholed.Store(true)
	}
}

// Close stops the proxy and closes all its connections.
func (pt *Path) Close() error {
	err := pt.listener.Close()
	pt.mu.Lock()
	defer pt.mu.Unlock()
	for _, cn := range pt.connections {
		cn.close()
	}
	return errors.Wrap(err, "close path")
}

func (pt *Path) accept() {
	for {
		near, err := pt.listener.Accept()
		if err != nil {
			return // the listener is closed
		}
		far, err := pt.dialTarget()
		if err != nil {
			_ = near.Close() // as the target itself refuses the connection
			continue
		}
		cn := &connection{ends: [2]net.Conn{near, far}}
		pt.mu.Lock()
		pt.connections = append(pt.connections, cn)
		pt.opened++
		pt.mu.Unlock()
		go cn.forward(near, far, func(int) {})
		go cn.forward(far, near, pt.throttle)
	}
}

// throttle waits until the bandwidth permits the given number of bytes back to the clients.
func (pt *Path) throttle(count int) {
	pt.mu.Lock()
	pt.returned += count
	if pt.rate == 0 {
		pt.mu.Unlock()
		return
	}
	now := time.Now()
	if now.Sub(pt.freeAt) > maxCredit {
		pt.freeAt = now // the path was idle: don't accumulate credit
	}
	pt.freeAt = pt.freeAt.Add(time.Second * time.Duration(count) / time.Duration(pt.rate))
	wait := pt.freeAt.Sub(now)
	pt.mu.Unlock()
	if wait > 0 {
		time.Sleep(wait)
	}
}

// maxCredit limits how far freeAt may lag behind the clock. Up to this limit, late wakeups from time.Sleep don't reduce
// the throughput of the path below its bandwidth.
const maxCredit = 50 * time.Millisecond

// forward copies bytes from one end to the other until either one is closed. It calls throttle before it writes each
// chunk.
func (cn *connection) forward(from, to net.Conn, throttle func(count int)) {
	const bufferSize = 8 << 10 // 7 ms at 10 Mbit/s
	buf := make([]byte, bufferSize)
	for {
		count, err := from.Read(buf)
		switch {
		case err != nil && cn.blackholed.Load():
			return
		case err != nil:
			cn.close()
			return
		case cn.blackholed.Load():
			continue
		}
		throttle(count)
		if _, err := to.Write(buf[:count]); err != nil {
			cn.close()
			return
		}
	}
}

func (cn *connection) close() {
	for _, end := range cn.ends {
		_ = end.Close() // it may be closed already
	}
}
