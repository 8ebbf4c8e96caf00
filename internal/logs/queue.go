package logs

import (
	"fmt"
	"io"
	"sync"
	"time"

	"tackbeam.example/tackbeam/internal/wake"
)

// queued is the number of lines that may wait for a slow reader: some seconds of a
// busy planner's, at 200 bytes each under a megabyte.
const queued = 4096

// Queue is a writer that never blocks: lines wait in a bounded queue, and those for
// which there is no place are dropped and counted.
type Queue struct {
	out   io.Writer
	mu    sync.Mutex
	lines [][]byte
	lost  int
	wake  wake.Signal
	ended bool
	done  chan struct{}
}

// NewQueue returns a queue that writes to out until Close.
func NewQueue(out io.Writer) *Queue {
	qu := &Queue{out: out, wake: wake.New(), done: make(chan struct{})}
	go qu.run()
	return qu
}

// Write takes a line. It never fails and never waits.
func (qu *Queue) Write(line []byte) (int, error) {
	qu.mu.Lock()
	if len(qu.lines) < queued {
		qu.lines = append(qu.lines, append([]byte(nil), line...))
	} else {
		qu.lost++
	}
	qu.mu.Unlock()
	qu.wake.Notify()
	return len(line), nil
}

// closeWait is how long the end of a process waits for a reader: most read within a few
// ms, and one that does not read at all must not keep the process.
const closeWait = 500 * time.Millisecond

// Close writes what waits, as far as the reader takes it in time, and ends the queue.
func (qu *Queue) Close() {
	qu.mu.Lock()
	qu.ended = true
	qu.mu.Unlock()
	qu.wake.Notify()
	select {
	case <-qu.done:
	case <-time.After(closeWait):
	}
}

func (qu *Queue) run() {
	defer close(qu.done)
	for range qu.wake {
		for {
			batch, ended := qu.take()
			if len(batch) == 0 && ended {
				return
			}
			if len(batch) == 0 {
				break
			}
			_, _ = qu.out.Write(batch) // a log that cannot be written has nowhere to say so
		}
	}
}

// take returns what waits as one piece, so that it costs one write.
func (qu *Queue) take() (batch []byte, ended bool) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	for _, line := range qu.lines {
		batch = append(batch, line...)
	}
	qu.lines = qu.lines[:0]
	if qu.lost > 0 {
		batch = fmt.Appendf(batch, `{"logger":"logs","level":0,"msg":"Lines were dropped: the reader is too slow.","lines":%d}`+"\n", qu.lost)
		qu.lost = 0
	}
	return batch, qu.ended
}
