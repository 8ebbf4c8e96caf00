package keys_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"tackbeam.example/tackbeam/internal/keys"
)

// TestReload checks that replaced files are loaded without a restart, also if they
// are older, and that the previous keys stay in use if the files cannot be read.
func TestReload(t *testing.T) {
	old, other := t.TempDir(), t.TempDir()
	for _, dir := range []string{old, other} {
		if err := keys.Issue(dir, []string{"n1"}); err != nil {
			t.Fatal(err)
		}
	}
	names := []string{"n1" + keys.CertSuffix, "n1" + keys.KeySuffix, keys.CAFile}
	copyAll := func(t *testing.T, from, to string, at time.Time) {
		t.Helper()
		for _, name := range names {
			raw, err := os.ReadFile(filepath.Join(from, name))
			if err == nil {
				err = os.WriteFile(filepath.Join(to, name), raw, 0o600)
			}
			if err == nil {
				err = os.Chtimes(filepath.Join(to, name), at, at)
			}
			if err != nil {
				t.Fatal(err)
			}
		}
	}
	cases := map[string]struct {
		change   func(t *testing.T, dir string)
		reloaded bool
	}{
		"newer files": {func(t *testing.T, dir string) { copyAll(t, other, dir, time.Now().Add(time.Hour)) }, true},
		"older files": {func(t *testing.T, dir string) { copyAll(t, other, dir, time.Now().Add(-48*time.Hour)) }, true},
		"no change":   {func(*testing.T, string) {}, false},
		"empty file": {func(t *testing.T, dir string) {
			if err := os.WriteFile(filepath.Join(dir, names[0]), nil, 0o600); err != nil {
				t.Fatal(err)
			}
		}, false},
		"no files": {func(_ *testing.T, dir string) { _ = os.RemoveAll(dir) }, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			dir := t.TempDir()
			copyAll(t, old, dir, time.Now())
			clock := clockwork.NewFakeClock()
			path := func(i int) string { return filepath.Join(dir, names[i]) }
			keyring, err := keys.New(clock, logr.Discard(), path(0), path(1), path(2))
			is.NoErr(err)
			before := keyring.ClientConfig().Certificates[0].Certificate[0]
			tc.change(t, dir)
			clock.Advance(time.Minute)
			after := keyring.ClientConfig().Certificates[0].Certificate[0]
			is.Equal(string(before) != string(after), tc.reloaded)
		})
	}
}
