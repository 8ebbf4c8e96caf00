package advisor_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"

	"tackbeam.example/policy/cell"

	"tackbeam.example/tackbeam/internal/advisor"
	"tackbeam.example/tackbeam/internal/joblog"
	"tackbeam.example/tackbeam/internal/peerlink"
	"tackbeam.example/tackbeam/internal/planner"
)

// TestUrgentRequests guards against urgent requests that wait behind far more long ones than the nodes can process.
func TestUrgentRequests(t *testing.T) {
	cases := map[string]int{"three nodes": 3, "four nodes": 4, "seven nodes": 7}
	for name, count := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				clock := clockwork.NewRealClock() // uses the synctest bubble's time
				queues := map[string]chan struct{}{}
				var members []joblog.Member
				for _, node := range []string{"a", "b", "c", "d", "e", "f", "g"}[:count] {
					members = append(members, joblog.Member{Node: node, PeerAddr: node})
					queues[node] = make(chan struct{}, 1)
				}
				call := func(node string, takes time.Duration) {
					queues[node] <- struct{}{} // the advisor serves one call of a node at a time
					time.Sleep(takes)
					<-queues[node]
				}
				pool := advisor.New(advisor.Options{
					Clock: clock, Node: "a", Members: func() []joblog.Member { return members },
					Local: func(_ context.Context, rq cell.AdviceRequest) (planner.Advice, error) {
						call("a", rq.Takes)
						return planner.Advice{}, nil
					},
					Call: func(_ context.Context, address string, rq peerlink.Request) (peerlink.Reply, error) {
						call(address, rq.Advise.Takes)
						return peerlink.Reply{}, nil
					},
				})
				for range 60 {
					for range 2 * count {
						go func() {
							_, err := pool.Advise(t.Context(), cell.AdviceRequest{Takes: 900 * time.Millisecond})
							_ = err // most of these requests are refused
						}()
					}
					startedAt := time.Now()
					if _, err := pool.Advise(t.Context(), cell.AdviceRequest{Takes: 7 * time.Millisecond, Urgent: true}); err != nil {
						t.Error(err)
					}
					if took := time.Since(startedAt); took > 50*time.Millisecond {
						t.Errorf("urgent request took %v", took)
					}
					time.Sleep(50 * time.Millisecond)
				}
				time.Sleep(10 * time.Second)
			})
		})
	}
}

// TestReserved checks how many long requests are sent at once: one for each node that is not reserved for urgent ones.
// A third of the nodes is reserved, up to a maximum.
func TestReserved(t *testing.T) {
	cases := map[string]struct{ nodes, want int }{
		"three nodes": {3, 2}, "seven nodes": {7, 5}, "forty-three nodes": {43, 37},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var members []joblog.Member
				for n := range tt.nodes {
					members = append(members, joblog.Member{Node: fmt.Sprintf("n%02d", n), PeerAddr: "p"})
				}
				put := make(chan struct{}, tt.nodes)
				call := func() (planner.Advice, error) {
					put <- struct{}{}
					time.Sleep(time.Second)
					return planner.Advice{}, nil
				}
				pool := advisor.New(advisor.Options{
					Clock: clockwork.NewRealClock(), Node: "n00", Members: func() []joblog.Member { return members },
					Local: func(context.Context, cell.AdviceRequest) (planner.Advice, error) { return call() },
					Call: func(context.Context, string, peerlink.Request) (peerlink.Reply, error) {
						_, err := call()
						return peerlink.Reply{}, err
					},
				})
				for range tt.nodes {
					go func() {
						_, err := pool.Advise(t.Context(), cell.AdviceRequest{Takes: time.Second})
						_ = err // requests beyond the limit are refused
					}()
				}
				synctest.Wait()
				if got := len(put); got != tt.want {
					t.Errorf("%d requests at once, want %d", got, tt.want)
				}
				time.Sleep(2 * time.Second) // lets all requests end
			})
		})
	}
}
