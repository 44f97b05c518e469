package job

import (
	"context"
	"fmt"
	"slices"
	"time"

	"topazpulley/internal/periodic"
	"topazpulley/internal/quota"
	"topazpulley/internal/route"
	"topazpulley/internal/table"
)

const (
	// settleInterval is the pause between two looks at what ended, and
	// settleLazily how long an account that is far from its limit may wait to
	// hear of it.
	settleInterval = 200 * time.Millisecond
	settleLazily   = 5 * time.Second
	settleTimeout  = time.Second
	// settleOperations bounds what one call settles.
	settleOperations = 40
	// unboundedPause is the pause between two looks whether a route has a bound.
	unboundedPause = time.Second
)

// account is where a job's waiting tokens count.
type account struct {
	name  string
	limit quota.Limit
}

// accountOf returns the account of a job's route as now configured. It reports
// false when the route is not known or has no bound.
func (s *Service) accountOf(job *Job) (account, bool) {
	current := s.holder.Current()
	if s.quota == nil || current == nil || len(job.Items) == 0 {
		return account{}, false
	}
	matched, found := current.Match(job.Host, job.Items[0].Path)
	if !found || matched.MaxQueuedTokens <= 0 {
		return account{}, false
	}
	return account{name: accountName(matched, job.Tenant), limit: quota.Limit{Tokens: matched.MaxQueuedTokens, Config: current.Version()}}, true
}

// accountName names the account of a tenant on a route. Without tenants all
// jobs of a route share one.
func accountName(matched *route.Route, tenant string) string {
	if tenant == "" {
		return matched.Name
	}
	return matched.Name + quota.TenantSeparator + tenant
}

// reservation is tokens that were set aside for a job before its acceptance.
// The zero value stands for a job without a bound.
type reservation struct {
	account account
	job     string
	tokens  int64
	holder  string
	isNew   bool
	// voided is the version of the row that voids an earlier acceptance.
	voided table.Version
}

func (r *reservation) isBounded() bool { return r.account.name != "" }

func (r *reservation) settlement() settlement {
	if !r.isBounded() {
		return settlement{}
	}
	return settlement{account: r.account, tokens: r.tokens, at: time.Now()}
}

// reserve sets a job's tokens aside.
func (s *Service) reserve(ctx context.Context, submitted *Job) (reservation, error) {
	found, isBounded := s.accountOf(submitted)
	if !isBounded {
		return reservation{}, nil
	}
	held := reservation{account: found, job: submitted.ID, tokens: submitted.tokens()}
	err := s.reserveAgain(ctx, submitted, &held)
	return held, err
}

// reserveAgain sets the tokens aside under a new holder, so that a sweeper which
// frees the earlier reservation spares this one.
func (s *Service) reserveAgain(ctx context.Context, submitted *Job, held *reservation) error {
	if !held.isBounded() {
		return nil
	}
	var err error
	held.holder = s.newHolder()
	held.isNew, err = s.quota.Reserve(ctx, held.account.name, held.account.limit, submitted.ID, held.tokens, held.holder)
	return err
}

// newHolder names one call, so that a call which failed takes back nothing that
// a later one relies on.
func (s *Service) newHolder() string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.submission++
	return fmt.Sprintf("%s/%d/%d", s.self.Name, s.self.Incarnation, s.submission)
}

// release takes back a reservation that this call made, as well as the store
// allows now; the rest is swept later. One that stood before may belong to a
// try whose outcome is unknown.
func (s *Service) release(held reservation) {
	if !held.isNew {
		return
	}
	go func() {
		bounded, cancel := context.WithTimeout(s.lifetime, settleTimeout)
		defer cancel()
		_, err := s.quota.Apply(bounded, held.account.name, held.account.limit, []quota.Operation{{Kind: quota.KindRelease, Job: held.job, Holder: held.holder}})
		s.log.Info("reservation_released", "job", held.job, "account", held.account.name, "tokens", held.tokens, "error", err)
	}()
}

// settlement is what a job's account was told: so many tokens at a time.
type settlement struct {
	account account
	tokens  int64
	at      time.Time
}

// overJob is a job that is over and whose reservation stands yet.
type overJob struct {
	account account
	epoch   int64
}

