package peer

import (
	"context"
	"net"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"

	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/wire"
)

// exchange sends a message on a new stream and reads the response. Errors after the
// message may have been sent are marked MayHaveRun.
func (pr *Peer) exchange(ctx context.Context, addr string, raw []byte) ([]byte, error) {
	if pr.isBlocked(addr) {
		return nil, fault.New(fault.Unavailable, "connection to %s is blocked", addr)
	}
	cn, err := pr.connect(ctx, addr)
	if err != nil {
		return nil, fault.New(fault.Unavailable, "node at %s cannot be reached: %v", addr, err)
	}
	sm, err := cn.OpenStreamSync(ctx)
	if err != nil {
		pr.removeConn(addr, cn)
		return nil, fault.New(fault.Unavailable, "node at %s cannot be reached: %v", addr, err)
	}
	stop := context.AfterFunc(ctx, func() {
		sm.CancelRead(0)
		sm.CancelWrite(0)
	})
	defer stop()
	if _, err = sm.Write(raw); err == nil {
		err = sm.Close()
	}
	var answer []byte
	if err == nil {
		answer, err = wire.ReadAll(sm)
	}
	if err != nil || len(answer) == 0 {
		if cn.Context().Err() != nil {
			pr.removeConn(addr, cn)
		}
		return nil, fault.New(fault.Unavailable, "node at %s did not respond: %v", addr, err).MarkMayHaveRun()
	}
	return answer, nil
}

// connect returns the open connection to an address, or dials a new one.
func (pr *Peer) connect(ctx context.Context, addr string) (*quic.Conn, error) {
	pr.mu.Lock()
	cn, ok := pr.conns[addr]
	pr.mu.Unlock()
	if ok && cn.Context().Err() == nil {
		return cn, nil
	}
	to, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "resolve node address")
	}
	conn, err := pr.transport.Dial(ctx, to, pr.keyring.ClientConfig(), config())
	if err != nil {
		return nil, errors.Wrap(err, "dial node")
	}
	return pr.addConn(addr, conn), nil
}

// addConn registers a new connection. If another goroutine has registered one in the
// meantime, it closes the new connection and returns the registered one.
func (pr *Peer) addConn(addr string, conn *quic.Conn) *quic.Conn {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	old, ok := pr.conns[addr]
	if ok && old.Context().Err() == nil {
		_ = conn.CloseWithError(0, "another connection is open")
		return old
	}
	if ok {
		pr.addClosedTraffic(old)
	}
	pr.conns[addr] = conn
	return conn
}

// Disconnect closes the connection to an address, so that the next call dials a new one.
func (pr *Peer) Disconnect(addr string) {
	pr.mu.Lock()
	cn := pr.conns[addr]
	pr.mu.Unlock()
	if cn != nil {
		pr.removeConn(addr, cn)
	}
}

func (pr *Peer) removeConn(addr string, cn *quic.Conn) {
	pr.mu.Lock()
	if pr.conns[addr] == cn {
		delete(pr.conns, addr)
		pr.addClosedTraffic(cn)
	}
	pr.mu.Unlock()
	_ = cn.CloseWithError(0, "connection failed")
}
