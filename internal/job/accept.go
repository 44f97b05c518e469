package job

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"topazpulley/internal/failure"
	"topazpulley/internal/periodic"
	"topazpulley/internal/table"
)

// submitTime bounds how long a submission is tried at a store that answers others:
// another daemon may reach it.
const submitTimeout = 2800 * time.Millisecond

// Submit accepts a job durably. A nil error means that the job is in the
// system's keeping; a failure marked as not run promises that nothing of it
// will run because of this call; any other failure promises nothing. The
// context bounds how long the caller waits; while the store is away, the submission is
// held for all of that.
func (s *Service) Submit(ctx context.Context, submitted Job) error {
	for wasTried := false; ; wasTried = true {
		if known, isOpen := s.openTenant(submitted.ID); isOpen {
			return s.acknowledgeExisting(submitted, known)
		}
		wasHeld, err := s.holdWhileAway(ctx, submitted)
		if err != nil {
			s.logAcceptance(submitted, "refused", err)
			return err
		}
		err = s.submitOnce(ctx, submitted, wasTried || wasHeld)
		if !isWorthHolding(ctx, err) || !s.isStoreAway() {
			return err
		}
	}
}

// submitOnce tries to accept a job. wasUnderWay tells that its submission was tried or
// held before: an end that came meanwhile ends it.
func (s *Service) submitOnce(caller context.Context, submitted Job, wasTried bool) error {
	ctx, cancel := context.WithTimeout(caller, submitTimeout)
	defer cancel()
	reserved, err := s.reserve(ctx, &submitted)
	if err != nil {
		return s.refuseUnlessAccepted(ctx, submitted, err)
	}
	return s.accept(ctx, submitted, reserved, wasTried)
}

// refuseUnlessAccepted refuses a job for which no tokens could be reserved. It may
// have been accepted by an earlier call whose answer its caller has not had; while
// the store does not tell, nothing is promised of a job that does not fit.
func (s *Service) refuseUnlessAccepted(ctx context.Context, submitted Job, refused error) error {
	if failure.Is(refused, failure.KindOverloaded) {
		accepted, err := s.acceptance(ctx, submitted.ID)
		switch {
		case err == nil:
			return s.acknowledgeExisting(submitted, accepted.Tenant)
		case !failure.Is(err, failure.KindNotFound):
			refused = acceptanceUnknown(err)
		}
	}
	s.logAcceptance(submitted, "refused", refused)
	return refused
}

// accept commits the acceptance of a job whose tokens are reserved.
func (s *Service) accept(ctx context.Context, submitted Job, reserved reservation, wasTried bool) error {
	transaction, err := s.acceptanceTransaction(ctx, submitted, reserved)
	if err != nil {
		s.release(reserved)
		s.logAcceptance(submitted, "refused", err)
		return err
	}
	outcome, err := s.commitAcceptance(ctx, submitted, transaction, wasTried)
	switch {
	case err != nil:
		if failure.From(err).NotRun {
			s.release(reserved)
		}
		s.logAcceptance(submitted, "refused", err)
		return err
	case outcome.voided != 0:
		// The reservation may have been swept together with the last try.
		reserved.voided = outcome.voided
		if err := s.reserveAgain(ctx, &submitted, &reserved); err != nil {
			s.logAcceptance(submitted, "refused", err)
			return err
		}
		return s.accept(ctx, submitted, reserved, wasTried)
	case !outcome.isNew:
		s.release(reserved)
		return s.acknowledgeExisting(submitted, outcome.tenant)
	}
	s.logAcceptance(submitted, "accepted", nil)
	s.startJob(submitted, versionedClaim{claim: s.newClaim(1, submitted.Tenant), version: outcome.version}, history{settled: reserved.settlement()})
	return nil
}

// isOpen reports whether the job is known to be accepted and not over.
func (s *Service) isOpen(id string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	_, isClaimed := s.claims[id]
	return isClaimed || s.owned[id] != nil
}

// openTenant returns whose a job is that is known to be accepted and not over.
func (s *Service) openTenant(id string) (tenant string, isOpen bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if held := s.owned[id]; held != nil {
		return held.job.Tenant, true
	}
	held, isClaimed := s.claims[id]
	return held.claim.Tenant, isClaimed
}

// acknowledgeKnown ends the call for a job that was accepted before. Another
// tenant's job is none that the caller could have sent.
func (s *Service) acknowledgeExisting(submitted Job, tenant string) error {
	if !mayAccess(tenant, submitted.Tenant) {
		err := notFound(submitted.ID)
		s.logAcceptance(submitted, "refused", err)
		return err
	}
	s.logAcceptance(submitted, "known_already", nil)
	return nil
}

