// Package kernel starts the named services of a process in order and stops them in reverse order.
// Services look each other up by name.
package kernel

import (
	"context"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/samber/do/v2"
)

// Service is a component of the process that the kernel starts and stops.
type Service struct {
	// Name is the name by which other services look this one up.
	Name string
	// Build creates the service's value; it may look up other services.
	Build func(kn *Kernel) (any, error)
	// Start starts the service; nil if there is nothing to start.
	Start func(ctx context.Context) error
	// Stop stops the service; nil if there is nothing to stop.
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

// Add builds a service and registers its value under the service's name.
func (kn *Kernel) Add(sv *Service) error {
	value, err := sv.Build(kn)
	if err != nil {
		return errors.Wrapf(err, "build service %s", sv.Name)
	}
	do.ProvideNamedValue(kn.injector, sv.Name, value)
	kn.services = append(kn.services, sv)
	return nil
}

// Get returns the service with the given name. The error contains the name.
func Get[T any](kn *Kernel, name string) (T, error) {
	value, err := do.InvokeNamed[any](kn.injector, name)
	if err != nil {
		var zero T
		return zero, errors.Wrapf(err, "find service %s", name)
	}
	typed, ok := value.(T)
	if !ok {
		return typed, errors.Errorf("service %s has type %T", name, value)
	}
	return typed, nil
}

// Finder looks up several services and records the first error.
type Finder struct {
	kernel *Kernel
	err    error
}

// Finder returns a finder for the kernel's services.
func (kn *Kernel) Finder() *Finder { return &Finder{kernel: kn} }

// Err returns the error of the first lookup that failed.
func (fd *Finder) Err() error { return fd.err }

// Find stores the service with the given name in into. It does nothing if an earlier lookup failed.
func Find[T any](fd *Finder, name string, into *T) {
	if fd.err == nil {
		*into, fd.err = Get[T](fd.kernel, name)
	}
}

// Start starts the services in the order in which they were added. If one fails to start, those
// already started are stopped.
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

// Stop stops the started services in reverse order. A service that fails to stop does not keep the
// others from being stopped.
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
