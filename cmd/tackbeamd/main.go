// Command tackbeamd is a node of a tackbeam cluster.
package main

import (
	"os"

	"tackbeam.example/tackbeam/internal/nodecli"
)

func main() { os.Exit(nodecli.Run(os.Args[1:], os.Stdout, os.Stderr)) }
