package job

import (
	"context"
	"time"

	"topazpulley/internal/periodic"
	"topazpulley/internal/table"
)

const (
	superviseInterval = 200 * time.Millisecond
	// takeoversAtOnce bounds the jobs that a daemon reads at the same time.
	takeoversAtOnce = 4
	// takeoverTries is how often a daemon tries to read a job that it has
	// claimed before it leaves the job to others, for abstainTime: its link may
	// be too slow for the job.
	takeoverTries = 2
	abstainTime   = 10 * time.Second
)

// takeovers are the jobs that this daemon takes over. Service.mutex guards it.
type takeovers struct {
	underWay map[string]bool
	failures map[string]int
	// abstained is until when a job is left to other daemons.
	abstained map[string]time.Time
}

func newTakeovers() takeovers {
	return takeovers{underWay: map[string]bool{}, failures: map[string]int{}, abstained: map[string]time.Time{}}
}

// mayBegin reports whether a job may be taken over now.
func (t *takeovers) mayBegin(id string, now time.Time) bool {
	return !t.underWay[id] && len(t.underWay) < takeoversAtOnce && !now.Before(t.abstained[id])
}

// end notes how a takeover ended and reports whether the job should be left to
// other daemons.
func (t *takeovers) end(id string, hasFailed bool, now time.Time) bool {
	delete(t.underWay, id)
	if !hasFailed {
		delete(t.failures, id)
		return false
	}
	t.failures[id]++
	if t.failures[id] < takeoverTries {
		return false
	}
	delete(t.failures, id)
	t.abstained[id] = now.Add(abstainTime)
	return true
}

// forget drops what is over.
func (t *takeovers) forget(now time.Time) {
	for id, until := range t.abstained {
		if !now.Before(until) {
			delete(t.abstained, id)
		}
	}
}

// superviseClaims takes over jobs whose owners are gone.
func (s *Service) superviseClaims(ctx context.Context) {
	periodic.Run(ctx, superviseInterval, func() {
		for id, held := range s.dueOrphans(time.Now()) {
			if s.beginTakeover(id) {
				go s.takeOver(ctx, id, held)
			}
		}
	})
}

func (s *Service) beginTakeover(id string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	s.takeovers.forget(now)
	if !s.takeovers.mayBegin(id, now) {
		return false
	}
	s.takeovers.underWay[id] = true
	return true
}

// takeOver claims a job and goes on with it.
func (s *Service) takeOver(ctx context.Context, id string, held versionedClaim) {
	claimed, err := s.claimOrphan(ctx, id, held)
	if err != nil {
		s.log.Info("job_takeover_failed", "job", id, "step", "claim", "owner", held.claim.Owner, "epoch", held.claim.Epoch, "error", err)
		s.endTakeover(id, false)
		return
	}
	loaded, earlier, step, err := s.readOrphan(ctx, id)
	if err == nil {
		s.startJob(loaded, claimed, earlier)
		s.endTakeover(id, false)
		return
	}
	s.log.Info("job_takeover_failed", "job", id, "step", step, "epoch", claimed.claim.Epoch, "error", err)
	if s.endTakeover(id, true) {
		s.giveBack(ctx, id, claimed)
	}
}

func (s *Service) endTakeover(id string, hasFailed bool) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.takeovers.end(id, hasFailed, time.Now())
}

// claimOrphan makes this daemon the owner, unless an earlier call whose answer
// was lost did so.
func (s *Service) claimOrphan(ctx context.Context, id string, held versionedClaim) (versionedClaim, error) {
	if held.claim.Owner == s.self.Name && held.claim.Incarnation == s.self.Incarnation {
		return held, nil
	}
	next := s.newClaim(held.claim.Epoch+1, held.claim.Tenant)
	version, err := s.replaceClaim(ctx, id, held.version, next)
	if err != nil {
		return versionedClaim{}, err
	}
	s.log.Info("job_taken_over", "job", id, "owner_before", held.claim.Owner, "epoch", next.Epoch, "version", version)
	return versionedClaim{claim: next, version: version}, nil
}

// replaceClaim sets the claim of a job if it still has the version.
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

// readOrphan reads a job and what earlier owners left of it. The step names what
// could not be read.
func (s *Service) readOrphan(ctx context.Context, id string) (loaded Job, earlier history, step string, err error) {
	accepted, err := s.acceptance(ctx, id)
	if err != nil {
		return loaded, earlier, "acceptance", err
	}
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

// giveBack lets another daemon take over a job that this one cannot read.
func (s *Service) giveBack(ctx context.Context, id string, held versionedClaim) {
	version, err := s.replaceClaim(ctx, id, held.version, claim{Epoch: held.claim.Epoch, Tenant: held.claim.Tenant})
	s.log.Info("job_given_back", "job", id, "epoch", held.claim.Epoch, "version", version, "error", err)
}

// allResults reads everything that is listed of a job.
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
