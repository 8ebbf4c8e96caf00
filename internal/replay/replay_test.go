package replay_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"tackbeam.example/policy/ledger"
	"tackbeam.example/policy/owner"
	"tackbeam.example/policy/size"
	"tackbeam.example/tackbeam/internal/recorder"
	"tackbeam.example/tackbeam/internal/replay"
)

// trace records a worker and a lookup as a node would.
func trace(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "trace")
	rc, err := recorder.New(path, recorder.Header{Node: "n1", Limits: owner.DefaultLimits(), AtOnce: 1})
	if err != nil {
		t.Fatal(err)
	}
	mc := owner.New(owner.DefaultLimits())
	for _, ev := range []owner.Event{
		{WorkerUp: &owner.WorkerUp{Worker: ledger.Worker{Name: "w1", Capacity: size.New(1000, 64, 0), Slots: 1}}},
		{At: time.Second, Lookup: &owner.Lookup{ID: "lookup-1", Weight: 1, Deadline: time.Minute}},
	} {
		rc.Owner(ev, mc.Step(ev))
	}
	if err := rc.Stop(t.Context()); err != nil {
		t.Fatal(err)
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

func TestReplay(t *testing.T) {
	whole := trace(t)
	cases := map[string]struct {
		text        string
		fails       bool
		differences int
	}{
		"as recorded":            {whole, false, 0},
		"another worker":         {strings.ReplaceAll(whole, `"w1"`, `"w2"`), false, 1},
		"fewer slots":            {strings.ReplaceAll(whole, `"slots":1`, `"slots":0`), false, 1},
		"empty":                  {"", true, 0},
		"no header":              {`{"owner":{}}`, true, 0},
		"another version":        {strings.ReplaceAll(whole, `"version":2`, `"version":1`), true, 0},
		"a line that is no JSON": {whole + "{", true, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			rp, err := replay.Run(strings.NewReader(tc.text), time.Now)
			is.Equal(err != nil, tc.fails)
			is.Equal(rp.Differences, tc.differences)
		})
	}
}
