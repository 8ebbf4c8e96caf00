// Package agent is the interface to the agents on the workers, which start, stop and report runs.
package agent

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/incarnation"
)

// Target is one incarnation of a worker, with its address.
type Target struct {
	Address     string
	Incarnation incarnation.ID
}

// Hold renews the lease of a worker's runs and requests a report of them.
type Hold struct {
	Token uint64
	// Deadline is the time on the worker's clock until which runs may go on; 0 leaves it unchanged.
	Deadline time.Duration
	// Acked is the number of the last end that the worker need not report again.
	Acked int
	// Wait is how long the worker may wait for an end to report before it answers.
	Wait time.Duration
}

// Report is a worker's answer to a hold.
type Report struct {
	// Clock is the worker's monotonic clock when it answered.
	Clock time.Duration
	// StartedAt is the start time of the answering incarnation in milliseconds since 1970, 0 if unknown.
	StartedAt int64
	Runs      []cell.Run
	Ends      []cell.End
	// MoreEnds is set if further runs may have ended that Ends does not list. The worker reports them once some of Ends
	// have been acknowledged.
	MoreEnds bool
}

// StartAnswer is a worker's answer to a start.
type StartAnswer struct {
	// Refusal is why the worker did not start the run, empty if it has it.
	Refusal cell.Refusal
	// Clock is the worker's monotonic clock when it answered, 0 if unknown.
	Clock time.Duration
}

// Agents sends orders to workers. The adapter of a wire format sets the fields; tests may replace them to inject
// faults.
type Agents struct {
	// Hold returns one of the errors below, possibly wrapped.
	Hold func(ctx context.Context, to Target, hold Hold) (Report, error)
	// Start starts a run that may go on until the deadline on the worker's clock. A refusal is not an error.
	Start func(ctx context.Context, to Target, token uint64, deadline time.Duration, start cell.Start) (StartAnswer, error)
	// Stop ends a run, and prevents it from starting later.
	Stop func(ctx context.Context, to Target, token uint64, stop cell.Stop) error
	// Pace makes a run work at a percentage of its speed.
	Pace func(ctx context.Context, to Target, token uint64, pace cell.Pace) error
}

// Errors returned by the functions of Agents.
var (
	// ErrFenced means that the worker has seen a higher fencing token.
	ErrFenced = errors.New("the worker has seen a higher fencing token")
	// ErrOtherIncarnation means that another incarnation answers at the worker's address.
	ErrOtherIncarnation = errors.New("another incarnation of the worker answered")
	// ErrNoAnswer means that the order may have been carried out, or may still be.
	ErrNoAnswer = errors.New("the worker did not answer")
)
