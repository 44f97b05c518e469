package serving

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

// logSent logs the origin of an attempt just before its first byte is sent. The line shows
// the caller for a request id in a backend's log, even if the daemon exits before it logs
// request_ended. A request logs at most maxSends such lines.
func (e *exchange) logSent(attempt *Attempt) {
	e.core.Logger.Info("request_sent", "id", e.request.ID, "backend", attempt.Instance.ID, "born", attempt.Instance.StartMillis, "attempt", e.sends,
		"kind", string(KindOfSend(e.sends, attempt.LastEvent)), "caller", e.request.Caller, "tenant", attempt.Tenant,
		"route", e.request.Route.Name, "last_event", attempt.LastEvent, "place", attempt.Reservation)
}
