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

// gate is a reader that reads only while it is open.
type gate struct {
	opened chan struct{}
	mu     sync.Mutex
	text   strings.Builder
}

func (ga *gate) Write(text []byte) (int, error) {
	<-ga.opened
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return ga.text.Write(text)
}

func (ga *gate) lines() []string {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return strings.Split(strings.TrimSpace(ga.text.String()), "\n")
}

// TestReaderThatDoesNotRead writes far more than the queue holds while nobody reads. No
// write waits. Once somebody reads, the lines that were kept come in order, with one
// that says how many were dropped, and what is written then is not lost.
func TestReaderThatDoesNotRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ga := &gate{opened: make(chan struct{})}
		qu := logs.NewQueue(ga)
		began := time.Now()
		const written = 20000
		for n := range written {
			size, err := fmt.Fprintf(qu, "line %d\n", n)
			is.NoErr(err)
			is.True(size > 0)
			if n == 0 {
				synctest.Wait() // the writer takes the first line, and stands
			}
		}
		is.Equal(time.Since(began), time.Duration(0)) // nothing waited
		close(ga.opened)
		synctest.Wait()
		_, err := fmt.Fprintln(qu, "after")
		is.NoErr(err)
		qu.Close()
		lines := ga.lines()
		const kept = 4096 + 1 // what waits, and the line that was being written
		is.Equal(len(lines), kept+2)
		is.Equal(lines[kept-1], fmt.Sprintf("line %d", kept-1))
		is.True(strings.Contains(lines[kept], fmt.Sprintf(`"lines":%d`, written-kept)))
		is.Equal(lines[kept+1], "after")
	})
}

// TestCloseDoesNotHang ends a queue whose reader never reads again: the process has to
// end all the same.
func TestCloseDoesNotHang(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ga := &gate{opened: make(chan struct{})}
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
