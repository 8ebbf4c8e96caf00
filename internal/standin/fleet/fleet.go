// Package fleet runs many stand-in workers in one process, distributed over halls and racks, and registers them on the
// list of VMs.
package fleet

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"tackbeam.example/tackbeam/internal/standin/standinworker"
	"tackbeam.example/tackbeam/internal/vmsmsg"
)

// Options configure a fleet. Worker is the template of each worker.
type Options struct {
	Count       int
	FirstNumber int
	Halls       int
	RackSize    int
	// Hall, if set, is the hall of all workers and overrides Halls.
	Hall   string
	Worker standinworker.Options
}

// Fleet is a set of stand-in workers.
type Fleet struct{ workers []*standinworker.Worker }

// New starts the workers.
func New(opts Options) (*Fleet, error) {
	fl := &Fleet{}
	for i := range opts.Count {
		number := opts.FirstNumber + i
		rack := (number - 1) / max(opts.RackSize, 1)
		op := opts.Worker
		op.Name = fmt.Sprintf("w%04d", number)
		op.Rack = fmt.Sprintf("r%03d", rack+1)
		op.Hall = opts.Hall
		if op.Hall == "" {
			op.Hall = fmt.Sprintf("hall-%d", rack%max(opts.Halls, 1)+1)
		}
		wk, err := standinworker.New(op)
		if err != nil {
			_ = fl.Close() // the first error is the one to report
			return nil, err
		}
		fl.workers = append(fl.workers, wk)
	}
	return fl, nil
}

func (fl *Fleet) Workers() []*standinworker.Worker { return fl.workers }

// VMs returns the workers' entries for the list of VMs.
func (fl *Fleet) VMs() []vmsmsg.VM {
	var vms []vmsmsg.VM
	for _, wk := range fl.workers {
		op := wk.Options()
		vms = append(vms, vmsmsg.VM{Name: op.Name, Addr: wk.Addr(), Hall: op.Hall, Rack: op.Rack})
	}
	return vms
}

// Register adds the workers to the list of VMs at the address.
func (fl *Fleet) Register(list string) error {
	const timeout = 5 * time.Second
	raw, err := json.Marshal(fl.VMs())
	if err != nil {
		return errors.Wrap(err, "encode VMs")
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	rsp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(rsp)
	req.SetRequestURI("http://" + list + vmsmsg.Path)
	req.Header.SetMethod(fasthttp.MethodPut)
	req.SetBody(raw)
	if err := fasthttp.DoTimeout(req, rsp, timeout); err != nil {
		return errors.Wrap(err, "register workers")
	}
	if rsp.StatusCode() != fasthttp.StatusOK {
		return errors.Errorf("register workers: list of VMs answered status %d", rsp.StatusCode())
	}
	return nil
}

// Close stops all workers as a crash does, and returns the first error.
func (fl *Fleet) Close() error {
	var first error
	for _, wk := range fl.workers {
		if err := wk.Close(); err != nil && first == nil {
			first = err
		}
	}
	return first
}
