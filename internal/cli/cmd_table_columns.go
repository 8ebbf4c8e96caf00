package cli

import (
	"io"

	"tackbeam.example/tackbeam/internal/api"
	"tackbeam.example/tackbeam/internal/client"
)

var cmdTableColumns = Command{
	Name:    "table columns",
	Summary: "show the columns and what they allow",
	Doc:     "Show the columns of each kind of row: default, unit, allowed values and meaning.",
	New:     func(env *Env) any { return &tableColumns{env: env} },
}

type tableColumns struct{ env *Env }

// Execute implements flags.Commander.
func (cm *tableColumns) Execute([]string) error {
	list, err := client.JSON[[]api.Column](cm.env.client(), client.Request{Method: "GET", Path: api.PathColumns})
	if err != nil {
		return err
	}
	return cm.env.print(list, func(out io.Writer) {
		gr := newGrid(out, "row", "column", "default", "unit", "allowed", "meaning")
		for _, cl := range list {
			gr.line(cl.Kind, cl.Name, orDash(cl.Default), orDash(cl.Unit), cl.Allowed, cl.Meaning)
		}
		gr.flush()
	})
}
