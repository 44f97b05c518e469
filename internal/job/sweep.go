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
	// sweepInterval is the pause between two looks at an account's reservations
	// by the daemon that is first in rank; each further rank looks less often.
	sweepInterval = 2 * time.Second
	sweepRanks    = 3
	sweepTimeout  = time.Second
	// sweepAge is how long a reservation may stand without an open job.
	sweepAge = 4 * time.Second
)

// sweeper remembers since when reservations stand without an open job. It
// belongs to one goroutine.
type sweeper struct {
	// seen is by account, and by the version of a reservation's row.
	seen map[string]map[table.Version]time.Time
	at   map[string]time.Time
}

func newSweeper() sweeper {
	return sweeper{seen: map[string]map[table.Version]time.Time{}, at: map[string]time.Time{}}
}

// sweepAll takes back the reservations that daemons left behind, until the
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

// isDue reports whether a daemon of this rank should look now.
func (w *sweeper) isDue(name string, rank int, now time.Time) bool {
	pause := sweepInterval * time.Duration(1+rank*sweepRanks)
	if rank >= sweepRanks || now.Sub(w.at[name]) < pause-sweepInterval/2 {
		return false
	}
	w.at[name] = now
	return true
}

// accountsOf returns the accounts of a route: one, or those of its tenants that
// have reservations.
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
	for _, each := range s.sweeper.overdue(account, s.withoutJob(listed), time.Now()) {
		if s.isLeftBehind(bounded, each.Job) {
			_, err := s.quota.Apply(bounded, account, limit, []quota.Operation{{Kind: quota.KindRelease, Job: each.Job, Holder: each.Holder}})
			s.log.Info("reservation_swept", "job", each.Job, "account", account, "tokens", each.Tokens, "holder", each.Holder, "row_version", each.Version, "error", err)
		}
	}
}

// withoutJob returns the reservations of which no open job is known.
func (s *Service) withoutJob(listed []quota.Reservation) []quota.Reservation {
	found := []quota.Reservation{}
	for _, each := range listed {
		if !s.isOpen(each.Job) {
			found = append(found, each)
		}
	}
	return found
}

// overdue returns those that have stood unchanged for too long.
func (w *sweeper) overdue(name string, without []quota.Reservation, now time.Time) []quota.Reservation {
	before := w.seen[name]
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
	w.seen[name] = seen
	return due
}

// isLeftBehind reports whether a job is over, or was never accepted and never
// will be by a try that is under way. The claim is read after the acceptance: a
// job that exists and has no claim is over.
func (s *Service) isLeftBehind(ctx context.Context, id string) bool {
	_, err := s.acceptance(ctx, id)
	if failure.Is(err, failure.KindNotFound) {
		return s.voidAcceptances(ctx, id, voidRow{By: s.self.Name}) == nil
	}
	if err != nil {
		return false
	}
	held, err := s.storedClaim(ctx, id)
	return err == nil && held.version == 0
}
