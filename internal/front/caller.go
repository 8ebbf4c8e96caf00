package front

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gofiber/fiber/v2"
	"golang.org/x/time/rate"

	"tackbeam.example/policy/size"
	"tackbeam.example/tackbeam/internal/api"
	"tackbeam.example/tackbeam/internal/column"
	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/nodemsg"
	"tackbeam.example/tackbeam/internal/table"
)

// maxKeyLength is the maximum length of an idempotency key in bytes.
const maxKeyLength = 128

// lookup runs a lookup and returns the body of the endpoint's response unchanged.
func (fr *Front) lookup(c *fiber.Ctx) error {
	arrived := fr.Clock.Now()
	budget, err := fr.requestTimeout(c)
	if err != nil {
		return err
	}
	body := c.Body()
	if len(body) > fr.opts.MaxLookupBody {
		return fault.New(fault.TooLarge, "the body has %d bytes, the limit is %d", len(body), fr.opts.MaxLookupBody)
	}
	ws, wl, err := fr.findRows(c.Get(api.HeaderWorkspace), c.Params("workload"))
	if err != nil {
		return err
	}
	if wl.Class != column.Service {
		return fault.New(fault.BadRequest, "workload %s is of class %s, not a service; submit a job", wl.Name, wl.Class)
	}
	if err := fr.admit(ws); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(fr.ctx, budget)
	defer cancel()
	an, err := fr.Router.Lookup(ctx, nodemsg.Lookup{
		ID: rand.Uint64(), Workspace: ws.Name, Workload: wl.Name, Weight: ws.Weight,
		Size: wl.Size, Budget: budget, Repeatable: wl.Repeatable, Body: bytes.Clone(body),
	})
	fr.Meter.Observe("latency", wl.Class, ws.Name, fr.Clock.Since(arrived))
	if err != nil {
		return err
	}
	c.Set(api.HeaderWorker, an.Worker)
	if fr.Member.Stale() {
		c.Set(api.HeaderStale, "true")
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEOctetStream)
	return c.Send(an.Body)
}

// findRows returns the table rows of a request's workspace and workload.
func (fr *Front) findRows(workspace, workload string) (table.Workspace, table.Workload, error) {
	sn := fr.Table.Snapshot()
	if workspace == "" {
		return table.Workspace{}, table.Workload{},
			fault.New(fault.BadRequest, "name the workspace in header %s or in the body", api.HeaderWorkspace)
	}
	ws, err := sn.Workspace(workspace)
	if err != nil {
		return ws, table.Workload{}, err
	}
	wl, err := sn.Workload(workload)
	return ws, wl, err
}

// admit applies the workspace's rate limit to a lookup. Each active node enforces
// an equal share of the limit.
func (fr *Front) admit(ws table.Workspace) error {
	if ws.Rate == nil {
		return nil
	}
	share := rate.Limit(*ws.Rate / float64(max(1, len(fr.Member.Map().Active()))))
	burst := max(1, int(math.Ceil(float64(share))))
	now := fr.Clock.Now()
	fr.mu.Lock()
	defer fr.mu.Unlock()
	lim, ok := fr.limits[ws.Name]
	if !ok {
		lim = rate.NewLimiter(share, burst)
		fr.limits[ws.Name] = lim
	}
	if lim.Limit() != share {
		lim.SetLimitAt(now, share)
		lim.SetBurstAt(now, burst)
	}
	if share > 0 && lim.AllowN(now, 1) {
		return nil
	}
	wait := time.Minute
	if share > 0 {
		wait = time.Duration((1 - lim.TokensAt(now)) / float64(share) * float64(time.Second))
	}
	return fault.New(fault.RateLimited, "workspace/%s rate: over %g lookups a second; not run", ws.Name, *ws.Rate).WithRetryAfter(wait)
}

// submit accepts a job and returns it. With ?wait=SECONDS it first waits for the
// job to end.
func (fr *Front) submit(c *fiber.Ctx) error {
	budget, err := fr.requestTimeout(c)
	if err != nil {
		return err
	}
	var req api.JobRequest
	if err := readBody(c, fr.opts.MaxJobBody, &req); err != nil {
		return err
	}
	wait, err := waitParam(c)
	if err != nil {
		return err
	}
	msg, err := fr.newSubmit(c, req)
	if err != nil {
		return err
	}
	if fr.Member.Stale() {
		return fault.New(fault.Stale, "this node is isolated and its table may be out of date; not run").WithRetryAfter(time.Second)
	}
	ctx, cancel := context.WithTimeout(fr.ctx, budget)
	defer cancel()
	vw, err := fr.Router.Submit(ctx, msg)
	if err != nil {
		return err
	}
	if wait > 0 && vw.Answer == "" {
		vw, err = fr.waitFor(vw, wait)
		if err != nil {
			return err
		}
	}
	status := fiber.StatusAccepted
	if vw.Answer != "" {
		status = fiber.StatusOK
	}
	return c.Status(status).JSON(vw)
}

// waitFor waits for a job to end. If the job's home is unreachable, it returns the
// last known state without an error, because the job was accepted.
func (fr *Front) waitFor(vw nodemsg.JobView, wait time.Duration) (nodemsg.JobView, error) {
	ctx, cancel := context.WithTimeout(fr.ctx, wait+peerTimeout)
	defer cancel()
	got, err := fr.Router.Get(ctx, nodemsg.JobQuery{Job: vw.ID, Wait: wait})
	if err != nil && fault.Is(err, fault.Unavailable) {
		return vw, nil
	}
	return got, err
}

