package job

import (
	"context"
	"time"

	"topazpulley/internal/failure"
	"topazpulley/internal/periodic"
	"topazpulley/internal/table"
)

const (
	superviseInterval = 200 * time.Millisecond
	// maxTakeovers limits the jobs that a daemon takes over at the same time.
	maxTakeovers = 4
	// takeoverAttempts is how often a daemon tries to read a job that it has claimed. It then
	// releases the claim and doesn't claim the job again for abstainTime: its link may be
	// too slow for the job.
	takeoverAttempts = 2
	abstainTime      = 10 * time.Second
)

// takeovers are the jobs that this daemon takes over. Service.mutex guards it.
type takeovers struct {
	active   map[string]bool
	failures map[string]int
	// abstainedUntil is until when a job is left to other daemons.
	abstainedUntil map[string]time.Time
}

func newTakeovers() takeovers {
	return takeovers{active: map[string]bool{}, failures: map[string]int{}, abstainedUntil: map[string]time.Time{}}
}

// mayBegin reports whether a job may be taken over now.
func (t *takeovers) mayBegin(id string, now time.Time) bool {
	return !t.active[id] && len(t.active) < maxTakeovers && !now.Before(t.abstainedUntil[id])
}

// finish records the end of a takeover, and reports whether the job should be left to other
// daemons.
func (t *takeovers) finish(id string, hasFailed bool, now time.Time) bool {
	delete(t.active, id)
	if !hasFailed {
		delete(t.failures, id)
		return false
	}
	t.failures[id]++
	if t.failures[id] < takeoverAttempts {
		return false
	}
	delete(t.failures, id)
	t.abstainedUntil[id] = now.Add(abstainTime)
	return true
}

// expire drops abstentions that are over.
func (t *takeovers) expire(now time.Time) {
	for id, until := range t.abstainedUntil {
		if !now.Before(until) {
			delete(t.abstainedUntil, id)
		}
	}
}

// superviseClaims takes over jobs whose owners are gone, until the context ends. It also
// records whether the claims were ever current, for calls that come later.
func (s *Service) superviseClaims(ctx context.Context) {
	periodic.Run(ctx, superviseInterval, func() {
		_ = s.hasCurrentClaims()
		for id, orphaned := range s.dueOrphans(time.Now()) {
			if s.beginTakeover(id) {
				go s.takeOver(ctx, id, orphaned)
			}
		}
	})
}

func (s *Service) beginTakeover(id string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	s.takeovers.expire(now)
	if !s.takeovers.mayBegin(id, now) {
		return false
	}
	s.takeovers.active[id] = true
	return true
}

// takeOver claims a job, reads it and starts running it.
func (s *Service) takeOver(ctx context.Context, id string, orphaned versionedClaim) {
	claimed, err := s.claimOrphan(ctx, id, orphaned)
	if err != nil {
		s.log.Info("job_takeover_failed", "job", id, "step", "claim", "owner", orphaned.claim.Owner, "epoch", orphaned.claim.Epoch, "error", err)
		s.endTakeover(id, false)
		s.removeIfStray(ctx, id, orphaned, err)
		return
	}
	loaded, earlier, step, err := s.readOrphan(ctx, id)
	if err == nil {
		s.startJob(loaded, claimed, earlier)
		s.endTakeover(id, false)
		return
	}
	s.log.Info("job_takeover_failed", "job", id, "step", step, "epoch", claimed.claim.Epoch, "error", err)
	if s.endTakeover(id, true) && !s.removeIfStray(ctx, id, claimed, err) {
		s.releaseClaim(ctx, id, claimed)
	}
}

// removeIfStray removes a claim if a takeover failed because there is no such job, and reports
// whether it was one. The store keeps the claim if there is a job after all.
func (s *Service) removeIfStray(ctx context.Context, id string, held versionedClaim, cause error) bool {
	if !failure.Is(cause, failure.KindNotFound) {
		return false
	}
	_, err := s.commit(ctx, table.Transaction{
		Partition:  shard(id),
		Conditions: []table.Condition{{Table: tableClaim, Key: id, Version: held.version}, {Table: tableAccepted, Key: id}},
		Removals:   []table.Removal{{Table: tableClaim, Key: id}},
	})
	s.log.Warn("stray_claim_removed", "job", id, "version", held.version, "error", err)
	return true
}