func (s *Service) logAcceptance(submitted Job, outcome string, err error) {
	s.log.Info("job_submitted", "job", submitted.ID, "tenant", submitted.Tenant, "items", len(submitted.Items), "outcome", outcome,
		"took_ms", time.Since(submitted.SubmittedAt).Milliseconds(), "error", err)
}

func (s *Service) newClaim(epoch int64, tenant string) claim {
	return claim{Owner: s.self.Name, Incarnation: s.self.Incarnation, Epoch: epoch, Tenant: tenant}
}

const (
	// contentRowBytes is the part of a job's content that one row holds.
	maxContentRowBytes = 48 << 10
	// contentBytes is the largest content that the transaction of the
	// acceptance carries; a larger one is stored as an object first.
	maxContentBytes = 600 << 10
)

// acceptanceOf makes the transaction that makes a job exist. The rows of its
// content are part of it, because one call is faster than two.
func (s *Service) acceptanceTransaction(ctx context.Context, submitted Job, reserved reservation) (table.Transaction, error) {
	transaction := table.Transaction{
		Partition:  shard(submitted.ID),
		Conditions: []table.Condition{{Table: tableAccepted, Key: submitted.ID}, {Table: tableVoid, Key: submitted.ID, Version: reserved.voided}},
	}
	if reserved.voided != 0 {
		transaction.Removals = []table.Removal{{Table: tableVoid, Key: submitted.ID}}
	}
	content, err := encodeJob(submitted)
	if err != nil {
		return transaction, err
	}
	row := acceptance{Total: len(submitted.Items), Tenant: submitted.Tenant}
	if len(content) > maxContentBytes {
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
	claimed, err := encode(s.newClaim(1, submitted.Tenant))
	if err != nil {
		return transaction, err
	}
	transaction.Writes = []table.Write{
		{Table: tableAccepted, Key: submitted.ID, Value: accepted},
		{Table: tableClaim, Key: submitted.ID, Value: claimed},
	}
	for number := 0; len(content) > 0; number++ {
		part := content[:min(maxContentRowBytes, len(content))]
		content = content[len(part):]
		transaction.Writes = append(transaction.Writes, table.Write{Table: tableContent, Key: numberedKey(submitted.ID, number), Value: part})
	}
	return transaction, nil
}

// acceptanceEnd is how the commit of an acceptance ended: it made the job,
// found that the job exists, or found it voided at a version.
type acceptanceOutcome struct {
	isNew   bool
	version table.Version
	voided  table.Version
	// tenant is that of a job which exists already.
	tenant string
}

// commitAcceptance commits until the store tells how it ended. The job may
// exist through an earlier try whose answer was lost. A job that was ended while the
// call tried, or was held, is refused; one that was ended before that is wanted again.
func (s *Service) commitAcceptance(ctx context.Context, submitted Job, transaction table.Transaction, wasTried bool) (acceptanceOutcome, error) {
	id, isUnsettled, tries := submitted.ID, false, 1
	if wasTried {
		tries++
	}
	for ; ; tries++ {
		version, err := s.commit(ctx, transaction)
		var conflict *table.ConflictError
		switch {
		case err == nil:
			return acceptanceOutcome{isNew: true, version: version}, nil
		case errors.As(err, &conflict) && conflict.Row(tableAccepted, id).Version == 0:
			voided := conflict.Row(tableVoid, id)
			if tries > 1 && s.decodeVoid(voided).isCancelledFor(submitted.Tenant) {
				return acceptanceOutcome{}, cancelledSubmission(id)
			}
			return acceptanceOutcome{voided: voided.Version}, nil
		case errors.As(err, &conflict):
			// The job exists. If this daemon's own lost try made it, the claim
			// is found by the follower like that of any other owner.
			return acceptanceOutcome{tenant: s.tenantOfRow(conflict.Row(tableAccepted, id))}, nil
		}
		isUnsettled = isUnsettled || isUnknown(err)
		if !periodic.SleepAbout(ctx, retryPause) || !s.awaitStore(ctx) {
			if isUnsettled {
				return acceptanceOutcome{}, acceptanceUnknown(err)
			}
			return acceptanceOutcome{}, unavailable(err)
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
		bounded, cancel := context.WithTimeout(ctx, timeoutFor(len(content)))
		err := s.store.PutObject(bounded, name, content)
		cancel()
		if err == nil {
			return nil
		}
		if !periodic.SleepAbout(ctx, retryPause) {
			return err
		}
	}
}
