package netpath_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"tackbeam.example/tackbeam/internal/standin/netpath"
)

// TestBlackhole checks that a blackholed connection transmits nothing in either direction and is not closed, while a
// new connection works.
func TestBlackhole(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { is.NoErr(ln.Close()) }()
	served := make(chan net.Conn, 2)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			served <- conn
			go func() { _, _ = io.Copy(conn, conn) }() // echo server
		}
	}()
	path, err := netpath.New(ln.Addr().String())
	is.NoErr(err)
	defer func() { is.NoErr(path.Close()) }()
	echo := func(conn net.Conn) error {
		const timeout = 200 * time.Millisecond
		if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
			return err
		}
		if _, err := conn.Write([]byte("x")); err != nil {
			return err
		}
		_, err := io.ReadFull(conn, make([]byte, 1))
		return err
	}
	old, err := net.Dial("tcp4", path.Address())
	is.NoErr(err)
	is.NoErr(echo(old))
	path.Blackhole()
	for range 2 {
		var timeout net.Error
		is.True(errors.As(echo(old), &timeout) && timeout.Timeout()) // neither reset nor closed
	}
	fresh, err := net.Dial("tcp4", path.Address())
	is.NoErr(err)
	is.NoErr(echo(fresh))
	is.NoErr(fresh.Close())
	is.NoErr(old.Close())
	far := <-served
	is.NoErr(far.SetReadDeadline(time.Now().Add(100 * time.Millisecond)))
	_, err = far.Read(make([]byte, 1))
	var timeout net.Error
	is.True(errors.As(err, &timeout) && timeout.Timeout()) // the other end does not notice the close
	is.Equal(path.Opened(), 2)
}

// TestSetBandwidth checks that a transfer takes as long as the bandwidth requires, that its bytes are counted, and that
// Reset closes the connection.
func TestSetBandwidth(t *testing.T) {
	is := is.New(t)
	const bytes, rate = 100_000, 500_000
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { is.NoErr(ln.Close()) }()
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Write(make([]byte, bytes)) // the other end may be closed
		}
	}()
	path, err := netpath.New(ln.Addr().String())
	is.NoErr(err)
	defer func() { is.NoErr(path.Close()) }()
	path.SetBandwidth(rate)
	startedAt := time.Now()
	conn, err := net.Dial("tcp4", path.Address())
	is.NoErr(err)
	_, err = io.ReadFull(conn, make([]byte, bytes))
	is.NoErr(err)
	is.True(time.Since(startedAt) >= time.Second*bytes/rate)
	is.Equal(path.BytesReturned(), bytes)
	path.Reset()
	_, err = conn.Read(make([]byte, 1))
	is.True(err != nil)
}
