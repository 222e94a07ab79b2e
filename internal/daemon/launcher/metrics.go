package launcher

import (
	"io"
	"net/http"
	"time"

	prometheus "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"
)

// metricsReportInterval is the interval at which the scope reports its metrics.
const metricsReportInterval = time.Second

// Metrics is a daemon's metrics scope and the handler that serves it.
type Metrics struct {
	Scope   tally.Scope
	Handler http.Handler
	closer  io.Closer
}

// NewMetrics returns a scope and a handler that serves it in the Prometheus text format.
func NewMetrics(role, name string) *Metrics {
	registry := prometheus.NewRegistry()
	reporter := promreporter.NewReporter(promreporter.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "burdockrudder",
		Tags:           map[string]string{"role": role, "name": name},
		CachedReporter: reporter,
		Separator:      promreporter.DefaultSeparator,
		// Without sanitizing, the names of tally's own metrics are invalid and tally panics.
		SanitizeOptions:        sanitizer(),
		OmitCardinalityMetrics: true,
	}, metricsReportInterval)
	return &Metrics{
		Scope:   scope,
		Handler: promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
		closer:  closer,
	}
}

// Close stops the reports.
func (m *Metrics) Close() {
	_ = m.closer.Close()
}

// sanitizer returns options that sanitize metric names but keep hyphens in tag values.
// Process names contain hyphens, and sanitized process names would not match the logs.
func sanitizer() *tally.SanitizeOptions {
	options := promreporter.DefaultSanitizerOpts
	options.ValueCharacters = tally.ValidCharacters{
		Ranges:     tally.AlphanumericRange,
		Characters: []rune{'_', '-', '.', '~'},
	}
	return &options
}
