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
		first, all, age time.Duration
		urgent          bool
		comeBack        time.Duration
		refuse          bool
	}{
		"nothing waits":                  {},
		"little waits":                   {all: 4 * time.Second},
		"much waits":                     {all: 7 * time.Second, comeBack: 3 * time.Second, refuse: true},
		"a little too much waits":        {all: 4100 * time.Millisecond, comeBack: time.Second, refuse: true},
		"urgent, much waits":             {all: 7 * time.Second, urgent: true},
		"urgent, much urgent work waits": {first: 3 * time.Second, all: 7 * time.Second, urgent: true, comeBack: 2 * time.Second, refuse: true},
		"much waited, as was known":      {all: 20 * time.Second, age: 4 * time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var dr admission.Controller
			dr.Update(time.Minute, tt.first, tt.all)
			comeBack, refuse := dr.Refuse(time.Minute+tt.age, tt.urgent)
			is.Equal(comeBack, tt.comeBack)
			is.Equal(refuse, tt.refuse)
		})
	}
}

func ExampleController() {
	var dr admission.Controller
	dr.Update(0, time.Second/2, 6*time.Second)
	fmt.Println(dr.Refuse(time.Second, false))
	fmt.Println(dr.Refuse(time.Second, true))
	// Output:
	// 2s true
	// 0s false
}
