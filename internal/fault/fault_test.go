package fault_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"tackbeam.example/tackbeam/internal/fault"
)

func ExampleFrom() {
	err := errors.Wrap(fault.New(fault.Full, "no free slot"), "send lookup")
	fmt.Println(fault.From(err).Kind, fault.From(err).Kind.Info().Status())
	// Output: full 503
}

func TestEveryKindHasItsOwnExitCode(t *testing.T) {
	is := is.New(t)
	seen := map[int]fault.Kind{}
	for kd, info := range fault.Kinds() {
		_, twice := seen[info.ExitCode()]
		is.True(!twice)                   // exit codes are unique
		is.True(info.ExitCode() > 0)      // a failure never exits 0
		is.True(info.Description() != "") // each kind has a description
		is.True(info.Status() >= 200)     // each kind has a status
		seen[info.ExitCode()] = kd
	}
}

func TestFromForeignError(t *testing.T) {
	is := is.New(t)
	is.Equal(fault.From(nil), nil)
	is.Equal(fault.From(errors.New("boom")).Kind, fault.Internal)
	is.Equal(fault.Kind("made up").Info().Status(), 500)
}
