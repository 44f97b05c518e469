package quarantine

import (
	"context"
	"log/slog"
	"time"

	"topazpulley/internal/periodic"
	"topazpulley/internal/table"
)

const (
	// recorderQueue is the maximum number of queued changes. The evidence of one crash that
	// this daemon observes is one change.
	recorderQueue = 256
	// rowsPerCommit is the store's limit on the entries of a transaction.
	rowsPerCommit = 100
	// recordTimeout is the timeout of one commit.
	recordTimeout = time.Second
	// recordPause is the mean pause after the first failed commit. It doubles up to
	// maxRecordPause, which bounds the time after an outage until the store has the evidence.
	recordPause    = 200 * time.Millisecond
	maxRecordPause = time.Second
)

// Recorder writes evidence to the store and removes it. It retries a failed change until
// the store accepts it: changes are idempotent.
type Recorder struct {
	store   table.Store
	log     *slog.Logger
	changes chan change
}

// change is a set of rows to write and remove.
type change struct {
	writes   []table.Write
	removals []table.Removal
}

func (c change) isEmpty() bool { return len(c.writes)+len(c.removals) == 0 }

// NewRecorder returns a recorder. Run has to be called for changes to be committed.
func NewRecorder(store table.Store, log *slog.Logger) *Recorder {
	return &Recorder{store: store, log: log, changes: make(chan change, recorderQueue)}
}

// Write queues evidence to be written. It does not block; a full queue drops it.
func (r *Recorder) Write(evidence []Evidence) {
	added := change{}
	for _, each := range evidence {
		content, err := encodeEvidence(each)
		if err != nil {
			r.log.Error("evidence_not_encoded", "fingerprint", each.Fingerprint.String(), "error", err)
			continue
		}
		key := RowKey{Fingerprint: each.Fingerprint, Instance: each.Instance}
		added.writes = append(added.writes, table.Write{Table: TableName, Key: key.String(), Value: content})
	}
	r.enqueue(added)
}

// Remove queues rows to be removed. It does not block; a full queue drops them.
func (r *Recorder) Remove(keys []RowKey) {
	added := change{}
	for _, key := range keys {
		added.removals = append(added.removals, table.Removal{Table: TableName, Key: key.String()})
	}
	r.enqueue(added)
}

func (r *Recorder) enqueue(added change) {
	if added.isEmpty() {
		return
	}
	select {
	case r.changes <- added:
	default:
		r.log.Warn("evidence_not_recorded", "rows", len(added.writes)+len(added.removals), "reason", "queue_full", "waiting", len(r.changes))
	}
}

// Run commits queued changes until the context ends.
func (r *Recorder) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case added := <-r.changes:
			for _, part := range added.split() {
				r.commit(ctx, part)
			}
		}
	}
}

// split divides a change into transactions within the store's limit.
func (c change) split() []change {
	parts := []change{}
	for start := 0; start < len(c.writes); start += rowsPerCommit {
		parts = append(parts, change{writes: c.writes[start:min(start+rowsPerCommit, len(c.writes))]})
	}
	for start := 0; start < len(c.removals); start += rowsPerCommit {
		parts = append(parts, change{removals: c.removals[start:min(start+rowsPerCommit, len(c.removals))]})
	}
	return parts
}

// commit retries one transaction until it succeeds or the context ends.
func (r *Recorder) commit(ctx context.Context, part change) {
	pause := recordPause
	for attempts := 1; ; attempts++ {
		bounded, cancel := context.WithTimeout(ctx, recordTimeout)
		_, err := r.store.Commit(bounded, table.Transaction{Writes: part.writes, Removals: part.removals})
		cancel()
		if err == nil {
			r.log.Info("evidence_recorded", "written", len(part.writes), "removed", len(part.removals), "tries", attempts)
			return
		}
		r.log.Info("evidence_not_recorded", "rows", len(part.writes)+len(part.removals), "tries", attempts, "error", err)
		if !periodic.SleepAbout(ctx, pause) {
			return
		}
		pause = min(pause*2, maxRecordPause)
	}
}
