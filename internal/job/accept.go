package job

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"topazpulley/internal/periodic"
	"topazpulley/internal/table"
)

const (
	storePause   = 60 * time.Millisecond
	storeAttempt = 900 * time.Millisecond
)

// Submit accepts a job durably. A nil error means that the job is in the
// system's keeping; a failure marked as not run promises that nothing of it
// will run because of this call; any other failure promises nothing. The
// context bounds how long the store is tried.
func (s *Service) Submit(ctx context.Context, submitted Job) error {
	transaction, err := s.acceptanceOf(ctx, submitted)
	if err != nil {
		s.logAcceptance(submitted, "refused", err)
		return err
	}
	version, isNew, err := s.commitAcceptance(ctx, submitted.ID, transaction)
	if err != nil {
		s.logAcceptance(submitted, "refused", err)
		return err
	}
	if !isNew {
		s.logAcceptance(submitted, "known_already", nil)
		return nil
	}
	s.logAcceptance(submitted, "accepted", nil)
	s.own(submitted, versionedClaim{claim: s.newClaim(1), version: version}, history{})
	return nil
}

func (s *Service) logAcceptance(submitted Job, outcome string, err error) {
	s.log.Info("job_submitted", "job", submitted.ID, "items", len(submitted.Items), "outcome", outcome,
		"took_ms", time.Since(submitted.SubmittedAt).Milliseconds(), "error", err)
}

func (s *Service) newClaim(epoch int64) claim {
	return claim{Owner: s.self.Name, Incarnation: s.self.Incarnation, Epoch: epoch}
}

const (
	// contentRowBytes is the part of a job's content that one row holds.
	contentRowBytes = 48 << 10
	// contentBytes is the largest content that the transaction of the
	// acceptance carries; a larger one is stored as an object first.
	contentBytes = 600 << 10
)

// acceptanceOf makes the transaction that makes a job exist. The rows of its
// content are part of it, because one call is faster than two.
func (s *Service) acceptanceOf(ctx context.Context, submitted Job) (table.Transaction, error) {
	transaction := table.Transaction{
		Partition:  shard(submitted.ID),
		Conditions: []table.Condition{{Table: tableAccepted, Key: submitted.ID}},
	}
	content, err := encodeJob(submitted)
	if err != nil {
		return transaction, err
	}
	row := acceptance{Total: len(submitted.Items)}
	if len(content) > contentBytes {
		row.Object = objectName(submitted.ID, content)
		if err := s.putObject(ctx, row.Object, content); err != nil {
			return transaction, unavailable(err)
		}
		content = nil
	}
	accepted, err := encode(row)
	if err != nil {
		return transaction, err
	}
	claimed, err := encode(s.newClaim(1))
	if err != nil {
		return transaction, err
	}
	transaction.Writes = []table.Write{
		{Table: tableAccepted, Key: submitted.ID, Value: accepted},
		{Table: tableClaim, Key: submitted.ID, Value: claimed},
	}
	for number := 0; len(content) > 0; number++ {
		part := content[:min(contentRowBytes, len(content))]
		content = content[len(part):]
		transaction.Writes = append(transaction.Writes, table.Write{Table: tableContent, Key: numberedKey(submitted.ID, number), Value: part})
	}
	return transaction, nil
}

// commitAcceptance commits until the store tells how it ended. isNew is false
// when the job existed, be it through an earlier try whose answer was lost.
func (s *Service) commitAcceptance(ctx context.Context, id string, transaction table.Transaction) (version table.Version, isNew bool, err error) {
	isUnsettled := false
	for {
		bounded, cancel := context.WithTimeout(ctx, storeAttempt)
		version, err := s.store.Commit(bounded, transaction)
		cancel()
		var conflict *table.ConflictError
		switch {
		case err == nil:
			return version, true, nil
		case errors.As(err, &conflict):
			// The job exists. If this daemon's own lost try made it, the claim
			// is found by the follower like that of any other owner.
			return 0, false, nil
		}
		isUnsettled = isUnsettled || isUnknown(err)
		if !periodic.SleepAbout(ctx, storePause) {
			if isUnsettled {
				return 0, false, outcomeUnknown(err)
			}
			return 0, false, unavailable(err)
		}
	}
}

// isUnknown reports whether a failed call may have been carried out.
func isUnknown(err error) bool {
	var failed *table.Error
	return errors.As(err, &failed) && failed.Kind == table.ErrorUnknown
}

// putObject stores an object, trying again until the context ends. Putting the
// same object twice does no harm.
func (s *Service) putObject(ctx context.Context, name string, content []byte) error {
	for {
		bounded, cancel := context.WithTimeout(ctx, storeAttempt)
		err := s.store.PutObject(bounded, name, content)
		cancel()
		if err == nil {
			return nil
		}
		if !periodic.SleepAbout(ctx, storePause) {
			return err
		}
	}
}
