package settings_test

import (
	"testing"

	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/settings"
)

// FuzzParse checks that Parse, given arbitrary bytes, either returns a bad request or settings that
// pass Check.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"node":"n1"}`))
	f.Add([]byte(`{"limits":{"queue":1e99},"store":{"addresses":[null]}}`))
	f.Add([]byte(`[]`))
	f.Add([]byte(`{"member":{"beat":"1h","suspect":-1}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		st, err := settings.Parse(raw)
		switch {
		case err != nil && !fault.Is(err, fault.BadRequest):
			t.Errorf("Parse returned %v, want a bad request", err)
		case err == nil && len(st.Check()) > 0:
			t.Errorf("Parse accepted invalid settings: %v", st.Check())
		}
	})
}
