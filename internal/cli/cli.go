// Package cli is the command line of tackbeam: a list of commands, each in a
// file of its own, from which the help and the pages in docs/commands are made.
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

// Command is one command of the list.
type Command struct {
	// Name is what the user types; a space parts a command from its own.
	Name string
	// Summary says in one line what the command does.
	Summary string
	// Doc explains it, with an example.
	Doc string
	// New returns the command's arguments with their defaults and its action.
	New func(env *Env) any
}

// Env is what a command works with.
type Env struct {
	In      io.Reader
	Out     io.Writer
	Err     io.Writer
	Options Options
}

// Options are the options that every command takes.
type Options struct {
	Node    []string      `long:"node" env:"TACKBEAM_NODE" env-delim:"," default:"127.0.0.1:7420" description:"address of a node; give several to try them in order"`
	JSON    bool          `long:"json" description:"print JSON"`
	Timeout time.Duration `long:"timeout" default:"10s" description:"how long to wait for an answer"`
}

// commands is the list, in the order of the help.
func commands() []Command {
	return []Command{
		cmdTableShow, cmdTableGet, cmdTableSet, cmdTableRemove, cmdTableHistory, cmdTableWatch,
		cmdTableColumns, cmdSubmit, cmdJobsList, cmdJobsShow, cmdJobsCancel, cmdLookup,
		cmdWorkers, cmdNodes, cmdDrain, cmdStats, cmdReplay, cmdTrace, cmdLoad, cmdKeys,
		cmdStandinStore, cmdStandinWorkers, cmdErrors, cmdPages, cmdVersion,
	}
}

// groups are the commands that only hold others.
var groups = map[string]string{
	"table":   "show and edit the operators' table",
	"jobs":    "list, show and cancel jobs",
	"standin": "run stand-ins of the platform, for demos and tests",
}

// Run carries a command line out and returns its exit code.
func Run(args []string, in io.Reader, out, errOut io.Writer) int {
	env := &Env{In: in, Out: out, Err: errOut}
	parser, err := newParser(env)
	if err != nil {
		return env.fail(err)
	}
	_, err = parser.ParseArgs(args)
	var fe *flags.Error
	if errors.As(err, &fe) {
		if fe.Type == flags.ErrHelp {
			_, _ = fmt.Fprintln(out, fe.Message)
			return 0
		}
		return env.fail(fault.New(fault.BadRequest, "%s; see tackbeam --help", fe.Message))
	}
	return env.fail(err)
}

func newParser(env *Env) (*flags.Parser, error) {
	parser := flags.NewParser(&env.Options, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "tackbeam"
	parser.LongDescription = "drive a tackbeam cluster: its table, its jobs and its nodes"
	made := map[string]*flags.Command{}
	for _, cm := range commands() {
		into := parser.Command
		name := cm.Name
		if group, rest, ok := strings.Cut(cm.Name, " "); ok {
			if made[group] == nil {
				gc, err := parser.AddCommand(group, groups[group], "", &struct{}{})
				if err != nil {
					return nil, errors.Wrap(err, "add command group")
				}
				made[group] = gc
			}
			into, name = made[group], rest
		}
		if _, err := into.AddCommand(name, cm.Summary, cm.Doc, cm.New(env)); err != nil {
			return nil, errors.Wrapf(err, "add command %s", cm.Name)
		}
	}
	return parser, nil
}

// fail says an error once and returns its exit code; 0 for none.
func (env *Env) fail(err error) int {
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

// client returns a client of the nodes that the options name.
func (env *Env) client() *client.Client {
	return client.New(env.Options.Timeout, env.Options.Node...)
}

// print writes a value as JSON where that is asked for, otherwise as a table.
func (env *Env) print(value any, table func(io.Writer)) error {
	if !env.Options.JSON {
		table(env.Out)
		return nil
	}
	enc := json.NewEncoder(env.Out)
	enc.SetIndent("", "  ")
	return errors.Wrap(enc.Encode(value), "print JSON")
}

// readFile reads a file, or standard input for "-".
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
