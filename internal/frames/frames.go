// Package frames sends and receives CBOR messages over a WebSocket connection.
package frames

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/pkg/errors"

	"tackbeam.example/tackbeam/internal/wire"
)

// writeTimeout limits each write, so that a peer that does not read cannot block the sender.
const writeTimeout = 2 * time.Second

// Conn is a connection. Any number of goroutines may send concurrently, but only one may receive.
type Conn struct {
	ws       *websocket.Conn
	mu       sync.Mutex
	sent     atomic.Int64
	received atomic.Int64
}

// New wraps a WebSocket connection.
func New(ws *websocket.Conn) *Conn {
	ws.SetReadLimit(wire.MaxMessageSize)
	return &Conn{ws: ws}
}

// Send encodes and writes one message.
func (cn *Conn) Send(msg any) error {
	raw, err := wire.Encode(msg)
	if err != nil {
		return err
	}
	cn.mu.Lock()
	defer cn.mu.Unlock()
	if err := cn.ws.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return errors.Wrap(err, "set write deadline")
	}
	if err := cn.ws.WriteMessage(websocket.BinaryMessage, raw); err != nil {
		return errors.Wrap(err, "send frame")
	}
	cn.sent.Add(int64(len(raw)) + frameHeader(len(raw)))
	return nil
}

// Receive reads and decodes one message.
func (cn *Conn) Receive(msg any) error {
	_, raw, err := cn.ws.ReadMessage()
	if err != nil {
		return errors.Wrap(err, "receive frame")
	}
	cn.received.Add(int64(len(raw)) + frameHeader(len(raw)))
	return wire.Decode(raw, msg)
}

// frameHeader returns the size of a masked frame's header for a payload of n bytes.
func frameHeader(n int) int64 {
	const maxShortPayload, baseHeader, maskKey = 125, 2, 4
	switch {
	case n <= maxShortPayload:
		return baseHeader + maskKey
	case n < 1<<16:
		return baseHeader + 2 + maskKey
	}
	return baseHeader + 8 + maskKey
}

// Traffic returns the number of bytes sent and received so far, without TCP headers.
func (cn *Conn) Traffic() (sent, received int64) {
	return cn.sent.Load(), cn.received.Load()
}

// RemoteAddr returns the remote address.
func (cn *Conn) RemoteAddr() net.Addr { return cn.ws.RemoteAddr() }

// Close closes the connection immediately, without a closing handshake.
func (cn *Conn) Close() error { return errors.Wrap(cn.ws.Close(), "close connection") }
