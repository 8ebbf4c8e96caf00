// Package front is the HTTP interface of a node for callers and operators: it
// checks requests, applies limits and deadlines, and turns errors into answers.
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

// Times of the HTTP server.
const (
	readTimeout = 30 * time.Second
	idleTimeout = 2 * time.Minute
	askTimeout  = 2 * time.Second
)

// Options of a front.
type Options struct {
	Listen         string
	MaxLookupBody  int
	MaxJobBody     int
	DefaultTimeout time.Duration
	MaxTimeout     time.Duration
	MaxTasks       int
	DrainTimeout   time.Duration
}

// Local is what this node tells of itself.
type Local struct {
	Info            func() nodemsg.NodeInfo
	Workers         func() nodemsg.Workers
	Jobs            func(nodemsg.JobFilter) nodemsg.Jobs
	DrainNode       func()
	DrainWorker     func(context.Context, string) error
	NotReadyReasons func() []string
}

// Services are the services that a front works with.
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

// Front is this node's HTTP interface.
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

// New returns a front that does not listen yet.
func New(pt Services, opts Options) *Front {
	pt.Log = pt.Log.WithName("front")
	fr := &Front{Services: pt, opts: opts, limits: map[string]*rate.Limiter{}}
	fr.ctx, fr.cancel = context.WithCancel(context.Background())
	const headerSpace = 4096
	fr.app = fiber.New(fiber.Config{
		DisableStartupMessage: true,
		Immutable:             true, // names from requests outlive them in jobs
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
	fr.app.Use(fr.track)
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
		return fault.New(fault.NotFound, "no %s %s here; docs/http.md lists the paths", c.Method(), c.Path())
	})
}

// Start begins to listen.
func (fr *Front) Start(context.Context) error {
	ln, err := accept.Listen(fr.Log, "tcp", fr.opts.Listen)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	fr.listener = ln
	go func() {
		if err := fr.app.Listener(ln); err != nil && !fr.draining.Load() {
			fr.Log.Error(err, "HTTP server ended.")
		}
	}()
	return nil
}

// Addr returns the address that the front listens on.
func (fr *Front) Addr() string {
	if fr.listener == nil {
		return ""
	}
	return fr.listener.Addr().String()
}

// Drain turns readiness off, so that the balancer sends nothing new.
func (fr *Front) Drain() { fr.draining.Store(true) }

// InFlight returns the number of requests under way.
func (fr *Front) InFlight() int64 { return fr.inFlight.Load() }

// Stop waits for requests in flight, at most for the drain time, and closes.
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

// track counts requests under way, and asks clients of a draining node to
// connect anew elsewhere.
func (fr *Front) track(c *fiber.Ctx) error {
	fr.inFlight.Add(1)
	defer fr.inFlight.Add(-1)
	if fr.draining.Load() {
		c.Set(fiber.HeaderConnection, "close")
	}
	return c.Next()
}

// onError turns an error into the answer of its kind.
func (fr *Front) onError(c *fiber.Ctx, err error) error {
	er := fault.From(err)
	var fe *fiber.Error
	if errors.As(err, &fe) {
		er = fromFiber(fe)
	}
	answer := er.Kind.Info()
	info := api.ErrorInfo{Kind: er.Kind, Message: er.Message, Ran: "not-run"}
	if er.MayHaveRun || er.Kind == fault.Timeout || er.Kind == fault.Internal {
		info.Ran = "unknown"
	}
	if er.RetryAfter > 0 {
		info.RetryAfter = er.RetryAfter.Seconds()
		seconds := int64((er.RetryAfter + time.Second - 1) / time.Second)
		c.Set(fiber.HeaderRetryAfter, strconv.FormatInt(seconds, 10))
	}
	if er.Kind == fault.Internal {
		fr.Log.Error(err, "Request failed.", "path", c.Path())
	}
	fr.Meter.Count("errors_"+string(er.Kind), 1)
	return c.Status(answer.Status()).JSON(api.ErrorBody{Error: info})
}

func fromFiber(fe *fiber.Error) *fault.Error {
	switch fe.Code {
	case fiber.StatusRequestEntityTooLarge:
		return fault.New(fault.TooLarge, "the body is over the limit")
	case fiber.StatusNotFound, fiber.StatusMethodNotAllowed:
		return fault.New(fault.NotFound, "%s", fe.Message)
	}
	return fault.New(fault.BadRequest, "%s", fe.Message)
}

// deadline reads the time that the caller waits, bounded by the settings.
func (fr *Front) deadline(c *fiber.Ctx) (time.Duration, error) {
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

// readBody decodes a JSON body strictly: unknown fields are refused.
func readBody(c *fiber.Ctx, limit int, into any) error {
	body := c.Body()
	if len(body) > limit {
		return fault.New(fault.TooLarge, "the body has %d bytes, the limit is %d", len(body), limit)
	}
	return decodeStrict(body, into)
}

// askAll asks every other node and returns the answers and the silent nodes.
func askAll[Req, Res any](fr *Front, kd nodemsg.Kind, req Req) (map[string]Res, []string) {
	ctx, cancel := context.WithTimeout(fr.ctx, askTimeout)
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
	all, silent := map[string]Res{}, []string{}
	for range nodes {
		an := <-answers
		if an.err != nil {
			silent = append(silent, an.name)
			continue
		}
		all[an.name] = an.res
	}
	return all, silent
}

// jsonError describes a JSON error by what is wrong, where Go's own text does not.
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
		return fault.New(fault.BadRequest, "the body is not JSON: it ends too early")
	}
	return fault.New(fault.BadRequest, "the body cannot be read: %v", err)
}
