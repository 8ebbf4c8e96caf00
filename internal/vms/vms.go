// Package vms reads the platform's list of VMs, which lags behind the actual VMs.
package vms

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"tackbeam.example/tackbeam/internal/vmsmsg"
)

// Source reads the list. Fetch, which tests replace, returns the list and true, or false if the list
// has not changed since the given entity tag.
type Source struct {
	Fetch func(ctx context.Context, tag string) (vms []vmsmsg.VM, newTag string, changed bool, err error)
}

// List is this node's copy of the list.
type List struct {
	clock    clockwork.Clock
	log      logr.Logger
	source   Source
	interval time.Duration

	mu          sync.Mutex
	vms         map[string]vmsmsg.VM
	subscribers []func(map[string]vmsmsg.VM)
	cancel      context.CancelFunc
	wg          sync.WaitGroup
}

// New returns an empty copy. Once started, it is refreshed at the given interval.
func New(clock clockwork.Clock, log logr.Logger, source Source, interval time.Duration) *List {
	return &List{
		clock: clock, log: log.WithName("vms"), source: source, interval: interval,
		vms: map[string]vmsmsg.VM{},
	}
}

// Subscribe registers a function that is called with each changed list. The function must not modify it.
func (ls *List) Subscribe(act func(map[string]vmsmsg.VM)) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ls.subscribers = append(ls.subscribers, act)
}

// Get returns a VM's entry as last read.
func (ls *List) Get(name string) (vmsmsg.VM, bool) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	vm, ok := ls.vms[name]
	return vm, ok
}

// Len returns the number of VMs on the list.
func (ls *List) Len() int {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	return len(ls.vms)
}

// Start starts reading the list.
func (ls *List) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	ls.cancel = cancel
	ls.wg.Go(func() {
		ls.readLoop(ctx)
	})
	return nil
}

// Stop stops reading the list and waits for the reader to exit.
func (ls *List) Stop(context.Context) error {
	if ls.cancel != nil {
		ls.cancel()
	}
	ls.wg.Wait()
	return nil
}

func (ls *List) readLoop(ctx context.Context) {
	tag := ""
	for ctx.Err() == nil {
		vms, next, changed, err := ls.source.Fetch(ctx, tag)
		switch {
		case err != nil:
			ls.log.V(1).Info("Failed to read the list of VMs.", "cause", err.Error())
		case changed:
			tag = next
			ls.apply(vms)
		}
		select {
		case <-ctx.Done():
		case <-ls.clock.After(ls.interval):
		}
	}
}

func (ls *List) apply(vms []vmsmsg.VM) {
	next := make(map[string]vmsmsg.VM, len(vms))
	for _, vm := range vms {
		next[vm.Name] = vm
	}
	ls.mu.Lock()
	ls.vms = next
	subscribers := ls.subscribers
	ls.mu.Unlock()
	for _, act := range subscribers {
		act(next)
	}
}

// HTTPSource returns a source that reads the list as JSON over HTTP.
func HTTPSource(addr string, timeout time.Duration) Source {
	client := &fasthttp.Client{NoDefaultUserAgentHeader: true}
	return Source{Fetch: func(_ context.Context, tag string) ([]vmsmsg.VM, string, bool, error) {
		req := fasthttp.AcquireRequest()
		defer fasthttp.ReleaseRequest(req)
		rsp := fasthttp.AcquireResponse()
		defer fasthttp.ReleaseResponse(rsp)
		req.SetRequestURI("http://" + addr + vmsmsg.Path)
		if tag != "" {
			req.Header.Set(fasthttp.HeaderIfNoneMatch, tag)
		}
		if err := client.DoTimeout(req, rsp, timeout); err != nil {
			return nil, tag, false, errors.Wrap(err, "read list of VMs")
		}
		switch rsp.StatusCode() {
		case fasthttp.StatusNotModified:
			return nil, tag, false, nil
		case fasthttp.StatusOK:
		default:
			return nil, tag, false, errors.Errorf("list of VMs returned HTTP status %d", rsp.StatusCode())
		}
		var vms []vmsmsg.VM
		if err := json.Unmarshal(rsp.Body(), &vms); err != nil {
			return nil, tag, false, errors.Wrap(err, "decode list of VMs")
		}
		return vms, string(rsp.Header.Peek(fasthttp.HeaderETag)), true, nil
	}}
}
