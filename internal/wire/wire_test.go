package wire_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/nodemsg"
	"tackbeam.example/tackbeam/internal/wire"
)

// TestTimePrecision checks that times keep their fractions of a second. Truncated to
// whole seconds, deadlines expire early and the order of jobs is lost.
func TestTimePrecision(t *testing.T) {
	is := is.New(t)
	sent := nodemsg.JobView{Submitted: time.Unix(1700000000, 123456000)}
	raw, err := wire.Encode(sent)
	is.NoErr(err)
	var got nodemsg.JobView
	is.NoErr(wire.Decode(raw, &got))
	is.True(got.Submitted.Sub(sent.Submitted).Abs() < time.Microsecond)
	is.True(got.Ended.IsZero()) // the zero time is preserved
}

func TestTooLarge(t *testing.T) {
	is := is.New(t)
	_, err := wire.Encode(strings.Repeat("x", wire.MaxMessageSize))
	is.True(fault.Is(err, fault.TooLarge))
	_, err = wire.ReadAll(strings.NewReader(strings.Repeat("x", wire.MaxMessageSize+1)))
	is.True(fault.Is(err, fault.TooLarge))
}

// FuzzDecode checks that the decoder may reject arbitrary input, but does not panic
// or allocate more memory than the size of the input justifies.
func FuzzDecode(f *testing.F) {
	seed, err := wire.Encode(nodemsg.Hold{ID: "j.1.0", Tasks: []string{"j.1.0"}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Add([]byte{0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}) // an array of 2^64-1
	f.Add([]byte{0x5b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}) // a string of 2^63-1 bytes
	f.Add([]byte{0xbf, 0xff})                                           // indefinite length
	f.Fuzz(func(t *testing.T, raw []byte) {
		var hd nodemsg.Hold
		if wire.Decode(raw, &hd) != nil {
			return
		}
		if _, err := wire.Encode(hd); err != nil {
			t.Errorf("decoded message cannot be encoded: %v", err)
		}
	})
}
