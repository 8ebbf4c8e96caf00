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

// wave is many jobs that are cancelled as soon as they are accepted.
type wave struct {
	wg     sync.WaitGroup
	mu     sync.Mutex
	claims []claim
}

func startWave(cl *cluster) *wave {
	wa := &wave{}
	for n := range waveSize {
		wa.wg.Add(1)
		go func() {
			defer wa.wg.Done()
			cm := claim{mark: fmt.Sprint("wave-", n)}
			cm.ran = submitAndCancel(cl.api("n1", "n2"), cm.mark, n)
			wa.mu.Lock()
			defer wa.mu.Unlock()
			wa.claims = append(wa.claims, cm)
		}()
	}
	return wa
}

// submitAndCancel returns the final answer that the system gives to a job which
// is cancelled at once.
func submitAndCancel(cl *client.Client, mark string, n int) string {
	id := ""
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
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

func (wa *wave) end() []claim {
	wa.wg.Wait()
	return wa.claims
}
