// Package front implements the HTTP API of a node for callers and operators. It
// validates requests, applies limits and deadlines, and maps errors to responses.
package front

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/gofiber/fiber/v2"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"tackbeam.example/tackbeam/internal/accept"
	"tackbeam.example/tackbeam/internal/api"
	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/member"
	"tackbeam.example/tackbeam/internal/meter"
	"tackbeam.example/tackbeam/internal/nodemsg"
	"tackbeam.example/tackbeam/internal/peer"
	"tackbeam.example/tackbeam/internal/router"
	"tackbeam.example/tackbeam/internal/table"
)

// Timeouts of the HTTP server and of calls to other nodes.
const (
	readTimeout = 30 * time.Second
	idleTimeout = 2 * time.Minute
	peerTimeout = 2 * time.Second
)

// Options configures the HTTP API.
type Options struct {
	Listen         string
	MaxLookupBody  int
	MaxJobBody     int
	DefaultTimeout time.Duration
	MaxTimeout     time.Duration
	MaxTasks       int
	DrainTimeout   time.Duration
}

// Local gives access to the state of this node.
type Local struct {
	Info            func() nodemsg.NodeInfo
	Workers         func() nodemsg.Workers
	Jobs            func(nodemsg.JobFilter) nodemsg.Jobs
	DrainNode       func()
	DrainWorker     func(context.Context, string) error
	NotReadyReasons func() []string
}

// Services are the services that the HTTP API depends on.
type Services struct {
	Clock  clockwork.Clock
	Log    logr.Logger
	Member *member.Member
	Peer   *peer.Peer
	Router *router.Router
	Table  *table.Table
	Meter  *meter.Meter
	Local  Local
}

// Front serves the HTTP API of this node.
type Front struct {
	Services
	opts     Options
	app      *fiber.App
	listener net.Listener
	inFlight atomic.Int64
	draining atomic.Bool
	ctx      context.Context
	cancel   context.CancelFunc

	mu     sync.Mutex
	limits map[string]*rate.Limiter
}

// New returns a Front that does not listen yet.
func New(sv Services, opts Options) *Front {
	sv.Log = sv.Log.WithName("front")
	fr := &Front{Services: sv, opts: opts, limits: map[string]*rate.Limiter{}}
	fr.ctx, fr.cancel = context.WithCancel(context.Background())
	const headerSpace = 4096
	fr.app = fiber.New(fiber.Config{
		DisableStartupMessage: true,
		Immutable:             true, // jobs keep strings of their request after it has ended
		BodyLimit:             max(opts.MaxLookupBody, opts.MaxJobBody) + headerSpace,
		ReadBufferSize:        2 * headerSpace,
		ReadTimeout:           readTimeout,
		IdleTimeout:           idleTimeout,
		ErrorHandler:          fr.onError,
	})
	fr.routes()
	return fr
}

func (fr *Front) routes() {
	fr.app.Use(fr.trackRequest)
	fr.app.Post(api.PathLookup, fr.lookup)
	fr.app.Post(api.PathJobs, fr.submit)
	fr.app.Get(api.PathJobs, fr.listJobs)
	fr.app.Get(api.PathJob, fr.getJob)
	fr.app.Delete(api.PathJob, fr.cancelJob)
	fr.app.Get(api.PathTable, fr.getTable)
	fr.app.Get(api.PathColumns, fr.getColumns)
	fr.app.Get(api.PathRow, fr.getRow)
	fr.app.Delete(api.PathRow, fr.removeRow)
	fr.app.Put(api.PathCell, fr.setCell)
	fr.app.Get(api.PathWorkers, fr.getWorkers)
	fr.app.Get(api.PathNodes, fr.getNodes)
	fr.app.Post(api.PathDrain, fr.drain)
	fr.app.Get(api.PathStats, fr.getStats)
	fr.app.Get(api.PathHealth, fr.health)
	fr.app.Get(api.PathReady, fr.ready)
	fr.app.Use(func(c *fiber.Ctx) error {
		return fault.New(fault.NotFound, "no route for %s %s; docs/http.md lists the paths", c.Method(), c.Path())
	})
}

// Start listens and serves requests in the background.
func (fr *Front) Start(context.Context) error {
	ln, err := accept.Listen(fr.Log, "tcp", fr.opts.Listen)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	fr.listener = ln
	go func() {
		if err := fr.app.Listener(ln); err != nil && !fr.draining.Load() {
			fr.Log.Error(err, "HTTP server stopped unexpectedly.")
		}
	}()
	return nil
}

// Addr returns the listen address, or "" before Start.
func (fr *Front) Addr() string {
	if fr.listener == nil {
		return ""
	}
	return fr.listener.Addr().String()
}

// Drain makes the readiness check fail, so that the load balancer sends no new requests.
func (fr *Front) Drain() { fr.draining.Store(true) }

// InFlight returns the number of requests in flight.
func (fr *Front) InFlight() int64 { return fr.inFlight.Load() }

