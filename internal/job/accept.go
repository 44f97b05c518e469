package job

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"topazpulley/internal/failure"
	"topazpulley/internal/periodic"
	"topazpulley/internal/table"
)

// submitTimeout bounds one attempt to accept a job. It leaves the caller time to try
// another daemon.
const submitTimeout = 2800 * time.Millisecond

// Submit accepts a job durably. A nil error means that the job is stored and will run.
// A failure marked as not run guarantees that nothing of the job runs because of this
// call. After any other failure the outcome is unknown. While the store is unavailable,
// the submission is buffered until ctx ends.
func (s *Service) Submit(ctx context.Context, submitted Job) error {
	for wasTried := false; ; wasTried = true {
		if known, isOpen := s.openTenant(submitted.ID); isOpen {
			return s.acknowledgeExisting(submitted, known)
		}
		wasBuffered, err := s.bufferWhileUnavailable(ctx, submitted)
		if err != nil {
			s.logAcceptance(submitted, "refused", err)
			return err
		}
		err = s.submitOnce(ctx, submitted, wasTried || wasBuffered)
		if !isBufferable(ctx, err) || !s.isStoreUnavailable() {
			return err
		}
	}
}

// submitOnce tries once to accept a job. wasTried reports that the submission was tried
// or buffered before: a cancellation that arrived since then applies to it.
func (s *Service) submitOnce(caller context.Context, submitted Job, wasTried bool) error {
	ctx, cancel := context.WithTimeout(caller, submitTimeout)
	defer cancel()
	reserved, err := s.reserve(ctx, &submitted)
	if err != nil {
		return s.refuseUnlessAccepted(ctx, submitted, err)
	}
	return s.accept(ctx, submitted, reserved, wasTried)
}

// refuseUnlessAccepted handles a job for which no tokens could be reserved. An earlier
// call may have accepted the job although its response was lost; then the submission
// succeeds. If the store cannot be read, the outcome is reported as unknown.
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
	transaction, object, err := s.acceptanceTransaction(ctx, submitted, reserved)
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
		// The sweeper may have released the reservation when it voided the last attempt.
		reserved.voided = outcome.voided
		if err := s.renewReservation(ctx, &submitted, &reserved); err != nil {
			s.logAcceptance(submitted, "refused", err)
			return err
		}
		return s.accept(ctx, submitted, reserved, wasTried)
	case !outcome.isNew:
		s.release(reserved)
		return s.acknowledgeExisting(submitted, outcome.tenant)
	}
	s.logAcceptance(submitted, "accepted", nil)
	s.startJob(submitted, versionedClaim{claim: s.newClaim(1, submitted.Tenant), version: outcome.version}, history{settled: reserved.settlement(), contentObject: object})
	return nil
}

// isOpen reports whether the job is known to be accepted and not finished.
func (s *Service) isOpen(id string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	_, isClaimed := s.claims[id]
	return isClaimed || s.owned[id] != nil
}

// openTenant returns the tenant of a job that is known to be accepted and not finished.
func (s *Service) openTenant(id string) (tenant string, isOpen bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if held := s.owned[id]; held != nil {
		return held.job.Tenant, true
	}
	held, isClaimed := s.claims[id]
	return held.claim.Tenant, isClaimed
}

// acknowledgeExisting completes a submission of a job that was accepted before. If the
// job belongs to another tenant, it returns a not-found failure.
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
	return claim{Owner: s.self.Name, Incarnation: s.self.Incarnation(), Process: s.process, Epoch: epoch, Tenant: tenant}
}

const (
	// maxContentRowBytes limits the part of a job's content in one row.
	maxContentRowBytes = table.MaxRowBytes
	// maxContentBytes limits the content in the acceptance transaction. Larger content is
	// stored as an object first.
	maxContentBytes = 600 << 10
)

// acceptanceTransaction builds the transaction that creates a job. It includes the
// content rows, which saves a second call, or names the object that holds the content.
func (s *Service) acceptanceTransaction(ctx context.Context, submitted Job, reserved reservation) (transaction table.Transaction, object string, err error) {
	transaction = table.Transaction{
		Partition:  shard(submitted.ID),
		Conditions: []table.Condition{{Table: tableAccepted, Key: submitted.ID}, {Table: tableVoid, Key: submitted.ID, Version: reserved.voided}},
	}
	if reserved.voided != 0 {
		transaction.Removals = []table.Removal{{Table: tableVoid, Key: submitted.ID}}
	}
	content, err := encodeJob(submitted)
	if err != nil {
		return transaction, "", err
	}
	row := acceptance{Total: len(submitted.Items), Tenant: submitted.Tenant}
	if len(content) > maxContentBytes {
		row.Object = newObjectName(contentPrefix, submitted.ID)
		if err := s.putObject(ctx, row.Object, content); err != nil {
			return transaction, "", notStored(err)
		}
		content = nil
	}
	accepted, err := encode(row)
	if err != nil {
		return transaction, "", err
	}
	claimed, err := encode(s.newClaim(1, submitted.Tenant))
	if err != nil {
		return transaction, "", err
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
	return transaction, row.Object, nil
}

// acceptanceOutcome is the result of committing an acceptance: the job was created at
// version, it already exists and belongs to tenant, or a void row of version voided
// prevents it.
type acceptanceOutcome struct {
	isNew   bool
	version table.Version
	voided  table.Version
	tenant  string
}

// commitAcceptance retries the commit until its outcome is known or ctx ends. An
// earlier attempt whose response was lost may have created the job. A job that was
// cancelled during the call or while its submission was buffered is refused. A
// cancellation from before the call does not apply: the caller submits the job anew.
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
			// If a lost attempt of this daemon created the job, the claim follower finds the
			// claim and this daemon takes the job over.
			return acceptanceOutcome{tenant: s.tenantOfRow(conflict.Row(tableAccepted, id))}, nil
		case isInvalid(err) && !isUnsettled:
			return acceptanceOutcome{}, rejectedSubmission(err)
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

// isUnknown reports whether a failed store call may have taken effect.
func isUnknown(err error) bool { return table.IsKind(err, table.ErrorUnknown) }

// isInvalid reports whether the store rejected a call, so that repeating it is useless.
func isInvalid(err error) bool { return table.IsKind(err, table.ErrorInvalid) }

// putObject stores an object and retries until ctx ends or the store rejects the object.
// Storing the same object twice is harmless.
func (s *Service) putObject(ctx context.Context, name string, content []byte) error {
	for {
		err := s.putObjectOnce(ctx, name, content)
		if err == nil || isInvalid(err) {
			return err
		}
		if !periodic.SleepAbout(ctx, retryPause) {
			return err
		}
	}
}

// putObjectOnce tries once to store an object, with a timeout that depends on its size.
func (s *Service) putObjectOnce(ctx context.Context, name string, content []byte) error {
	bounded, cancel := context.WithTimeout(ctx, timeoutFor(len(content)))
	defer cancel()
	return s.store.PutObject(bounded, name, content)
}
