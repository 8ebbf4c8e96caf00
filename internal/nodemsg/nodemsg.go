// Package nodemsg holds the messages between nodes. They travel as CBOR, one
// request and one answer to a QUIC stream.
package nodemsg

import (
	"time"

	"tackbeam.example/policy/ledger"
	"tackbeam.example/policy/owner"
	"tackbeam.example/policy/size"
	"tackbeam.example/tackbeam/internal/workermsg"
)

// Kind tells the requests apart.
type Kind uint8

// The kinds of request. The numbers are part of the protocol.
const (
	KindBeat Kind = iota + 1
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
	KindHandPartition
	KindNodeInfo
)

// Empty is an answer or a request without content.
type Empty struct{}

// Beat is a node's heartbeat; the answer is the other node's.
type Beat struct {
	Node        string         `cbor:"1,keyasint"`
	Incarnation string         `cbor:"2,keyasint"`
	MapEpoch    uint64         `cbor:"3,keyasint"`
	Digest      uint64         `cbor:"4,keyasint"`
	Room        ledger.Summary `cbor:"5,keyasint"`
	Waiting     int            `cbor:"6,keyasint"`
	Hears       []string       `cbor:"7,keyasint,omitempty"`
	StoreDown   bool           `cbor:"8,keyasint,omitempty"`
	Draining    bool           `cbor:"9,keyasint,omitempty"`
}

// Row is one row of the table as nodes push it, with the store's version.
type Row struct {
	Key     string `cbor:"1,keyasint"`
	Value   []byte `cbor:"2,keyasint,omitempty"`
	Version uint64 `cbor:"3,keyasint"`
	Deleted bool   `cbor:"4,keyasint,omitempty"`
}

// RowsSince asks for the rows that a node has in versions above After.
type RowsSince struct {
	After uint64 `cbor:"1,keyasint"`
}

// Rows is a list of rows.
type Rows struct {
	Rows []Row `cbor:"1,keyasint"`
}

// RowState answers a push with the version that the node now has in force.
type RowState struct {
	Version uint64 `cbor:"1,keyasint"`
}

// Lookup forwards a caller's lookup to the owner that is to serve it. Budget is
// the time left.
type Lookup struct {
	ID        uint64        `cbor:"1,keyasint"`
	Workspace string        `cbor:"2,keyasint"`
	Workload  string        `cbor:"3,keyasint"`
	Weight    float64       `cbor:"4,keyasint"`
	Size      size.Size     `cbor:"5,keyasint"`
	Budget    time.Duration `cbor:"6,keyasint"`
	Repeat    bool          `cbor:"7,keyasint"`
	Body      []byte        `cbor:"8,keyasint"`
}

// Answer is the answer to a forwarded lookup. ID repeats the lookup's.
type Answer struct {
	ID     uint64 `cbor:"1,keyasint"`
	Worker string `cbor:"2,keyasint"`
	Body   []byte `cbor:"3,keyasint"`
}

// Submit forwards a job to the home of its workspace. Budget is the time left to
// its deadline, since clocks differ; zero is none.
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

// JobQuery asks for one job; Wait is how long to wait for its end.
type JobQuery struct {
	Job  string        `cbor:"1,keyasint"`
	Wait time.Duration `cbor:"2,keyasint"`
}

// JobFilter asks for the jobs of a node, at most Limit, newest first.
type JobFilter struct {
	Workspace string `cbor:"1,keyasint"`
	Limit     int    `cbor:"2,keyasint"`
}

// JobView is what callers see of a job.
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
	// Saved is the work that checkpoints have saved, in nanoseconds of running.
	Saved time.Duration `cbor:"16,keyasint,omitempty" json:"saved,omitempty"`
}

// Task is one task of a job, and where it ran.
type Task struct {
	ID     string `cbor:"1,keyasint" json:"id"`
	Worker string `cbor:"2,keyasint" json:"worker"`
	State  string `cbor:"3,keyasint" json:"state"`
}

// Jobs is a list of jobs.
type Jobs struct {
	Jobs []JobView `cbor:"1,keyasint"`
}

// Hold asks an owner for room for tasks of one size. Expires counts from the
// moment the owner reads it.
type Hold struct {
	ID      string        `cbor:"1,keyasint"`
	Tasks   []string      `cbor:"2,keyasint"`
	Size    size.Size     `cbor:"3,keyasint"`
	Expires time.Duration `cbor:"4,keyasint"`
	// What follows is as in the policy's hold.
	Priority   int   `cbor:"5,keyasint"`
	Age        int64 `cbor:"6,keyasint"`
	Reserve    bool  `cbor:"7,keyasint,omitempty"`
	Urgent     bool  `cbor:"8,keyasint,omitempty"`
	Repeatable bool  `cbor:"9,keyasint,omitempty"`
	// Run is how long the tasks are expected to run; zero is not known.
	Run time.Duration `cbor:"10,keyasint,omitempty"`
}

// Held lists the places that a hold got.
type Held struct {
	Places []Place `cbor:"1,keyasint,omitempty"`
}

// Place is a task, its worker, and the worker's rack, by which an owner is found.
type Place struct {
	Task   string `cbor:"1,keyasint"`
	Worker string `cbor:"2,keyasint"`
	Rack   string `cbor:"3,keyasint"`
	// Machine is the worker's incarnation; another one never had the task.
	Machine string `cbor:"4,keyasint,omitempty"`
}

