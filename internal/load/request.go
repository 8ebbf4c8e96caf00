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

// pollPause is the pause before a job is asked for again.
const pollPause = 100 * time.Millisecond

// lookup sends one lookup and checks that the answer is its own.
func (ld *Load) lookup(workspace, service string, body []byte, due time.Time) {
	rsp, err := ld.client().Do(client.Request{
		Method: "POST", Path: "/v1/lookups/" + service, Body: body,
		Headers: map[string]string{api.HeaderWorkspace: workspace},
	})
	took := ld.clock.Since(due)
	switch {
	case err != nil:
		ld.tally.failed(service, err)
	case ld.opts.ExpectedAnswer != nil && !bytes.Equal(rsp.Body, ld.opts.ExpectedAnswer(body)):
		ld.tally.wrong(fmt.Sprintf("asked %q, got %q", body, rsp.Body))
	default:
		ld.tally.answered(service, workspace, took)
	}
}

// job submits one job under a key of its own and waits for its end. An answer that
// was lost is asked for again with the same key.
func (ld *Load) job(jb trace.Job, due time.Time) {
	vw, err := ld.submit(jb)
	for end := due.Add(ld.opts.JobWait); ld.clock.Now().Before(end) && again(vw, err); {
		ld.clock.Sleep(pause(err))
		vw, err = ld.submit(jb)
	}
	switch {
	case err != nil:
		ld.tally.failed(jb.Workload, err)
	case vw.Answer == "":
		ld.tally.failed(jb.Workload, fault.New(fault.Timeout, "job %s has not ended in time", vw.ID))
	case vw.Answer != "ran":
		ld.tally.ended(vw.Answer)
	default:
		ld.tally.ended(vw.Answer)
		ld.tally.answered(jb.Workload, jb.Workspace, vw.Placed.Sub(vw.Submitted))
	}
}

// submit sends a job and waits for its end as long as one request may.
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
		left := jb.Deadline.Seconds()
		req.DeadlineIn = &left
	}
	return client.Send[api.Job](ld.client(), client.Request{
		Method: "POST", Path: api.PathJobs, Query: map[string]string{"wait": fmt.Sprint(wait.Seconds())}, Wait: wait,
		Headers: map[string]string{api.HeaderKey: jb.ID},
	}, req)
}

// again reports whether a job's answer is still to come.
func again(vw api.Job, err error) bool {
	if err == nil {
		return vw.Answer == ""
	}
	switch fault.From(err).Kind {
	case fault.Unavailable, fault.Timeout, fault.Full:
		return true
	}
	return false
}

// pause is how long to wait before asking again: what the answer says, if it does.
func pause(err error) time.Duration {
	if err == nil {
		return pollPause
	}
	return max(pollPause, fault.From(err).RetryAfter)
}
