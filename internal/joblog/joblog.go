// Package joblog defines the journal of a cell in the store: batches of accepted jobs and cancellations, which any node
// writes, and the records of the planner.
package joblog

import (
	"cmp"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"tackbeam.example/policy/fairshare"
	"tackbeam.example/policy/work"
)

// Keys and key prefixes. Every node watches Members, the planner watches Batches.
const (
	Prefix  = "tackbeam/"
	Members = Prefix + "m/"
	Leader  = Members + "leader"
	// TermNumber holds the number of the latest term. It remains when the leader's key is gone.
	TermNumber = Members + "reigns"
	// Backlog holds the backlog of a planner that is behind.
	Backlog = Members + "backlog"
	Nodes   = Members + "n/"
	Batches = Prefix + "j/"
	Records = Prefix + "p/"
	// Grace holds the nodes whose permission a planner needs, see GraceRecord. Only a new planner reads it.
	Grace = Prefix + "grace"
)

// Batch is what one node accepted in one write.
type Batch struct {
	Jobs    []work.Job `cbor:"1,keyasint,omitempty"`
	Cancels []string   `cbor:"2,keyasint,omitempty"`
	// Void marks a key that was written to prevent a lost write from taking effect later.
	Void bool `cbor:"3,keyasint,omitempty"`
	// CreatedAt is the wall-clock time since 1970 at which the node began the batch, which tells the age of its jobs.
	// The clocks of nodes may differ by seconds, so it is only used to order waiting work.
	CreatedAt time.Duration `cbor:"4,keyasint,omitempty"`
	// Cancellers maps the id of a job to the workspace whose caller cancelled it. A cancellation without an entry may
	// be of a job of any workspace.
	Cancellers map[string]string `cbor:"5,keyasint,omitempty"`
}

// WrittenBatch is a batch in the store, with its key and the revision of its write.
type WrittenBatch struct {
	Key      string `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint"`
	Batch    Batch  `cbor:"3,keyasint"`
}

// maxAge limits the age of a batch. Work that has waited for longer comes first anyway, and new work of a node whose
// clock is hours behind must not stay ahead of everything else.
const maxAge = 5 * time.Minute

// Age returns how long ago the batch was begun, given the wall-clock time since 1970. It is 0 if the time is unknown.
func (bt *Batch) Age(wall time.Duration) time.Duration {
	if bt.CreatedAt == 0 {
		return 0
	}
	return min(max(wall-bt.CreatedAt, 0), maxAge)
}

// BatchKey returns the key of the nth batch of one incarnation of a node.
func BatchKey(node, incarnation string, n int) string {
	return Batches + node + "." + incarnation + "." + number(n)
}

// RecordKey returns the key of the nth write in a planner's term.
func RecordKey(term uint64, n int) string {
	const digits = 16
	head := strconv.FormatUint(term, digits)
	return Records + strings.Repeat("0", digits-len(head)) + head + "." + number(n)
}

// number formats n so that keys sort by it.
func number(n int) string {
	const digits = 8
	text := strconv.Itoa(n)
	return strings.Repeat("0", max(digits-len(text), 0)) + text
}

// Election is the value of the leader's key.
type Election struct {
	Node string `cbor:"1,keyasint"`
	// PeerAddr is the address at which other nodes reach the leader.
	PeerAddr string `cbor:"2,keyasint"`
	// Number counts the terms of the cell, from 1.
	Number int `cbor:"3,keyasint"`
	// Nonce distinguishes the leases of one node, also across restarts.
	Nonce string `cbor:"4,keyasint"`
	// Previous is the token of the term before, 0 if this is the first.
	Previous uint64 `cbor:"5,keyasint,omitempty"`
	// Grace is set if the leader renews leases of workers beyond its own lease only with the permission of all nodes. Earlier
	// versions do so without.
	Grace bool `cbor:"6,keyasint,omitempty"`
	// Recorded is set if the leader writes a GraceRecord before it uses any permission.
	Recorded bool `cbor:"7,keyasint,omitempty"`
}

