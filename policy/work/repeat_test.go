package work_test

import (
	"math"
	"testing"
	"time"

	"tackbeam.example/policy/work"
)

// TestDue guards against a round that is due at once because its time is too large for a Duration.
func TestDue(t *testing.T) {
	const (
		last = time.Duration(math.MaxInt64)
		day  = 24 * time.Hour
	)
	tests := map[string]struct {
		repeat work.Repeat
		round  int
		want   time.Duration
	}{
		"first":                      {work.Repeat{Start: day, Every: time.Hour}, 0, day},
		"later":                      {work.Repeat{Start: day, Every: time.Hour}, 3, day + 3*time.Hour},
		"all at once":                {work.Repeat{Start: day}, 200_000, day},
		"last time of a Duration":    {work.Repeat{Start: last, Every: time.Hour}, 0, last},
		"sum too large":              {work.Repeat{Start: last, Every: time.Hour}, 1, last},
		"product too large":          {work.Repeat{Start: day, Every: last / 2}, 3, last},
		"product wraps around fully": {work.Repeat{Start: day, Every: 1 << 62}, 4, last},
		"before 1970":                {work.Repeat{Start: -day, Every: time.Hour}, 1, 0},
		"earlier each time":          {work.Repeat{Start: day, Every: -time.Hour}, 3, day - 3*time.Hour},
		"far before 1970":            {work.Repeat{Start: -last, Every: -last}, 3, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if got := tt.repeat.Due(tt.round); got != tt.want {
				t.Errorf("round %d is due at %v, want %v", tt.round, got, tt.want)
			}
		})
	}
}
