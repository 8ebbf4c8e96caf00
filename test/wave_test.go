package test

import (
	"fmt"
	"sync"
	"time"

	"tackbeam.example/tackbeam/internal/api"
	"tackbeam.example/tackbeam/internal/client"
)

// waveSize is the number of jobs that one wave submits and cancels.
const waveSize = 120

// cancelWave is a burst of jobs that are cancelled as soon as they are accepted.
type cancelWave struct {
	wg       sync.WaitGroup
	mu       sync.Mutex
	outcomes []outcome
}

func startWave(cl *cluster) *cancelWave {
	wa := &cancelWave{}
	for n := range waveSize {
		wa.wg.Add(1)
		go func() {
			defer wa.wg.Done()
			oc := outcome{mark: fmt.Sprint("wave-", n)}
			oc.result = submitAndCancel(cl.api("n1", "n2"), oc.mark, n)
			wa.mu.Lock()
			defer wa.mu.Unlock()
			wa.outcomes = append(wa.outcomes, oc)
		}()
	}
	return wa
}

// submitAndCancel submits a job, cancels it at once and returns the outcome, or "" if
// there was none within waitTimeout.
func submitAndCancel(cl *client.Client, mark string, n int) string {
	id := ""
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if id == "" {
			vw, err := client.Send[api.Job](cl, client.Request{
				Method: "POST", Path: api.PathJobs, Headers: map[string]string{api.HeaderIdempotencyKey: mark},
			}, api.JobRequest{
				Workload: "push", Workspace: workspaceOf(n), Payload: map[string]any{"run": 0.2, "mark": mark},
			})
			if err != nil {
				continue
			}
			id = vw.ID
		}
		vw, err := client.JSON[api.Job](cl, client.Request{Method: "DELETE", Path: api.PathJobs + "/" + id})
		if err == nil && vw.Answer != "" {
			return vw.Answer
		}
	}
	return ""
}

func (wa *cancelWave) end() []outcome {
	wa.wg.Wait()
	return wa.outcomes
}
