package journal_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/journal"
	"tackbeam.example/tackbeam/internal/nodemsg"
	"tackbeam.example/tackbeam/internal/standin/standinstore"
	"tackbeam.example/tackbeam/internal/store"
)

func start(t *testing.T) (*standinstore.Store, *store.Client) {
	t.Helper()
	st, err := standinstore.New(standinstore.Options{Writes: 5000, Reads: 5000})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = st.Close() })
	cl := store.New(clockwork.NewRealClock(), store.HTTP([]string{st.Addr()}), store.Options{
		Writes: 5000, Reads: 5000, Timeout: 300 * time.Millisecond,
	})
	cl.SetNodes(1)
	return st, cl
}

func open(t *testing.T, cl *store.Client) *journal.Journal {
	t.Helper()
	jr := journal.New(clockwork.NewRealClock(), logr.Discard(), cl, "n1-a")
	t.Cleanup(jr.Stop)
	return jr
}

func record(key string, version uint64) nodemsg.Record {
	return nodemsg.Record{Key: key, Version: version, Value: []byte(fmt.Sprint(key, "@", version))}
}

func wait(t *testing.T, jr *journal.Journal, pd *journal.Pending) {
	t.Helper()
	if err := jr.Wait(context.Background(), pd); err != nil {
		t.Fatal(err)
	}
}

// TestLapsKeepWhatStands writes many laps of the ring. Records that stand are
// copied forward, ended ones are gone, and lost replies change nothing.
func TestLapsKeepWhatStands(t *testing.T) {
	is := is.New(t)
	st, cl := start(t)
	st.SetFaults(standinstore.Faults{LoseEvery: 7})
	jr := open(t, cl)
	wait(t, jr, jr.Append(record("old", 1), record("ended", 1)))
	for n := uint64(1); n <= 150; n++ {
		wait(t, jr, jr.Append(record("hot", n)))
		if n == 70 {
			wait(t, jr, jr.Append(nodemsg.Record{Key: "ended", Version: 2}))
		}
	}
	got, err := journal.Seal(context.Background(), cl, "n1-a")
	is.NoErr(err)
	is.Equal(len(got), 2)
	is.Equal(got[0], record("hot", 150)) // the newest state
	is.Equal(got[1], record("old", 1))   // two laps old, still there
	is.True(st.Counts().Lost > 0)
}

// TestSealFencesAPausedWriter seals a journal whose writer still believes it is
// alive: its next append must fail, and sealing again changes nothing.
func TestSealFencesAPausedWriter(t *testing.T) {
	is := is.New(t)
	_, cl := start(t)
	jr := open(t, cl)
	wait(t, jr, jr.Append(record("a", 1)))
	first, err := journal.Seal(context.Background(), cl, "n1-a")
	is.NoErr(err)
	err = jr.Wait(context.Background(), jr.Append(record("b", 1)))
	is.True(err != nil) // the writer is fenced
	is.True(jr.Fenced())
	second, err := journal.Seal(context.Background(), cl, "n1-a")
	is.NoErr(err)
	is.Equal(first, second)
	is.Equal(len(second), 1)
	is.NoErr(journal.Erase(context.Background(), cl, "n1-a"))
	items, _, err := cl.List(context.Background(), store.Rest, journal.Prefix)
	is.NoErr(err)
	is.Equal(len(items), 1) // the seal stays, see TestWriterWakesAfterErase
	left, err := journal.Seal(context.Background(), cl, "n1-a")
	is.NoErr(err)
	is.Equal(len(left), 0) // and holds no record
}

// TestSealKeepsTheOrder seals onto a slot with an old record of a key whose
// newest record stands elsewhere.
func TestSealKeepsTheOrder(t *testing.T) {
	is := is.New(t)
	_, cl := start(t)
	jr := open(t, cl)
	for n := uint64(1); n <= 66; n++ { // the next slot holds version 3
		wait(t, jr, jr.Append(record("hot", n)))
	}
	got, err := journal.Seal(context.Background(), cl, "n1-a")
	is.NoErr(err)
	is.Equal(got, []nodemsg.Record{record("hot", 66)})
}

// TestOutage tells appends that were not sent from those that may be in.
func TestOutage(t *testing.T) {
	is := is.New(t)
	st, cl := start(t)
	jr := open(t, cl)
	st.SetFaults(standinstore.Faults{Hang: true})
	sent := jr.Append(record("sent", 1))
	short, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	is.True(fault.From(jr.Wait(short, sent)).MayHaveRun) // it may be in
	behind := jr.Append(record("behind", 1))
	is.True(!fault.From(jr.Wait(short, behind)).MayHaveRun) // it is surely not
	st.SetFaults(standinstore.Faults{})
	<-sent.Done()
	is.NoErr(sent.Err()) // once the store is back, what was sent is settled
}

// TestWriterWakesAfterErase erases a journal while its writer is paused. The writer
// may not go on, whether it had used the next slot of the ring or not.
func TestWriterWakesAfterErase(t *testing.T) {
	for name, before := range map[string]uint64{"before its first write": 0, "within the first lap": 3, "in a later lap": 150} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, cl := start(t)
			jr := open(t, cl)
			for n := uint64(1); n <= before; n++ {
				wait(t, jr, jr.Append(record("j", n)))
			}
			_, err := journal.Seal(t.Context(), cl, "n1-a")
			is.NoErr(err)
			is.NoErr(journal.Erase(t.Context(), cl, "n1-a"))
			is.NoErr(journal.Erase(t.Context(), cl, "n1-a")) // another node may do the same
			is.True(jr.Wait(t.Context(), jr.Append(record("late", 1))) != nil)
		})
	}
}
