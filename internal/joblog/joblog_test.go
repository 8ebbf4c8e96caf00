package joblog_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"tackbeam.example/policy/work"

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

// TestBacklogOfOtherVersions guards against nodes and planners of different versions that cannot read each other's
// reports of the backlog.
func TestBacklogOfOtherVersions(t *testing.T) {
	is := is.New(t)
	type old struct {
		Total  time.Duration `cbor:"1,keyasint,omitempty"`
		Urgent time.Duration `cbor:"2,keyasint,omitempty"`
	}
	raw, err := joblog.Encode(joblog.BacklogSize{
		Total: time.Second, Term: 3, StartRate: 400, Shares: []joblog.AdmittedShare{{Service: "s", Workspace: "w", Admitted: 0.5}},
	})
	is.NoErr(err)
	read, err := joblog.Decode[old](raw)
	is.NoErr(err)
	is.Equal(read, old{Total: time.Second})
	raw, err = joblog.Encode(old{Urgent: time.Minute})
	is.NoErr(err)
	size, err := joblog.Decode[joblog.BacklogSize](raw)
	is.NoErr(err)
	is.Equal(size, joblog.BacklogSize{Urgent: time.Minute})
}

// TestUnreadableValues guards against values that are written but cannot be read: a planner skips a batch that it cannot
// decode, and with it the accepted jobs of all callers in it.
func TestUnreadableValues(t *testing.T) {
	const tooMany = 200_000 // more items than the decoder accepts in a list
	tests := map[string]joblog.Batch{
		"id of a job":            {Jobs: []work.Job{{ID: "good"}, {ID: "\xff\xfe"}}},
		"spec of a job":          {Jobs: []work.Job{{ID: "good"}, {ID: "bad", Spec: "\xff"}}},
		"id of a cancelled job":  {Jobs: []work.Job{{ID: "good"}}, Cancels: []string{"\xff"}},
		"list that is too long":  {Jobs: []work.Job{{ID: "good"}, {ID: "bad", Steps: []work.Step{{After: make([]int, tooMany)}}}}},
		"workspace of a request": {Cancels: []string{"a"}, Cancellers: map[string]string{"a": "\xff"}},
	}
	for name, bt := range tests {
		t.Run(name, func(t *testing.T) {
			raw, err := joblog.Encode(&bt)
			if err != nil {
				return
			}
			_, err = joblog.Decode[joblog.Batch](raw)
			t.Errorf("encoded without an error, but Decode returns: %v", err)
		})
	}
}
