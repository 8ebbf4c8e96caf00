//go:build review

package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Client is a client of the jobs' interface, which tries one node after the other.
type Client struct {
	Record       *Record
	Host, Prefix string
	Nodes        func() []*Node
}

// Do sends a call until a node answers with a status other than 429, 502, 503 and 504, for at most the given time.
func (cl *Client) Do(method, id, body string, within time.Duration) (status int, answer string) {
	const timeout, pause = 3 * time.Second, 200 * time.Millisecond
	calls := &http.Client{Timeout: timeout}
	for until := time.Now().Add(within); ; time.Sleep(pause) {
		for _, nd := range cl.Nodes() {
			rq, err := http.NewRequest(method, "http://"+nd.Callers+cl.Prefix+id, strings.NewReader(body))
			if err != nil {
				return 0, err.Error()
			}
			rq.Host = cl.Host
			rs, err := calls.Do(rq)
			if err != nil {
				continue
			}
			raw, err := io.ReadAll(rs.Body)
			_ = rs.Body.Close()
			if err != nil || rs.StatusCode == http.StatusTooManyRequests || rs.StatusCode >= http.StatusInternalServerError {
				continue
			}
			cl.Record.Printf("client: %s %s%s %s to %s -> %d %s", method, cl.Prefix, id, body, nd.Name, rs.StatusCode, raw)
			return rs.StatusCode, string(raw)
		}
		if time.Now().After(until) {
			cl.Record.Printf("client: %s %s%s got no answer within %v", method, cl.Prefix, id, within)
			return 0, ""
		}
	}
}

// Phase returns the phase of a job, or a description of the answer.
func (cl *Client) Phase(id string) string {
	const within = 5 * time.Second
	status, answer := cl.Do(http.MethodGet, id, "", within)
	var state struct {
		Phase string `json:"phase"`
	}
	if err := json.Unmarshal([]byte(answer), &state); err != nil || status != http.StatusOK {
		return fmt.Sprintf("status %d", status)
	}
	return state.Phase
}
