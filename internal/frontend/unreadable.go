package frontend

import (
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"topazpulley/internal/backend"
	"topazpulley/internal/failure"
	"topazpulley/internal/table"
	"topazpulley/internal/telemetry"
)

const (
	// unreadablePause is the shortest time between two lines on entries of one kind:
	// whoever writes such entries may write many, and often.
	unreadablePause = 10 * time.Second
	// unknownKind is the kind of an entry whose decoder names none.
	unknownKind = "unknown"
)

// unreadableEntries counts and logs entries that name no backend to use, a line a kind
// now and then. It is used by one goroutine.
type unreadableEntries struct {
	log     *slog.Logger
	metrics *telemetry.Backends
	// byKind is bounded by the kinds, which are few.
	byKind map[string]*unreadableKind
}

// unreadableKind is what is kept of one kind.
type unreadableKind struct {
	loggedAt time.Time
	// unlogged counts the entries since the last line.
	unlogged int
}

func newUnreadableEntries(metrics *telemetry.Backends, log *slog.Logger) *unreadableEntries {
	return &unreadableEntries{log: log, metrics: metrics, byKind: map[string]*unreadableKind{}}
}

// note takes one entry in.
func (u *unreadableEntries) note(row table.Row, cause error, now time.Time) {
	kind := kindOf(cause)
	u.metrics.Unreadable.WithLabelValues(kind).Inc()
	known, exists := u.byKind[kind]
	if !exists {
		known = &unreadableKind{}
		u.byKind[kind] = known
	}
	if exists && now.Sub(known.loggedAt) < unreadablePause {
		known.unlogged++
		return
	}
	u.log.Warn("backend_unreadable", "backend", row.Key, "kind", kind, "row_version", row.Version, "unlogged", known.unlogged, "error", cause)
	known.loggedAt, known.unlogged = now, 0
}

// kindOf returns the code that the decoder gave its error.
func kindOf(cause error) string {
	var failed *failure.Error
	if errors.As(cause, &failed) {
		return failed.Code
	}
	return unknownKind
}

// birthLead is how far ahead of this machine's clock the birth of a backend may be:
// clocks of machines differ, by two seconds in the worst of what is known.
const birthLead = time.Minute

// checkBirth refuses an entry whose process has yet to start. Births of an id only rise,
// so one that lies ahead would keep the backend's own entries out until then.
func checkBirth(instance backend.Instance, now time.Time) error {
	if instance.StartMillis > now.Add(birthLead).UnixMilli() {
		return failure.New(failure.KindInvalid, "bad_birth", "the entry of back end %s tells a birth that is ahead", instance.ID)
	}
	return nil
}
