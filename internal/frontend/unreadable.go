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
	// unreadablePause is the minimum time between two log lines on entries of one kind.
	unreadablePause = 10 * time.Second
	// unknownKind is the kind of an entry whose decoding error has no code.
	unknownKind = "unknown"
)

// unreadableEntries counts entries that can't be used and logs them at a limited rate per kind.
// It is used by one goroutine at a time.
type unreadableEntries struct {
	log     *slog.Logger
	metrics *telemetry.Backends
	// byKind is bounded by the small number of kinds.
	byKind map[string]*unreadableKind
}

// unreadableKind is the logging state of one kind.
type unreadableKind struct {
	loggedAt time.Time
	// unlogged counts the entries since the last line.
	unlogged int
}

func newUnreadableEntries(metrics *telemetry.Backends, log *slog.Logger) *unreadableEntries {
	return &unreadableEntries{log: log, metrics: metrics, byKind: map[string]*unreadableKind{}}
}

// record counts an entry and logs it unless its kind was logged recently.
func (u *unreadableEntries) record(row table.Row, cause error, now time.Time) {
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

// kindOf returns the code of a decoding error.
func kindOf(cause error) string {
	var failed *failure.Error
	if errors.As(cause, &failed) {
		return failed.Code
	}
	return unknownKind
}

// maxStartLead is how far ahead of this machine's clock the start time of a backend may be. It
// allows for clock differences between machines.
const maxStartLead = time.Minute

// checkStartTime rejects an entry with a start time in the future. Entries with an earlier start
// time than the listed one are ignored, so such an entry would block the backend's own entries.
func checkStartTime(instance backend.Instance, now time.Time) error {
	if instance.StartMillis > now.Add(maxStartLead).UnixMilli() {
		return failure.New(failure.KindInvalid, "bad_birth", "the start time in the entry of backend %s is in the future", instance.ID)
	}
	return nil
}
