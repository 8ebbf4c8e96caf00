// Package nodemsg contains the messages between nodes. They are encoded as CBOR, with one request and one response per
// QUIC stream.
package nodemsg

import (
	"time"

	"tackbeam.example/policy/ledger"
	"tackbeam.example/policy/owner"
	"tackbeam.example/policy/size"
	"tackbeam.example/tackbeam/internal/workermsg"
)

// Kind identifies the kind of a request.
type Kind uint8

// Kinds of request. The numbers are part of the protocol.
const (
	KindHeartbeat Kind = iota + 1
	KindRowPush
	KindRowsSince
	KindLookup
	KindSubmit
	KindJobGet
	KindJobList
	KindJobCancel
	KindHold
	KindCommit
	KindRelease
	KindOrder
	KindAck
	KindTaskEnded
	KindWorkers
	KindDrain
	KindFetchPartition
	KindNodeInfo
)

// Empty is a request or response without content.
type Empty struct{}

// Heartbeat is a node's heartbeat. The response is the heartbeat of the other node.
type Heartbeat struct {
	Node           string         `cbor:"1,keyasint"`
	Incarnation    string         `cbor:"2,keyasint"`
	MapEpoch       uint64         `cbor:"3,keyasint"`
	Digest         uint64         `cbor:"4,keyasint"`
	Summary        ledger.Summary `cbor:"5,keyasint"`
	Waiting        int            `cbor:"6,keyasint"`
	ReachableNodes []string       `cbor:"7,keyasint,omitempty"`
	StoreDown      bool           `cbor:"8,keyasint,omitempty"`
	Draining       bool           `cbor:"9,keyasint,omitempty"`
}

// Row is one row of the table as nodes push it, with the store's version.
type Row struct {
	Key     string `cbor:"1,keyasint"`
	Value   []byte `cbor:"2,keyasint,omitempty"`
	Version uint64 `cbor:"3,keyasint"`
	Deleted bool   `cbor:"4,keyasint,omitempty"`
}

// RowsSince requests the node's rows with versions above After.
type RowsSince struct {
	After uint64 `cbor:"1,keyasint"`
}

type Rows struct {
	Rows []Row `cbor:"1,keyasint"`
}

// RowState is the response to a push. It contains the version that is now active on the node.
type RowState struct {
	Version uint64 `cbor:"1,keyasint"`
}

// Lookup forwards a caller's lookup to the owner that is to serve it. Budget is the remaining time.
type Lookup struct {
	ID         uint64        `cbor:"1,keyasint"`
	Workspace  string        `cbor:"2,keyasint"`
	Workload   string        `cbor:"3,keyasint"`
	Weight     float64       `cbor:"4,keyasint"`
	Size       size.Size     `cbor:"5,keyasint"`
	Budget     time.Duration `cbor:"6,keyasint"`
	Repeatable bool          `cbor:"7,keyasint"`
	Body       []byte        `cbor:"8,keyasint"`
}

// Answer is the answer to a forwarded lookup. ID is the ID of the lookup.
type Answer struct {
	ID     uint64 `cbor:"1,keyasint"`
	Worker string `cbor:"2,keyasint"`
	Body   []byte `cbor:"3,keyasint"`
}

// Submit forwards a job to the home of its workspace. Budget is the remaining time until its deadline, because the
// clocks of nodes differ; zero means no deadline.
type Submit struct {
	Workspace  string        `cbor:"1,keyasint"`
	Workload   string        `cbor:"2,keyasint"`
	Key        string        `cbor:"3,keyasint"`
	BodyHash   uint64        `cbor:"4,keyasint"`
	Tasks      int           `cbor:"5,keyasint"`
	Size       size.Size     `cbor:"6,keyasint"`
	Priority   int           `cbor:"7,keyasint"`
	Budget     time.Duration `cbor:"8,keyasint"`
	Repeatable bool          `cbor:"9,keyasint"`
	Payload    []byte        `cbor:"10,keyasint,omitempty"`
	Class      string        `cbor:"11,keyasint"`
}

// JobQuery requests one job. Wait is how long to wait for its end.
type JobQuery struct {
	Job  string        `cbor:"1,keyasint"`
	Wait time.Duration `cbor:"2,keyasint"`
}

// JobFilter requests the jobs of a node, at most Limit, newest first.
type JobFilter struct {
	Workspace string `cbor:"1,keyasint"`
	Limit     int    `cbor:"2,keyasint"`
}

