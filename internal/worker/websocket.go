package worker

import (
	"context"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/pkg/errors"

	"tackbeam.example/tackbeam/internal/frames"
)

// dialTimeout limits the time to open one connection.
const dialTimeout = 2 * time.Second

// Dial opens a WebSocket connection to a path of a worker.
func Dial(ctx context.Context, addr, path string) (*frames.Conn, error) {
	dialer := websocket.Dialer{HandshakeTimeout: dialTimeout, ReadBufferSize: 1024, WriteBufferSize: 1024}
	ws, rsp, err := dialer.DialContext(ctx, "ws://"+addr+path, nil)
	if rsp != nil && rsp.Body != nil {
		_ = rsp.Body.Close() // empty after a handshake
	}
	if err != nil {
		return nil, errors.Wrapf(err, "dial worker at %s", addr)
	}
	return frames.New(ws), nil
}
