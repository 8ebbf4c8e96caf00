// Package agent is the interface to the workers' agents, which start, stop and
// report runs.
package agent

import (
	"context"
	"tackbeam.example/policy/incarnation"
	"time"

	"github.com/pkg/errors"

	"tackbeam.example/policy/cell"
)

// Target is one life of a worker.
type Target struct {
	Address     string
	Incarnation incarnation.ID
}

// Hold renews the lease of what runs on a worker and asks what runs there.
type Hold struct {
	Token uint64
	// Deadline on the worker's clock up to which runs may go on; 0 leaves it as it is.
	Deadline time.Duration
	// Acked is the last end that need not be reported any more.
	Acked int
	// Wait is how long the worker may wait for an end to report.
	Wait time.Duration
}

// Report is a worker's answer to a hold.
type Report struct {
	// Clock is the worker's steady clock when it answered.
	Clock time.Duration
	// StartedAt is when the life that answers began, in milliseconds since 1970; 0 where it does not say.
	StartedAt int64
	Runs      []cell.Run
	Ends      []cell.End
}

// Agents carries orders to workers. The fields are seams: an adapter sets them for
// a wire format, a test for a fault.
type Agents struct {
	// Hold returns an error of one of the kinds below.
	Hold func(ctx context.Context, to Target, hold Hold) (Report, error)
	// Start orders a run that may go on up to the deadline on the worker's clock. A
	// refusal is no error.
	Start func(ctx context.Context, to Target, token uint64, deadline time.Duration, start cell.Start) (cell.Refusal, error)
	// Stop ends a run and keeps it from starting later.
	Stop func(ctx context.Context, to Target, token uint64, stop cell.Stop) error
	// Pace lets a run work at a percentage of its speed.
	Pace func(ctx context.Context, to Target, token uint64, pace cell.Pace) error
}

// The kinds of errors.
var (
	// ErrFenced means that the worker has seen a higher fencing token.
	ErrFenced = errors.New("the worker follows a later planner")
	// ErrOtherIncarnation means that another incarnation answers at the worker's address.
	ErrOtherIncarnation = errors.New("the worker's incarnation is over")
	// ErrNoAnswer means that the order may have been carried out, or may be yet.
	ErrNoAnswer = errors.New("the worker did not answer")
)
