// Package peerlink carries calls between the nodes of a deployment, such as requests to the planner and the planner's
// requests for advice. Calls are HTTP requests with CBOR bodies.
package peerlink

import (
	"context"
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/memquota"
	"tackbeam.example/policy/work"

	"tackbeam.example/tackbeam/internal/accept"
	"tackbeam.example/tackbeam/internal/connlimit"
	"tackbeam.example/tackbeam/internal/evacuation"
	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/feed"
	"tackbeam.example/tackbeam/internal/httpcall"
	"tackbeam.example/tackbeam/internal/joblog"
	"tackbeam.example/tackbeam/internal/kv"
	"tackbeam.example/tackbeam/internal/leases"
	"tackbeam.example/tackbeam/internal/routes"
)

// Request is a call to another node. Exactly one field is set, apart from Relayed, Caller, Version, From, Host and Prefix.
type Request struct {
	// State requests the phase of a job.
	State string `cbor:"1,keyasint,omitempty"`
	// Pending requests the number of a queue's jobs that have not started.
	Pending string `cbor:"2,keyasint,omitempty"`
	// Advise asks the node to send a request to the advisor.
	Advise *cell.AdviceRequest `cbor:"3,keyasint,omitempty"`
	// Submit is a job to accept, Cancel the ID of a job to cancel.
	Submit *work.Job `cbor:"4,keyasint,omitempty"`
	Cancel string    `cbor:"5,keyasint,omitempty"`
	// Relayed makes the node answer as if one of its own callers had sent the request.
	Relayed bool `cbor:"6,keyasint,omitempty"`
	// Batch notifies the planner of a batch in the journal.
	Batch *joblog.WrittenBatch `cbor:"7,keyasint,omitempty"`
	// Config requests the configuration.
	Config *feed.Request `cbor:"8,keyasint,omitempty"`
	// Caller is the caller that sent State, Pending, Submit or Cancel.
	Caller routes.Caller `cbor:"9,keyasint,omitzero"`
	// Leases asks about leases of workers that the node renewed.
	Leases *leases.Request `cbor:"10,keyasint,omitempty"`
	// Evacuations requests the evacuated data halls.
	Evacuations bool `cbor:"11,keyasint,omitempty"`
	// Commit is a write of the journal that the node is asked to send to the store.
	Commit *kv.Txn `cbor:"12,keyasint,omitempty"`
	// Grace asks the node to permit the planner of the term with this token to renew the leases of workers although the store
	// has not confirmed its own.
	Grace uint64 `cbor:"13,keyasint,omitempty"`
	// PermissionsLeft asks, on behalf of the term with this token, for how much longer earlier planners can use such
	// permissions of the node.
	PermissionsLeft uint64 `cbor:"14,keyasint,omitempty"`
	// Version is that of the sender's configuration. From is the sender's address, if the request may make the receiver act
	// by that version.
	Version uint64 `cbor:"15,keyasint,omitempty"`
	From    string `cbor:"16,keyasint,omitempty"`
	// Host and Prefix are those of the route of a relayed request in the sender's configuration.
	Host   string `cbor:"17,keyasint,omitempty"`
	Prefix string `cbor:"18,keyasint,omitempty"`
	// Claim asks the planner to reserve memory for a job.
	Claim *memquota.Claim `cbor:"19,keyasint,omitempty"`
}

// Queue returns the queue whose settings or jobs the request is about; empty if it depends on none.
func (rq *Request) Queue() string {
	if rq.Submit != nil {
		return rq.Submit.Queue.Name
	}
	return rq.Pending
}

// writes reports whether the request may change something.
func (rq *Request) writes() bool { return rq.Submit != nil || rq.Cancel != "" || rq.Commit != nil }

// Reply is the answer to a request.
type Reply struct {
	Phase   cell.Phase    `cbor:"1,keyasint,omitempty"`
	Pending int           `cbor:"2,keyasint,omitempty"`
	Tickets []cell.Ticket `cbor:"3,keyasint,omitempty"`
	// ValidFor is how long the tickets are valid, counted from the response.
	ValidFor time.Duration `cbor:"4,keyasint,omitempty"`
	Fault    *fault.Error  `cbor:"5,keyasint,omitempty"`
	// Config holds changes of the configuration.
	Config *feed.Response `cbor:"6,keyasint,omitempty"`
	// Leases tells when leases of workers have expired.
	Leases *leases.Report `cbor:"7,keyasint,omitempty"`
	// Evacuations are the evacuated data halls.
	Evacuations []evacuation.Status `cbor:"8,keyasint,omitempty"`
	// Committed is the outcome of a write.
	Committed *Committed `cbor:"9,keyasint,omitempty"`
	// PermissionsLeft is for how much longer earlier planners can use permissions of the node.
	PermissionsLeft *time.Duration `cbor:"10,keyasint,omitempty"`
	// Version is that of the responder's configuration.
	Version uint64 `cbor:"11,keyasint,omitempty"`
	// Applied is set if the planner knows of the jobs of a batch. Full are the classes of these of which no more may be
	// accepted.
	Applied bool             `cbor:"12,keyasint,omitempty"`
	Full    []memquota.Class `cbor:"13,keyasint,omitempty"`
}

// Committed is the outcome of a write of the journal: its revision, or the items of the keys in its conditions if one of them
// does not hold.
type Committed struct {
	Revision uint64    `cbor:"1,keyasint,omitempty"`
	Conflict bool      `cbor:"2,keyasint,omitempty"`
	Items    []kv.Item `cbor:"3,keyasint,omitempty"`
}

