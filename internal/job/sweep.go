package job

import (
	"context"
	"slices"
	"strings"
	"time"

	"topazpulley/internal/failure"
	"topazpulley/internal/periodic"
	"topazpulley/internal/quota"
	"topazpulley/internal/route"
	"topazpulley/internal/table"
)

const (
	// sweepInterval is the time between two checks of an account's reservations by the daemon
	// with rank 0. Daemons with rank 1 and 2 check less often, the others never.
	sweepInterval = 2 * time.Second
	sweepRanks    = 3
	sweepTimeout  = time.Second
	// sweepAge is how long a reservation may remain without an open job.
	sweepAge = 4 * time.Second
)

// sweeper records since when reservations have no open job. Only the goroutine of sweepAll
// uses it.
type sweeper struct {
	// firstSeen is by account, and by the version of a reservation's row.
	firstSeen map[string]map[table.Version]time.Time
	// lastSweep is by route.
	lastSweep map[string]time.Time
}

func newSweeper() sweeper {
	return sweeper{firstSeen: map[string]map[table.Version]time.Time{}, lastSweep: map[string]time.Time{}}
}

// sweepAll releases the reservations of jobs that are over or were never accepted, until the
// context ends.
func (s *Service) sweepAll(ctx context.Context) {
	periodic.Run(ctx, sweepInterval, func() {
		current := s.holder.Current()
		if current == nil {
			return
		}
		for _, each := range current.JobRoutes() {
			if each.MaxQueuedTokens <= 0 || !s.sweeper.isDue(each.Name, s.peers.Rank(each.Name), time.Now()) {
				continue
			}
			limit := quota.Limit{Tokens: each.MaxQueuedTokens, Config: current.Version()}
			for _, name := range s.accountsOf(ctx, each, current) {
				s.sweepAccount(ctx, name, limit)
			}
		}
	})
}

// isDue reports whether a daemon of this rank should check a route now, and counts it as
// checked.
func (w *sweeper) isDue(name string, rank int, now time.Time) bool {
	pause := sweepInterval * time.Duration(1+rank*sweepRanks)
	if rank >= sweepRanks || now.Sub(w.lastSweep[name]) < pause-sweepInterval/2 {
		return false
	}
	w.lastSweep[name] = now
	return true
}

// accountsOf returns the accounts of a route: one, or those of its tenants that have
// reservations.
func (s *Service) accountsOf(ctx context.Context, matched *route.Route, current *route.Table) []string {
	if current.Tenants().Count() == 0 {
		return []string{matched.Name}
	}
	bounded, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()
	reserved, err := s.quota.Reserved(bounded)
	if err != nil {
		s.log.Info("sweep_failed", "account", matched.Name, "error", err)
		return nil
	}
	return slices.DeleteFunc(reserved, func(name string) bool {
		return name != matched.Name && !strings.HasPrefix(name, matched.Name+quota.TenantSeparator)
	})
}

func (s *Service) sweepAccount(ctx context.Context, account string, limit quota.Limit) {
	bounded, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()
	listed, err := s.quota.Reservations(bounded, account)
	if err != nil {
		s.log.Info("sweep_failed", "account", account, "error", err)
		return
	}
	for _, each := range s.sweeper.expired(account, s.withoutOpenJob(listed), time.Now()) {
		if s.isAbandoned(bounded, each.Job) {
			_, err := s.quota.Apply(bounded, account, limit, []quota.Operation{{Kind: quota.KindRelease, Job: each.Job, Holder: each.Holder}})
			s.log.Info("reservation_swept", "job", each.Job, "account", account, "tokens", each.Tokens, "holder", each.Holder, "row_version", each.Version, "error", err)
		}
	}
}

// withoutOpenJob returns the reservations whose job isn't known to be open.
func (s *Service) withoutOpenJob(listed []quota.Reservation) []quota.Reservation {
	found := []quota.Reservation{}
	for _, each := range listed {
		if !s.isOpen(each.Job) {
			found = append(found, each)
		}
	}
	return found
}

// expired returns the reservations that have had no open job for sweepAge.
func (w *sweeper) expired(name string, without []quota.Reservation, now time.Time) []quota.Reservation {
	before := w.firstSeen[name]
	seen := map[table.Version]time.Time{}
	due := []quota.Reservation{}
	for _, each := range without {
		since, isKnown := before[each.Version]
		if !isKnown {
			since = now
		}
		seen[each.Version] = since
		if now.Sub(since) >= sweepAge {
			due = append(due, each)
		}
	}
	w.firstSeen[name] = seen
	return due
}

// isAbandoned reports whether a job is over, or was never accepted. A job without an acceptance
// is voided first, so that a submission in progress can't have it accepted later. The claim is
// read after the acceptance: a job that is accepted and has no claim is over.
func (s *Service) isAbandoned(ctx context.Context, id string) bool {
	_, err := s.acceptance(ctx, id)
	if failure.Is(err, failure.KindNotFound) {
		return s.voidAcceptances(ctx, id, voidRow{By: s.self.Name}) == nil
	}
	if err != nil {
		return false
	}
	stored, err := s.storedClaim(ctx, id)
	return err == nil && stored.version == 0
}
