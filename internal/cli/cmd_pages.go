package cli

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
)

var cmdPages = Command{
	Name:    "pages",
	Summary: "write the pages of all commands",
	Doc:     "Write a page for each command into a directory, as docs/commands has them.",
	New:     func(env *Env) any { return &pages{env: env} },
}

type pages struct {
	env  *Env
	Args struct {
		Dir string `positional-arg-name:"DIR" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (cm *pages) Execute([]string) error {
	const mode = 0o644
	all, err := Pages()
	if err != nil {
		return err
	}
	for name, text := range all {
		if err := os.WriteFile(filepath.Join(cm.Args.Dir, name), []byte(text), mode); err != nil {
			return errors.Wrap(err, "write page")
		}
	}
	return nil
}

// Pages returns the documentation pages of all commands by file name.
func Pages() (map[string]string, error) {
	parser, err := newParser(&Env{})
	if err != nil {
		return nil, err
	}
	all := map[string]string{}
	for _, cm := range commands() {
		parsed := parser.Command
		for _, name := range strings.Fields(cm.Name) {
			parsed = parsed.Find(name)
		}
		all["tackbeam-"+strings.ReplaceAll(cm.Name, " ", "-")+".md"] = page(cm, parsed)
	}
	return all, nil
}

func page(cm Command, fc *flags.Command) string {
	var out bytes.Buffer
	fmt.Fprintf(&out, "# tackbeam %s\n\n%s.\n\n## Synopsis\n\n    tackbeam [OPTIONS] %s", cm.Name, cm.Summary, cm.Name)
	for _, arg := range fc.Args() {
		fmt.Fprintf(&out, " %s", arg.Name)
	}
	fmt.Fprintf(&out, "\n\n## Description\n\n%s\n", strings.ReplaceAll(cm.Doc, "\n", "\n\n"))
	if list := fc.Options(); len(list) > 0 {
		out.WriteString("\n## Options\n\n")
		for _, op := range list {
			fmt.Fprintf(&out, "- `%s`: %s", op.String(), op.Description)
			if len(op.Default) > 0 {
				fmt.Fprintf(&out, " (default %s)", strings.Join(op.Default, ", "))
			}
			out.WriteString("\n")
		}
	}
	out.WriteString("\nOptions of every command: `--node`, `--json`, `--timeout`; see `tackbeam --help`.\n")
	out.WriteString("Exit codes are by kind of error; see [tackbeam errors](tackbeam-errors.md).\n")
	return out.String()
}
