package ports

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

const (
	// reserveOnly is the environment variable that makes the test binary reserve ports until its input ends.
	reserveOnly = "TACKBEAM_TEST_RESERVE_ONLY"
	// reservations is the number of reservations of each process.
	reservations = 50
)

func TestMain(m *testing.M) {
	if os.Getenv(reserveOnly) == "" {
		os.Exit(m.Run())
	}
	for range reservations {
		bl, err := Reserve(MaxCount)
		if err != nil {
			fmt.Println(err)
			os.Exit(1)
		}
		defer func() { _ = bl.Close() }()
		fmt.Println(bl.ports)
	}
	_, _ = io.Copy(io.Discard, os.Stdin) // returns when the test has closed it
}

// TestReservedPortsAreNotReservedAgain guards against a port that two processes, or two tests of one process, consider
// theirs while nothing listens on it.
func TestReservedPortsAreNotReservedAgain(t *testing.T) {
	is := is.New(t)
	const processes = 3
	owners := map[string]int{}
	add := func(owner int, ports string) {
		for port := range strings.FieldsSeq(strings.Trim(ports, "[]")) {
			if other, ok := owners[port]; ok {
				t.Errorf("port %s is reserved by processes %d and %d", port, other, owner)
			}
			owners[port] = owner
		}
	}
	for n := range processes {
		ports := startProcess(t)
		for range reservations {
			is.True(ports.Scan())
			add(n, ports.Text())
		}
	}
	for range reservations {
		bl, err := Reserve(MaxCount)
		is.NoErr(err)
		defer func() { is.NoErr(bl.Close()) }()
		add(processes, fmt.Sprint(bl.ports))
	}
	is.Equal(len(owners), (processes+1)*reservations*MaxCount)
}

// startProcess starts a process that reserves ports until the test ends, and returns its output.
func startProcess(t *testing.T) *bufio.Scanner {
	t.Helper()
	is := is.New(t)
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), reserveOnly+"=1")
	input, err := cmd.StdinPipe()
	is.NoErr(err)
	output, err := cmd.StdoutPipe()
	is.NoErr(err)
	is.NoErr(cmd.Start())
	t.Cleanup(func() {
		is.NoErr(input.Close())
		is.NoErr(cmd.Wait())
	})
	return bufio.NewScanner(output)
}

// TestReservedPortsAreFree checks that a process can listen on each reserved port, stop and listen again.
func TestReservedPortsAreFree(t *testing.T) {
	is := is.New(t)
	bl, err := Reserve(MaxCount)
	is.NoErr(err)
	defer func() { is.NoErr(bl.Close()) }()
	for range 2 {
		for index := range MaxCount {
			ln, err := net.Listen("tcp4", bl.Address(index))
			is.NoErr(err)
			is.Equal(ln.Addr().(*net.TCPAddr).Port, bl.Port(index))
			is.NoErr(ln.Close())
		}
	}
}

// TestBlockWithTakenPort guards against the reservation of a port on which a process listens that has reserved none.
func TestBlockWithTakenPort(t *testing.T) {
	is := is.New(t)
	bl, err := Reserve(MaxCount)
	is.NoErr(err)
	ln, err := net.Listen("tcp4", bl.Address(MaxCount-1))
	is.NoErr(err)
	defer func() { is.NoErr(ln.Close()) }()
	is.NoErr(bl.Close())
	_, err = reserveBlock(bl.Port(0)-1, MaxCount)
	is.True(errors.Is(err, syscall.EADDRINUSE))
}

func TestReserveFails(t *testing.T) {
	is := is.New(t)
	taken, err := Reserve(1)
	is.NoErr(err)
	defer func() { is.NoErr(taken.Close()) }()
	first := taken.Port(0) - 1
	cases := map[string]struct {
		reserve func() (*Block, error)
		want    string
	}{
		"no port":        {func() (*Block, error) { return Reserve(0) }, "cannot reserve 0 ports, the number must be from 1 to 7"},
		"negative":       {func() (*Block, error) { return Reserve(-1) }, "cannot reserve -1 ports, the number must be from 1 to 7"},
		"too many ports": {func() (*Block, error) { return Reserve(8) }, "cannot reserve 8 ports, the number must be from 1 to 7"},
		"no free block": {
			func() (*Block, error) { return reserve(2, first, 1) },
			fmt.Sprintf("cannot reserve 2 ports: all blocks from %d to %d are in use", first, first+blockSize-1),
		},
		"not a port": {
			func() (*Block, error) { return reserve(1, 1<<16, 1) },
			"reserve 1 ports: listen tcp4: address 65536: invalid port",
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := tc.reserve()
			is.True(err != nil)
			is.Equal(err.Error(), tc.want)
		})
	}
}
