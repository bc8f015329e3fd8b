// Package metric records the counters, gauges and histograms of a host and
// exports them to Prometheus. Workspaces are not labels, so that the number of
// series is bounded.
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

// Metrics records the metrics of a host.
type Metrics struct {
	scope   tally.Scope
	closer  io.Closer
	handler http.Handler
}

const reportInterval = time.Second

// sanitizeOptions restricts names and label keys to the characters that Prometheus
// allows. Label values may also contain dashes and dots, which occur in host names.
var sanitizeOptions = tally.SanitizeOptions{
	NameCharacters:       prometheus.DefaultSanitizerOpts.NameCharacters,
	KeyCharacters:        prometheus.DefaultSanitizerOpts.KeyCharacters,
	ValueCharacters:      tally.ValidCharacters{Ranges: tally.AlphanumericRange, Characters: tally.UnderscoreDashDotCharacters},
	ReplacementCharacter: tally.DefaultReplacementCharacter,
}

// New returns metrics for Prometheus, with the host and the data centre as labels.
func New(host, dataCentre string) *Metrics {
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "godwitspread", Tags: map[string]string{"host": host, "data_centre": dataCentre},
		CachedReporter: reporter, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: &sanitizeOptions, OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{scope: scope, closer: closer, handler: reporter.HTTPHandler()}
}

// Discard returns metrics that are not recorded.
func Discard() *Metrics {
	return &Metrics{scope: tally.NoopScope, handler: http.NotFoundHandler(), closer: io.NopCloser(nil)}
}

// Handler returns the HTTP handler that serves the metrics.
func (metrics *Metrics) Handler() http.Handler { return metrics.handler }

// Close reports the remaining values and stops the periodic reports.
func (metrics *Metrics) Close() error { return metrics.closer.Close() }

// Count increments a counter.
func (metrics *Metrics) Count(name string) { metrics.scope.Counter(name).Inc(1) }

// Add increases a counter.
func (metrics *Metrics) Add(name string, count int) { metrics.scope.Counter(name).Inc(int64(count)) }

// CountRefusal increments the counter of refusals with a code as the reason.
func (metrics *Metrics) CountRefusal(code refusal.Code) {
	metrics.scope.Tagged(map[string]string{"reason": string(code)}).Counter("refusals").Inc(1)
}

// CountRetry increments the counter of retries with a reason.
func (metrics *Metrics) CountRetry(reason string) {
	metrics.scope.Tagged(map[string]string{"reason": reason}).Counter("retries").Inc(1)
}

// CountStoreCall increments the counter of calls of the store, or that of those without a
// response, by the kind of call and the path.
func (metrics *Metrics) CountStoreCall(kind, path string, responded bool) {
	name := "store_calls"
	if !responded {
		name = "store_calls_failed"
	}
	metrics.scope.Tagged(map[string]string{"kind": kind, "path": path}).Counter(name).Inc(1)
}

// SetGauge sets the value of a gauge.
func (metrics *Metrics) SetGauge(name string, value float64) { metrics.scope.Gauge(name).Update(value) }

// CountSpillover increments the counters of the requests of a service, and of their bytes,
// that leave the data centre for a reason.
func (metrics *Metrics) CountSpillover(service, reason string, bytes int) {
	scope := metrics.scope.Tagged(map[string]string{"service": service, "reason": reason})
	scope.Counter("spillover_requests").Inc(1)
	scope.Counter("spillover_bytes").Inc(int64(bytes))
}

// SetSpilloverShare sets the gauge of the share of a service that leaves the data centre.
func (metrics *Metrics) SetSpilloverShare(service string, share float64) {
	metrics.scope.Tagged(map[string]string{"service": service}).Gauge("spillover_share").Update(share)
}

// latencyBuckets are the bounds of histograms, from 50 µs to 52 s.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(50*time.Microsecond, 2, 21)

// ObserveLatency records a duration in a histogram.
func (metrics *Metrics) ObserveLatency(name string, duration time.Duration) {
	metrics.scope.Histogram(name, latencyBuckets).RecordDuration(duration)
}
