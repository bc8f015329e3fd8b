// Package metric names the counters and histograms of a daemon. Reasons are
// counters; workspaces are no labels, so that the number of series is bounded.
package metric

import (
	"io"
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"github.com/godwitspread/godwitspread/internal/refusal"
)

// Metrics is where a daemon counts.
type Metrics struct {
	scope   tally.Scope
	closer  io.Closer
	handler http.Handler
}

const reportInterval = time.Second

// sanitizing keeps names as Prometheus wants them, and host names as they are.
var sanitizing = tally.SanitizeOptions{
	NameCharacters:       prometheus.DefaultSanitizerOpts.NameCharacters,
	KeyCharacters:        prometheus.DefaultSanitizerOpts.KeyCharacters,
	ValueCharacters:      tally.ValidCharacters{Ranges: tally.AlphanumericRange, Characters: tally.UnderscoreDashDotCharacters},
	ReplacementCharacter: tally.DefaultReplacementCharacter,
}

// New returns metrics that are served to Prometheus.
func New(host, dataCentre string) *Metrics {
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "godwitspread", Tags: map[string]string{"host": host, "data_centre": dataCentre},
		CachedReporter: reporter, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: &sanitizing, OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{scope: scope, closer: closer, handler: reporter.HTTPHandler()}
}

// Discard returns metrics that go nowhere.
func Discard() *Metrics {
	return &Metrics{scope: tally.NoopScope, handler: http.NotFoundHandler(), closer: io.NopCloser(nil)}
}

// Handler serves the metrics over HTTP.
func (metrics *Metrics) Handler() http.Handler { return metrics.handler }

// Close stops the reports.
func (metrics *Metrics) Close() error { return metrics.closer.Close() }

// Count increments a counter.
func (metrics *Metrics) Count(name string) { metrics.scope.Counter(name).Inc(1) }

// Refused counts a refusal by its reason.
func (metrics *Metrics) Refused(code refusal.Code) {
	metrics.scope.Tagged(map[string]string{"reason": string(code)}).Counter("refusals").Inc(1)
}

// Retried counts a retry by its reason.
func (metrics *Metrics) Retried(reason string) {
	metrics.scope.Tagged(map[string]string{"reason": reason}).Counter("retries").Inc(1)
}

// Gauge sets a level.
func (metrics *Metrics) Gauge(name string, value float64) { metrics.scope.Gauge(name).Update(value) }

var latencies = tally.MustMakeExponentialDurationBuckets(50*time.Microsecond, 2, 21)

// Latency records how long something took.
func (metrics *Metrics) Latency(name string, duration time.Duration) {
	metrics.scope.Histogram(name, latencies).RecordDuration(duration)
}
