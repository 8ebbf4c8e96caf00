package term_test

import (
	"reflect"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"tackbeam.example/tackbeam/internal/joblog"
	"tackbeam.example/tackbeam/internal/kv"
	"tackbeam.example/tackbeam/internal/term"
)

// leading returns the node that is the planner.
func (gb *graceBed) leading() string {
	gb.mu.Lock()
	defer gb.mu.Unlock()
	for node, er := range gb.electors {
		if er.Leading() {
			return node
		}
	}
	gb.t.Fatal("no node is the planner")
	return ""
}

// lastAllowed returns when a planner may renew leases of workers for the last time, as long as it cannot renew its own.
func (gb *graceBed) lastAllowed(node string) (last time.Time) {
	for range 2 * term.MaxUnrenewed / time.Millisecond {
		if gb.term(node).MayRenewLeases() {
			last = time.Now()
		}
		time.Sleep(time.Millisecond)
	}
	return last
}

// TestUnrecordedPermissions guards against a planner that uses permissions although the store may name a node that it did
// not ask, or names none.
func TestUnrecordedPermissions(t *testing.T) {
	for name, arrange := range map[string]func(gb *graceBed){
		"no record of the term": func(gb *graceBed) {
			gb.term("n1").Yield("test")
			time.Sleep(5 * time.Second)
		},
		"a node of the record has left": func(gb *graceBed) {
			gb.electors["n3"].Resign(gb.ctx)
			time.Sleep(time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				gb := newGraceBed(t, "n1", "n2", "n3")
				defer gb.end()
				time.Sleep(20 * time.Second)
				gb.unrecorded.Store(true)
				arrange(gb)
				planner := gb.leading()
				renewed := gb.lastRenewal(planner)
				gb.set(gb.silent, "all", true)
				if lasted := gb.lastAllowed(planner).Sub(renewed); lasted > graceTTL {
					t.Errorf("leases were renewed for %v, more than %v", lasted, graceTTL)
				}
			})
		})
	}
}

// TestRecordAwaitsRenewals guards against a planner whose record replaces that of an earlier one which may still use
// permissions.
func TestRecordAwaitsRenewals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		gb := newGraceBed(t, "n1", "n2")
		defer gb.end()
		time.Sleep(20 * time.Second)
		gb.set(gb.silent, "n1", true)
		time.Sleep(900 * time.Millisecond)
		gb.set(gb.silent, "all", true)
		time.Sleep(1200 * time.Millisecond)
		gb.set(gb.silent, "all", false)
		for gb.term("n2").Token == 0 {
			time.Sleep(time.Millisecond)
		}
		end, ok := gb.term("n2").AwaitRenewalsEnd(gb.ctx)
		is.True(ok)
		is.True(end.After(time.Now()))
		for gb.record().Term != gb.term("n2").Token {
			time.Sleep(time.Millisecond)
		}
		if early := time.Until(end); early > 0 {
			t.Errorf("the record was written %v before the earlier renewals ended", early)
		}
	})
}

// TestLateRecord guards against a write of the record that reaches the store late: it must not replace a later one, nor take
// effect once the next planner is elected.
func TestLateRecord(t *testing.T) {
	const late = 3 * time.Second
	for name, replace := range map[string]func(gb *graceBed){
		"of the same term": func(gb *graceBed) { gb.add("n4") },
		"of the next term": func(gb *graceBed) {
			gb.unrecorded.Store(true)
			gb.cancels["n1"]()
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				gb := newGraceBed(t, "n1", "n2")
				defer gb.end()
				time.Sleep(20 * time.Second)
				gb.recordDelay.Store(int64(late))
				gb.add("n3")
				time.Sleep(100 * time.Millisecond)
				gb.recordDelay.Store(0)
				replace(gb)
				time.Sleep(late - 200*time.Millisecond)
				before := gb.record()
				time.Sleep(time.Second)
				if after := gb.record(); !reflect.DeepEqual(before, after) {
					t.Errorf("record %v was replaced by %v", before, after)
				}
			})
		})
	}
}

// record returns the record in the store.
func (gb *graceBed) record() joblog.GraceRecord {
	item, _, err := gb.store.Client("test").Get(gb.ctx, joblog.Grace, 0)
	if err != nil {
		gb.t.Fatal(err)
	}
	rec, err := joblog.Decode[joblog.GraceRecord](item.Value)
	if err != nil {
		gb.t.Fatal(err)
	}
	return rec
}

// TestRestartedNodeAwaitsPermissions guards against a node that was started again and does not wait for what its earlier
// process permitted.
func TestRestartedNodeAwaitsPermissions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const ttl = time.Second
		gb := newGraceBedOf(t, ttl, "n1", "n2")
		defer gb.end()
		time.Sleep(20 * time.Second)
		gb.set(gb.silent, "all", true)
		time.Sleep(ttl + 500*time.Millisecond)
		gb.cancels["n2"]()
		gb.set(gb.silent, "all", false)
		gb.set(gb.silent, "n1", true)
		gb.add("n2")
		started := time.Now()
		for gb.term("n2").Token == 0 {
			time.Sleep(time.Millisecond)
		}
		end, ok := gb.term("n2").AwaitRenewalsEnd(gb.ctx)
		if !ok || end.Before(started.Add(graceTime)) {
			t.Errorf("renewals end %v after the start, want %v", end.Sub(started), graceTime)
		}
	})
}

// TestUndecodableRecord checks that a planner assumes any permissions if it cannot decode the record.
func TestUndecodableRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gb := newGraceBed(t, "n1", "n2")
		defer gb.end()
		time.Sleep(20 * time.Second)
		if _, _, err := gb.store.Client("test").Commit(gb.ctx, kv.Txn{Puts: []kv.Put{{Key: joblog.Grace, Value: []byte("?")}}}); err != nil {
			t.Fatal(err)
		}
		gb.set(gb.silent, "n1", true)
		for gb.term("n2").Token == 0 {
			time.Sleep(time.Millisecond)
		}
		elected := time.Now()
		end, ok := gb.term("n2").AwaitRenewalsEnd(gb.ctx)
		const step = 10 * time.Millisecond
		if least := term.MaxUnrenewed - graceTTL - step; !ok || end.Sub(elected) < least {
			t.Errorf("renewals end %v after the election, want %v", end.Sub(elected), least)
		}
	})
}

// TestPermissionsOfStartingNode guards against a node that tells about its permissions before it has begun to count those of
// its earlier process.
func TestPermissionsOfStartingNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gb := newGraceBed(t, "n1")
		defer gb.end()
		starting := term.New(clockwork.NewRealClock(), logr.Discard(), gb.store.Client("n2"), term.Options{Node: "n2", PeerAddr: "n2:1", TTL: graceTTL})
		if left, err := starting.PermissionsLeft(7); err == nil {
			t.Errorf("PermissionsLeft = %v", left)
		}
		time.Sleep(time.Second)
	})
}
