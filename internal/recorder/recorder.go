// Package recorder writes the inputs of a node's scheduling decisions to a trace file, one JSON line each, so that a
// run can be replayed.
package recorder

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"os"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"tackbeam.example/policy/home"
	"tackbeam.example/policy/owner"
)

// Version is the version of the trace format.
const Version = 2

// Line is one line of a trace: the header, an input of an owner, or an input of a home. ActionCount is the number of
// decisions that the input caused, and ActionDigest their digest.
type Line struct {
	Trace        *Header      `json:"trace,omitempty"`
	Owner        *owner.Event `json:"owner,omitempty"`
	Home         *home.Event  `json:"home,omitempty"`
	ActionCount  int          `json:"acts,omitempty"`
	ActionDigest string       `json:"sum,omitempty"`
}

// Digest returns the number of decisions and their digest.
func Digest[T any](acts []T) (int, string) {
	if len(acts) == 0 {
		return 0, ""
	}
	raw, err := json.Marshal(acts)
	if err != nil {
		return len(acts), err.Error()
	}
	return len(acts), strconv.FormatUint(xxhash.Sum64(raw), 16)
}

// Header is the first line of a trace.
type Header struct {
	Version            int          `json:"version"`
	Node               string       `json:"node"`
	Limits             owner.Limits `json:"limits"`
	MaxConcurrentTries int          `json:"at_once"`
	Rules              home.Rules   `json:"rules"`
}

// Recorder writes a trace. A Recorder without a file discards all inputs.
type Recorder struct {
	mu   sync.Mutex
	file io.WriteCloser
	buf  *bufio.Writer
	enc  *json.Encoder
	err  error
}

// New creates the trace file. If path is empty, the Recorder discards all inputs.
func New(path string, head Header) (*Recorder, error) {
	if path == "" {
		return &Recorder{}, nil
	}
	file, err := os.Create(path)
	if err != nil {
		return nil, errors.Wrap(err, "open trace")
	}
	rc := &Recorder{file: file, buf: bufio.NewWriter(file)}
	rc.enc = json.NewEncoder(rc.buf)
	head.Version = Version
	rc.write(Line{Trace: &head})
	return rc, nil
}

// RecordOwner records an input of the owner's state machine and the resulting actions.
func (rc *Recorder) RecordOwner(ev owner.Event, acts []owner.Action) {
	if rc.enc != nil {
		count, sum := Digest(acts)
		rc.write(Line{Owner: &ev, ActionCount: count, ActionDigest: sum})
	}
}

// RecordHome records an input of the home's state machine and the resulting actions.
func (rc *Recorder) RecordHome(ev home.Event, acts []home.Action) {
	if rc.enc != nil {
		count, sum := Digest(acts)
		rc.write(Line{Home: &ev, ActionCount: count, ActionDigest: sum})
	}
}

func (rc *Recorder) write(ln Line) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	if rc.err == nil {
		rc.err = rc.enc.Encode(ln)
	}
}

// Stop flushes and closes the file. It returns the first error of any write.
func (rc *Recorder) Stop(context.Context) error {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	if rc.file == nil {
		return nil
	}
	flushErr, closeErr := rc.buf.Flush(), rc.file.Close()
	for _, err := range []error{rc.err, flushErr, closeErr} {
		if err != nil {
			return errors.Wrap(err, "write trace")
		}
	}
	return nil
}
