package relay_test

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/joblog"
	"tackbeam.example/tackbeam/internal/peerlink"
	"tackbeam.example/tackbeam/internal/relay"
)

// TestDo checks how many nodes are tried, and what is returned, depending on their answers.
func TestDo(t *testing.T) {
	refused := fault.New(fault.Unavailable, "store unavailable")
	stale := fault.New(fault.Stale, "configuration is old; not run")
	unknown := fault.New(fault.Timeout, "no answer")
	notThere := fault.New(fault.NotFound, "no such job")
	tests := map[string]struct {
		nodes   int
		answers []error
		calls   int
		done    bool
		want    fault.Kind
	}{
		"first node answers":                   {nodes: 4, answers: []error{nil}, calls: 1, done: true},
		"second node answers":                  {nodes: 4, answers: []error{refused, nil}, calls: 2, done: true},
		"first node has a stale configuration": {nodes: 4, answers: []error{stale, nil}, calls: 2, done: true},
		"both nodes fail":                      {nodes: 4, answers: []error{refused, refused}, calls: 2},
		"no answer, may have been carried out": {nodes: 4, answers: []error{unknown}, calls: 1, done: true, want: fault.Timeout},
		"error of the job is returned":         {nodes: 4, answers: []error{notThere}, calls: 1, done: true, want: fault.NotFound},
		"no other node":                        {nodes: 1},
		"only other node fails":                {nodes: 2, answers: []error{refused}, calls: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			calls := 0
			re := relay.Relay{
				Node: "a",
				Members: func() []joblog.Member {
					list := []joblog.Member{{Node: "a", PeerAddr: "a"}, {Node: "b", PeerAddr: "b"}, {Node: "c", PeerAddr: "c"}, {Node: "d", PeerAddr: "d"}}
					return list[:tt.nodes]
				},
				Call: func(_ context.Context, address string, rq peerlink.Request) (peerlink.Reply, error) {
					is.True(address != "a") // a node does not call itself
					is.True(rq.Relayed)
					calls++
					if err := tt.answers[calls-1]; err != nil {
						return peerlink.Reply{}, err
					}
					return peerlink.Reply{Pending: 7}, nil
				},
			}
			reply, done, err := re.Do(t.Context(), peerlink.Request{Pending: "q"})
			is.Equal(calls, tt.calls)
			is.Equal(done, tt.done)
			if tt.want != "" {
				is.True(fault.Is(err, tt.want))
			} else if tt.done {
				is.NoErr(err)
				is.Equal(reply.Pending, 7)
			}
		})
	}
}
