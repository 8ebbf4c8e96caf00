package logs

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"sync"
	"syscall"
	"time"

	"tackbeam.example/tackbeam/internal/wake"
)

// maxLines is the number of lines that the queue holds for a slow reader: several seconds of a busy planner's
// output, less than 1 MB at 200 bytes per line.
const maxLines = 4096

// Queue is a writer that never blocks. Lines wait in a bounded queue; when the queue is full, further
// lines are dropped and counted.
type Queue struct {
	out     io.Writer
	mu      sync.Mutex
	lines   [][]byte
	dropped int
	wake    wake.Signal
	closed  bool
	done    chan struct{}
}

// NewQueue returns a queue that writes to out until it is closed.
func NewQueue(out io.Writer) *Queue {
	qu := &Queue{out: out, wake: wake.New(), done: make(chan struct{})}
	go qu.run()
	return qu
}

// Write adds a line to the queue. It never fails and never blocks.
func (qu *Queue) Write(line []byte) (int, error) {
	qu.mu.Lock()
	if len(qu.lines) < maxLines {
		qu.lines = append(qu.lines, append([]byte(nil), line...))
	} else {
		qu.dropped++
	}
	qu.mu.Unlock()
	qu.wake.Notify()
	return len(line), nil
}

// closeTimeout is how long Close waits for the reader. Most readers need a few milliseconds, and a reader that
// has stopped must not keep the process from exiting.
const closeTimeout = 500 * time.Millisecond

// Close writes the queued lines, as far as the reader accepts them within closeTimeout, and stops the queue.
func (qu *Queue) Close() {
	qu.mu.Lock()
	qu.closed = true
	qu.mu.Unlock()
	qu.wake.Notify()
	select {
	case <-qu.done:
	case <-time.After(closeTimeout):
	}
}

func (qu *Queue) run() {
	defer close(qu.done)
	for range qu.wake {
		for {
			batch, ended := qu.takeAll()
			if len(batch) > 0 && qu.write(batch) {
				continue
			}
			if ended {
				return
			}
			break
		}
	}
}

// writeRetryPause is the pause before a write is repeated that the output did not accept for now. A pipe with a slow
// reader has room again within milliseconds.
const writeRetryPause = 5 * time.Millisecond

// write writes a batch. A pipe that is in non-blocking mode accepts only part of it while its reader is slow; the rest is
// written once there is room. After another error, the lines that were not written count as dropped, and the result is
// false.
func (qu *Queue) write(batch []byte) bool {
	for {
		written, err := qu.out.Write(batch[:nextWrite(batch)])
		batch = batch[written:]
		switch {
		case err == nil && len(batch) == 0:
			return true
		case err == nil:
		case errors.Is(err, syscall.EAGAIN):
			time.Sleep(writeRetryPause)
		default:
			qu.mu.Lock()
			qu.dropped += bytes.Count(batch, []byte("\n"))
			qu.mu.Unlock()
			return false
		}
	}
}

// maxWrite is the largest amount of bytes that a pipe takes whole or not at all (PIPE_BUF).
const maxWrite = 4096

// nextWrite returns the length of the whole lines at the beginning of a batch that one write takes, or of the first part
// of a line that is longer than that.
func nextWrite(batch []byte) int {
	if len(batch) <= maxWrite {
		return len(batch)
	}
	if end := bytes.LastIndexByte(batch[:maxWrite], '\n'); end >= 0 {
		return end + 1
	}
	return maxWrite
}

// takeAll removes all queued lines and returns them as one buffer, so that they need only one write.
func (qu *Queue) takeAll() (batch []byte, ended bool) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	for _, line := range qu.lines {
		batch = append(batch, line...)
	}
	qu.lines = qu.lines[:0]
	if qu.dropped > 0 {
		batch = fmt.Appendf(batch, `{"logger":"logs","level":0,"msg":"Lines were dropped: the reader is too slow.","lines":%d}`+"\n", qu.dropped)
		qu.dropped = 0
	}
	return batch, qu.closed
}
