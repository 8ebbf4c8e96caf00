// Package kernel starts the named services of a process in order and stops them
// in the reverse order. Services find each other by name.
package kernel

import (
	"context"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/samber/do/v2"
)

// Service is a part of the process that the kernel starts and stops.
type Service struct {
	// Name is the name that other services find this one by.
	Name string
	// Build makes the service's value; it may look other services up.
	Build func(kn *Kernel) (any, error)
	// Start begins work; nil where there is nothing to begin.
	Start func(ctx context.Context) error
	// Stop ends work; nil where there is nothing to end.
	Stop func(ctx context.Context) error
}

// Kernel holds the services of one process.
type Kernel struct {
	injector *do.RootScope
	log      logr.Logger
	services []*Service
	started  int
}

// New returns a kernel without services.
func New(log logr.Logger) *Kernel {
	return &Kernel{injector: do.New(), log: log.WithName("kernel")}
}

// Add builds a service and registers its value under its name.
func (kn *Kernel) Add(sv *Service) error {
	value, err := sv.Build(kn)
	if err != nil {
		return errors.Wrapf(err, "build service %s", sv.Name)
	}
	do.ProvideNamedValue(kn.injector, sv.Name, value)
	kn.services = append(kn.services, sv)
	return nil
}

// Get returns the service of the name, or an error that names it.
func Get[T any](kn *Kernel, name string) (T, error) {
	value, err := do.InvokeNamed[any](kn.injector, name)
	if err != nil {
		var none T
		return none, errors.Wrapf(err, "find service %s", name)
	}
	typed, ok := value.(T)
	if !ok {
		return typed, errors.Errorf("service %s has type %T", name, value)
	}
	return typed, nil
}

// Finder looks up several services and keeps the first error.
type Finder struct {
	kernel *Kernel
	err    error
}

// Finder returns a finder of the kernel's services.
func (kn *Kernel) Finder() *Finder { return &Finder{kernel: kn} }

// Err returns why the first service that could not be found was not.
func (fd *Finder) Err() error { return fd.err }

// Find stores the service of the name, unless an earlier one was not found.
func Find[T any](fd *Finder, name string, into *T) {
	if fd.err == nil {
		*into, fd.err = Get[T](fd.kernel, name)
	}
}

// Start starts the services in the order in which they were added. If one
// fails, those already started are stopped again.
func (kn *Kernel) Start(ctx context.Context) error {
	for _, sv := range kn.services {
		if sv.Start != nil {
			if err := sv.Start(ctx); err != nil {
				kn.Stop(ctx)
				return errors.Wrapf(err, "start service %s", sv.Name)
			}
		}
		kn.started++
		kn.log.V(1).Info("Service started.", "service", sv.Name)
	}
	return nil
}

// Stop stops the started services in reverse order. Each is stopped even where
// another fails to.
func (kn *Kernel) Stop(ctx context.Context) {
	for kn.started > 0 {
		kn.started--
		sv := kn.services[kn.started]
		if sv.Stop == nil {
			continue
		}
		if err := sv.Stop(ctx); err != nil {
			kn.log.Error(err, "Service did not stop cleanly.", "service", sv.Name)
			continue
		}
		kn.log.V(1).Info("Service stopped.", "service", sv.Name)
	}
}
