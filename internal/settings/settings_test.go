package settings_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"tackbeam.example/tackbeam/internal/settings"
)

// validSettings returns settings that pass Check.
func validSettings(t *testing.T) map[string]any {
	t.Helper()
	file := filepath.Join(t.TempDir(), "pem")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	return map[string]any{
		"node":  "n1",
		"peer":  map[string]any{"cert": file, "key": file, "ca": file},
		"store": map[string]any{"addresses": []any{"127.0.0.1:1"}, "timeout": "250ms"},
		"vms":   map[string]any{"address": "127.0.0.1:2"},
	}
}

func parse(t *testing.T, tree map[string]any) (*settings.Settings, error) {
	t.Helper()
	raw, err := json.Marshal(tree)
	if err != nil {
		t.Fatal(err)
	}
	return settings.Parse(raw)
}

func TestValidSettings(t *testing.T) {
	is := is.New(t)
	st, err := parse(t, validSettings(t))
	is.NoErr(err)
	is.Equal(st.Store.Timeout.String(), "250ms")
	is.Equal(st.HTTP.Listen, settings.New().HTTP.Listen) // not given, so the default
}

func TestErrorsNamePath(t *testing.T) {
	cases := map[string]struct {
		modify func(map[string]any)
		want   string
	}{
		"unknown setting":        {func(tr map[string]any) { tr["nodes"] = 1 }, "nodes: no such setting"},
		"unknown nested setting": {func(tr map[string]any) { tr["http"] = map[string]any{"lisen": "x"} }, "http.lisen: no such setting"},
		"different case":         {func(tr map[string]any) { tr["Node"] = "n2" }, "Node: no such setting"},
		"host name":              {func(tr map[string]any) { tr["vms"] = map[string]any{"address": "localhost:1"} }, "vms.address"},
		"wrong type":             {func(tr map[string]any) { tr["limits"] = map[string]any{"queue": "many"} }, "limits.queue"},
		"invalid duration":       {func(tr map[string]any) { tr["member"] = map[string]any{"beat": "soon"} }, "member.beat"},
		"negative limit":         {func(tr map[string]any) { tr["limits"] = map[string]any{"tasks": -1} }, "limits.tasks: a whole number from 1"},
		"no store":               {func(tr map[string]any) { delete(tr, "store") }, "store.addresses: at least one"},
		"missing file":           {func(tr map[string]any) { tr["peer"].(map[string]any)["key"] = "/none" }, "peer.key: a file"},
		"no node name":           {func(tr map[string]any) { delete(tr, "node") }, "node: 1 to 63"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tree := validSettings(t)
			tc.modify(tree)
			_, err := parse(t, tree)
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), tc.want)) // names the path and the allowed values
		})
	}
}

func TestDocumentUpToDate(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/settings.md")
	is.NoErr(err)
	is.Equal(string(page), settings.Document()) // run: go run ./cmd/tackbeamd --settings > docs/settings.md
}
