// Package standinvms is a small stand-in for the platform's list of live and
// leaving VMs. The list may lag, and it may say what is no longer true.
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

// List is the stand-in.
type List struct {
	listener net.Listener
	server   *fasthttp.Server

	mu      sync.Mutex
	version uint64
	vms     map[string]vmsmsg.VM
}

// New starts a list on its listen address.
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
	go func() { _ = ls.server.Serve(ln) }() // ends with the listener
	return ls, nil
}

// Addr returns the address the list listens on.
func (ls *List) Addr() string { return ls.listener.Addr().String() }

// Close ends the list.
func (ls *List) Close() error { return errors.Wrap(ls.listener.Close(), "close list of VMs") }

// Put adds a VM or changes what the list says of it.
func (ls *List) Put(vm vmsmsg.VM) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ls.vms[vm.Name] = vm
	ls.version++
}

// Remove takes a VM off the list.
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
		ls.get(ctx)
	}
}

func (ls *List) get(ctx *fasthttp.RequestCtx) {
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
