package telemetry

import "github.com/prometheus/client_golang/prometheus"

// Backends are the metrics of backend listings and load reports.
type Backends struct {
	// Listings counts backend entries that were read, by their effect (the text of
	// backend.Listing).
	Listings *prometheus.CounterVec
	// Unreadable counts backend entries that can't be used, by kind.
	Unreadable *prometheus.CounterVec
	// ReportFaults counts load reports that were refused completely or in part, by kind.
	ReportFaults *prometheus.CounterVec
	// AnswerEnds counts the answers of backends by their framing, by what ended them, and by
	// whether they ended inside an event.
	AnswerEnds *prometheus.CounterVec
	// SkippedAnswers counts answers of backends that belonged to no call that was waiting, by the kind
	// of call whose answer was due.
	SkippedAnswers *prometheus.CounterVec
	// Departures counts backends that are no longer used because they left, by how their entry told it.
	Departures *prometheus.CounterVec
	// DepartureSeconds observes, for each of them, the longest time since the store can have
	// acknowledged it.
	DepartureSeconds *prometheus.HistogramVec
	// Evacuated is 1 for each evacuated zone.
	Evacuated *prometheus.GaugeVec
}

// departureBuckets are histogram buckets in seconds. Daemons wait 1.5 s for changes, and have 2 s or more.
var departureBuckets = []float64{.05, .2, .5, 1, 1.5, 1.8, 2, 2.5, 3, 5, 10}

// NewBackends registers the metrics of backend listings and load reports.
func NewBackends(registry *prometheus.Registry) *Backends {
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
	}
	made := &Backends{
		Listings:       counter("backend_listings_total", "Entries of back ends, by what they changed.", "change"),
		Unreadable:     counter("backend_unreadable_total", "Entries that name no back end to use.", "kind"),
		ReportFaults:   counter("backend_report_faults_total", "Load reports that were refused in part or whole.", "kind"),
		AnswerEnds:     counter("backend_answer_ends_total", "Answers of back ends, by framing and by what ended them.", "framing", "stop", "inside_event"),
		SkippedAnswers: counter("backend_answers_skipped_total", "Answers of back ends that belonged to no call that was waiting, by the call whose answer was due.", "before"),
		Departures:     counter("backend_departures_total", "Back ends that left and are no longer used, by how their entry told it.", "how"),
		DepartureSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "backend_departure_seconds", Help: "Longest time from the acknowledgement of a back end's leaving until it is no longer used.",
			Buckets: departureBuckets,
		}, []string{"how"}),
		Evacuated: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: namespace, Name: "zone_evacuated", Help: "Zones whose back ends get no new work.",
		}, []string{"zone"}),
	}
	registry.MustRegister(made.Listings, made.Unreadable, made.ReportFaults, made.AnswerEnds, made.SkippedAnswers, made.Departures, made.DepartureSeconds, made.Evacuated)
	return made
}
