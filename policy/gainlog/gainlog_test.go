package gainlog_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"tackbeam.example/policy/gainlog"
)

func ExampleLog_Since() {
	lg := gainlog.New[string](100)
	lg.Add("w1")
	tried := lg.End()
	lg.Add("w2")
	lg.Add("w3")
	fmt.Println(lg.Since(tried))
	// Output: [w2 w3] true
}

// TestSince checks that a reader gets all elements since its position or is told that some are missing: a step that
// missed one would keep waiting beside free capacity.
func TestSince(t *testing.T) {
	const limit = 8
	tests := map[string]struct {
		added, position int
		complete        bool
	}{
		"nothing added":   {0, 0, true},
		"all are kept":    {2 * limit, 0, true},
		"some dropped":    {2*limit + 1, 0, false},
		"only later ones": {2*limit + 1, limit + 1, true},
		"many rounds":     {100, 100 - limit, true},
		"the end":         {100, 100, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			lg := gainlog.New[int](limit)
			for n := range tt.added {
				lg.Add(n)
			}
			is.Equal(lg.End(), tt.added)
			list, complete := lg.Since(tt.position)
			is.Equal(complete, tt.complete)
			if !complete {
				return
			}
			is.Equal(len(list), tt.added-tt.position)
			for i, n := range list {
				is.Equal(n, tt.position+i)
			}
		})
	}
}
