// Package leases defines what a node tells the present planner about the leases of workers that an earlier planner
// renewed, and about their runs.
package leases

import (
	"time"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/incarnation"
)

// Request asks about the leases that were renewed in a term, on behalf of a later one.
type Request struct {
	// Term and Later are the fencing tokens of the two terms.
	Term  uint64 `cbor:"1,keyasint"`
	Later uint64 `cbor:"2,keyasint"`
}

// Report is the answer to a Request. All times count from the answer.
type Report struct {
	// Node is the node that answers.
	Node string `cbor:"1,keyasint"`
	// Led is set if the node's process led the term, which has ended.
	Led bool `cbor:"2,keyasint,omitempty"`
	// Uptime is how long the process has been running.
	Uptime time.Duration `cbor:"3,keyasint,omitempty"`
	// Unreachable has the workers that did not answer when the term ended, with the time until their leases have surely
	// expired. It may be negative.
	Unreachable map[incarnation.ID]time.Duration `cbor:"4,keyasint,omitempty"`
	// AllExpired is the time until the leases of all workers have surely expired.
	AllExpired time.Duration `cbor:"5,keyasint,omitempty"`
	// Held has the workers of which the node knew all runs when the term ended, with those runs. No order to them is under
	// way but for starts of these runs.
	Held map[incarnation.ID][]cell.Run `cbor:"6,keyasint,omitempty"`
}
