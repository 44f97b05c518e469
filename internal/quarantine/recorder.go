package quarantine

import (
	"context"
	"log/slog"
	"time"

	"topazpulley/internal/periodic"
	"topazpulley/internal/table"
)

const (
	// recorderQueue bounds the changes that wait for the store: one a backend that
	// ends and daemon that saw it, so a store that is away for minutes.
	recorderQueue = 256
	// rowsPerCommit is the store's bound on the entries of a transaction.
	rowsPerCommit = 100
	recordTimeout = time.Second
	// recordPause is the mean pause after a failed call, and recordCeiling the
	// longest after several.
	recordPause   = 200 * time.Millisecond
	recordCeiling = 5 * time.Second
)

// Recorder writes evidence to the store, and withdraws it, for as long as it
// takes: an order that failed is repeated, since writing a row twice changes
// nothing.
type Recorder struct {
	store  table.Store
	log    *slog.Logger
	orders chan order
}

// order is a change that the store is to take.
type order struct {
	writes   []table.Write
	removals []table.Removal
}

func (o order) isEmpty() bool { return len(o.writes)+len(o.removals) == 0 }

// NewRecorder returns a recorder. Run makes it work.
func NewRecorder(store table.Store, log *slog.Logger) *Recorder {
	return &Recorder{store: store, log: log, orders: make(chan order, recorderQueue)}
}

// Write has evidence written. It does not block.
func (r *Recorder) Write(evidence []Evidence) {
	wanted := order{}
	for _, each := range evidence {
		content, err := encodeEvidence(each)
		if err != nil {
			r.log.Error("evidence_not_encoded", "fingerprint", each.Fingerprint.String(), "error", err)
			continue
		}
		key := RowKey{Fingerprint: each.Fingerprint, Instance: each.Instance}
		wanted.writes = append(wanted.writes, table.Write{Table: TableName, Key: key.String(), Value: content})
	}
	r.queue(wanted)
}

// Remove has evidence removed. It does not block.
func (r *Recorder) Remove(keys []RowKey) {
	wanted := order{}
	for _, key := range keys {
		wanted.removals = append(wanted.removals, table.Removal{Table: TableName, Key: key.String()})
	}
	r.queue(wanted)
}

func (r *Recorder) queue(wanted order) {
	if wanted.isEmpty() {
		return
	}
	select {
	case r.orders <- wanted:
	default:
		r.log.Warn("evidence_not_recorded", "rows", len(wanted.writes)+len(wanted.removals), "reason", "queue_full", "waiting", len(r.orders))
	}
}

// Run carries orders out until the context ends.
func (r *Recorder) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case wanted := <-r.orders:
			for _, part := range wanted.parts() {
				r.commit(ctx, part)
			}
		}
	}
}

// parts splits an order into transactions that the store takes.
func (o order) parts() []order {
	parts := []order{}
	for start := 0; start < len(o.writes); start += rowsPerCommit {
		parts = append(parts, order{writes: o.writes[start:min(start+rowsPerCommit, len(o.writes))]})
	}
	for start := 0; start < len(o.removals); start += rowsPerCommit {
		parts = append(parts, order{removals: o.removals[start:min(start+rowsPerCommit, len(o.removals))]})
	}
	return parts
}

// commit repeats one transaction until the store has taken it.
func (r *Recorder) commit(ctx context.Context, part order) {
	pause := recordPause
	for tries := 1; ; tries++ {
		bounded, cancel := context.WithTimeout(ctx, recordTimeout)
		_, err := r.store.Commit(bounded, table.Transaction{Writes: part.writes, Removals: part.removals})
		cancel()
		if err == nil {
			r.log.Info("evidence_recorded", "written", len(part.writes), "removed", len(part.removals), "tries", tries)
			return
		}
		r.log.Info("evidence_not_recorded", "rows", len(part.writes)+len(part.removals), "tries", tries, "error", err)
		if !periodic.SleepAbout(ctx, pause) {
			return
		}
		pause = min(pause*2, recordCeiling)
	}
}
