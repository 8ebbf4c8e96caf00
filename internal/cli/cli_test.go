package cli_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"tackbeam.example/tackbeam/internal/cli"
)

// run carries a command line out and returns its exit code and what it printed.
func run(args ...string) (code int, out, errOut string) {
	var o, e bytes.Buffer
	code = cli.Run(args, strings.NewReader(""), &o, &e)
	return code, o.String(), e.String()
}

// TestExitCodes shows that each failure says one line and exits by its kind.
func TestExitCodes(t *testing.T) {
	nowhere := []string{"--node", "127.0.0.1:1", "--timeout", "1s"}
	cases := map[string]struct {
		args []string
		code int
		says string
	}{
		"version":            {[]string{"version"}, 0, ""},
		"help":               {[]string{"--help"}, 0, ""},
		"help of a command":  {[]string{"table", "set", "--help"}, 0, ""},
		"unknown command":    {[]string{"tabel"}, 2, "tabel"},
		"unknown option":     {[]string{"nodes", "--fast"}, 2, "fast"},
		"missing argument":   {[]string{"table", "get"}, 2, "ROW"},
		"bad row":            {[]string{"table", "get", "brno"}, 2, "workspace/NAME"},
		"payload is no JSON": {[]string{"submit", "push", "-w", "brno", "--payload", "{"}, 2, "not JSON"},
		"no such trace":      {[]string{"replay", "/none"}, 2, "/none"},
		"no such policy":     {[]string{"replay", "--compare", "best", "../../traces/brno-day.jsonl.gz"}, 2, "no policy best"},
		"no such recipe":     {[]string{"trace", "zlin-day", "/none"}, 2, "brno-day"},
		"drain without yes":  {[]string{"drain", "n1"}, 18, "--yes"},
		"remove without yes": {[]string{"table", "remove", "workspace/brno"}, 18, "--yes"},
		"node not reached":   {append(nowhere, "nodes"), 14, "127.0.0.1:1"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			code, _, errOut := run(tc.args...)
			is.Equal(code, tc.code)
			is.True(strings.Contains(errOut, tc.says))
			is.True(strings.Count(errOut, "\n") == min(tc.code, 1)) // one line, or none
		})
	}
}

// TestPagesAreCurrent compares docs/commands with what the list of commands makes.
func TestPagesAreCurrent(t *testing.T) {
	is := is.New(t)
	pages, err := cli.Pages()
	is.NoErr(err)
	files, err := filepath.Glob("../../docs/commands/*.md")
	is.NoErr(err)
	is.Equal(len(files), len(pages)) // run: make pages
	for name, text := range pages {
		raw, err := os.ReadFile(filepath.Join("../../docs/commands", name))
		is.NoErr(err)
		is.Equal(string(raw), text) // run: make pages
	}
}
