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

// run executes a command line and returns its exit code and output.
func run(args ...string) (code int, out, errOut string) {
	var o, e bytes.Buffer
	code = cli.Run(args, strings.NewReader(""), &o, &e)
	return code, o.String(), e.String()
}

// TestExitCodes checks that each failure prints one line and exits with the code of its kind of error.
func TestExitCodes(t *testing.T) {
	unreachable := []string{"--node", "127.0.0.1:1", "--timeout", "1s"}
	cases := map[string]struct {
		args    []string
		code    int
		wantErr string
	}{
		"version":             {[]string{"version"}, 0, ""},
		"help":                {[]string{"--help"}, 0, ""},
		"help of a command":   {[]string{"table", "set", "--help"}, 0, ""},
		"unknown command":     {[]string{"tabel"}, 2, "tabel"},
		"unknown option":      {[]string{"nodes", "--fast"}, 2, "fast"},
		"missing argument":    {[]string{"table", "get"}, 2, "ROW"},
		"bad row":             {[]string{"table", "get", "brno"}, 2, "workspace/NAME"},
		"payload not JSON":    {[]string{"submit", "push", "-w", "brno", "--payload", "{"}, 2, "not JSON"},
		"no such trace":       {[]string{"replay", "/none"}, 2, "/none"},
		"no such policy":      {[]string{"replay", "--compare", "best", "../../traces/brno-day.jsonl.gz"}, 2, "no policy best"},
		"no such workload":    {[]string{"trace", "zlin-day", "/none"}, 2, "brno-day"},
		"drain without yes":   {[]string{"drain", "n1"}, 18, "--yes"},
		"remove without yes":  {[]string{"table", "remove", "workspace/brno"}, 18, "--yes"},
		"metrics unreachable": {append(unreachable, "evacuations"), 14, "127.0.0.1:1"},
		"node unreachable":    {append(unreachable, "nodes"), 14, "127.0.0.1:1"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			code, _, errOut := run(tc.args...)
			is.Equal(code, tc.code)
			is.True(strings.Contains(errOut, tc.wantErr))
			is.True(strings.Count(errOut, "\n") == min(tc.code, 1)) // one line on failure, none on success
		})
	}
}

// TestPagesUpToDate checks that docs/commands contains the pages that are generated from the list of commands.
func TestPagesUpToDate(t *testing.T) {
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
