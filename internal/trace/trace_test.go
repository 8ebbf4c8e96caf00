package trace_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"

	"tackbeam.example/tackbeam/internal/trace"
)

const head = `{"version":1,"workload":"t","about":"","span":1000,"owners":1,"outcomes":{}}` + "\n"

// TestReadInvalid checks that each kind of invalid line is rejected with an error that names it.
func TestReadInvalid(t *testing.T) {
	cases := map[string]struct{ text, says string }{
		"empty":                    {"", "empty"},
		"no header":                {`{"at":0}`, "line 1"},
		"another version":          {strings.Replace(head, "1", "9", 1), "line 1"},
		"invalid JSON":             {head + "{", "line 2"},
		"unknown field":            {head + `{"at":0,"jobs":{}}`, "jobs"},
		"decreasing time":          {head + `{"at":5}` + "\n" + `{"at":4}`, "line 3"},
		"no tasks":                 {head + `{"at":0,"job":{"id":"j","run":1,"size":{}}}`, "tasks"},
		"no run":                   {head + `{"at":0,"job":{"id":"j","tasks":1,"size":{}}}`, "run"},
		"negative size":            {head + `{"at":0,"job":{"id":"j","tasks":1,"run":1,"size":{"memory":-1}}}`, "size"},
		"lookups without duration": {head + `{"at":0,"lookups":{"rate":1,"run":1,"budget":1}}`, "for"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := trace.Read(strings.NewReader(tc.text))
			if err == nil || !strings.Contains(err.Error(), tc.says) {
				t.Errorf("got %v, want an error with %q", err, tc.says)
			}
		})
	}
}

// TestGenerate checks that the same seed gives the same trace, that another seed gives another one, and that generated
// traces can be read.
func TestGenerate(t *testing.T) {
	for _, name := range trace.Names() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			text := func(seed uint64) string {
				tr, err := trace.Generate(name, seed)
				is.NoErr(err)
				var out bytes.Buffer
				is.NoErr(tr.Write(&out))
				return out.String()
			}
			is.Equal(text(1), text(1))
			is.True(text(1) != text(2))
			back, err := trace.Read(strings.NewReader(text(1)))
			is.NoErr(err)
			is.Equal(back.Header().Name, name)
		})
	}
}

// FuzzRead checks that no input causes a panic, and that accepted traces can be written and read again.
func FuzzRead(f *testing.F) {
	f.Add(head)
	f.Add(head + `{"at":0,"job":{"id":"j","tasks":1,"run":1,"size":{}}}`)
	f.Fuzz(func(t *testing.T, text string) {
		tr, err := trace.Read(strings.NewReader(text))
		if err != nil {
			return
		}
		var out bytes.Buffer
		if err := tr.Write(&out); err != nil {
			t.Fatal(err)
		}
		if _, err := trace.Read(&out); err != nil {
			t.Fatal(err)
		}
	})
}