// noteOver has the account of a job that is over told.
func (s *Service) noteOver(held *ownedJob) {
	held.mutex.Lock()
	told, epoch := held.settled.account, held.claim.claim.Epoch
	held.mutex.Unlock()
	isBounded := told.name != ""
	if !isBounded {
		told, isBounded = s.accountOf(&held.job)
	}
	if !isBounded {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.unsettledJobs[held.job.ID] = overJob{account: told, epoch: epoch}
}

// settleAll tells accounts what ended until the context ends.
func (s *Service) settleAll(ctx context.Context) {
	periodic.Run(ctx, settleInterval, func() {
		if !s.hasBounds() {
			periodic.Sleep(ctx, unboundedPause)
			return
		}
		for name, due := range s.dueSettlements(time.Now()) {
			s.settle(ctx, name, due)
		}
	})
}

// hasBounds reports whether the waiting tokens of a route are bounded.
func (s *Service) hasBounds() bool {
	current := s.holder.Current()
	if current == nil {
		return false
	}
	return slices.ContainsFunc(current.JobRoutes(), func(each *route.Route) bool { return each.MaxQueuedTokens > 0 })
}

// dueSettlement is one operation with the job that it settles; the job is nil
// when it is over.
type dueSettlement struct {
	limit     quota.Limit
	operation quota.Operation
	owned     *ownedJob
}

// dueSettlements returns what each account should be told now.
func (s *Service) dueSettlements(now time.Time) map[string][]dueSettlement {
	due := map[string][]dueSettlement{}
	s.mutex.Lock()
	jobs := s.ownedJobs()
	for id, ended := range s.unsettledJobs {
		operation := quota.Operation{Kind: quota.KindSettle, Job: id, Holder: s.self.Name, Epoch: ended.epoch}
		due[ended.account.name] = append(due[ended.account.name], dueSettlement{limit: ended.account.limit, operation: operation})
	}
	s.mutex.Unlock()
	for _, held := range jobs {
		found, isBounded := s.accountOf(&held.job)
		if !isBounded {
			continue
		}
		waiting := held.waitingTokens()
		if held.isSettlementDue(found, waiting, s.quota.IsNearLimit(found.name), now) {
			operation := quota.Operation{Kind: quota.KindSettle, Job: held.job.ID, Tokens: waiting, Holder: s.self.Name, Epoch: held.claim.claim.Epoch}
			due[found.name] = append(due[found.name], dueSettlement{limit: found.limit, operation: operation, owned: held})
		}
	}
	return due
}

// waitingTokens is the size of the items that no backend has finished.
func (o *ownedJob) waitingTokens() int64 {
	total := int64(0)
	for _, each := range o.unfinished() {
		total += int64(each.item.Tokens)
	}
	return total
}

// isSettlementDue reports whether the job's account should be told what waits. A
// job that was taken over is counted already, with more than waits at worst.
func (o *ownedJob) isSettlementDue(found account, waiting int64, isPressed bool, now time.Time) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	isTold := o.settled.account.name == found.name
	if isTold && o.settled.tokens == waiting {
		return false
	}
	isCounted := isTold || o.claim.claim.Epoch > 1
	return !isCounted || isPressed || now.Sub(o.settled.at) >= settleLazily
}

// settle tells one account.
func (s *Service) settle(ctx context.Context, name string, due []dueSettlement) {
	for len(due) > 0 {
		count := min(settleOperations, len(due))
		part := due[:count]
		due = due[count:]
		operations := make([]quota.Operation, 0, count)
		for _, each := range part {
			operations = append(operations, each.operation)
		}
		bounded, cancel := context.WithTimeout(ctx, settleTimeout)
		_, err := s.quota.Apply(bounded, name, part[0].limit, operations)
		cancel()
		if err != nil {
			s.log.Info("settlement_failed", "account", name, "jobs", count, "error", err)
			return
		}
		s.noteSettled(name, part)
	}
}

func (s *Service) noteSettled(name string, settled []dueSettlement) {
	now := time.Now()
	for _, each := range settled {
		if each.owned == nil {
			s.mutex.Lock()
			delete(s.unsettledJobs, each.operation.Job)
			s.mutex.Unlock()
			continue
		}
		each.owned.mutex.Lock()
		each.owned.settled = settlement{account: account{name: name, limit: each.limit}, tokens: each.operation.Tokens, at: now}
		each.owned.mutex.Unlock()
	}
}
