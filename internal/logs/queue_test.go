package logs_test

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"tackbeam.example/tackbeam/internal/logs"
)

// gatedWriter is a writer that blocks until opened is closed.
type gatedWriter struct {
	opened chan struct{}
	mu     sync.Mutex
	text   strings.Builder
}

func (ga *gatedWriter) Write(text []byte) (int, error) {
	<-ga.opened
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return ga.text.Write(text)
}

func (ga *gatedWriter) lines() []string {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return strings.Split(strings.TrimSpace(ga.text.String()), "\n")
}

// TestStalledReader writes far more lines than the queue holds while the reader is stalled. No write may block.
// Once the reader continues, it gets the queued lines in order, a line with the number of dropped lines, and
// the lines written afterwards.
func TestStalledReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ga := &gatedWriter{opened: make(chan struct{})}
		qu := logs.NewQueue(ga)
		began := time.Now()
		const written = 20000
		for n := range written {
			size, err := fmt.Fprintf(qu, "line %d\n", n)
			is.NoErr(err)
			is.True(size > 0)
			if n == 0 {
				synctest.Wait() // the queue's goroutine takes the first line and blocks
			}
		}
		is.Equal(time.Since(began), time.Duration(0)) // no write blocked
		close(ga.opened)
		synctest.Wait()
		_, err := fmt.Fprintln(qu, "after")
		is.NoErr(err)
		qu.Close()
		lines := ga.lines()
		const kept = 4096 + 1 // the queued lines and the line being written
		is.Equal(len(lines), kept+2)
		is.Equal(lines[kept-1], fmt.Sprintf("line %d", kept-1))
		is.True(strings.Contains(lines[kept], fmt.Sprintf(`"lines":%d`, written-kept)))
		is.Equal(lines[kept+1], "after")
	})
}

// TestCloseWithStalledReader closes a queue whose reader has stopped for good. Close must return so that the process
// can exit.
func TestCloseWithStalledReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ga := &gatedWriter{opened: make(chan struct{})}
		qu := logs.NewQueue(ga)
		if _, err := fmt.Fprintln(qu, "line"); err != nil {
			t.Error(err)
		}
		began := time.Now()
		qu.Close()
		if took := time.Since(began); took > time.Second {
			t.Errorf("close took %v", took)
		}
		close(ga.opened) // lets the queue's goroutine end
	})
}

// partialWriter is a writer that accepts a few bytes of each write and returns an error for the rest.
type partialWriter struct {
	err  error
	mu   sync.Mutex
	text strings.Builder
}

func (pw *partialWriter) Write(text []byte) (int, error) {
	const accepted = 7
	pw.mu.Lock()
	defer pw.mu.Unlock()
	if len(text) <= accepted {
		return pw.text.Write(text)
	}
	pw.text.Write(text[:accepted])
	return accepted, pw.err
}

// TestPartialWrites guards against lines that are cut or missing because the output accepted only part of a batch.
func TestPartialWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		pw := &partialWriter{err: syscall.EAGAIN}
		qu := logs.NewQueue(pw)
		var want strings.Builder
		for n := range 20 {
			_, err := fmt.Fprintf(io.MultiWriter(qu, &want), "line %d\n", n)
			is.NoErr(err)
		}
		qu.Close()
		is.Equal(pw.text.String(), want.String())
	})
}

// TestFailedWrite guards against lines that are missing without a count after an output failed.
func TestFailedWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		pw := &partialWriter{err: io.ErrShortWrite}
		qu := logs.NewQueue(pw)
		_, err := fmt.Fprint(qu, "a long line\n")
		is.NoErr(err)
		synctest.Wait()
		pw.mu.Lock()
		pw.err = syscall.EAGAIN
		pw.mu.Unlock()
		_, err = fmt.Fprint(qu, "next\n")
		is.NoErr(err)
		qu.Close()
		is.True(strings.Contains(pw.text.String(), `"lines":1}`))
	})
}

// TestWritesWholeLines guards against lines that are cut by a pipe which accepts only part of a large write: each write
// has to be small enough to be taken whole, and to end with a line.
func TestWritesWholeLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const atomicSize = 4096
		ga := &gatedWriter{opened: make(chan struct{})}
		var sizes []int
		qu := logs.NewQueue(writerFunc(func(text []byte) (int, error) {
			<-ga.opened
			is.True(strings.HasSuffix(string(text), "\n"))
			sizes = append(sizes, len(text))
			return len(text), nil
		}))
		for n := range 500 {
			_, err := fmt.Fprintf(qu, "line %d%s\n", n, strings.Repeat(" ", n))
			is.NoErr(err)
		}
		close(ga.opened)
		qu.Close()
		sum := 0
		for _, size := range sizes {
			is.True(size <= atomicSize)
			sum += size
		}
		const written = 500*499/2 + 500*len("line \n") + 10 + 90*2 + 400*3
		is.Equal(sum, written)
	})
}

// writerFunc is a writer that consists of its Write method.
type writerFunc func(text []byte) (int, error)

func (wf writerFunc) Write(text []byte) (int, error) { return wf(text) }
