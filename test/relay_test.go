package test

import (
	"net"
	"sync"
	"testing"
)

// maxPacket is the size of the largest UDP packet that a relay forwards.
const maxPacket = 64 << 10

// relay is a UDP proxy in front of a node, with which a test can block the traffic
// between real processes. The node advertises the address of its relay.
type relay struct {
	socket *net.UDPConn
	target *net.UDPAddr

	mu      sync.Mutex
	flows   map[string]*net.UDPConn
	blocked func(from string) bool
}

func newRelay(t *testing.T) *relay {
	t.Helper()
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	re := &relay{socket: socket, flows: map[string]*net.UDPConn{}}
	t.Cleanup(re.close)
	return re
}

func (re *relay) addr() string { return re.socket.LocalAddr().String() }

// serve starts to forward packets to the node at the address.
func (re *relay) serve(t *testing.T, target string) {
	t.Helper()
	addr, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		t.Fatal(err)
	}
	re.target = addr
	go re.forwardInbound()
}

// setBlocked sets which peers are blocked: packets from and to an address for which
// the function returns true are dropped. A nil function blocks none.
func (re *relay) setBlocked(blocked func(from string) bool) {
	re.mu.Lock()
	defer re.mu.Unlock()
	re.blocked = blocked
}

func (re *relay) isBlocked(from string) bool {
	re.mu.Lock()
	defer re.mu.Unlock()
	return re.blocked != nil && re.blocked(from)
}

// forwardInbound forwards packets to the node, with a socket for each sender.
func (re *relay) forwardInbound() {
	buf := make([]byte, maxPacket)
	for {
		n, from, err := re.socket.ReadFromUDP(buf)
		if err != nil {
			return
		}
		if re.isBlocked(from.String()) {
			continue
		}
		if flow := re.flow(from); flow != nil {
			_, _ = flow.Write(buf[:n]) // networks lose packets, too
		}
	}
}

func (re *relay) flow(from *net.UDPAddr) *net.UDPConn {
	re.mu.Lock()
	defer re.mu.Unlock()
	if flow, ok := re.flows[from.String()]; ok {
		return flow
	}
	flow, err := net.DialUDP("udp", nil, re.target)
	if err != nil {
		return nil
	}
	re.flows[from.String()] = flow
	go re.forwardOutbound(flow, from)
	return flow
}

// forwardOutbound forwards the node's packets to one sender.
func (re *relay) forwardOutbound(flow *net.UDPConn, to *net.UDPAddr) {
	buf := make([]byte, maxPacket)
	for {
		n, err := flow.Read(buf)
		if err != nil {
			if flow.LocalAddr() == nil {
				return
			}
			re.mu.Lock()
			closed := re.flows == nil
			re.mu.Unlock()
			if closed {
				return
			}
			continue // the node may be restarting, so that its socket is closed
		}
		if !re.isBlocked(to.String()) {
			_, _ = re.socket.WriteToUDP(buf[:n], to)
		}
	}
}

func (re *relay) close() {
	_ = re.socket.Close()
	re.mu.Lock()
	defer re.mu.Unlock()
	for _, flow := range re.flows {
		_ = flow.Close()
	}
	re.flows = nil
}
