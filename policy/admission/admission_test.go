package admission_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"tackbeam.example/policy/admission"
)

func TestRefuse(t *testing.T) {
	tests := map[string]struct {
		urgentBacklog, all, age time.Duration
		urgent                  bool
		retryAfter              time.Duration
		refuse                  bool
	}{
		"no backlog":                      {},
		"backlog at the limit":            {all: 4 * time.Second},
		"backlog over the limit":          {all: 7 * time.Second, retryAfter: 3 * time.Second, refuse: true},
		"backlog slightly over the limit": {all: 4100 * time.Millisecond, retryAfter: time.Second, refuse: true},
		"urgent, backlog of other work":   {all: 7 * time.Second, urgent: true},
		"urgent, backlog of urgent work":  {urgentBacklog: 3 * time.Second, all: 7 * time.Second, urgent: true, retryAfter: 2 * time.Second, refuse: true},
		"long backlog, but an old report": {all: 20 * time.Second, age: 4 * time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var ctl admission.Controller
			ctl.Update(time.Minute, tt.urgentBacklog, tt.all)
			retryAfter, refuse := ctl.Refuse(time.Minute+tt.age, tt.urgent)
			is.Equal(retryAfter, tt.retryAfter)
			is.Equal(refuse, tt.refuse)
		})
	}
}

func ExampleController() {
	var ctl admission.Controller
	ctl.Update(0, time.Second/2, 6*time.Second)
	fmt.Println(ctl.Refuse(time.Second, false))
	fmt.Println(ctl.Refuse(time.Second, true))
	// Output:
	// 2s true
	// 0s false
}
