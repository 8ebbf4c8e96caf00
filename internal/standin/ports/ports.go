// Package ports reserves TCP ports of the loopback interface for processes that tests start and restart. A port that is
// only found free and then closed can be taken by another test before the process listens on it, and again whenever the
// process is not running.
package ports

import (
	"math/rand/v2"
	"net"
	"strconv"
	"syscall"

	"github.com/pkg/errors"
)

const (
	// firstPort and lastPort are below the kernel's default range of ephemeral ports, so that no outgoing connection
	// uses a reserved port.
	firstPort, lastPort = 10_000, 29_999
	// blockSize is the number of ports in a block. It is the same for all blocks, so that blocks never overlap.
	blockSize = 8
	// MaxCount is the maximum number of ports in one reservation.
	MaxCount = blockSize - 1
	// blocks is the number of blocks.
	blocks = (lastPort - firstPort + 1) / blockSize
)

// Block is a reservation of ports. It keeps a listener on the block's first port, which is not one of the reserved
// ports; the kernel allows only one such listener among all processes.
type Block struct {
	listener net.Listener
	ports    []int
}

// Reserve reserves count ports, at most MaxCount, until Close or until the process ends. Nothing listens on them.
func Reserve(count int) (*Block, error) {
	if count < 1 || count > MaxCount {
		return nil, errors.Errorf("cannot reserve %d ports, the number must be from 1 to %d", count, MaxCount)
	}
	return reserve(count, firstPort, blocks)
}

// reserve reserves ports in one of a number of blocks, the first of which begins at a port.
func reserve(count, first, blocks int) (*Block, error) {
	start := rand.IntN(blocks)
	for n := range blocks {
		bl, err := reserveBlock(first+(start+n)%blocks*blockSize, count)
		if err == nil {
			return bl, nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) {
			return nil, errors.Wrapf(err, "reserve %d ports", count)
		}
	}
	return nil, errors.Errorf("cannot reserve %d ports: all blocks from %d to %d are in use", count, first, first+blocks*blockSize-1)
}

// reserveBlock reserves the count ports that follow a block's first port.
func reserveBlock(first, count int) (*Block, error) {
	ln, err := net.Listen("tcp4", address(first))
	if err != nil {
		return nil, err
	}
	bl := &Block{listener: ln}
	for port := first + 1; port <= first+count; port++ {
		if err := checkFree(port); err != nil {
			_ = bl.Close()
			return nil, err
		}
		bl.ports = append(bl.ports, port)
	}
	return bl, nil
}

// checkFree returns an error if a process that reserves no ports listens on the port.
func checkFree(port int) error {
	ln, err := net.Listen("tcp4", address(port))
	if err != nil {
		return err
	}
	return ln.Close()
}

// Port returns the reserved port with an index from 0.
func (bl *Block) Port(index int) int { return bl.ports[index] }

// Address returns the loopback address with the reserved port with an index from 0.
func (bl *Block) Address(index int) string { return address(bl.ports[index]) }

// Close ends the reservation. The processes that use the ports must have ended.
func (bl *Block) Close() error { return errors.Wrap(bl.listener.Close(), "end reservation of ports") }

func address(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }
