package accept

import (
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
)

// stubListener returns errs from successive calls to Accept, then connections.
type stubListener struct {
	net.Listener
	errs []error
}

func (ln *stubListener) Addr() net.Addr { return &net.TCPAddr{} }

func (ln *stubListener) Accept() (net.Conn, error) {
	if len(ln.errs) == 0 {
		return &net.TCPConn{}, nil
	}
	err := ln.errs[0]
	ln.errs = ln.errs[1:]
	return nil, err
}

func acceptError(errno syscall.Errno) error {
	return &net.OpError{Op: "accept", Net: "tcp4", Err: os.NewSyscallError("accept4", errno)}
}

// TestAccept guards against a listener that returns transient resource errors, which end the server, or retries
// permanent ones.
func TestAccept(t *testing.T) {
	exhausted := make([]error, 40)
	for at := range exhausted {
		exhausted[at] = acceptError(syscall.EMFILE)
	}
	for name, tc := range map[string]struct {
		errs []error
		// want is the error that Accept returns, nil if it returns a connection.
		want error
	}{
		"no error":               {},
		"process out of files":   {errs: exhausted},
		"system out of files":    {errs: []error{acceptError(syscall.ENFILE)}},
		"no memory for a socket": {errs: []error{acceptError(syscall.ENOBUFS), acceptError(syscall.ENOMEM)}},
		"listener closed":        {errs: []error{net.ErrClosed}, want: net.ErrClosed},
		"closed during retries":  {errs: []error{acceptError(syscall.EMFILE), net.ErrClosed}, want: net.ErrClosed},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var slept, longest time.Duration
			ln := &Listener{Listener: &stubListener{errs: tc.errs}, log: logr.Discard(), sleep: func(pause time.Duration) {
				slept += pause
				longest = max(longest, pause)
			}}
			conn, err := ln.Accept()
			is.Equal(err, tc.want)
			is.Equal(conn != nil, tc.want == nil)
			is.True(longest <= retryPause.Max)
			is.True(len(tc.errs) < 2 || slept >= retryPause.Initial)
		})
	}
}
