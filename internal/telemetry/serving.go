package telemetry

import (
	"github.com/prometheus/client_golang/prometheus"
)

// Serving are the metrics of the online core.
type Serving struct {
	// Requests counts ended requests by service and outcome.
	Requests *prometheus.CounterVec
	// Attempts counts failed attempts by outcome and reason.
	Attempts *prometheus.CounterVec
	// FirstOutput observes seconds to the first event or the whole answer.
	FirstOutput *prometheus.HistogramVec
	// Duration observes seconds to the end of a request.
	Duration *prometheus.HistogramVec
	// Items counts ended attempts of batch items by outcome.
	Items *prometheus.CounterVec
	// StoreCalls counts calls to the store by call and outcome.
	StoreCalls *prometheus.CounterVec
	// StoreSeconds observes the time of calls to the store.
	StoreSeconds *prometheus.HistogramVec
	// Malformed counts callers' requests that were refused as malformed, by kind.
	Malformed *prometheus.CounterVec
	// BatchRoom counts decisions on the room for batch items by what bounded it.
	BatchRoom *prometheus.CounterVec
}

// NewServing registers the metrics of the online core.
func NewServing(registry *prometheus.Registry) *Serving {
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
	}
	histogram := func(name, help string, labels ...string) *prometheus.HistogramVec {
		return prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: firstTokenBuckets}, labels)
	}
	serving := &Serving{
		Requests:     counter("serving_requests_total", "Ended online requests.", "service", "outcome"),
		Attempts:     counter("serving_failed_attempts_total", "Failed attempts at back ends.", "outcome", "reason"),
		FirstOutput:  histogram("serving_first_output_seconds", "Time to the first event or the whole answer.", "service"),
		Duration:     histogram("serving_duration_seconds", "Time to the end of a request.", "service"),
		Items:        counter("job_item_attempts_total", "Ended attempts of batch items.", "outcome"),
		StoreCalls:   counter("store_calls_total", "Calls to the store.", "call", "outcome"),
		StoreSeconds: histogram("store_call_seconds", "Time of calls to the store.", "call"),
		Malformed:    newMalformed(),
		BatchRoom:    counter("batch_room_decisions_total", "Decisions on the room for batch items by what bounded it.", "bound"),
	}
	registry.MustRegister(serving.Requests, serving.Attempts, serving.FirstOutput, serving.Duration, serving.Items, serving.StoreCalls, serving.StoreSeconds, serving.Malformed, serving.BatchRoom)
	return serving
}

// Quota are the metrics of bounds on waiting work.
type Quota struct {
	// Refusals counts jobs that did not fit, by account.
	Refusals *prometheus.CounterVec
	// Waiting is the sum of tokens that wait on an account, as last told.
	Waiting *prometheus.GaugeVec
}

// NewQuota registers the metrics of bounds on waiting work.
func NewQuota(registry *prometheus.Registry) *Quota {
	made := &Quota{
		Refusals: prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "quota_refusals_total", Help: "Jobs refused because too much waits."}, []string{"account"}),
		Waiting:  prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: "quota_waiting_tokens", Help: "Tokens that wait on an account."}, []string{"account"}),
	}
	registry.MustRegister(made.Refusals, made.Waiting)
	return made
}