// JobView describes a job to callers.
type JobView struct {
	ID        string    `cbor:"1,keyasint" json:"id"`
	Workspace string    `cbor:"2,keyasint" json:"workspace"`
	Workload  string    `cbor:"3,keyasint" json:"workload"`
	Key       string    `cbor:"4,keyasint" json:"key,omitempty"`
	State     string    `cbor:"5,keyasint" json:"state"`
	Answer    string    `cbor:"6,keyasint" json:"answer,omitempty"`
	Result    string    `cbor:"7,keyasint" json:"result,omitempty"`
	Reason    string    `cbor:"8,keyasint" json:"reason,omitempty"`
	Tasks     []Task    `cbor:"9,keyasint" json:"tasks,omitempty"`
	Count     int       `cbor:"10,keyasint" json:"count"`
	Attempt   int       `cbor:"11,keyasint" json:"attempt"`
	Submitted time.Time `cbor:"12,keyasint" json:"submitted"`
	Placed    time.Time `cbor:"13,keyasint" json:"placed,omitzero"`
	Ended     time.Time `cbor:"14,keyasint" json:"ended,omitzero"`
	Home      string    `cbor:"15,keyasint" json:"home"`
	// Saved is the work that checkpoints have saved, in nanoseconds of run time.
	Saved time.Duration `cbor:"16,keyasint,omitempty" json:"saved,omitempty"`
}

// Task is one task of a job, and the worker that it ran on.
type Task struct {
	ID     string `cbor:"1,keyasint" json:"id"`
	Worker string `cbor:"2,keyasint" json:"worker"`
	State  string `cbor:"3,keyasint" json:"state"`
}

type Jobs struct {
	Jobs []JobView `cbor:"1,keyasint"`
}

// Hold asks an owner to hold resources for tasks of one size. Expires is counted from the time when the owner
// receives the request.
type Hold struct {
	ID      string        `cbor:"1,keyasint"`
	Tasks   []string      `cbor:"2,keyasint"`
	Size    size.Size     `cbor:"3,keyasint"`
	Expires time.Duration `cbor:"4,keyasint"`
	// The following fields have the same meaning as in the hold of package policy/owner.
	Priority    int   `cbor:"5,keyasint"`
	SubmittedAt int64 `cbor:"6,keyasint"`
	Reserve     bool  `cbor:"7,keyasint,omitempty"`
	Urgent      bool  `cbor:"8,keyasint,omitempty"`
	Repeatable  bool  `cbor:"9,keyasint,omitempty"`
	// Run is the expected run time of the tasks; zero if unknown.
	Run time.Duration `cbor:"10,keyasint,omitempty"`
}

// HoldReply lists the places granted to a hold.
type HoldReply struct {
	Places []Place `cbor:"1,keyasint,omitempty"`
}

// Place is a task, its worker, and the worker's rack, which determines the owner.
type Place struct {
	Task   string `cbor:"1,keyasint"`
	Worker string `cbor:"2,keyasint"`
	Rack   string `cbor:"3,keyasint"`
	// Incarnation is the worker's incarnation. Other incarnations never had the task.
	Incarnation string `cbor:"4,keyasint,omitempty"`
}

// Commit starts the tasks of a hold, or prepares them if all must start together.
type Commit struct {
	ID       string    `cbor:"1,keyasint"`
	Size     size.Size `cbor:"2,keyasint"`
	Prepared bool      `cbor:"3,keyasint"`
	Payload  []byte    `cbor:"4,keyasint,omitempty"`
	Places   []Place   `cbor:"5,keyasint"`
	// Priority and Repeatable are stored with the tasks.
	Priority   int  `cbor:"6,keyasint"`
	Repeatable bool `cbor:"7,keyasint,omitempty"`
	// Resume is the work that the checkpoints of an earlier attempt saved.
	Resume time.Duration `cbor:"8,keyasint,omitempty"`
}

// Release frees the resources of a hold.
type Release struct {
	ID string `cbor:"1,keyasint"`
}

// Verb is the kind of an order for placed tasks.
type Verb uint8

// Kinds of order. VerbFence queries the status of a task, and fences a task that never arrived.
const (
	VerbStartPrepared Verb = iota + 1
	VerbStop
	VerbFence
	VerbCheckpoint
)

// Order sends a verb for tasks of one owner.
type Order struct {
	Verb  Verb    `cbor:"1,keyasint"`
	Tasks []Place `cbor:"2,keyasint"`
}

// TaskStatus is the status of a task. If the worker did not answer, or only another owner knows the status, Known is
// false and State is empty.
type TaskStatus struct {
	Task    string          `cbor:"1,keyasint"`
	Known   bool            `cbor:"2,keyasint"`
	State   workermsg.State `cbor:"3,keyasint"`
	Started bool            `cbor:"4,keyasint"`
	Reason  string          `cbor:"5,keyasint,omitempty"`
	// Saved is the work done at the task's last checkpoint.
	Saved time.Duration `cbor:"6,keyasint,omitempty"`
}

// TaskStatuses is the response to a commit or an order, with one status per task.
type TaskStatuses struct {
	Statuses []TaskStatus `cbor:"1,keyasint"`
}

// Ack reports that the ends of tasks are in the journal, so that the tasks may be forgotten.
type Ack struct {
	Tasks []string `cbor:"1,keyasint"`
}

// TaskEnded reports the end of a task to a home.
type TaskEnded struct {
	Task    string          `cbor:"1,keyasint"`
	State   workermsg.State `cbor:"2,keyasint"`
	Started bool            `cbor:"3,keyasint"`
	Saved   time.Duration   `cbor:"4,keyasint,omitempty"`
}

