package serving

import (
	"time"

	"topazpulley/internal/telemetry"
)

// SendKind is the kind of an attempt in logs.
type SendKind string

// The kinds of attempts.
const (
	// SendFirst is the first attempt.
	SendFirst SendKind = "first"
	// SendRetry is a further attempt from the start.
	SendRetry SendKind = "retry"
	// SendResumption resumes a stream after an event that the caller has received.
	SendResumption SendKind = "resumption"
)

// KindOfSend returns the kind of an attempt from its number, which starts at 1, and the
// last event that the caller has received (0: none).
func KindOfSend(number int, lastEvent int64) SendKind {
	switch {
	case lastEvent > 0:
		return SendResumption
	case number > 1:
		return SendRetry
	}
	return SendFirst
}

// CountContinuation counts an attempt that continues a stream after an event. origin is the
// software version at which the stream began; empty means unknown.
func CountContinuation(metrics *telemetry.Serving, attempt *Attempt, origin string) {
	if !attempt.Stream || attempt.LastEvent == 0 {
		return
	}
	versions := "other"
	switch {
	case origin == "" || attempt.Instance.Version == "":
		versions = "unknown"
	case origin == attempt.Instance.Version:
		versions = "same"
	}
	metrics.Continuations.WithLabelValues(attempt.Instance.Service, versions).Inc()
}

// logSent logs the origin of an attempt just before its first byte is sent. The line shows
// the caller for a request id in a backend's log, even if the daemon exits before it logs
// request_ended. A request logs at most maxSends such lines, unless it outlives refusals: those
// attempts are paced.
func (e *exchange) logSent(attempt *Attempt) {
	known := e.core.Backends.EvidenceOf(attempt.Instance.Incarnation(), time.Now())
	e.core.Logger.Info("request_sent", "id", e.request.ID, "backend", attempt.Instance.ID, "born", attempt.Instance.StartMillis, "software", attempt.Instance.Version, "attempt", e.sends,
		"kind", string(KindOfSend(e.sends, attempt.LastEvent)), "caller", e.request.Caller, "tenant", attempt.Tenant,
		"route", e.request.Route.Name, "last_event", attempt.LastEvent, "resumes", e.request.Resumes, "began_software", e.origin, "place", attempt.Reservation,
		"list_age_ms", telemetry.AgeMillis(known.ListAge), "entry_missing_ms", known.MissingFor.Milliseconds())
}
