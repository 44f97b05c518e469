// Package telemetry has the daemon's Prometheus metrics and its logger. Each New function registers
// the metrics of one part of the daemon.
package telemetry

import (
	"io"
	"log/slog"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics are the daemon's Prometheus metrics.
type Metrics struct {
	// Registry has all of these metrics.
	Registry *prometheus.Registry
	// Requests counts finished requests by service and outcome kind.
	Requests *prometheus.CounterVec
	// FirstToken observes the time to the first token in seconds, by service.
	FirstToken *prometheus.HistogramVec
	// Retries counts second and later attempts of online requests, by reason.
	Retries *prometheus.CounterVec
	// Dropped counts engine answers with the id of another attempt.
	Dropped prometheus.Counter
	// Spilled counts requests forwarded to another zone, by that zone.
	Spilled *prometheus.CounterVec
	// Malformed counts callers' requests that were refused as malformed, by kind.
	Malformed *prometheus.CounterVec
}

// newMalformed returns the counter of malformed requests, which is part of Metrics and of Serving.
func newMalformed() *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "malformed_requests_total", Help: "Callers' requests refused as malformed."}, []string{"kind"})
}

const namespace = "topazpulley"

// firstTokenBuckets are histogram buckets in seconds; 0.42 s is the objective.
var firstTokenBuckets = []float64{.01, .025, .05, .1, .2, .3, .42, .6, 1, 2, 5, 15}

// NewMetrics registers the metrics.
func NewMetrics() *Metrics {
	metrics := &Metrics{
		Registry: prometheus.NewRegistry(),
		Requests: prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "requests_total", Help: "Finished online requests."}, []string{"service", "outcome"}),
		FirstToken: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "first_token_seconds", Help: "Time from arrival to the first token.", Buckets: firstTokenBuckets,
		}, []string{"service"}),
		Retries:   prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "retries_total", Help: "Further attempts of online requests."}, []string{"reason"}),
		Dropped:   prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "foreign_answers_total", Help: "Engine answers with another attempt's id, dropped."}),
		Spilled:   prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "spilled_requests_total", Help: "Requests forwarded to another zone."}, []string{"zone"}),
		Malformed: newMalformed(),
	}
	metrics.Registry.MustRegister(metrics.Requests, metrics.FirstToken, metrics.Retries, metrics.Dropped, metrics.Spilled, metrics.Malformed)
	return metrics
}

// Gauge registers a gauge whose value is read when it is scraped.
func (m *Metrics) Gauge(name, help string, read func() float64) {
	m.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, read))
}

// NewLogger returns a logger that writes one line of key=value pairs per event.
func NewLogger(output io.Writer, level slog.Level, daemon string) *slog.Logger {
	options := &slog.HandlerOptions{Level: level, ReplaceAttr: withoutStack}
	return slog.New(slog.NewTextHandler(output, options)).With("daemon", daemon)
}

// withoutStack replaces an error by its text, because the handler would log its stack too.
func withoutStack(_ []string, attribute slog.Attr) slog.Attr {
	if err, isError := attribute.Value.Any().(error); isError {
		attribute.Value = slog.StringValue(err.Error())
	}
	return attribute
}
