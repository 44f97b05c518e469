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
	// lazySettleInterval how long an account that is far from its limit may wait to
	// hear of it.
	settleInterval     = 200 * time.Millisecond
	lazySettleInterval = 5 * time.Second
	settleTimeout      = time.Second
	// maxSettleOperations bounds what one call settles.
	maxSettleOperations = 40
	// unlimitedPause is the pause between two looks whether a route has a bound.
	unlimitedPause = time.Second
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
	reserved := reservation{account: found, job: submitted.ID, tokens: submitted.tokens()}
	err := s.renewReservation(ctx, submitted, &reserved)
	return reserved, err
}

// renewReservation sets the tokens aside under a new holder, so that a sweeper which
// frees the earlier reservation spares this one.
func (s *Service) renewReservation(ctx context.Context, submitted *Job, reserved *reservation) error {
	if !reserved.isBounded() {
		return nil
	}
	var err error
	reserved.holder = s.newHolder()
	reserved.isNew, err = s.quota.Reserve(ctx, reserved.account.name, reserved.account.limit, submitted.ID, reserved.tokens, reserved.holder)
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
func (s *Service) release(reserved reservation) {
	if !reserved.isNew {
		return
	}
	go func() {
		bounded, cancel := context.WithTimeout(s.lifetime, settleTimeout)
		defer cancel()
		_, err := s.quota.Apply(bounded, reserved.account.name, reserved.account.limit, []quota.Operation{{Kind: quota.KindRelease, Job: reserved.job, Holder: reserved.holder}})
		s.log.Info("reservation_released", "job", reserved.job, "account", reserved.account.name, "tokens", reserved.tokens, "error", err)
	}()
}

// settlement is what a job's account was told: so many tokens at a time.
type settlement struct {
	account account
	tokens  int64
	at      time.Time
}

// endedJob is a job that is over and whose reservation stands yet.
type endedJob struct {
	account account
	epoch   int64
}

// settleEnded has the account of a job that is over told.
func (s *Service) settleEnded(ended *owned) {
	ended.mutex.Lock()
	target, epoch := ended.settled.account, ended.claim.claim.Epoch
	ended.mutex.Unlock()
	isBounded := target.name != ""
	if !isBounded {
		target, isBounded = s.accountOf(&ended.job)
	}
	if !isBounded {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.over[ended.job.ID] = endedJob{account: target, epoch: epoch}
}

// settleAll tells accounts what ended until the context ends.
func (s *Service) settleAll(ctx context.Context) {
	periodic.Run(ctx, settleInterval, func() {
		if !s.hasTokenLimit() {
			periodic.Sleep(ctx, unlimitedPause)
			return
		}
		for name, due := range s.dueSettlements(time.Now()) {
			s.settle(ctx, name, due)
		}
	})
}

// hasTokenLimit reports whether the waiting tokens of a route are bounded.
func (s *Service) hasTokenLimit() bool {
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
	owned     *owned
}

// dueSettlements returns what each account should be told now.
func (s *Service) dueSettlements(now time.Time) map[string][]dueSettlement {
	due := map[string][]dueSettlement{}
	s.mutex.Lock()
	jobs := s.ownedJobs()
	for id, ended := range s.over {
		operation := quota.Operation{Kind: quota.KindSettle, Job: id, Holder: s.self.Name, Epoch: ended.epoch}
		due[ended.account.name] = append(due[ended.account.name], dueSettlement{limit: ended.account.limit, operation: operation})
	}
	s.mutex.Unlock()
	for _, each := range jobs {
		found, isBounded := s.accountOf(&each.job)
		if !isBounded {
			continue
		}
		waiting := each.waitingTokens()
		if each.isSettlementDue(found, waiting, s.quota.IsNearLimit(found.name), now) {
			operation := quota.Operation{Kind: quota.KindSettle, Job: each.job.ID, Tokens: waiting, Holder: s.self.Name, Epoch: each.claim.claim.Epoch}
			due[found.name] = append(due[found.name], dueSettlement{limit: found.limit, operation: operation, owned: each})
		}
	}
	return due
}

// waitingTokens is the size of the items that no backend has finished.
func (o *owned) waitingTokens() int64 {
	total := int64(0)
	for _, each := range o.unfinished() {
		total += int64(each.item.Tokens)
	}
	return total
}

// isSettlementDue reports whether the job's account should be told what waits. A
// job that was taken over is counted already, with more than waits at worst.
func (o *owned) isSettlementDue(found account, waiting int64, isNearLimit bool, now time.Time) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	isCurrentAccount := o.settled.account.name == found.name
	if isCurrentAccount && o.settled.tokens == waiting {
		return false
	}
	isCounted := isCurrentAccount || o.claim.claim.Epoch > 1
	return !isCounted || isNearLimit || now.Sub(o.settled.at) >= lazySettleInterval
}

// settle tells one account.
func (s *Service) settle(ctx context.Context, name string, due []dueSettlement) {
	for len(due) > 0 {
		count := min(maxSettleOperations, len(due))
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
		s.recordSettled(name, part)
	}
}

func (s *Service) recordSettled(name string, settled []dueSettlement) {
	now := time.Now()
	for _, each := range settled {
		if each.owned == nil {
			s.mutex.Lock()
			delete(s.over, each.operation.Job)
			s.mutex.Unlock()
			continue
		}
		each.owned.mutex.Lock()
		each.owned.settled = settlement{account: account{name: name, limit: each.limit}, tokens: each.operation.Tokens, at: now}
		each.owned.mutex.Unlock()
	}
}
