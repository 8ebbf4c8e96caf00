//go:build review

package rig

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is what clients, workers and the platform see of the system. It is written to record.txt.
type Record struct {
	mu      sync.Mutex
	began   time.Time
	out     *bufio.Writer
	file    *os.File
	history map[string][]*Run
}

// Run is a run of a task as workers saw it.
type Run struct {
	Worker string
	Num    int
	Began  time.Time
	// EndedAt is zero while the run goes on. How is the end that the worker lists, or "lost" after a crash.
	EndedAt time.Time
	How     string
	// NotedAt is when last-seen reached the end.
	NotedAt time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{began: time.Now(), out: bufio.NewWriter(file), file: file, history: map[string][]*Run{}}, nil
}

// Note writes a line with the time since the beginning.
func (rd *Record) Note(format string, args ...any) {
	rd.mu.Lock()
	defer rd.mu.Unlock()
	rd.line(format, args...)
}

// Say writes a line to the record and to standard output.
func (rd *Record) Say(format string, args ...any) {
	rd.Note(format, args...)
	fmt.Printf("%7.3f %s\n", time.Since(rd.began).Seconds(), fmt.Sprintf(format, args...))
}

func (rd *Record) line(format string, args ...any) {
	fmt.Fprintf(rd.out, "%7.3f %s\n", time.Since(rd.began).Seconds(), fmt.Sprintf(format, args...))
}

// Close writes what is left.
func (rd *Record) Close() {
	rd.mu.Lock()
	defer rd.mu.Unlock()
	_ = rd.out.Flush()
	_ = rd.file.Close()
}

func (rd *Record) started(worker, task string, num int, token uint64) {
	rd.mu.Lock()
	defer rd.mu.Unlock()
	rd.history[task] = append(rd.history[task], &Run{Worker: worker, Num: num, Began: time.Now()})
	rd.line("worker %s starts %s run %d, token %d", worker, task, num, token)
}

func (rd *Record) find(worker, task string, num int) *Run {
	for _, rn := range rd.history[task] {
		if rn.Worker == worker && rn.Num == num {
			return rn
		}
	}
	return nil
}

func (rd *Record) ended(worker, task string, num int, how string, seq int) {
	rd.mu.Lock()
	defer rd.mu.Unlock()
	if rn := rd.find(worker, task, num); rn != nil {
		rn.EndedAt, rn.How = time.Now(), how
	}
	rd.line("worker %s: %s run %d ended %s, end %d", worker, task, num, how, seq)
}

func (rd *Record) noted(worker, task string, num int, how string) {
	rd.mu.Lock()
	defer rd.mu.Unlock()
	if rn := rd.find(worker, task, num); rn != nil {
		rn.NotedAt = time.Now()
	}
	rd.line("worker %s: last-seen has reached the end %s of %s run %d", worker, how, task, num)
}

// History returns the runs of each task in the order in which they began.
func (rd *Record) History() map[string][]Run {
	rd.mu.Lock()
	defer rd.mu.Unlock()
	out := make(map[string][]Run, len(rd.history))
	for task, runs := range rd.history {
		for _, rn := range runs {
			out[task] = append(out[task], *rn)
		}
	}
	return out
}

// Seconds returns a time as seconds since the beginning.
func (rd *Record) Seconds(at time.Time) float64 { return at.Sub(rd.began).Seconds() }

// Twice returns a line for each start that breaks the rule TWICE: a task has two runs at the same time on workers that
// are up, or a start follows a run that ended done, and that end is taken note of then or later.
func (rd *Record) Twice() []string {
	var lines []string
	for task, runs := range rd.History() {
		for at, later := range runs {
			for _, earlier := range runs[:at] {
				switch {
				case earlier.EndedAt.IsZero() || earlier.EndedAt.After(later.Began):
					lines = append(lines, fmt.Sprintf("%s: run %d started on %s at %.3f s while run %d was on %s since %.3f s",
						task, later.Num, later.Worker, rd.Seconds(later.Began), earlier.Num, earlier.Worker, rd.Seconds(earlier.Began)))
				case earlier.How == "done" && !earlier.NotedAt.IsZero():
					lines = append(lines, fmt.Sprintf("%s: run %d started on %s at %.3f s, although run %d had ended done on %s at %.3f s; that end was taken note of at %.3f s",
						task, later.Num, later.Worker, rd.Seconds(later.Began), earlier.Num, earlier.Worker, rd.Seconds(earlier.EndedAt), rd.Seconds(earlier.NotedAt)))
				}
			}
		}
	}
	return lines
}