// Stop waits for requests in flight, for at most the drain timeout, and shuts down
// the server.
func (fr *Front) Stop(ctx context.Context) error {
	fr.Drain()
	const pause = 10 * time.Millisecond
	deadline := fr.Clock.Now().Add(fr.opts.DrainTimeout)
	for fr.inFlight.Load() > 0 && fr.Clock.Now().Before(deadline) && ctx.Err() == nil {
		fr.Clock.Sleep(pause)
	}
	fr.cancel()
	const closeTime = 2 * time.Second
	return errors.Wrap(fr.app.ShutdownWithTimeout(closeTime), "close HTTP server")
}

// trackRequest counts requests in flight. While the node drains, it closes
// connections after the response, so that clients reconnect to other nodes.
func (fr *Front) trackRequest(c *fiber.Ctx) error {
	fr.inFlight.Add(1)
	defer fr.inFlight.Add(-1)
	if fr.draining.Load() {
		c.Set(fiber.HeaderConnection, "close")
	}
	return c.Next()
}

// onError writes the response for an error.
func (fr *Front) onError(c *fiber.Ctx, err error) error {
	er := fault.From(err)
	var fe *fiber.Error
	if errors.As(err, &fe) {
		er = fiberFault(fe)
	}
	if er.RetryAfter > 0 {
		seconds := int64((er.RetryAfter + time.Second - 1) / time.Second)
		c.Set(fiber.HeaderRetryAfter, strconv.FormatInt(seconds, 10))
	}
	if er.Kind == fault.Internal {
		fr.Log.Error(err, "Request failed.", "path", c.Path())
	}
	fr.Meter.Count("errors_"+string(er.Kind), 1)
	return c.Status(er.Kind.Info().Status()).JSON(api.NewErrorBody(er))
}

func fiberFault(fe *fiber.Error) *fault.Error {
	switch fe.Code {
	case fiber.StatusRequestEntityTooLarge:
		return fault.New(fault.TooLarge, "the body is over the limit")
	case fiber.StatusNotFound, fiber.StatusMethodNotAllowed:
		return fault.New(fault.NotFound, "%s", fe.Message)
	}
	return fault.New(fault.BadRequest, "%s", fe.Message)
}

// requestTimeout returns the timeout from the request's header, or the default. It
// rejects values over the configured maximum.
func (fr *Front) requestTimeout(c *fiber.Ctx) (time.Duration, error) {
	text := c.Get(api.HeaderTimeout)
	if text == "" {
		return fr.opts.DefaultTimeout, nil
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || seconds <= 0 || seconds != seconds {
		return 0, fault.New(fault.BadRequest, "header %s: %q is not a number of seconds above 0", api.HeaderTimeout, text)
	}
	if limit := fr.opts.MaxTimeout.Seconds(); seconds > limit {
		return 0, fault.New(fault.BadRequest, "header %s: %g is over the limit of %g seconds", api.HeaderTimeout, seconds, limit)
	}
	return time.Duration(seconds * float64(time.Second)), nil
}

// readBody checks the size of a JSON body and decodes it, rejecting unknown fields.
func readBody(c *fiber.Ctx, limit int, into any) error {
	body := c.Body()
	if len(body) > limit {
		return fault.New(fault.TooLarge, "the body has %d bytes, the limit is %d", len(body), limit)
	}
	return decodeStrict(body, into)
}

// callAll sends a request to every other node. It returns the responses by node and
// the names of the nodes that did not respond.
func callAll[Req, Res any](fr *Front, kd nodemsg.Kind, req Req) (map[string]Res, []string) {
	ctx, cancel := context.WithTimeout(fr.ctx, peerTimeout)
	defer cancel()
	type answer struct {
		name string
		res  Res
		err  error
	}
	nodes := fr.Member.Addresses()
	answers := make(chan answer, len(nodes))
	for name, addr := range nodes {
		go func() {
			res, err := peer.Call[Req, Res](ctx, fr.Peer, addr, kd, req)
			answers <- answer{name, res, err}
		}()
	}
	all, unreached := map[string]Res{}, []string{}
	for range nodes {
		an := <-answers
		if an.err != nil {
			unreached = append(unreached, an.name)
			continue
		}
		all[an.name] = an.res
	}
	return all, unreached
}

// jsonError converts an error of encoding/json, whose own text does not always say
// what is wrong with the body.
func jsonError(err error) error {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return fault.New(fault.BadRequest, "the body is not JSON: %v at byte %d", err, syntax.Offset)
	}
	var kind *json.UnmarshalTypeError
	if errors.As(err, &kind) {
		return fault.New(fault.BadRequest, "%s: give a %s, not a %s", kind.Field, kind.Type, kind.Value)
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return fault.New(fault.BadRequest, "the body is not JSON: unexpected end of input")
	}
	return fault.New(fault.BadRequest, "the body cannot be decoded: %v", err)
}
