// Package standinvms implements a fake of the platform's list of live and leaving VMs. Like the platform's list, it may
// be out of date or wrong.
package standinvms

import (
	"net"
	"sort"
	"strconv"
	"sync"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"tackbeam.example/tackbeam/internal/standin/jsonhttp"
	"tackbeam.example/tackbeam/internal/vmsmsg"
)

// List is a stand-in list of VMs.
type List struct {
	listener net.Listener
	server   *fasthttp.Server

	mu      sync.Mutex
	version uint64
	vms     map[string]vmsmsg.VM
}

// New starts a list that listens on the given address; the default is a free port of the loopback interface.
func New(listen string) (*List, error) {
	if listen == "" {
		listen = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, errors.Wrap(err, "listen for list of VMs")
	}
	ls := &List{listener: ln, vms: map[string]vmsmsg.VM{}, version: 1}
	ls.server = &fasthttp.Server{Handler: ls.handle, NoDefaultServerHeader: true}
	go func() { _ = ls.server.Serve(ln) }() // returns when the listener is closed
	return ls, nil
}

// Addr returns the listen address.
func (ls *List) Addr() string { return ls.listener.Addr().String() }

// Close closes the listener.
func (ls *List) Close() error { return errors.Wrap(ls.listener.Close(), "close list of VMs") }

// Put adds or replaces a VM.
func (ls *List) Put(vm vmsmsg.VM) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ls.vms[vm.Name] = vm
	ls.version++
}

// Remove removes a VM from the list.
func (ls *List) Remove(name string) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	delete(ls.vms, name)
	ls.version++
}

func (ls *List) handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != vmsmsg.Path {
		ctx.Error("no such path", fasthttp.StatusNotFound)
		return
	}
	switch string(ctx.Method()) {
	case fasthttp.MethodPut:
		var vms []vmsmsg.VM
		if !jsonhttp.Read(ctx, &vms) {
			return
		}
		for _, vm := range vms {
			ls.Put(vm)
		}
	case fasthttp.MethodDelete:
		ls.Remove(string(ctx.QueryArgs().Peek("name")))
	default:
		ls.list(ctx)
	}
}

func (ls *List) list(ctx *fasthttp.RequestCtx) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	tag := strconv.Quote(strconv.FormatUint(ls.version, 10))
	ctx.Response.Header.Set(fasthttp.HeaderETag, tag)
	if string(ctx.Request.Header.Peek(fasthttp.HeaderIfNoneMatch)) == tag {
		ctx.SetStatusCode(fasthttp.StatusNotModified)
		return
	}
	vms := make([]vmsmsg.VM, 0, len(ls.vms))
	for _, vm := range ls.vms {
		vms = append(vms, vm)
	}
	sort.Slice(vms, func(i, j int) bool { return vms[i].Name < vms[j].Name })
	jsonhttp.Write(ctx, vms)
}
