// Package replay feeds a recorded trace to the scheduling decisions again, with the times of the trace, and compares
// the results with the recorded ones.
package replay

import (
	"bufio"
	"encoding/json"
	"io"
	"time"

	"github.com/pkg/errors"

	"tackbeam.example/policy/home"
	"tackbeam.example/policy/owner"
	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/recorder"
)

// maxLine is the maximum length of a trace line in bytes.
const maxLine = 4 << 20

// Report is the result of a replay.
type Report struct {
	Node            string        `json:"node"`
	Inputs          int           `json:"inputs"`
	Decisions       int           `json:"decisions"`
	Differences     int           `json:"differences"`
	FirstDifference string        `json:"first_difference,omitempty"`
	Span            time.Duration `json:"span"`
	Elapsed         time.Duration `json:"took"`
}

// Run replays a trace.
func Run(from io.Reader, now func() time.Time) (Report, error) {
	var rp Report
	lines := bufio.NewScanner(from)
	lines.Buffer(nil, maxLine)
	head, err := readHeader(lines)
	if err != nil {
		return rp, err
	}
	rp.Node = head.Node
	ow, hm := owner.New(head.Limits), home.New(head.MaxConcurrentTries, head.Rules)
	startedAt := now()
	for number := 2; lines.Scan(); number++ {
		var ln recorder.Line
		if err := json.Unmarshal(lines.Bytes(), &ln); err != nil {
			return rp, fault.New(fault.BadRequest, "decode trace line %d: %v", number, err)
		}
		rp.replayLine(ln, ow, hm)
	}
	rp.Elapsed = now().Sub(startedAt)
	if err := lines.Err(); err != nil {
		return rp, errors.Wrap(err, "read trace")
	}
	return rp, nil
}

func readHeader(lines *bufio.Scanner) (recorder.Header, error) {
	if !lines.Scan() {
		return recorder.Header{}, fault.New(fault.BadRequest, "trace is empty")
	}
	var ln recorder.Line
	if err := json.Unmarshal(lines.Bytes(), &ln); err != nil || ln.Trace == nil {
		return recorder.Header{}, fault.New(fault.BadRequest, "trace line 1 is not a trace header")
	}
	if ln.Trace.Version != recorder.Version {
		return recorder.Header{}, fault.New(fault.BadRequest,
			"unsupported trace version %d, want %d", ln.Trace.Version, recorder.Version)
	}
	return *ln.Trace, nil
}

// replayLine feeds one input to its state machine and compares the resulting actions with the recorded digest.
func (rp *Report) replayLine(ln recorder.Line, ow *owner.Machine, hm *home.Machine) {
	var acts int
	var sum string
	var at time.Duration
	switch {
	case ln.Owner != nil:
		acts, sum = recorder.Digest(ow.Step(*ln.Owner))
		at = ln.Owner.At
	case ln.Home != nil:
		acts, sum = recorder.Digest(hm.Step(*ln.Home))
		at = ln.Home.At
	default:
		return
	}
	rp.Inputs++
	rp.Decisions += acts
	rp.Span = max(rp.Span, at)
	if acts == ln.ActionCount && sum == ln.ActionDigest {
		return
	}
	rp.Differences++
	if rp.FirstDifference == "" {
		raw, err := json.Marshal(ln)
		if err == nil {
			rp.FirstDifference = string(raw)
		}
	}
}