// Commit starts the tasks of a hold, or prepares them where all must start together.
type Commit struct {
	ID       string    `cbor:"1,keyasint"`
	Size     size.Size `cbor:"2,keyasint"`
	Prepared bool      `cbor:"3,keyasint"`
	Payload  []byte    `cbor:"4,keyasint,omitempty"`
	Places   []Place   `cbor:"5,keyasint"`
	// Priority and Repeatable are kept with the tasks.
	Priority   int  `cbor:"6,keyasint"`
	Repeatable bool `cbor:"7,keyasint,omitempty"`
	// Resume is the work that the checkpoints of a former attempt saved.
	Resume time.Duration `cbor:"8,keyasint,omitempty"`
}

// Release gives the room of a hold back.
type Release struct {
	ID string `cbor:"1,keyasint"`
}

// Verb is an order about tasks that have been placed.
type Verb uint8

// The verbs. Fate asks how far a task has come and fences one that never arrived.
const (
	VerbGo Verb = iota + 1
	VerbStop
	VerbFate
	VerbCheckpoint
)

// Order carries a verb for tasks of one owner.
type Order struct {
	Verb  Verb    `cbor:"1,keyasint"`
	Tasks []Place `cbor:"2,keyasint"`
}

// Fate is how far a task has come. Known is false where the worker did not
// answer; then State is what is known otherwise, or empty.
type Fate struct {
	Task  string          `cbor:"1,keyasint"`
	Known bool            `cbor:"2,keyasint"`
	State workermsg.State `cbor:"3,keyasint"`
	Begun bool            `cbor:"4,keyasint"`
	Why   string          `cbor:"5,keyasint,omitempty"`
	// Saved is the work done at the task's last checkpoint.
	Saved time.Duration `cbor:"6,keyasint,omitempty"`
}

// Fates answers a commit or an order, a fate for each task.
type Fates struct {
	Fates []Fate `cbor:"1,keyasint"`
}

// Ack says that the ends of tasks are kept, so that they may be forgotten.
type Ack struct {
	Tasks []string `cbor:"1,keyasint"`
}

// TaskEnded tells a home that a task has ended.
type TaskEnded struct {
	Task  string          `cbor:"1,keyasint"`
	State workermsg.State `cbor:"2,keyasint"`
	Begun bool            `cbor:"3,keyasint"`
	Saved time.Duration   `cbor:"4,keyasint,omitempty"`
}

// Noted answers TaskEnded. Settled means that the end is kept for good.
type Noted struct {
	Settled bool `cbor:"1,keyasint"`
}

// WorkerView is what operators see of a worker.
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

// Workers is a list of workers.
type Workers struct {
	Workers []WorkerView `cbor:"1,keyasint"`
}

// Drain asks a node to drain itself, or one of its workers.
type Drain struct {
	Worker string `cbor:"1,keyasint,omitempty"`
}

// HandPartition asks the former home for the records of a partition.
type HandPartition struct {
	Partition int    `cbor:"1,keyasint"`
	Epoch     uint64 `cbor:"2,keyasint"`
	Log       string `cbor:"3,keyasint"`
	// After is the key that the page begins after.
	After string `cbor:"4,keyasint,omitempty"`
}

// Records are a page of the journal records of one partition, by key.
type Records struct {
	Records []Record `cbor:"1,keyasint"`
	More    bool     `cbor:"2,keyasint,omitempty"`
}

// Record is the latest state of one job, as the journal keeps it.
type Record struct {
	Key     string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
	Value   []byte `cbor:"3,keyasint,omitempty"`
}

// NodeInfo is what operators see of a node.
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
	Room        ledger.Summary `cbor:"12,keyasint" json:"room"`
	WaitingJobs int            `cbor:"13,keyasint" json:"waiting_jobs"`
	Waiting     int            `cbor:"14,keyasint" json:"waiting_lookups"`
	Control     Control        `cbor:"15,keyasint" json:"control"`
	HTTP        string         `cbor:"16,keyasint" json:"http"`
}

// Control is what a node has spent on control since it started.
type Control struct {
	CPU         time.Duration `cbor:"1,keyasint" json:"cpu"`
	Resident    int64         `cbor:"2,keyasint" json:"resident_bytes"`
	PeerSent    uint64        `cbor:"3,keyasint" json:"peer_bytes_sent"`
	PeerRead    uint64        `cbor:"4,keyasint" json:"peer_bytes_received"`
	WorkerSent  int64         `cbor:"5,keyasint" json:"worker_bytes_sent"`
	WorkerRead  int64         `cbor:"6,keyasint" json:"worker_bytes_received"`
	StoreReads  int64         `cbor:"7,keyasint" json:"store_reads"`
	StoreWrites int64         `cbor:"8,keyasint" json:"store_writes"`
	StoreFailed int64         `cbor:"9,keyasint" json:"store_failed"`
	StoreSpent  float64       `cbor:"10,keyasint" json:"store_budget_in_use"`
	Up          time.Duration `cbor:"11,keyasint" json:"up"`
}

// Places turns the decisions of an owner into places with racks and machines.
func Places(from []owner.Place, where func(worker string) (rack, machine string)) []Place {
	places := make([]Place, 0, len(from))
	for _, pl := range from {
		rack, machine := where(pl.Worker)
		places = append(places, Place{Task: pl.Task, Worker: pl.Worker, Rack: rack, Machine: machine})
	}
	return places
}

// TasksOf returns the ids of the tasks at some places.
func TasksOf(places []Place) []string {
	tasks := make([]string, 0, len(places))
	for _, pl := range places {
		tasks = append(tasks, pl.Task)
	}
	return tasks
}
