package job

import (
	"context"

	"github.com/pkg/errors"

	"topazpulley/internal/failure"
	"topazpulley/internal/table"
)

// voiding is the row that makes the acceptances of a job fail that were under way when
// it was written. An acceptance that finds it, and still wants the job, replaces it.
type voidRow struct {
	// By is the daemon that wrote the row.
	By string `json:"by"`
	// IsEnded tells that Tenant ended the job before its acceptance was known.
	IsCancelled bool   `json:"ended,omitempty"`
	Tenant      string `json:"tenant,omitempty"`
}

// ends reports whether the job was ended by one who may end the tenant's jobs.
func (v voidRow) isCancelledFor(tenant string) bool {
	return v.IsCancelled && mayAccess(tenant, v.Tenant)
}

// acceptedMeanwhileError tells that a job exists whose acceptances were to be voided.
type acceptedError struct{ job string }

// Error implements error.
func (e *acceptedError) Error() string { return "job " + e.job + " is accepted" }

// endedMeanwhileError tells that a job was ended while its acceptance was under way.
type cancelledError struct{ job string }

// Error implements error.
func (e *cancelledError) Error() string {
	return "job " + e.job + " was ended while its acceptance was under way"
}

// void makes every try to accept the job that is under way fail: those that expect no
// row, and those that expect one of an earlier version. That a client ended the job stays.
// It returns an acceptedMeanwhileError if the job exists.
func (s *Service) voidAcceptances(ctx context.Context, id string, writing voidRow) error {
	held := table.Row{}
	for {
		value, err := s.encodeVoid(held, writing)
		if err != nil {
			return err
		}
		_, err = s.commit(ctx, table.Transaction{
			Partition:  shard(id),
			Conditions: []table.Condition{{Table: tableAccepted, Key: id}, {Table: tableVoid, Key: id, Version: held.Version}},
			Writes:     []table.Write{{Table: tableVoid, Key: id, Value: value}},
		})
		var conflict *table.ConflictError
		switch {
		case !errors.As(err, &conflict):
			s.log.Info("job_voided", "job", id, "is_ended", writing.IsCancelled, "replaced_version", held.Version, "error", err)
			return err
		case conflict.Row(tableAccepted, id).Version != 0:
			return &acceptedError{job: id}
		}
		held = conflict.Row(tableVoid, id)
	}
}

// voidValue encodes a row that replaces another.
func (s *Service) encodeVoid(held table.Row, writing voidRow) ([]byte, error) {
	if before := s.decodeVoid(held); before.IsCancelled && !writing.IsCancelled {
		return held.Value, nil
	}
	return encode(writing)
}

// voidingOf reads a row. One that cannot be read was written by a sweeper of a version
// that left its name alone.
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

// voidForEnd has the acceptances of a job fail that its client has ended before any of
// them took effect: 20 of 20 items were sent for nobody where the commit of an acceptance
// came late. It returns that the job was not found, once that is sure to stay so for them.
func (s *Service) voidCancelled(ctx context.Context, key cancelKey) error {
	err := s.voidAcceptances(ctx, key.job, voidRow{By: s.self.Name, IsCancelled: true, Tenant: key.tenant})
	if err != nil {
		return unavailable(err) // or accepted meanwhile: the end is tried again
	}
	return notFound(key.job)
}

// codeEndedEarly is the code of a job that was ended before it was accepted.
const codeCancelledEarly = "job_ended_early"

// refusedAsEnded refuses a submission whose job was ended while it was under way.
func cancelledSubmission(id string) error {
	return failure.Wrap(&cancelledError{job: id}, failure.KindUnavailable, codeCancelledEarly, "the job was ended before it was accepted").WithNotRun().WithRetryAfter(retryAfterStore)
}
