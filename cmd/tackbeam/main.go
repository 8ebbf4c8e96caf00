// Command tackbeam operates a tackbeam cluster from the command line.
package main

import (
	"os"

	"tackbeam.example/tackbeam/internal/cli"
)

func main() { os.Exit(cli.Run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) }
