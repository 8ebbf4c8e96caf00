// Package fault defines the kinds of errors of tackbeam and, for each kind, its HTTP
// status, its exit code, and whether a request may be retried.
package fault

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Kind is a kind of error.
type Kind string

// The kinds of errors. The list is closed: each kind has an entry in infos.
const (
	BadRequest     Kind = "bad_request"
	TooLarge       Kind = "too_large"
	UnknownRow     Kind = "unknown_row"
	BadCell        Kind = "bad_cell"
	NeverFits      Kind = "never_fits"
	NotFound       Kind = "not_found"
	Conflict       Kind = "conflict"
	KeyReused      Kind = "key_reused"
	PastDeadline   Kind = "past_deadline"
	RateLimited    Kind = "rate_limited"
	Full           Kind = "full"
	Draining       Kind = "draining"
	Unavailable    Kind = "unavailable"
	Stale          Kind = "stale"
	Timeout        Kind = "timeout"
	EndpointFailed Kind = "endpoint_failed"
	Denied         Kind = "denied"
	Unauthorized   Kind = "unauthorized"
	NotConfirmed   Kind = "not_confirmed"
	WrongAnswer    Kind = "wrong_answer"
	Internal       Kind = "internal"
)

// Info describes what a kind of error means to a client.
type Info struct {
	status      int
	exitCode    int
	retryable   bool
	description string
}

// Status returns the HTTP status.
func (info Info) Status() int { return info.status }

// ExitCode returns the exit code of the command-line interface.
func (info Info) ExitCode() int { return info.exitCode }

// Retryable reports whether the same request may succeed if retried later.
func (info Info) Retryable() bool { return info.retryable }

// Description returns a one-line description.
func (info Info) Description() string { return info.description }

// infos has an entry for each kind.
var infos = map[Kind]Info{
	BadRequest:     {400, 2, false, "the request is malformed; correct it as the message says"},
	TooLarge:       {413, 3, false, "the body is over the size limit"},
	UnknownRow:     {404, 4, false, "the table has no such workspace or workload"},
	BadCell:        {422, 5, false, "the value is not allowed in this cell"},
	NeverFits:      {422, 6, false, "the request exceeds what any worker or limit can ever allow; not run"},
	NotFound:       {404, 7, false, "there is no such job, worker, node or path"},
	Conflict:       {409, 8, false, "the cell was changed concurrently; read it again before deciding whether to retry"},
	KeyReused:      {409, 9, false, "the idempotency key was already used with a different request"},
	PastDeadline:   {400, 10, false, "the deadline has passed; not run"},
	RateLimited:    {429, 11, true, "the workspace is over its rate limit; retry after the indicated delay"},
	Full:           {503, 12, true, "no capacity became free in time; not run; retry after the indicated delay"},
	Draining:       {503, 13, true, "the node is stopping; send the request to another node"},
	Unavailable:    {503, 14, true, "the store or an owner cannot be reached; retry after the indicated delay"},
	Stale:          {503, 15, true, "this node is isolated and its table may be out of date"},
	Timeout:        {504, 16, false, "no response within the deadline; the request may or may not have run"},
	EndpointFailed: {502, 17, true, "the request failed at the endpoint"},
	Denied:         {403, 18, false, "no explicit permission was given, or the peer's certificate names another node"},
	Unauthorized:   {401, 21, false, "the API key is missing or belongs to no workspace; not run"},
	NotConfirmed:   {202, 19, true, "the edit is kept, but not every node has confirmed it yet"},
	WrongAnswer:    {500, 20, false, "a check found a wrong result"},
	Internal:       {500, 1, false, "the node failed; its log has the cause"},
}

// Kinds returns all kinds with their infos.
func Kinds() map[Kind]Info {
	all := make(map[Kind]Info, len(infos))
	for kd, info := range infos {
		all[kd] = info
	}
	return all
}

// Info returns the info of the kind, or that of Internal for an unknown kind.
func (kd Kind) Info() Info {
	if info, ok := infos[kd]; ok {
		return info
	}
	return infos[Internal]
}

// Error is an error of a kind. It is sent between nodes.
type Error struct {
	Kind       Kind          `json:"kind" cbor:"1,keyasint"`
	Message    string        `json:"message" cbor:"2,keyasint"`
	RetryAfter time.Duration `json:"retry_after,omitempty" cbor:"3,keyasint,omitempty"`
	// MayHaveRun is set if work may have started before the error occurred.
	MayHaveRun bool `json:"begun,omitempty" cbor:"4,keyasint,omitempty"`
}

// New returns an error of the kind with a formatted message.
func New(kd Kind, format string, args ...any) *Error {
	return &Error{Kind: kd, Message: fmt.Sprintf(format, args...)}
}

// Error returns the kind and the message.
func (er *Error) Error() string { return string(er.Kind) + ": " + er.Message }

// WithRetryAfter sets how long the caller should wait before a retry and returns the error.
func (er *Error) WithRetryAfter(wait time.Duration) *Error {
	er.RetryAfter = wait
	return er
}

// MarkMayHaveRun sets MayHaveRun and returns the error.
func (er *Error) MarkMayHaveRun() *Error {
	er.MayHaveRun = true
	return er
}

// From returns the first *Error in err's chain, or an error of kind Internal if there
// is none. It returns nil for nil.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var er *Error
	if errors.As(err, &er) {
		return er
	}
	return &Error{Kind: Internal, Message: err.Error()}
}

// Is reports whether the first *Error in err's chain is of the kind.
func Is(err error, kd Kind) bool {
	er := From(err)
	return er != nil && er.Kind == kd
}
