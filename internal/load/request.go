package load

import (
	"bytes"
	"fmt"
	"time"

	"tackbeam.example/tackbeam/internal/api"
	"tackbeam.example/tackbeam/internal/client"
	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/trace"
)

// pollInterval is the minimum time before a job is submitted again to wait for its end.
const pollInterval = 100 * time.Millisecond

// lookup sends a lookup and checks its answer.
func (ld *Load) lookup(workspace, service string, body []byte, due time.Time) {
	rsp, err := ld.client().Do(client.Request{
		Method: "POST", Path: "/v1/lookups/" + service, Body: body,
		Headers: map[string]string{api.HeaderWorkspace: workspace},
	})
	took := ld.clock.Since(due)
	switch {
	case err != nil:
		ld.tally.addError(service, err)
	case ld.opts.ExpectedAnswer != nil && !bytes.Equal(rsp.Body, ld.opts.ExpectedAnswer(body)):
		ld.tally.addWrongAnswer(fmt.Sprintf("asked %q, got %q", body, rsp.Body))
	default:
		ld.tally.addAnswer(service, workspace, took)
	}
}

// job submits a job and waits for its end. Retries use the same idempotency key.
func (ld *Load) job(jb trace.Job, due time.Time) {
	vw, err := ld.submit(jb)
	for end := due.Add(ld.opts.JobWait); ld.clock.Now().Before(end) && shouldRetry(vw, err); {
		ld.clock.Sleep(retryDelay(err))
		vw, err = ld.submit(jb)
	}
	switch {
	case err != nil:
		ld.tally.addError(jb.Workload, err)
	case vw.Answer == "":
		ld.tally.addError(jb.Workload, fault.New(fault.Timeout, "job %s did not end within the maximum wait", vw.ID))
	case vw.Answer != "ran":
		ld.tally.addJobOutcome(vw.Answer)
	default:
		ld.tally.addJobOutcome(vw.Answer)
		ld.tally.addAnswer(jb.Workload, jb.Workspace, vw.Placed.Sub(vw.Submitted))
	}
}

// submit sends a job and waits for its end up to the maximum wait of one request.
func (ld *Load) submit(jb trace.Job) (api.Job, error) {
	const wait = 20 * time.Second
	req := api.JobRequest{
		Workload: jb.Workload, Workspace: jb.Workspace, Tasks: jb.Tasks,
		Payload: map[string]any{"run": jb.RunTime.Seconds(), "mark": jb.ID},
	}
	if !jb.Size.IsZero() {
		cores, memory, devices := float64(jb.Size.Processors())/1000, jb.Size.Memory(), jb.Size.Accelerators()
		req.Processors, req.Memory, req.Accelerators = &cores, &memory, &devices
	}
	if jb.Deadline > 0 {
		remaining := jb.Deadline.Seconds()
		req.DeadlineIn = &remaining
	}
	return client.Send[api.Job](ld.client(), client.Request{
		Method: "POST", Path: api.PathJobs, Query: map[string]string{"wait": fmt.Sprint(wait.Seconds())}, Wait: wait,
		Headers: map[string]string{api.HeaderIdempotencyKey: jb.ID},
	}, req)
}

// shouldRetry reports whether the job may still be running or may be accepted later.
func shouldRetry(vw api.Job, err error) bool {
	if err == nil {
		return vw.Answer == ""
	}
	switch fault.From(err).Kind {
	case fault.Unavailable, fault.Timeout, fault.Full:
		return true
	}
	return false
}

// retryDelay returns the time to wait before the next attempt: at least what the response asks for.
func retryDelay(err error) time.Duration {
	if err == nil {
		return pollInterval
	}
	return max(pollInterval, fault.From(err).RetryAfter)
}
