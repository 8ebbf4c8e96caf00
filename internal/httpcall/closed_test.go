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

// TestEndedConnection has the other side start anew behind its address while connections to
// it are kept. Callers saw refusals for a while after each change of planners, since a call
// that met the end of its kept connection was given up, and each freed only that one. A call
// that may be carried out twice is now sent again at once, on a new connection; others tell
// the error.
func TestEndedConnection(t *testing.T) {
	tests := map[string]struct {
		again  bool
		failed int
	}{
		"may be carried out twice": {again: true, failed: 0},
		"may not":                  {again: false, failed: 1},
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
					Method: fasthttp.MethodPost, Address: ln.Addr().String(), Path: "/", LongPoll: true, Idempotent: tt.again,
				})
				return err
			}
			const kept = 4
			var group sync.WaitGroup
			for range kept {
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

// answerOnce answers the first request on each connection and closes it at the second, as a
// process does that has ended in between.
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
			time.Sleep(20 * time.Millisecond) // so that calls sent at once need a connection each
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
			_, _ = conn.Read(buf)
		}()
	}
}
