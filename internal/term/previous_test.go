package term_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"tackbeam.example/tackbeam/internal/standin/memkv"
	"tackbeam.example/tackbeam/internal/term"
)

// TestPreviousTerm guards against a planner that takes another term than the one before its own for that.
func TestPreviousTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		clock := clockwork.NewRealClock() // of the bubble
		store := memkv.New(clock)
		var mu sync.Mutex
		var cutOff string
		terms := map[string]term.Term{}
		store.SetFault(func(client, _ string) memkv.Fault {
			mu.Lock()
			defer mu.Unlock()
			if client == cutOff {
				return memkv.RequestLost
			}
			return memkv.None
		})
		electors := map[string]*term.Elector{}
		latest := func(node string) term.Term {
			mu.Lock()
			defer mu.Unlock()
			return terms[node]
		}
		cut := func(node string) {
			mu.Lock()
			defer mu.Unlock()
			cutOff = node
		}
		for _, node := range []string{"n1", "n2", "n3"} {
			er := term.New(clock, logr.Discard(), store.Client(node), term.Options{
				Node: node, PeerAddr: node + ":1", TTL: time.Second, Lead: func(ctx context.Context, tm term.Term) {
					mu.Lock()
					terms[node] = tm
					mu.Unlock()
					<-ctx.Done()
				},
			})
			electors[node] = er
			go er.Run(t.Context())
			time.Sleep(100 * time.Millisecond)
		}
		first := latest("n1")
		is.Equal(first.Previous, term.Previous{})

		cut("n3")
		electors["n1"].Resign(t.Context())
		time.Sleep(300 * time.Millisecond)
		second := latest("n2")
		is.Equal(second.Previous.Token, first.Token)
		is.Equal(second.Previous.Node, "n1")
		is.Equal(second.Previous.PeerAddr, "n1:1")

		electors["n2"].Resign(t.Context())
		time.Sleep(3 * time.Second)
		cut("")
		time.Sleep(3 * time.Second)
		third := latest("n3")
		is.Equal(third.Previous, term.Previous{Token: second.Token}) // n3 has not seen who led it
	})
}
