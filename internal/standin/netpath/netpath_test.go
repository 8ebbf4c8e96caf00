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

// TestSilence has a connection fall silent both ways without an end, while a new one
// works.
func TestSilence(t *testing.T) {
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
			go func() { _, _ = io.Copy(conn, conn) }() // an echo
		}
	}()
	path, err := netpath.New(ln.Addr().String())
	is.NoErr(err)
	defer func() { is.NoErr(path.Close()) }()
	echo := func(conn net.Conn) error {
		const patience = 200 * time.Millisecond
		if err := conn.SetDeadline(time.Now().Add(patience)); err != nil {
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
		is.True(errors.As(echo(old), &timeout) && timeout.Timeout()) // no reset, no end
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
	is.True(errors.As(err, &timeout) && timeout.Timeout()) // the other end does not learn of the closing
	is.Equal(path.Opened(), 2)
}

// TestNarrow takes as long as the bandwidth says, counts what it carried, and ends the
// connections on a reset.
func TestNarrow(t *testing.T) {
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
			_, _ = conn.Write(make([]byte, bytes)) // the other end may be gone
		}
	}()
	path, err := netpath.New(ln.Addr().String())
	is.NoErr(err)
	defer func() { is.NoErr(path.Close()) }()
	path.SetBandwidth(rate)
	began := time.Now()
	conn, err := net.Dial("tcp4", path.Address())
	is.NoErr(err)
	_, err = io.ReadFull(conn, make([]byte, bytes))
	is.NoErr(err)
	is.True(time.Since(began) >= time.Second*bytes/rate)
	is.Equal(path.BytesReturned(), bytes)
	path.Reset()
	_, err = conn.Read(make([]byte, 1))
	is.True(err != nil)
}
