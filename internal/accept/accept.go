// Package accept provides a TCP listener that retries accepting after transient resource errors.
package accept

import (
	"net"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"tackbeam.example/policy/backoff"

	"tackbeam.example/tackbeam/internal/connlimit"
)

// Listener is a net.Listener whose Accept retries while the process or the system is out of file descriptors or
// memory. It hides these errors from fasthttp, whose Serve returns on them and stops serving.
type Listener struct {
	net.Listener
	log   logr.Logger
	limit *connlimit.Limit
	sleep func(time.Duration)
}

// Listen opens a listener on a TCP address. Accept failures that are retried are logged to log.
func Listen(log logr.Logger, network, address string) (*Listener, error) {
	ln, err := net.Listen(network, address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen at %s", address)
	}
	return &Listener{Listener: ln, log: log, sleep: time.Sleep}, nil
}

// CountAgainst counts accepted connections against limit without delaying or rejecting them, and returns the listener.
func (ln *Listener) CountAgainst(limit *connlimit.Limit) *Listener {
	ln.limit = limit
	return ln
}

// retryPause is the backoff between failed calls to accept.
var retryPause = backoff.Backoff{Initial: 5 * time.Millisecond, Max: 100 * time.Millisecond}

// Accept waits for the next connection and returns only errors that are not resource shortages.
func (ln *Listener) Accept() (net.Conn, error) {
	conn, err := ln.accept()
	if err != nil {
		return nil, err
	}
	return ln.limit.AddConn(conn), nil
}

func (ln *Listener) accept() (net.Conn, error) {
	for failures := 0; ; failures++ {
		conn, err := ln.Listener.Accept()
		switch {
		case err == nil && failures > 0:
			ln.log.Info("Accepting connections again.", "address", ln.Addr().String(), "failures", failures)
			return conn, nil
		case !isResourceShortage(err):
			return conn, err
		case failures == 0:
			ln.log.Info("Connection could not be accepted, retrying.", "address", ln.Addr().String(), "reason", err.Error())
		}
		ln.sleep(retryPause.Delay(failures))
	}
}

// isResourceShortage reports whether err means that file descriptors or memory are exhausted.
func isResourceShortage(err error) bool {
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}
