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

func startStore(t *testing.T) (*standinstore.Store, *store.Client) {
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

func startJournal(t *testing.T, cl *store.Client) *journal.Journal {
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

// TestWrapAroundKeepsRecords guards against losing records when the ring wraps around. Current records are carried
// along, deleted ones disappear, and lost responses change nothing.
func TestWrapAroundKeepsRecords(t *testing.T) {
	is := is.New(t)
	st, cl := startStore(t)
	st.SetFaults(standinstore.Faults{LoseEvery: 7})
	jr := startJournal(t, cl)
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
	is.Equal(got[0], record("hot", 150)) // the latest version
	is.Equal(got[1], record("old", 1))   // carried along in two rounds of the ring
	is.True(st.Counts().Lost > 0)
}

// TestSealFencesPausedWriter guards against a paused writer that still owns its journal as far as it knows. Its next
// append must fail after the journal is sealed. Sealing it again changes nothing.
func TestSealFencesPausedWriter(t *testing.T) {
	is := is.New(t)
	_, cl := startStore(t)
	jr := startJournal(t, cl)
	wait(t, jr, jr.Append(record("a", 1)))
	first, err := journal.Seal(context.Background(), cl, "n1-a")
	is.NoErr(err)
	err = jr.Wait(context.Background(), jr.Append(record("b", 1)))
	is.True(err != nil)
	is.True(jr.Fenced())
	second, err := journal.Seal(context.Background(), cl, "n1-a")
	is.NoErr(err)
	is.Equal(first, second)
	is.Equal(len(second), 1)
	is.NoErr(journal.Erase(context.Background(), cl, "n1-a"))
	items, _, err := cl.List(context.Background(), store.Other, journal.Prefix)
	is.NoErr(err)
	is.Equal(len(items), 1) // only the seal, see TestPausedWriterAfterErase
	left, err := journal.Seal(context.Background(), cl, "n1-a")
	is.NoErr(err)
	is.Equal(len(left), 0) // the seal holds no record
}

// TestSealKeepsOrder guards against a seal that brings back an old record. It seals a slot with an old record of a key
// whose latest record is in another slot.
func TestSealKeepsOrder(t *testing.T) {
	is := is.New(t)
	_, cl := startStore(t)
	jr := startJournal(t, cl)
	for n := uint64(1); n <= 66; n++ { // the next slot holds version 3
		wait(t, jr, jr.Append(record("hot", n)))
	}
	got, err := journal.Seal(context.Background(), cl, "n1-a")
	is.NoErr(err)
	is.Equal(got, []nodemsg.Record{record("hot", 66)})
}

// TestOutage checks that the error of an append tells whether it was sent and may have been stored.
func TestOutage(t *testing.T) {
	is := is.New(t)
	st, cl := startStore(t)
	jr := startJournal(t, cl)
	st.SetFaults(standinstore.Faults{Hang: true})
	sent := jr.Append(record("sent", 1))
	short, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	is.True(fault.From(jr.Wait(short, sent)).Begun) // may be stored
	behind := jr.Append(record("behind", 1))
	is.True(!fault.From(jr.Wait(short, behind)).Begun) // certainly not stored
	st.SetFaults(standinstore.Faults{})
	<-sent.Done()
	is.NoErr(sent.Err()) // stored once the store answers again
}

// TestPausedWriterAfterErase guards against a writer that was paused while its journal was erased and then continues.
// It must be fenced, whether or not it has used the next slot of the ring.
func TestPausedWriterAfterErase(t *testing.T) {
	for name, before := range map[string]uint64{"before its first write": 0, "in the first round": 3, "in a later round": 150} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, cl := startStore(t)
			jr := startJournal(t, cl)
			for n := uint64(1); n <= before; n++ {
				wait(t, jr, jr.Append(record("j", n)))
			}
			_, err := journal.Seal(t.Context(), cl, "n1-a")
			is.NoErr(err)
			is.NoErr(journal.Erase(t.Context(), cl, "n1-a"))
			is.NoErr(journal.Erase(t.Context(), cl, "n1-a")) // another node may erase it as well
			is.True(jr.Wait(t.Context(), jr.Append(record("late", 1))) != nil)
		})
	}
}
