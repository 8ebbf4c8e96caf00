// Package logs creates the structured loggers of the processes. Each component logs short sentences
// under its own fixed name.
package logs

import (
	"io"
	"os"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
)

// Debug is the verbosity of messages that operators rarely need.
const Debug = 1

// New returns a logger that writes JSON lines at or below the verbosity to out.
func New(out io.Writer, verbosity int) logr.Logger {
	var mu sync.Mutex
	write := func(line string) {
		mu.Lock()
		defer mu.Unlock()
		_, _ = io.WriteString(out, line+"\n") // a failure to write the log cannot be logged
	}
	return funcr.NewJSON(write, funcr.Options{
		LogTimestamp:    true,
		TimestampFormat: time.RFC3339Nano,
		Verbosity:       verbosity,
	})
}

// Stderr returns a logger on standard error.
func Stderr(verbosity int) logr.Logger { return New(os.Stderr, verbosity) }
