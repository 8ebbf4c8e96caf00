package peerlink

import (
	"net"
	"time"
)

// ServeOn serves requests of other nodes on a listener until it is closed.
func (li *Link) ServeOn(ln net.Listener) { li.serveOn(ln) }

// WithDial makes the link open connections with dial, and returns the link. It must be called before the first call.
func (li *Link) WithDial(dial func(address string, timeout time.Duration) (net.Conn, error)) *Link {
	li.calls.WithDial(dial)
	return li
}
