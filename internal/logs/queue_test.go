package logs_test

import (
	"fmt"
	"strings"
	"sync"
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
