package joblog_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"tackbeam.example/tackbeam/internal/joblog"
)

func TestAge(t *testing.T) {
	const wall = 1000 * time.Hour
	tests := map[string]struct {
		at, want time.Duration
	}{
		"a while ago":             {at: wall - time.Minute, want: time.Minute},
		"not known":               {at: 0, want: 0},
		"clock ahead":             {at: wall + time.Minute, want: 0},
		"clock behind, for hours": {at: wall - 3*time.Hour, want: 5 * time.Minute},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			bt := joblog.Batch{CreatedAt: tt.at}
			is.New(t).Equal(bt.Age(wall), tt.want)
		})
	}
}
