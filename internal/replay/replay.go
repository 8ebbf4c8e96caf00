// Package replay drives the decisions again from a recorded trace, under the
// trace's own times, and checks that they come out as recorded.
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

// maxLine bounds one line of a trace in bytes.
const maxLine = 4 << 20

// Report is what a replay found.
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
	ow, hm := owner.New(head.Limits), home.New(head.AtOnce, head.Rules)
	began := now()
	for number := 2; lines.Scan(); number++ {
		var ln recorder.Line
		if err := json.Unmarshal(lines.Bytes(), &ln); err != nil {
			return rp, fault.New(fault.BadRequest, "trace line %d: %v", number, err)
		}
		rp.line(ln, ow, hm)
	}
	rp.Elapsed = now().Sub(began)
	if err := lines.Err(); err != nil {
		return rp, errors.Wrap(err, "read trace")
	}
	return rp, nil
}

func readHeader(lines *bufio.Scanner) (recorder.Header, error) {
	if !lines.Scan() {
		return recorder.Header{}, fault.New(fault.BadRequest, "the trace is empty")
	}
	var ln recorder.Line
	if err := json.Unmarshal(lines.Bytes(), &ln); err != nil || ln.Trace == nil {
		return recorder.Header{}, fault.New(fault.BadRequest, "trace line 1 is not a trace header")
	}
	if ln.Trace.Version != recorder.Version {
		return recorder.Header{}, fault.New(fault.BadRequest,
			"the trace is of version %d, this program reads %d", ln.Trace.Version, recorder.Version)
	}
	return *ln.Trace, nil
}

// line feeds one input to its machine.
func (rp *Report) line(ln recorder.Line, ow *owner.Machine, hm *home.Machine) {
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
