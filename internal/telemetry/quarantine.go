package telemetry

import "github.com/prometheus/client_golang/prometheus"

// Quarantine has the metrics of requests that crash backends.
type Quarantine struct {
	// Crashes counts crashes of backends that this daemon observed, by the number of its runs
	// there that had no output: 0, 1 or more.
	Crashes *prometheus.CounterVec
	// Evidence counts requests that ran at a backend when it crashed, by the source of the
	// evidence.
	Evidence *prometheus.CounterVec
	// Quarantined counts requests that were quarantined.
	Quarantined prometheus.Counter
	// Refused counts attempts that were not sent because the request is quarantined, by
	// service.
	Refused *prometheus.CounterVec
}

// NewQuarantine registers the quarantine metrics.
func NewQuarantine(registry *prometheus.Registry) *Quarantine {
	made := &Quarantine{
		Crashes:     prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "backend_crashes_total", Help: "Back ends seen to have ended, by the runs of this daemon without output there."}, []string{"without_output"}),
		Evidence:    prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "crash_evidence_total", Help: "Requests that were in flight at back ends that ended."}, []string{"source"}),
		Quarantined: prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "quarantines_total", Help: "Requests quarantined because back ends ended under them."}),
		Refused:     prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "quarantine_refusals_total", Help: "Attempts of quarantined requests that no back end was sent."}, []string{"service"}),
	}
	registry.MustRegister(made.Crashes, made.Evidence, made.Quarantined, made.Refused)
	return made
}
