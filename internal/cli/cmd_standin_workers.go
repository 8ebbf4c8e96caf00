package cli

import (
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"tackbeam.example/policy/size"
	"tackbeam.example/tackbeam/internal/standin/fleet"
	"tackbeam.example/tackbeam/internal/standin/standinworker"
)

var cmdStandinWorkers = Command{
	Name:    "standin workers",
	Summary: "run stand-in workers",
	Doc: "Run stand-in workers until interrupted and put them on the list of VMs. Each prints a line with its name and address. " +
		"On a worker, POST /standin/faults makes it misbehave, GET /standin/records tells what really began and ended there.",
	New: func(env *Env) any { return &standinWorkers{env: env} },
}

type standinWorkers struct {
	env     *Env
	VMs     string        `long:"vms" required:"yes" description:"address of the list of VMs"`
	Count   int           `long:"count" default:"50" description:"number of workers"`
	First   int           `long:"first" default:"1" description:"number of the first worker"`
	Halls   int           `long:"halls" default:"3" description:"number of data halls"`
	Hall    string        `long:"hall" description:"data hall of all workers, instead of spreading them"`
	Rack    int           `long:"rack" default:"8" description:"workers to a rack"`
	Cores   int64         `long:"cores" default:"64" description:"cores of a worker"`
	Memory  int64         `long:"memory" default:"131072" description:"MiB of a worker"`
	Accels  int64         `long:"accelerators" description:"accelerators of a worker"`
	Lease   time.Duration `long:"lease" default:"20s" description:"lease of a worker"`
	Beat    time.Duration `long:"beat" default:"5s" description:"time between heartbeats"`
	Records string        `long:"records" description:"file that gets what begins and ends on the workers, a JSON line each"`
	Lookup  time.Duration `long:"lookup-time" default:"2ms" description:"time that a lookup takes"`
}

// Execute implements flags.Commander.
func (cm *standinWorkers) Execute([]string) error {
	const milliPerCore = 1000
	records, err := cm.openRecords()
	if err != nil {
		return err
	}
	fl, err := fleet.New(fleet.Options{
		Count: cm.Count, FirstNumber: cm.First, Halls: cm.Halls, Hall: cm.Hall, RackSize: cm.Rack,
		Worker: standinworker.Options{
			Capacity: size.New(cm.Cores*milliPerCore, cm.Memory, cm.Accels),
			LeaseTTL: cm.Lease, HeartbeatInterval: cm.Beat, LookupTime: cm.Lookup, Records: records,
		},
	})
	if err != nil {
		return err
	}
	if err := fl.Register(cm.VMs); err != nil {
		return err
	}
	for _, wk := range fl.Workers() {
		if _, err := fmt.Fprintf(cm.env.Out, "worker %s %s\n", wk.Options().Name, wk.Addr()); err != nil {
			return err
		}
	}
	waitForInterrupt()
	return fl.Close()
}

// openRecords opens the file for records. It returns nil if none is given.
func (cm *standinWorkers) openRecords() (io.Writer, error) {
	if cm.Records == "" {
		return nil, nil
	}
	file, err := os.OpenFile(cm.Records, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	return file, errors.Wrap(err, "open records")
}

// waitForInterrupt blocks until the process receives SIGINT or SIGTERM.
func waitForInterrupt() {
	end := make(chan os.Signal, 1)
	signal.Notify(end, os.Interrupt, syscall.SIGTERM)
	<-end
}
