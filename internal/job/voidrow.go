package job

import (
	"context"

	"github.com/pkg/errors"

	"topazpulley/internal/failure"
	"topazpulley/internal/table"
)

// voidRow is a row that makes all acceptances of a job fail that are in progress when
// it is written. A later submission of the job replaces it.
type voidRow struct {
	// By is the name of the daemon that wrote the row.
	By string `json:"by"`
	// IsCancelled reports that Tenant cancelled the job before its acceptance was known.
	IsCancelled bool   `json:"ended,omitempty"`
	Tenant      string `json:"tenant,omitempty"`
}

// isCancelledFor reports whether the job was cancelled by a caller that may cancel the
// jobs of this tenant.
func (v voidRow) isCancelledFor(tenant string) bool {
	return v.IsCancelled && mayAccess(tenant, v.Tenant)
}

// acceptedError reports that acceptances cannot be voided because the job already
// exists.
type acceptedError struct{ job string }

// Error implements error.
func (e *acceptedError) Error() string { return "job " + e.job + " was already accepted" }

// cancelledError reports that a job was cancelled while its acceptance was in progress.
type cancelledError struct{ job string }

// Error implements error.
func (e *cancelledError) Error() string {
	return "job " + e.job + " was cancelled while its acceptance was in progress"
}

// voidAcceptances makes all acceptances of a job fail that are in progress. It writes a
// void row or replaces an existing one, so acceptances that expect no row or an earlier
// version conflict. A cancellation recorded in an existing row is preserved. It returns
// an acceptedError if the job exists.
func (s *Service) voidAcceptances(ctx context.Context, id string, row voidRow) error {
	existing := table.Row{}
	for {
		value, err := s.encodeVoid(existing, row)
		if err != nil {
			return err
		}
		_, err = s.commit(ctx, table.Transaction{
			Partition:  shard(id),
			Conditions: []table.Condition{{Table: tableAccepted, Key: id}, {Table: tableVoid, Key: id, Version: existing.Version}},
			Writes:     []table.Write{{Table: tableVoid, Key: id, Value: value}},
		})
		var conflict *table.ConflictError
		switch {
		case !errors.As(err, &conflict):
			s.log.Info("job_voided", "job", id, "is_ended", row.IsCancelled, "replaced_version", existing.Version, "error", err)
			return err
		case conflict.Row(tableAccepted, id).Version != 0:
			return &acceptedError{job: id}
		}
		existing = conflict.Row(tableVoid, id)
	}
}

// encodeVoid encodes the void row that replaces an existing one. If only the existing
// row records a cancellation, its value is kept.
func (s *Service) encodeVoid(existing table.Row, row voidRow) ([]byte, error) {
	if before := s.decodeVoid(existing); before.IsCancelled && !row.IsCancelled {
		return existing.Value, nil
	}
	return encode(row)
}

// decodeVoid decodes a void row. Rows from older versions, which contain only a daemon
// name, cannot be decoded and yield the zero value.
func (s *Service) decodeVoid(row table.Row) voidRow {
	var read voidRow
	if row.Version == 0 {
		return read
	}
	if err := decode(row, &read); err != nil {
		s.log.Info("void_unreadable", "job", row.Key, "row_version", row.Version, "error", err)
	}
	return read
}

// voidCancelled makes the acceptances in progress fail for a job that its client
// cancelled before any of them took effect. It then returns a not-found error.
func (s *Service) voidCancelled(ctx context.Context, key cancelKey) error {
	err := s.voidAcceptances(ctx, key.job, voidRow{By: s.self.Name, IsCancelled: true, Tenant: key.tenant})
	if err != nil {
		return unavailable(err) // also if the job was accepted meanwhile: the caller retries
	}
	return notFound(key.job)
}

// codeCancelledEarly is the error code for a job that was cancelled before it was
// accepted.
const codeCancelledEarly = "job_ended_early"

// cancelledSubmission returns the failure for a submission whose job was cancelled
// while it was in progress.
func cancelledSubmission(id string) error {
	return failure.Wrap(&cancelledError{job: id}, failure.KindUnavailable, codeCancelledEarly, "the job was cancelled before it was accepted").WithNotRun().WithRetryAfter(retryAfterStore)
}
