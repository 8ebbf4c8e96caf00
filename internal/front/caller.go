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

// maxKey is the longest idempotency key in bytes.
const maxKey = 128

// lookup answers a lookup with the endpoint's own body.
func (fr *Front) lookup(c *fiber.Ctx) error {
	arrived := fr.Clock.Now()
	budget, err := fr.deadline(c)
	if err != nil {
		return err
	}
	body := c.Body()
	if len(body) > fr.opts.LookupBody {
		return fault.New(fault.TooLarge, "the body has %d bytes, the limit is %d", len(body), fr.opts.LookupBody)
	}
	ws, wl, err := fr.rows(c.Get(api.HeaderWorkspace), c.Params("workload"))
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

// rows returns the rows of a request's workspace and workload.
func (fr *Front) rows(workspace, workload string) (table.Workspace, table.Workload, error) {
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

// admit counts a lookup against its workspace's rate, of which this node grants
// its part.
func (fr *Front) admit(ws table.Workspace) error {
	if ws.Rate == nil {
		return nil
	}
	part := rate.Limit(*ws.Rate / float64(max(1, len(fr.Member.Map().Active()))))
	burst := max(1, int(math.Ceil(float64(part))))
	now := fr.Clock.Now()
	fr.mu.Lock()
	defer fr.mu.Unlock()
	lim, ok := fr.limits[ws.Name]
	if !ok {
		lim = rate.NewLimiter(part, burst)
		fr.limits[ws.Name] = lim
	}
	if lim.Limit() != part {
		lim.SetLimitAt(now, part)
		lim.SetBurstAt(now, burst)
	}
	if part > 0 && lim.AllowN(now, 1) {
		return nil
	}
	wait := time.Minute
	if part > 0 {
		wait = time.Duration((1 - lim.TokensAt(now)) / float64(part) * float64(time.Second))
	}
	return fault.New(fault.RateLimited, "workspace/%s rate: over %g lookups a second; not run", ws.Name, *ws.Rate).After(wait)
}

// submit accepts a job and answers with it, after waiting for its end where the
// query asks for that.
func (fr *Front) submit(c *fiber.Ctx) error {
	budget, err := fr.deadline(c)
	if err != nil {
		return err
	}
	var req api.JobRequest
	if err := readBody(c, fr.opts.JobBody, &req); err != nil {
		return err
	}
	wait, err := waitOf(c)
	if err != nil {
		return err
	}
	msg, err := fr.submission(c, req)
	if err != nil {
		return err
	}
	if fr.Member.Stale() {
		return fault.New(fault.Stale, "this node is cut off and may hold an old table; not run").After(time.Second)
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

// waitFor waits for a job's end. When the home cannot be asked, the job as last
// seen is the answer: it was accepted.
func (fr *Front) waitFor(vw nodemsg.JobView, wait time.Duration) (nodemsg.JobView, error) {
	ctx, cancel := context.WithTimeout(fr.ctx, wait+askTimeout)
	defer cancel()
	got, err := fr.Router.Get(ctx, nodemsg.JobQuery{Job: vw.ID, Wait: wait})
	if err != nil && fault.Is(err, fault.Unavailable) {
		return vw, nil
	}
	return got, err
}

func waitOf(c *fiber.Ctx) (time.Duration, error) {
	const most = 300
	text := c.Query("wait")
	if text == "" {
		return 0, nil
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || !(seconds >= 0 && seconds <= most) {
		return 0, fault.New(fault.BadRequest, "wait=%s: give a number of seconds from 0 to %d", text, most)
	}
	return time.Duration(seconds * float64(time.Second)), nil
}

// submission checks a job's request against the table and completes it.
func (fr *Front) submission(c *fiber.Ctx, req api.JobRequest) (nodemsg.Submit, error) {
	workspace := req.Workspace
	if workspace == "" {
		workspace = c.Get(api.HeaderWorkspace)
	}
	ws, wl, err := fr.rows(workspace, req.Workload)
	if err != nil {
		return nodemsg.Submit{}, err
	}
	if wl.Class == column.Service {
		return nodemsg.Submit{}, fault.New(fault.BadRequest, "workload %s is a service; send a lookup", wl.Name)
	}
	key := c.Get(api.HeaderKey)
	if len(key) > maxKey {
		return nodemsg.Submit{}, fault.New(fault.BadRequest, "header %s is over %d bytes", api.HeaderKey, maxKey)
	}
	msg := nodemsg.Submit{
		Workspace: ws.Name, Workload: wl.Name, Class: wl.Class, Key: key,
		BodyHash: xxhash.Sum64(c.Body()), Priority: wl.Priority, Repeatable: wl.Repeatable,
	}
	if msg.Tasks, err = fr.tasks(req, wl); err != nil {
		return msg, err
	}
	if msg.Size, err = sizeOf(req, wl); err != nil {
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

func (fr *Front) tasks(req api.JobRequest, wl table.Workload) (int, error) {
	tasks := req.Tasks
	if tasks == 0 {
		tasks = 1
	}
	if tasks < 1 || tasks > fr.opts.Tasks {
		return 0, fault.New(fault.BadRequest, "tasks: give a whole number from 1 to %d", fr.opts.Tasks)
	}
	if tasks > 1 && wl.Class != column.Gang {
		return 0, fault.New(fault.BadRequest,
			"tasks: workload %s is of class %s, whose jobs have one task; use class gang", wl.Name, wl.Class)
	}
	return tasks, nil
}

func sizeOf(req api.JobRequest, wl table.Workload) (size.Size, error) {
	const milliPerCore = 1000
	const most = 1 << 40
	sz := wl.Size
	if req.Processors != nil {
		if !(*req.Processors >= 0 && *req.Processors < most) {
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
	if !sz.Valid() || !sz.Fits(size.New(most, most, most)) {
		return sz, fault.New(fault.BadRequest, "memory, accelerators: give whole numbers of 0 or more")
	}
	return sz, nil
}

// jobBudget returns the time left to a job's deadline; zero is no deadline.
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
		const most = 30 * 24 * 3600
		if !(*req.DeadlineIn > 0 && *req.DeadlineIn <= most) {
			return 0, fault.New(fault.PastDeadline, "deadline_in: give seconds above 0, at most %d; not run", most)
		}
		return max(1, time.Duration(*req.DeadlineIn*float64(time.Second))), nil
	}
	return wl.Deadline, nil
}

// decodeStrict decodes one JSON value and refuses unknown fields and what follows it.
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
	wait, err := waitOf(c)
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
	budget, err := fr.deadline(c)
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
