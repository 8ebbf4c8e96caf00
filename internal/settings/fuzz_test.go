package settings_test

import (
	"testing"

	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/settings"
)

// FuzzParse feeds any bytes to the reader of settings. What it refuses, it refuses
// as a bad request; what it takes passes its own check.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"node":"n1"}`))
	f.Add([]byte(`{"limits":{"queue":1e99},"store":{"addresses":[null]}}`))
	f.Add([]byte(`[]`))
	f.Add([]byte(`{"member":{"beat":"1h","suspect":-1}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		st, err := settings.Parse(raw)
		switch {
		case err != nil && !fault.Is(err, fault.BadRequest):
			t.Errorf("refused as %v", err)
		case err == nil && len(st.Check()) > 0:
			t.Errorf("taken, but %v", st.Check())
		}
	})
}