// writeWait is how long a write to a slow store takes.
const writeWait = 250 * time.Millisecond

// serverWait returns how long another node may take before the call can be overdue. A request to the advisor may be
// queued there until the caller's deadline.
func (rq *Request) serverWait(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	switch {
	case rq.Advise != nil && ok:
		return time.Until(deadline)
	case rq.writes():
		return writeWait
	case rq.Config != nil:
		return rq.Config.MaxWait
	}
	return 0
}

// noAnswerKind returns the kind of error for a call without an answer: Timeout if it may have been carried out.
func (rq *Request) noAnswerKind(err error) fault.Kind {
	if rq.writes() && !errors.Is(err, httpcall.ErrNotSent) {
		return fault.Timeout
	}
	return fault.Unavailable
}

// path is the URL path of all calls.
const path = "/peer"

// Link makes and serves calls between this node and the others.
type Link struct {
	log    logr.Logger
	limit  *connlimit.Limit
	calls  *httpcall.Caller
	handle func(ctx context.Context, rq Request) (Reply, error)
	server *fasthttp.Server
	// version returns the version of this node's configuration. learn is called with those of other nodes before what they
	// have sent is acted on, and with the address of the node, or an empty string.
	version func() uint64
	learn   func(version uint64, address string)
}

// maxConns is the maximum number of connections to one node. All others call the planner, and the planner calls each
// node for advice, with up to 32 requests queued there.
const maxConns = 48

// callTimeout bounds the handling of a request. The longest request to the advisor takes 2 s.
const callTimeout = 4 * time.Second

// New returns a link that serves requests with handle.
func New(log logr.Logger, handle func(ctx context.Context, rq Request) (Reply, error)) *Link {
	li := &Link{
		log: log.WithName("peers"), calls: httpcall.New(maxConns), handle: handle,
		version: func() uint64 { return 0 }, learn: func(uint64, string) {},
	}
	li.server = &fasthttp.Server{
		Handler: li.serve, NoDefaultServerHeader: true, NoDefaultDate: true,
		Logger: httpcall.LibraryLogger(li.log), IdleTimeout: httpcall.ServerIdleTimeout,
	}
	return li
}

// WithLimit makes connections to other nodes subject to limit and counts connections from them against it. It must be
// called before the link serves or calls, and returns the link.
func (li *Link) WithLimit(limit *connlimit.Limit) *Link {
	li.limit = limit
	li.calls.WithLimit(limit)
	return li
}

// WithConfig makes all messages carry the version of the node's configuration, and passes on the versions that other nodes have.
// It must be called before the link serves or calls, and returns the link.
func (li *Link) WithConfig(version func() uint64, learn func(version uint64, address string)) *Link {
	li.version, li.learn = version, learn
	return li
}

// Serve serves requests of other nodes at an address until Close.
func (li *Link) Serve(address string) error {
	ln, err := accept.Listen(li.log, "tcp4", address)
	if err != nil {
		return errors.Wrap(err, "listen for other nodes")
	}
	go li.serveOn(ln.CountAgainst(li.limit))
	return nil
}

// serveOn serves requests of other nodes on a listener until it is closed.
func (li *Link) serveOn(ln net.Listener) {
	if err := li.server.Serve(ln); err != nil {
		li.log.Error(err, "Server for other nodes has stopped.")
	}
}

func (li *Link) Close() error { return errors.Wrap(li.server.Shutdown(), "close link") }

func (li *Link) serve(rc *fasthttp.RequestCtx) {
	var rq Request
	if err := cbor.Unmarshal(rc.PostBody(), &rq); err != nil {
		rc.Error("cannot decode request", fasthttp.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	li.learn(rq.Version, rq.From)
	reply, err := li.handle(ctx, rq)
	reply.Fault, reply.Version = fault.From(err), li.version()
	raw, err := cbor.Marshal(reply)
	if err != nil {
		li.log.Error(err, "Reply to another node could not be encoded.")
		rc.Error("cannot encode reply", fasthttp.StatusInternalServerError)
		return
	}
	rc.SetBody(raw)
}

// Call sends a request to another node.
func (li *Link) Call(ctx context.Context, address string, rq Request) (Reply, error) {
	rq.Version = li.version()
	raw, err := cbor.Marshal(rq)
	if err != nil {
		return Reply{}, errors.Wrap(err, "encode request")
	}
	res, err := li.calls.Do(ctx, httpcall.Request{
		Method: fasthttp.MethodPost, Address: address, Path: path, Body: raw, LongPoll: true, ServerWait: rq.serverWait(ctx),
		// Submitting or canceling a job twice has the same effect as once, because of its ID. A second request for
		// advice would cost the advisor's time, one for the configuration the bandwidth of the link.
		Idempotent: rq.Advise == nil && rq.Config == nil,
		Streamed:   rq.Config != nil,
	})
	if err != nil {
		return Reply{}, fault.New(rq.noAnswerKind(err), "node %s did not answer: %v", address, err)
	}
	var reply Reply
	if err := cbor.Unmarshal(res.Body, &reply); err != nil {
		return Reply{}, fault.New(rq.noAnswerKind(err), "node %s answered %d: %v", address, res.Status, err)
	}
	li.learn(reply.Version, "")
	switch {
	case reply.Fault != nil && res.UnansweredAttempt && rq.writes():
		return Reply{}, fault.New(fault.Timeout, "node %s may have carried out an earlier attempt: %v", address, reply.Fault)
	case reply.Fault != nil:
		return Reply{}, reply.Fault
	}
	return reply, nil
}
