package cli

import (
	"fmt"

	"tackbeam.example/tackbeam/internal/standin/standinstore"
	"tackbeam.example/tackbeam/internal/standin/standinvms"
)

var cmdStandinStore = Command{
	Name:    "standin store",
	Summary: "run a stand-in of the store and of the list of VMs",
	Doc: "Run small stand-ins of the platform's key-value service and list of VMs until interrupted. The first line printed " +
		"has both addresses. POST /standin/faults makes the store fail; GET /standin/counts tells its calls.",
	New: func(env *Env) any { return &standinStore{env: env} },
}

type standinStore struct {
	env    *Env
	Listen string  `long:"listen" default:"127.0.0.1:0" description:"address of the store"`
	VMs    string  `long:"vms" default:"127.0.0.1:0" description:"address of the list of VMs"`
	Writes float64 `long:"writes" default:"100" description:"writes a second"`
	Reads  float64 `long:"reads" default:"2000" description:"reads a second"`
}

// Execute implements flags.Commander.
func (cm *standinStore) Execute([]string) error {
	st, err := standinstore.New(standinstore.Options{Listen: cm.Listen, WriteRate: cm.Writes, ReadRate: cm.Reads})
	if err != nil {
		return err
	}
	ls, err := standinvms.New(cm.VMs)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(cm.env.Out, "store %s vms %s\n", st.Addr(), ls.Addr()); err != nil {
		return err
	}
	waitForInterrupt()
	if err := st.Close(); err != nil {
		return err
	}
	return ls.Close()
}
