// Package peerlink carries calls between the nodes of a deployment: questions for
// the planner, and the planner's requests for help. Calls are HTTP with CBOR bodies.
package peerlink

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"tackbeam.example/policy/cell"
	"tackbeam.example/policy/work"

	"tackbeam.example/tackbeam/internal/accept"
	"tackbeam.example/tackbeam/internal/connlimit"
	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/feed"
	"tackbeam.example/tackbeam/internal/httpcall"
	"tackbeam.example/tackbeam/internal/joblog"
	"tackbeam.example/tackbeam/internal/routes"
)

// Request is a call to another node; one field is set, beside Relayed.
type Request struct {
	// State asks for the phase of a job.
	State string `cbor:"1,keyasint,omitempty"`
	// Pending asks for the number of a queue's jobs that have not begun.
	Pending string `cbor:"2,keyasint,omitempty"`
	// Advise asks the node to put a question to the advisor.
	Advise *cell.AdviceRequest `cbor:"3,keyasint,omitempty"`
	// Submit is a job to accept, Cancel the id of a job to cancel.
	Submit *work.Job `cbor:"4,keyasint,omitempty"`
	Cancel string    `cbor:"5,keyasint,omitempty"`
	// Relayed has the node answer as it would answer a caller of its own.
	Relayed bool `cbor:"6,keyasint,omitempty"`
	// Batch tells the planner of a batch that the journal has.
	Batch *joblog.WrittenBatch `cbor:"7,keyasint,omitempty"`
	// Config asks for the configuration.
	Config *feed.Request `cbor:"8,keyasint,omitempty"`
	// Caller is whose call State, Pending, Submit or Cancel is.
	Caller routes.Caller `cbor:"9,keyasint,omitzero"`
}

// writes reports whether a request that gets no answer may have changed something.
func (rq *Request) writes() bool { return rq.Submit != nil || rq.Cancel != "" }

// Reply is the answer to a request.
type Reply struct {
	Phase   cell.Phase    `cbor:"1,keyasint,omitempty"`
	Pending int           `cbor:"2,keyasint,omitempty"`
	Tickets []cell.Ticket `cbor:"3,keyasint,omitempty"`
	// ValidFor is how long the tickets are good from the answer on.
	ValidFor time.Duration `cbor:"4,keyasint,omitempty"`
	Fault    *fault.Error  `cbor:"5,keyasint,omitempty"`
	// Config is what the node knows of the configuration.
	Config *feed.Response `cbor:"6,keyasint,omitempty"`
}

// writeWait is what a slow store takes for a write.
const writeWait = 250 * time.Millisecond

// waits is how long another node may lawfully work on a request. A question to the advisor
// may queue there until its caller gives it up.
func (rq *Request) waits(ctx context.Context) time.Duration {
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

// unanswered is the kind of a call's error without an answer: Timeout where it may have
// been carried out.
func (rq *Request) unanswered(err error) fault.Kind {
	if rq.writes() && !errors.Is(err, httpcall.ErrNotSent) {
		return fault.Timeout
	}
	return fault.Unavailable
}

// path of all calls.
const path = "/peer"

// Link is a node's end of the links to the others.
type Link struct {
	log    logr.Logger
	limit  *connlimit.Limit
	calls  *httpcall.Caller
	handle func(ctx context.Context, rq Request) (Reply, error)
	server *fasthttp.Server
}

// maxConns is the most connections to one node: the planner is asked by all others, and
// asks each for advice, of which a node may have 32 questions waiting.
const maxConns = 48

// callTimeout bounds a handler's work; the longest question to the advisor takes 2 s.
const callTimeout = 4 * time.Second

// New returns a link that answers with handle.
func New(log logr.Logger, handle func(ctx context.Context, rq Request) (Reply, error)) *Link {
	li := &Link{log: log.WithName("peers"), calls: httpcall.New(maxConns), handle: handle}
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

// Serve answers other nodes at an address until Close.
func (li *Link) Serve(address string) error {
	ln, err := accept.Listen(li.log, "tcp4", address)
	if err != nil {
		return errors.Wrap(err, "listen for other nodes")
	}
	go func() {
		if err := li.server.Serve(ln.CountAgainst(li.limit)); err != nil {
			li.log.Error(err, "Link to other nodes has ended.")
		}
	}()
	return nil
}

// Close ends the serving.
func (li *Link) Close() error { return errors.Wrap(li.server.Shutdown(), "close link") }

func (li *Link) serve(rc *fasthttp.RequestCtx) {
	var rq Request
	if err := cbor.Unmarshal(rc.PostBody(), &rq); err != nil {
		rc.Error("request cannot be read", fasthttp.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	reply, err := li.handle(ctx, rq)
	reply.Fault = fault.From(err)
	raw, err := cbor.Marshal(reply)
	if err != nil {
		li.log.Error(err, "Reply to another node cannot be written.")
		rc.Error("reply cannot be written", fasthttp.StatusInternalServerError)
		return
	}
	rc.SetBody(raw)
}

// Call asks another node.
func (li *Link) Call(ctx context.Context, address string, rq Request) (Reply, error) {
	raw, err := cbor.Marshal(rq)
	if err != nil {
		return Reply{}, errors.Wrap(err, "encode request")
	}
	res, err := li.calls.Do(ctx, httpcall.Request{
		Method: fasthttp.MethodPost, Address: address, Path: path, Body: raw, LongPoll: true, ServerWait: rq.waits(ctx),
		// A job or a cancel is one by its id, however often it comes; a question would cost
		// the advisor's time twice, and a configuration the links'.
		Idempotent: rq.Advise == nil && rq.Config == nil,
		Streamed:   rq.Config != nil,
	})
	if err != nil {
		return Reply{}, fault.New(rq.unanswered(err), "node %s did not answer: %v", address, err)
	}
	var reply Reply
	if err := cbor.Unmarshal(res.Body, &reply); err != nil {
		return Reply{}, fault.New(rq.unanswered(err), "node %s answered %d: %v", address, res.Status, err)
	}
	switch {
	case reply.Fault != nil && res.UnansweredAttempt && rq.writes():
		return Reply{}, fault.New(fault.Timeout, "node %s may have done it on an earlier try: %v", address, reply.Fault)
	case reply.Fault != nil:
		return Reply{}, reply.Fault
	}
	return reply, nil
}
