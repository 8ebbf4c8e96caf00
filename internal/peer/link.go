package peer

import (
	"context"
	"net"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"

	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/wire"
)

// exchange sends one message on a stream of its own and reads the answer.
func (pr *Peer) exchange(ctx context.Context, addr string, raw []byte) ([]byte, error) {
	if pr.isBlocked(addr) {
		return nil, fault.New(fault.Unavailable, "link to %s is cut", addr)
	}
	cn, err := pr.connect(ctx, addr)
	if err != nil {
		return nil, fault.New(fault.Unavailable, "node at %s cannot be reached: %v", addr, err)
	}
	sm, err := cn.OpenStreamSync(ctx)
	if err != nil {
		pr.forget(addr, cn)
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
			pr.forget(addr, cn)
		}
		return nil, fault.New(fault.Unavailable, "node at %s did not answer: %v", addr, err).MarkMayHaveRun()
	}
	return answer, nil
}

// connect returns the link to an address, made anew where there is none.
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
	made, err := pr.transport.Dial(ctx, to, pr.ring.ClientConfig(), config())
	if err != nil {
		return nil, errors.Wrap(err, "dial node")
	}
	return pr.keep(addr, made), nil
}

// keep stores a new link, unless another goroutine was faster.
func (pr *Peer) keep(addr string, made *quic.Conn) *quic.Conn {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	old, ok := pr.conns[addr]
	if ok && old.Context().Err() == nil {
		_ = made.CloseWithError(0, "another link is open")
		return old
	}
	if ok {
		pr.retire(old)
	}
	pr.conns[addr] = made
	return made
}

// Disconnect drops the link to an address, so that the next call dials anew.
func (pr *Peer) Disconnect(addr string) {
	pr.mu.Lock()
	cn := pr.conns[addr]
	pr.mu.Unlock()
	if cn != nil {
		pr.forget(addr, cn)
	}
}

func (pr *Peer) forget(addr string, cn *quic.Conn) {
	pr.mu.Lock()
	if pr.conns[addr] == cn {
		delete(pr.conns, addr)
		pr.retire(cn)
	}
	pr.mu.Unlock()
	_ = cn.CloseWithError(0, "link failed")
}