// TaskEndedReply is the response to TaskEnded. Acked means that the task's end need not be reported again, because the
// journal has the job's end or there is no such job.
type TaskEndedReply struct {
	Acked bool `cbor:"1,keyasint"`
}

// WorkerView describes a worker to operators.
type WorkerView struct {
	Name     string    `cbor:"1,keyasint" json:"name"`
	Hall     string    `cbor:"2,keyasint" json:"hall"`
	Rack     string    `cbor:"3,keyasint" json:"rack"`
	Owner    string    `cbor:"4,keyasint" json:"owner"`
	State    string    `cbor:"5,keyasint" json:"state"`
	Capacity size.Size `cbor:"6,keyasint" json:"capacity"`
	Used     size.Size `cbor:"7,keyasint" json:"used"`
	Reported size.Size `cbor:"8,keyasint" json:"reported"`
	Slots    int       `cbor:"9,keyasint" json:"slots"`
	InUse    int       `cbor:"10,keyasint" json:"slots_in_use"`
	Tasks    int       `cbor:"11,keyasint" json:"tasks"`
}

type Workers struct {
	Workers []WorkerView `cbor:"1,keyasint"`
}

// Drain asks a node to drain itself, or one of its workers.
type Drain struct {
	Worker string `cbor:"1,keyasint,omitempty"`
}

// FetchPartition requests the records of a partition from its former home.
type FetchPartition struct {
	Partition int    `cbor:"1,keyasint"`
	Epoch     uint64 `cbor:"2,keyasint"`
	Journal   string `cbor:"3,keyasint"`
	// After is the key after which the page starts.
	After string `cbor:"4,keyasint,omitempty"`
}

// Records is a page of the journal records of one partition, sorted by key.
type Records struct {
	Records []Record `cbor:"1,keyasint"`
	More    bool     `cbor:"2,keyasint,omitempty"`
}

// Record is the latest state of one job, as stored in the journal.
type Record struct {
	Key     string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
	Value   []byte `cbor:"3,keyasint,omitempty"`
}

// NodeInfo describes a node to operators.
type NodeInfo struct {
	Name        string         `cbor:"1,keyasint" json:"name"`
	Incarnation string         `cbor:"2,keyasint" json:"incarnation"`
	Region      string         `cbor:"3,keyasint" json:"region"`
	Hall        string         `cbor:"4,keyasint" json:"hall"`
	State       string         `cbor:"5,keyasint" json:"state"`
	MapEpoch    uint64         `cbor:"6,keyasint" json:"map_epoch"`
	TableRev    uint64         `cbor:"7,keyasint" json:"table_version"`
	Stale       bool           `cbor:"8,keyasint" json:"stale"`
	StoreDown   bool           `cbor:"9,keyasint" json:"store_down"`
	Racks       int            `cbor:"10,keyasint" json:"racks"`
	Partitions  int            `cbor:"11,keyasint" json:"partitions"`
	Summary     ledger.Summary `cbor:"12,keyasint" json:"room"`
	WaitingJobs int            `cbor:"13,keyasint" json:"waiting_jobs"`
	Waiting     int            `cbor:"14,keyasint" json:"waiting_lookups"`
	Control     ControlUsage   `cbor:"15,keyasint" json:"control"`
	HTTP        string         `cbor:"16,keyasint" json:"http"`
}

// ControlUsage is the resource usage of a node's control plane since it started.
type ControlUsage struct {
	CPU             time.Duration `cbor:"1,keyasint" json:"cpu"`
	Resident        int64         `cbor:"2,keyasint" json:"resident_bytes"`
	PeerSent        uint64        `cbor:"3,keyasint" json:"peer_bytes_sent"`
	PeerReceived    uint64        `cbor:"4,keyasint" json:"peer_bytes_received"`
	WorkerSent      int64         `cbor:"5,keyasint" json:"worker_bytes_sent"`
	WorkerReceived  int64         `cbor:"6,keyasint" json:"worker_bytes_received"`
	StoreReads      int64         `cbor:"7,keyasint" json:"store_reads"`
	StoreWrites     int64         `cbor:"8,keyasint" json:"store_writes"`
	StoreFailed     int64         `cbor:"9,keyasint" json:"store_failed"`
	StoreBudgetUsed float64       `cbor:"10,keyasint" json:"store_budget_in_use"`
	Uptime          time.Duration `cbor:"11,keyasint" json:"up"`
}

// Places converts the places granted by an owner to places with racks and incarnations.
func Places(from []owner.Place, where func(worker string) (rack, incarnation string)) []Place {
	places := make([]Place, 0, len(from))
	for _, pl := range from {
		rack, incarnation := where(pl.Worker)
		places = append(places, Place{Task: pl.Task, Worker: pl.Worker, Rack: rack, Incarnation: incarnation})
	}
	return places
}

// TasksOf returns the ids of the tasks at the places.
func TasksOf(places []Place) []string {
	tasks := make([]string, 0, len(places))
	for _, pl := range places {
		tasks = append(tasks, pl.Task)
	}
	return tasks
}