// GraceRecord names the nodes that must all permit a planner to renew leases of workers beyond its own lease. A planner that
// has written no record in its term renews none beyond that.
type GraceRecord struct {
	// Term is the token of the planner's term.
	Term uint64 `cbor:"1,keyasint"`
	// Nodes are the nodes, the planner's own included, in the order of their names.
	Nodes []NodeID `cbor:"2,keyasint,omitempty"`
}

// NodeID distinguishes the processes of nodes that may run at the same time: two of them never listen on one address.
type NodeID struct {
	_        struct{} `cbor:",toarray"`
	Node     string
	PeerAddr string
}

// BacklogSize is the value of the backlog's key.
type BacklogSize struct {
	// Total is the time that the planner needs to start all waiting work, Urgent that for its urgent part.
	Total  time.Duration `cbor:"1,keyasint,omitempty"`
	Urgent time.Duration `cbor:"2,keyasint,omitempty"`
	// Term is the token of the planner's term, 0 from a planner that does not admit jobs by capacity.
	Term uint64 `cbor:"3,keyasint,omitempty"`
	// StartRate is how many starts per second the planner sustains, 0 if unknown.
	StartRate int `cbor:"4,keyasint,omitempty"`
	// Shares names the workspaces of whose urgent work less than all is admitted, lowest share first, at most MaxShares.
	Shares []AdmittedShare `cbor:"5,keyasint,omitempty"`
}

// MaxShares is the maximum number of shares in a BacklogSize, which each node receives up to twice per second.
const MaxShares = fairshare.MaxShares

// AdmittedShare is the share of a workspace's urgent work for a service that nodes admit.
type AdmittedShare struct {
	Service   string `cbor:"1,keyasint"`
	Workspace string `cbor:"2,keyasint,omitempty"`
	// Admitted is between 0 and 1.
	Admitted float64 `cbor:"3,keyasint"`
	// Wait is the expected wait of admitted work, Drain the time until the present excess has been started.
	Wait  time.Duration `cbor:"4,keyasint,omitempty"`
	Drain time.Duration `cbor:"5,keyasint,omitempty"`
}

// Member is the value of a node's key.
type Member struct {
	Node     string `cbor:"1,keyasint"`
	PeerAddr string `cbor:"2,keyasint"`
	Hall     string `cbor:"3,keyasint"`
	// Processors is what the node may use of its VM's processors, in cores, 0 if unknown.
	Processors float64 `cbor:"4,keyasint,omitempty"`
	// Link is the bandwidth of the node's link in Mbit/s, 0 if unknown.
	Link float64 `cbor:"5,keyasint,omitempty"`
}

// ID returns the member's identity.
func (mb *Member) ID() NodeID { return NodeID{Node: mb.Node, PeerAddr: mb.PeerAddr} }

// Compare orders identities.
func (id NodeID) Compare(other NodeID) int {
	return cmp.Or(cmp.Compare(id.Node, other.Node), cmp.Compare(id.PeerAddr, other.PeerAddr))
}

// Encode encodes a value of the store: a batch, records, a member, an election or a backlog. It returns an error if Decode
// cannot read the result, for example because of text that is not valid UTF-8 or of a list that is too long: readers
// skip a value that they cannot decode, and with it everything else in it.
func Encode[T any](value T) ([]byte, error) {
	raw, err := cbor.Marshal(value)
	if err != nil {
		return nil, errors.Wrapf(err, "encode %T", value)
	}
	if _, err := Decode[T](raw); err != nil {
		return nil, errors.Wrap(err, "verify an encoded value")
	}
	return raw, nil
}

// Decode decodes a value that Encode returned.
func Decode[T any](raw []byte) (T, error) {
	var value T
	err := cbor.Unmarshal(raw, &value)
	return value, errors.Wrapf(err, "decode %T", value)
}
