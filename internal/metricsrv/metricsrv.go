// Package metricsrv serves a node's metrics as text over HTTP.
package metricsrv

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"tackbeam.example/tackbeam/internal/accept"
	"tackbeam.example/tackbeam/internal/api"
	"tackbeam.example/tackbeam/internal/fault"
	"tackbeam.example/tackbeam/internal/httpcall"
)

// Path is the path at which the metrics are served.
const Path = "/metrics"

// Server serves the metrics of a registry.
type Server struct {
	registry metrics.Registry
	log      logr.Logger
	server   *fasthttp.Server
	// documents are the functions that return what is served as JSON, by path.
	documents map[string]func(ctx context.Context) (any, error)
}

// New returns a server that is not listening yet.
func New(log logr.Logger, registry metrics.Registry) *Server {
	sr := &Server{registry: registry, log: log.WithName("metrics"), documents: map[string]func(context.Context) (any, error){}}
	sr.server = &fasthttp.Server{
		Handler: sr.serve, NoDefaultServerHeader: true, NoDefaultDate: true, Logger: httpcall.LibraryLogger(sr.log),
	}
	return sr
}

// WithJSON makes the server answer requests for a path with what a function returns, as JSON. It must be called before
// Listen, and returns the server.
func (sr *Server) WithJSON(path string, document func(ctx context.Context) (any, error)) *Server {
	sr.documents[path] = document
	return sr
}

// Listen serves requests at an address until Close is called.
func (sr *Server) Listen(address string) error {
	ln, err := accept.Listen(sr.log, "tcp4", address)
	if err != nil {
		return errors.Wrap(err, "listen for metrics requests")
	}
	go func() {
		if err := sr.server.Serve(ln); err != nil {
			sr.log.Error(err, "Metrics server stopped.")
		}
	}()
	return nil
}

// Close shuts the server down.
func (sr *Server) Close() error { return errors.Wrap(sr.server.Shutdown(), "close metrics server") }

func (sr *Server) serve(rc *fasthttp.RequestCtx) {
	if document, ok := sr.documents[string(rc.Path())]; ok {
		sr.serveJSON(rc, document)
		return
	}
	if string(rc.Path()) != Path {
		rc.Error("metrics are served at "+Path, fasthttp.StatusNotFound)
		return
	}
	rc.SetContentType("text/plain; charset=utf-8")
	rc.SetBody(Text(sr.registry))
}

// documentTimeout bounds the time that a document may take.
const documentTimeout = 2 * time.Second

func (sr *Server) serveJSON(rc *fasthttp.RequestCtx, document func(ctx context.Context) (any, error)) {
	ctx, cancel := context.WithTimeout(context.Background(), documentTimeout)
	defer cancel()
	body, err := document(ctx)
	if err != nil {
		er := fault.From(err)
		rc.SetStatusCode(er.Kind.Info().Status())
		body = api.NewErrorBody(er)
	}
	raw, err := json.Marshal(body)
	if err != nil {
		sr.log.Error(err, "Document could not be encoded.", "path", string(rc.Path()))
		rc.Error("cannot encode the document", fasthttp.StatusInternalServerError)
		return
	}
	rc.SetContentType("application/json")
	rc.SetBody(raw)
}

// quantiles are reported for each histogram.
var quantiles = []float64{0.5, 0.9, 0.99}

// Text returns the metrics of a registry as text, one or more lines for each, sorted by name. Times
// are in seconds.
func Text(registry metrics.Registry) []byte {
	var lines []string
	registry.Each(func(name string, metric any) {
		name = "tackbeam_" + strings.NewReplacer(".", "_", "-", "_").Replace(name)
		switch ms := metric.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("%s_total %d", name, ms.Count()))
		case metrics.Gauge:
			lines = append(lines, fmt.Sprintf("%s %d", name, ms.Value()))
		case metrics.Histogram:
			snap := ms.Snapshot()
			lines = append(lines, fmt.Sprintf("%s_seconds_count %d", name, snap.Count()))
			for i, value := range snap.Percentiles(quantiles) {
				lines = append(lines, fmt.Sprintf("%s_seconds{quantile=%q} %.6f", name, fmt.Sprint(quantiles[i]), time.Duration(value).Seconds()))
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