func waitParam(c *fiber.Ctx) (time.Duration, error) {
	const maxWait = 300
	text := c.Query("wait")
	if text == "" {
		return 0, nil
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || !(seconds >= 0 && seconds <= maxWait) {
		return 0, fault.New(fault.BadRequest, "wait=%s: give a number of seconds from 0 to %d", text, maxWait)
	}
	return time.Duration(seconds * float64(time.Second)), nil
}

// newSubmit validates a job request against the table and fills in the defaults of
// the workload's row.
func (fr *Front) newSubmit(c *fiber.Ctx, req api.JobRequest) (nodemsg.Submit, error) {
	workspace := req.Workspace
	if workspace == "" {
		workspace = c.Get(api.HeaderWorkspace)
	}
	ws, wl, err := fr.findRows(workspace, req.Workload)
	if err != nil {
		return nodemsg.Submit{}, err
	}
	if wl.Class == column.Service {
		return nodemsg.Submit{}, fault.New(fault.BadRequest, "workload %s is a service; send a lookup", wl.Name)
	}
	key := c.Get(api.HeaderIdempotencyKey)
	if len(key) > maxKeyLength {
		return nodemsg.Submit{}, fault.New(fault.BadRequest, "header %s is over %d bytes", api.HeaderIdempotencyKey, maxKeyLength)
	}
	msg := nodemsg.Submit{
		Workspace: ws.Name, Workload: wl.Name, Class: wl.Class, Key: key,
		BodyHash: xxhash.Sum64(c.Body()), Priority: wl.Priority, Repeatable: wl.Repeatable,
	}
	if msg.Tasks, err = fr.taskCount(req, wl); err != nil {
		return msg, err
	}
	if msg.Size, err = taskSize(req, wl); err != nil {
		return msg, err
	}
	if msg.Budget, err = fr.jobBudget(req, wl); err != nil {
		return msg, err
	}
	if req.Payload != nil {
		msg.Payload, err = json.Marshal(req.Payload)
	}
	return msg, err
}

func (fr *Front) taskCount(req api.JobRequest, wl table.Workload) (int, error) {
	tasks := req.Tasks
	if tasks == 0 {
		tasks = 1
	}
	if tasks < 1 || tasks > fr.opts.MaxTasks {
		return 0, fault.New(fault.BadRequest, "tasks: give a whole number from 1 to %d", fr.opts.MaxTasks)
	}
	if tasks > 1 && wl.Class != column.Gang {
		return 0, fault.New(fault.BadRequest,
			"tasks: workload %s is of class %s, whose jobs have one task; use class gang", wl.Name, wl.Class)
	}
	return tasks, nil
}

func taskSize(req api.JobRequest, wl table.Workload) (size.Size, error) {
	const milliPerCore = 1000
	const maxValue = 1 << 40
	sz := wl.Size
	if req.Processors != nil {
		if !(*req.Processors >= 0 && *req.Processors < maxValue) {
			return sz, fault.New(fault.BadRequest, "processors: give a number of cores of 0 or more")
		}
		sz[size.Processors] = int64(*req.Processors * milliPerCore)
	}
	if req.Memory != nil {
		sz[size.Memory] = *req.Memory
	}
	if req.Accelerators != nil {
		sz[size.Accelerators] = *req.Accelerators
	}
	if !sz.Valid() || !sz.Fits(size.New(maxValue, maxValue, maxValue)) {
		return sz, fault.New(fault.BadRequest, "memory, accelerators: give whole numbers of 0 or more")
	}
	return sz, nil
}

// jobBudget returns the time until a job's deadline, or zero if it has none.
func (fr *Front) jobBudget(req api.JobRequest, wl table.Workload) (time.Duration, error) {
	switch {
	case req.Deadline != nil && req.DeadlineIn != nil:
		return 0, fault.New(fault.BadRequest, "deadline, deadline_in: give one of the two")
	case req.Deadline != nil:
		left := req.Deadline.Sub(fr.Clock.Now())
		if left <= 0 {
			return 0, fault.New(fault.PastDeadline, "the deadline %s has passed; not run", req.Deadline.Format(time.RFC3339))
		}
		return left, nil
	case req.DeadlineIn != nil:
		const maxSeconds = 30 * 24 * 3600
		if !(*req.DeadlineIn > 0 && *req.DeadlineIn <= maxSeconds) {
			return 0, fault.New(fault.PastDeadline, "deadline_in: give seconds above 0, at most %d; not run", maxSeconds)
		}
		return max(1, time.Duration(*req.DeadlineIn*float64(time.Second))), nil
	}
	return wl.Deadline, nil
}

// decodeStrict decodes a single JSON value. It rejects unknown fields and trailing data.
func decodeStrict(body []byte, into any) error {
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return jsonError(err)
	}
	if _, err := dec.Token(); err != io.EOF {
		return fault.New(fault.BadRequest, "the body has more than one JSON value")
	}
	return nil
}

func (fr *Front) getJob(c *fiber.Ctx) error {
	wait, err := waitParam(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(fr.ctx, wait+fr.opts.DefaultTimeout)
	defer cancel()
	vw, err := fr.Router.Get(ctx, nodemsg.JobQuery{Job: c.Params("id"), Wait: wait})
	if err != nil {
		return err
	}
	return c.JSON(vw)
}

func (fr *Front) cancelJob(c *fiber.Ctx) error {
	budget, err := fr.requestTimeout(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(fr.ctx, budget)
	defer cancel()
	vw, err := fr.Router.Cancel(ctx, nodemsg.JobQuery{Job: c.Params("id"), Wait: budget / 2})
	if err != nil {
		return err
	}
	status := fiber.StatusAccepted
	if vw.Answer != "" {
		status = fiber.StatusOK
	}
	return c.Status(status).JSON(vw)
}
