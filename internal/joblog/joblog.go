// Package joblog is the journal of a cell in the store: batches of accepted jobs and
// cancels, written by any node, and the records of the planner.
package joblog

import (
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"tackbeam.example/policy/work"
)

// Prefixes of the keys. Members is watched by every node, Batches by the planner.
const (
	Prefix  = "tackbeam/"
	Members = Prefix + "m/"
	Leader  = Members + "leader"
	// TermNumber holds the number of the latest reign, which outlasts the leader's key.
	TermNumber = Members + "reigns"
	// Backlog is where a planner that is behind says so.
	Backlog = Members + "backlog"
	Nodes   = Members + "n/"
	Batches = Prefix + "j/"
	Records = Prefix + "p/"
)

// Batch is what one node accepted in one write.
type Batch struct {
	Jobs    []work.Job `cbor:"1,keyasint,omitempty"`
	Cancels []string   `cbor:"2,keyasint,omitempty"`
	// Void marks a key that was taken so that a lost write can never take it.
	Void bool `cbor:"3,keyasint,omitempty"`
	// CreatedAt is the time of day, since 1970, at which the node began the batch: how old its jobs
	// are. Clocks may differ by seconds, so it only orders what waits.
	CreatedAt time.Duration `cbor:"4,keyasint,omitempty"`
	// Cancellers are the workspaces whose callers sent the cancels, by the jobs' ids; a cancel that is not
	// here may be of any job.
	Cancellers map[string]string `cbor:"5,keyasint,omitempty"`
}

// WrittenBatch is a batch that the store has, with its key and the revision of its write.
type WrittenBatch struct {
	Key      string `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint"`
	Batch    Batch  `cbor:"3,keyasint"`
}

// mostAge bounds what is believed of a batch's age: work that waited for longer goes first
// anyway, and fresh work of a node whose clock is hours behind must not stay ahead of all.
const mostAge = 5 * time.Minute

// Age is how long ago the batch was begun, at a time of day since 1970, and 0 where that is
// not known.
func (bt *Batch) Age(wall time.Duration) time.Duration {
	if bt.CreatedAt == 0 {
		return 0
	}
	return min(max(wall-bt.CreatedAt, 0), mostAge)
}

// BatchKey is the key of a node's nth batch in one incarnation of the node.
func BatchKey(node, incarnation string, n int) string {
	return Batches + node + "." + incarnation + "." + number(n)
}

// RecordKey is the key of the nth write of a planner's term.
func RecordKey(term uint64, n int) string {
	const digits = 16
	head := strconv.FormatUint(term, digits)
	return Records + strings.Repeat("0", digits-len(head)) + head + "." + number(n)
}

// number writes n so that keys sort by it.
func number(n int) string {
	const digits = 8
	text := strconv.Itoa(n)
	return strings.Repeat("0", max(digits-len(text), 0)) + text
}

// Election is the value of the leader's key.
type Election struct {
	Node string `cbor:"1,keyasint"`
	// PeerAddr is the address at which other nodes reach it.
	PeerAddr string `cbor:"2,keyasint"`
	// Number counts the planners of the cell, from 1.
	Number int `cbor:"3,keyasint"`
	// Nonce tells apart the incarnations of one node.
	Nonce string `cbor:"4,keyasint"`
}

// BacklogSize is the value of the backlog's key.
type BacklogSize struct {
	// Total is how long the planner needs to start what waits, Urgent for the urgent part of it.
	Total  time.Duration `cbor:"1,keyasint,omitempty"`
	Urgent time.Duration `cbor:"2,keyasint,omitempty"`
}

// Member is the value of a node's key.
type Member struct {
	Node     string `cbor:"1,keyasint"`
	PeerAddr string `cbor:"2,keyasint"`
	Hall     string `cbor:"3,keyasint"`
	// Processors is the node's share of a core, 0 where it is not known.
	Processors float64 `cbor:"4,keyasint,omitempty"`
	// Link is the bandwidth of the node's link in Mbit/s, 0 where it is not known.
	Link float64 `cbor:"5,keyasint,omitempty"`
}

// Encode returns a batch, records, a member or an election as a value of the store.
func Encode(value any) ([]byte, error) {
	raw, err := cbor.Marshal(value)
	return raw, errors.Wrapf(err, "encode %T", value)
}

// Decode reads what Encode wrote.
func Decode[T any](raw []byte) (T, error) {
	var value T
	err := cbor.Unmarshal(raw, &value)
	return value, errors.Wrapf(err, "decode %T", value)
}
