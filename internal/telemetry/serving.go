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
	// Continuations counts attempts that continue a stream after an event, by service and by
	// whether the backend has the software version at which the stream began.
	Continuations *prometheus.CounterVec
	// OriginFindings counts searches for the origin of a stream that a caller resumes, by
	// result (streamorigin.Finding).
	OriginFindings *prometheus.CounterVec
	// OriginCopies counts origins of streams that had to be copied to another daemon before
	// the first event, by outcome.
	OriginCopies *prometheus.CounterVec
	// Silences counts attempts that exceeded their early response timeout, by service and outcome.
	Silences *prometheus.CounterVec
	// Searches counts searches for a backend that takes a request over from a silent attempt, by
	// service and outcome.
	Searches *prometheus.CounterVec
	// BrokenOff counts answers that had begun and were broken off by this daemon, by service and
	// code.
	BrokenOff *prometheus.CounterVec
	// FirstOutput observes seconds to the first event or the complete answer.
	FirstOutput *prometheus.HistogramVec
	// Duration observes seconds to the end of a request.
	Duration *prometheus.HistogramVec
	// Items counts ended attempts of batch items by outcome.
	Items *prometheus.CounterVec
	// Held counts submissions that arrived during a store outage, by outcome.
	Held *prometheus.CounterVec
	// StoreCalls counts calls to the store by call and outcome.
	StoreCalls *prometheus.CounterVec
	// StoreSeconds observes the duration of calls to the store in seconds.
	StoreSeconds *prometheus.HistogramVec
	// DamagedRows counts rows and names in answers of the store of which a part can't be read, by
	// call.
	DamagedRows *prometheus.CounterVec
	// Behind counts online requests that became overdue while they waited for a slot, and so
	// let requests on time go first, by service.
	Behind *prometheus.CounterVec
	// TurnedAway counts online requests that were rejected because requests on time needed
	// all slots, by service.
	TurnedAway *prometheus.CounterVec
	// Malformed counts callers' requests that were refused as malformed, by kind.
	Malformed *prometheus.CounterVec
	// Shed counts callers' connections that were closed before anything was read, by reason
	// (intake.Reason).
	Shed *prometheus.CounterVec
	// SlowCallers counts answers that the caller stopped reading for some time, by outcome.
	SlowCallers *prometheus.CounterVec
	// CutRequests counts requests that the end of the process cut, by what their connection was
	// doing.
	CutRequests *prometheus.CounterVec
	// Panics counts requests that ended with a programming error.
	Panics prometheus.Counter
	// MemoryRefusals counts requests that were refused because of the memory limit.
	MemoryRefusals prometheus.Counter
	// BatchRoom counts decisions on the batch capacity, by the bound that applied.
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
		Requests:       counter("serving_requests_total", "Ended online requests.", "service", "outcome"),
		Attempts:       counter("serving_failed_attempts_total", "Failed attempts at back ends.", "outcome", "reason"),
		Continuations:  counter("stream_continuations_total", "Attempts that go on with a stream after an event, by whether the software version is the one that began it.", "service", "software"),
		OriginFindings: counter("stream_origin_findings_total", "Searches for the software version that began a stream, by result.", "finding"),
		OriginCopies:   counter("stream_origin_copies_total", "Origins of streams copied to another daemon before the first event, by outcome.", "outcome"),
		Silences:       counter("serving_silences_total", "Attempts that stayed silent for longer than learned.", "service", "outcome"),
		Searches:       counter("serving_successor_searches_total", "Searches for a back end that takes over from a silent attempt.", "service", "outcome"),
		BrokenOff:      counter("serving_answers_broken_off_total", "Answers that had begun and were broken off, by cause.", "service", "code"),
		FirstOutput:    histogram("serving_first_output_seconds", "Time to the first event or the whole answer.", "service"),
		Duration:       histogram("serving_duration_seconds", "Time to the end of a request.", "service"),
		Items:          counter("job_item_attempts_total", "Ended attempts of batch items.", "outcome"),
		Held:           counter("job_submissions_held_total", "Submissions that came while the store was away.", "outcome"),
		StoreCalls:     counter("store_calls_total", "Calls to the store.", "call", "outcome"),
		StoreSeconds:   histogram("store_call_seconds", "Time of calls to the store.", "call"),
		DamagedRows:    counter("store_damaged_rows_total", "Rows and names in answers of the store of which a part can't be read.", "call"),
		Behind:         counter("serving_behind_total", "Online requests that were late and made way for those in time.", "service"),
		TurnedAway:     counter("serving_turned_away_total", "Online requests refused because those in time needed all places.", "service"),
		Malformed:      newMalformed(),
		BatchRoom:      counter("batch_room_decisions_total", "Decisions on the room for batch items by what bounded it.", "bound"),
		Shed:           counter("shed_connections_total", "Connections of callers that were closed unread since other daemons have room.", "reason"),
		SlowCallers:    counter("slow_callers_total", "Answers of which the caller left a part unread for a while.", "outcome"),
		CutRequests:    counter("cut_requests_total", "Requests that the end of the process cut, by what their connection was doing.", "phase"),

		Panics:         prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "request_panics_total", Help: "Requests that ended with a programming error."}),
		MemoryRefusals: prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "memory_refusals_total", Help: "Requests refused because too much was held for others."}),
	}
	registry.MustRegister(serving.Requests, serving.Attempts, serving.Continuations, serving.OriginFindings, serving.OriginCopies, serving.Silences, serving.Searches, serving.BrokenOff, serving.FirstOutput, serving.Duration, serving.Items, serving.Held, serving.StoreCalls, serving.StoreSeconds, serving.DamagedRows,
		serving.Behind, serving.TurnedAway, serving.Malformed, serving.Shed, serving.SlowCallers, serving.CutRequests, serving.Panics, serving.MemoryRefusals, serving.BatchRoom)
	return serving
}

// Quota are the metrics of the limits on waiting jobs.
type Quota struct {
	// Refusals counts jobs that were refused because of the limit, by account.
	Refusals *prometheus.CounterVec
	// Waiting is the last known sum of waiting tokens of an account.
	Waiting *prometheus.GaugeVec
}

// NewQuota registers the metrics of the limits on waiting jobs.
func NewQuota(registry *prometheus.Registry) *Quota {
	made := &Quota{
		Refusals: prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "quota_refusals_total", Help: "Jobs refused because too much waits."}, []string{"account"}),
		Waiting:  prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: "quota_waiting_tokens", Help: "Tokens that wait on an account."}, []string{"account"}),
	}
	registry.MustRegister(made.Refusals, made.Waiting)
	return made
}
