// Package metricsrv serves a node's counters and latency histograms as text.
package metricsrv

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"tackbeam.example/tackbeam/internal/accept"
	"tackbeam.example/tackbeam/internal/httpcall"
)

// Path is where the text is served.
const Path = "/metrics"

// Server serves a registry.
type Server struct {
	registry metrics.Registry
	log      logr.Logger
	server   *fasthttp.Server
}

// New returns a server that does not listen yet.
func New(log logr.Logger, registry metrics.Registry) *Server {
	sr := &Server{registry: registry, log: log.WithName("metrics")}
	sr.server = &fasthttp.Server{
		Handler: sr.serve, NoDefaultServerHeader: true, NoDefaultDate: true, Logger: httpcall.LibraryLogger(sr.log),
	}
	return sr
}

// Listen serves at an address until Close.
func (sr *Server) Listen(address string) error {
	ln, err := accept.Listen(sr.log, "tcp4", address)
	if err != nil {
		return errors.Wrap(err, "listen for questions about measures")
	}
	go func() {
		if err := sr.server.Serve(ln); err != nil {
			sr.log.Error(err, "Serving of measures has ended.")
		}
	}()
	return nil
}

// Close ends the serving.
func (sr *Server) Close() error { return errors.Wrap(sr.server.Shutdown(), "close measures") }

func (sr *Server) serve(rc *fasthttp.RequestCtx) {
	if string(rc.Path()) != Path {
		rc.Error("measures are at "+Path, fasthttp.StatusNotFound)
		return
	}
	rc.SetContentType("text/plain; charset=utf-8")
	rc.SetBody(Text(sr.registry))
}

// quantiles that are told of each histogram.
var quantiles = []float64{0.5, 0.9, 0.99}

// Text writes each measure of a registry in a line or more, sorted by name. Times are
// in seconds.
func Text(registry metrics.Registry) []byte {
	var lines []string
	registry.Each(func(name string, measure any) {
		name = "tackbeam_" + strings.NewReplacer(".", "_", "-", "_").Replace(name)
		switch ms := measure.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("%s_total %d", name, ms.Count()))
		case metrics.Gauge:
			lines = append(lines, fmt.Sprintf("%s %d", name, ms.Value()))
		case metrics.Histogram:
			snap := ms.Snapshot()
			lines = append(lines, fmt.Sprintf("%s_seconds_count %d", name, snap.Count()))
			for at, value := range snap.Percentiles(quantiles) {
				lines = append(lines, fmt.Sprintf("%s_seconds{quantile=%q} %.6f", name, fmt.Sprint(quantiles[at]), time.Duration(value).Seconds()))
			}
		}
	})
	slices.Sort(lines)
	var out bytes.Buffer
	for _, line := range lines {
		out.WriteString(line + "\n")
	}
	return out.Bytes()
}
