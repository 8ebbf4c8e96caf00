// Package nodecli implements the command line of tackbeamd.
package nodecli

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"tackbeam.example/policy/feature"

	"tackbeam.example/tackbeam/internal/daemon"
	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/logs"
	"tackbeam.example/tackbeam/internal/settings"
	"tackbeam.example/tackbeam/internal/standalone"
	"tackbeam.example/tackbeam/internal/version"

	"tackbeam.example/tackbeam/platform"
)

// options are the command-line options of tackbeamd.
type options struct {
	Config     string   `long:"config" description:"file with the node's settings, JSON"`
	Check      bool     `long:"check" description:"check the settings and end"`
	Settings   bool     `long:"settings" description:"print the page on all settings and end"`
	Standalone bool     `long:"standalone" description:"run one node with stand-ins of the platform in this process"`
	Platform   bool     `long:"platform" description:"run one node on the users' platform, with the settings file that it lays out"`
	Enable     []string `long:"enable" description:"optional feature of scheduling, with --platform; may be repeated"`
	Metrics    int      `long:"metrics" description:"port of the node's address at which measures are served, with --platform; 0 for none"`
	Listen     string   `long:"listen" default:"127.0.0.1:7420" description:"address for callers, with --standalone"`
	Workers    int      `long:"workers" default:"50" description:"stand-in workers, with --standalone"`
	Record     string   `long:"record" description:"file for the trace of decisions, with --standalone"`
	Verbosity  int      `long:"verbosity" description:"verbosity of the log, with --standalone"`
	Version    bool     `long:"version" description:"print the release and end"`
}

// Run executes a command line and returns the exit code.
func Run(args []string, out, errOut io.Writer) int {
	var op options
	parser := flags.NewParser(&op, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "tackbeamd"
	rest, err := parser.ParseArgs(args)
	var fe *flags.Error
	if errors.As(err, &fe) && fe.Type == flags.ErrHelp {
		_, _ = fmt.Fprintln(out, fe.Message)
		return 0
	}
	if err == nil && len(rest) > 0 {
		err = fault.New(fault.BadRequest, "%q is not an argument; see tackbeamd --help", rest[0])
	}
	if fe != nil {
		err = fault.New(fault.BadRequest, "%s; see tackbeamd --help", fe.Message)
	}
	if err == nil {
		err = op.run(out, errOut)
	}
	if err == nil {
		return 0
	}
	_, _ = fmt.Fprintln(errOut, "tackbeamd: "+strings.ReplaceAll(err.Error(), "\n", " "))
	return fault.From(err).Kind.Info().ExitCode()
}

func (op *options) run(out, errOut io.Writer) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	switch {
	case op.Version:
		_, err := fmt.Fprintln(out, "tackbeamd", version.Release)
		return err
	case op.Settings:
		_, err := fmt.Fprint(out, settings.Document())
		return err
	case op.Standalone:
		return standalone.Run(ctx, clockwork.NewRealClock(), logs.New(errOut, op.Verbosity), standalone.Options{
			Listen: op.Listen, Workers: op.Workers, RecordPath: op.Record,
			OnReady: printReady(out),
		})
	case op.Platform:
		features, err := feature.Parse(op.Enable)
		if err != nil {
			return fault.New(fault.BadRequest, "--enable: %s", err)
		}
		return platform.Run(out, op.Metrics, features)
	case op.Config == "":
		return fault.New(fault.BadRequest, "give --config FILE, --platform or --standalone; see tackbeamd --help")
	}
	return op.runNode(ctx, out, errOut)
}

// printReady returns a function that prints the addresses at which the node listens.
func printReady(out io.Writer) func(callers, nodes string) {
	return func(callers, nodes string) {
		_, _ = fmt.Fprintf(out, "tackbeamd is up at %s, for nodes at %s\n", callers, nodes)
	}
}

func (op *options) runNode(ctx context.Context, out, errOut io.Writer) error {
	st, err := settings.Load(op.Config)
	if err != nil {
		return err
	}
	if op.Check {
		_, err := fmt.Fprintf(out, "settings in %s are good\n", op.Config)
		return err
	}
	dm, err := daemon.New(st, clockwork.NewRealClock(), logs.New(errOut, st.Log.Verbosity))
	if err != nil {
		return err
	}
	return dm.Run(ctx, printReady(out))
}
