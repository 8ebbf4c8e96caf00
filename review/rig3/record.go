//go:build review

package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run, with the time since the beginning of the case.
type recorder struct {
	began time.Time

	mu   sync.Mutex
	file *os.File
	out  *bufio.Writer
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{began: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

// now returns the time since the beginning of the case.
func (rc *recorder) now() time.Duration { return time.Since(rc.began) }

func (rc *recorder) write(kind, format string, args ...any) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	fmt.Fprintf(rc.out, "%8.3f %-9s %s\n", rc.now().Seconds(), kind, fmt.Sprintf(format, args...))
}

func (rc *recorder) close() {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	_ = rc.out.Flush()
	_ = rc.file.Close()
}
