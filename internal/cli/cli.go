// Package cli implements the command line of tackbeam as a list of commands, each in its own file. The
// help and the pages in docs/commands are generated from this list.
package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"tackbeam.example/tackbeam/internal/client"
	"tackbeam.example/tackbeam/internal/fault"
)

// Command describes one command.
type Command struct {
	// Name is what the user types; a space separates a command group from its command.
	Name string
	// Summary describes the command in one line.
	Summary string
	// Doc describes the command in full, with an example.
	Doc string
	// New returns the command's go-flags value: its options and arguments, and its Execute method.
	New func(env *Env) any
}

// Env is the environment of a command: its input and output and the common options.
type Env struct {
	In      io.Reader
	Out     io.Writer
	Err     io.Writer
	Options Options
}

// Options are the options common to all commands.
type Options struct {
	Node    []string      `long:"node" env:"TACKBEAM_NODE" env-delim:"," default:"127.0.0.1:7420" description:"address of a node; give several to try them in order"`
	JSON    bool          `long:"json" description:"print JSON"`
	Timeout time.Duration `long:"timeout" default:"10s" description:"how long to wait for an answer"`
}

// commands returns all commands in the order of the help.
func commands() []Command {
	return []Command{
		cmdTableShow, cmdTableGet, cmdTableSet, cmdTableRemove, cmdTableHistory, cmdTableWatch,
		cmdTableColumns, cmdSubmit, cmdJobsList, cmdJobsShow, cmdJobsCancel, cmdLookup,
		cmdWorkers, cmdNodes, cmdDrain, cmdEvacuations, cmdStats, cmdReplay, cmdTrace, cmdLoad, cmdKeys,
		cmdStandinStore, cmdStandinWorkers, cmdErrors, cmdPages, cmdVersion,
	}
}

// groups maps the name of each command group to its summary.
var groups = map[string]string{
	"table":   "show and edit the operators' table",
	"jobs":    "list, show and cancel jobs",
	"standin": "run stand-ins of the platform, for demos and tests",
}

// Run executes a command line and returns the exit code.
func Run(args []string, in io.Reader, out, errOut io.Writer) int {
	env := &Env{In: in, Out: out, Err: errOut}
	parser, err := newParser(env)
	if err != nil {
		return env.reportError(err)
	}
	_, err = parser.ParseArgs(args)
	var fe *flags.Error
	if errors.As(err, &fe) {
		if fe.Type == flags.ErrHelp {
			_, _ = fmt.Fprintln(out, fe.Message)
			return 0
		}
		return env.reportError(fault.New(fault.BadRequest, "%s; see tackbeam --help", fe.Message))
	}
	return env.reportError(err)
}

func newParser(env *Env) (*flags.Parser, error) {
	parser := flags.NewParser(&env.Options, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "tackbeam"
	parser.LongDescription = "drive a tackbeam cluster: its table, its jobs and its nodes"
	groupCommands := map[string]*flags.Command{}
	for _, cm := range commands() {
		parent := parser.Command
		name := cm.Name
		if group, rest, ok := strings.Cut(cm.Name, " "); ok {
			if groupCommands[group] == nil {
				gc, err := parser.AddCommand(group, groups[group], "", &struct{}{})
				if err != nil {
					return nil, errors.Wrap(err, "add command group")
				}
				groupCommands[group] = gc
			}
			parent, name = groupCommands[group], rest
		}
		if _, err := parent.AddCommand(name, cm.Summary, cm.Doc, cm.New(env)); err != nil {
			return nil, errors.Wrapf(err, "add command %s", cm.Name)
		}
	}
	return parser, nil
}

// reportError prints an error as one line and returns its exit code, or 0 for nil.
func (env *Env) reportError(err error) int {
	if err == nil {
		return 0
	}
	er := fault.From(err)
	line := "tackbeam: " + strings.ReplaceAll(er.Error(), "\n", " ")
	if er.RetryAfter > 0 {
		line += fmt.Sprintf(" (come back after %v)", er.RetryAfter.Round(time.Millisecond))
	}
	_, _ = fmt.Fprintln(env.Err, line)
	return er.Kind.Info().ExitCode()
}

// client returns a client for the nodes given by the options.
func (env *Env) client() *client.Client {
	return client.New(env.Options.Timeout, env.Options.Node...)
}

// print writes a value as JSON if --json is given, and as a table otherwise.
func (env *Env) print(value any, table func(io.Writer)) error {
	if !env.Options.JSON {
		table(env.Out)
		return nil
	}
	enc := json.NewEncoder(env.Out)
	enc.SetIndent("", "  ")
	return errors.Wrap(enc.Encode(value), "print JSON")
}

// readFile reads a file, or standard input if the path is "-".
func (env *Env) readFile(path string) ([]byte, error) {
	if path == "-" {
		raw, err := io.ReadAll(env.In)
		return raw, errors.Wrap(err, "read standard input")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.New(fault.BadRequest, "%v", err)
	}
	return raw, nil
}