func (s *Service) endTakeover(id string, hasFailed bool) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.takeovers.finish(id, hasFailed, time.Now())
}

// claimOrphan makes this daemon the owner of a job. If the claim is of this process already,
// because an earlier commit took effect without an answer, it is returned as it is.
func (s *Service) claimOrphan(ctx context.Context, id string, orphaned versionedClaim) (versionedClaim, error) {
	if s.isOwnClaim(orphaned.claim) {
		return orphaned, nil
	}
	tenant, err := s.tenantOfClaim(ctx, id, orphaned.claim)
	if err != nil {
		return versionedClaim{}, err
	}
	next := s.newClaim(orphaned.claim.Epoch+1, tenant)
	version, err := s.replaceClaim(ctx, id, orphaned.version, next)
	if err != nil {
		return versionedClaim{}, err
	}
	s.log.Info("job_taken_over", "job", id, "owner_before", orphaned.claim.Owner, "process_before", orphaned.claim.Process, "incarnation_before", orphaned.claim.Incarnation, "epoch", next.Epoch, "version", version)
	return versionedClaim{claim: next, version: version}, nil
}

// tenantOfClaim returns the tenant in a claim. That of a claim that could not be read is the one for
// which the job was accepted.
func (s *Service) tenantOfClaim(ctx context.Context, id string, held claim) (string, error) {
	if held != (claim{}) {
		return held.Tenant, nil
	}
	accepted, err := s.acceptance(ctx, id)
	return accepted.Tenant, err
}

// replaceClaim replaces the claim of a job if its row still has the version.
func (s *Service) replaceClaim(ctx context.Context, id string, version table.Version, next claim) (table.Version, error) {
	value, err := encode(next)
	if err != nil {
		return 0, err
	}
	return s.commit(ctx, table.Transaction{
		Partition:  shard(id),
		Conditions: []table.Condition{{Table: tableClaim, Key: id, Version: version}},
		Writes:     []table.Write{{Table: tableClaim, Key: id, Value: value}},
	})
}

// readOrphan reads a job with its results and checkpoints. On failure, step names what could
// not be read.
func (s *Service) readOrphan(ctx context.Context, id string) (loaded Job, earlier history, step string, err error) {
	accepted, err := s.acceptance(ctx, id)
	if err != nil {
		return loaded, earlier, "acceptance", err
	}
	earlier.contentObject = accepted.Object
	if loaded, err = s.load(ctx, id, accepted); err != nil {
		return loaded, earlier, "content", err
	}
	if earlier.listed, err = s.allResults(ctx, id, accepted.Total); err != nil {
		return loaded, earlier, "results", err
	}
	if earlier.checkpoints, err = s.checkpoints(ctx, id); err != nil {
		return loaded, earlier, "checkpoints", err
	}
	return loaded, earlier, "", nil
}

// releaseClaim removes this daemon from the claim of a job that it doesn't run, so that another one
// may take the job over.
func (s *Service) releaseClaim(ctx context.Context, id string, claimed versionedClaim) {
	version, err := s.replaceClaim(ctx, id, claimed.version, claim{Epoch: claimed.claim.Epoch, Tenant: claimed.claim.Tenant})
	s.log.Info("job_given_back", "job", id, "epoch", claimed.claim.Epoch, "version", version, "error", err)
}

// allResults reads all results of a job.
func (s *Service) allResults(ctx context.Context, id string, total int) ([]Result, error) {
	all := []Result{}
	for len(all) < total {
		part, err := s.results(ctx, id, len(all))
		if err != nil {
			return nil, err
		}
		if len(part) == 0 {
			break
		}
		all = append(all, part...)
	}
	return all, nil
}
