package httpcall_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"tackbeam.example/tackbeam/internal/httpcall"
)

// TestEndedConnection guards against failed calls after the server restarts at the same address, when all idle
// connections to it are closed. Each failed call removed only its own connection, so that callers were refused for a
// while after each change of the planner. Idempotent calls must be sent again at once on a new connection; others must
// return the error.
func TestEndedConnection(t *testing.T) {
	tests := map[string]struct {
		idempotent bool
		failed     int
	}{
		"idempotent":     {idempotent: true, failed: 0},
		"not idempotent": {idempotent: false, failed: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ln, err := net.Listen("tcp4", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { _ = ln.Close() }()
			go answerOnce(ln)
			calls := httpcall.New(8)
			call := func() error {
				ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
				defer cancel()
				_, err := calls.Do(ctx, httpcall.Request{
					Method: fasthttp.MethodPost, Address: ln.Addr().String(), Path: "/", LongPoll: true, Idempotent: tt.idempotent,
				})
				return err
			}
			const idle = 4
			var group sync.WaitGroup
			for range idle {
				group.Go(func() { _ = call() })
			}
			group.Wait()
			failed := 0
			if call() != nil {
				failed++
			}
			is.Equal(failed, tt.failed)
		})
	}
}

// answerOnce answers the first request on each connection and closes the connection at the second, like a process that
// has exited in between.
func answerOnce(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return // the test has ended
		}
		go func() {
			defer func() { _ = conn.Close() }()
			buf := make([]byte, 4096)
			if _, err := conn.Read(buf); err != nil {
				return
			}
			time.Sleep(20 * time.Millisecond) // makes concurrent calls use separate connections
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
			_, _ = conn.Read(buf)
		}()
	}
}
