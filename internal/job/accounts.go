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
	// settleInterval is the time between two checks for tokens to settle. An account that
	// isn't near its limit is updated at most every lazySettleInterval.
	settleInterval     = 200 * time.Millisecond
	lazySettleInterval = 5 * time.Second
	settleTimeout      = time.Second
	// maxSettleOperations limits the operations of one call.
	maxSettleOperations = 40
	// unlimitedPause is the time between two checks whether any route has a token limit.
	unlimitedPause = time.Second
)

// account is where the queued tokens of a job are counted, with its limit.
type account struct {
	name  string
	limit quota.Limit
}

// accountOf returns the account of a job by the current configuration. It returns false if
// the route is unknown or has no token limit.
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

// accountName names the account of a tenant on a route. Without tenants all jobs of a route
// share one.
func accountName(matched *route.Route, tenant string) string {
	if tenant == "" {
		return matched.Name
	}
	return matched.Name + quota.TenantSeparator + tenant
}

// reservation is the tokens that are reserved for a job before its acceptance. The zero value
// means that the job's route has no token limit.
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

// reserve reserves a job's tokens.
func (s *Service) reserve(ctx context.Context, submitted *Job) (reservation, error) {
	found, isBounded := s.accountOf(submitted)
	if !isBounded {
		return reservation{}, nil
	}
	reserved := reservation{account: found, job: submitted.ID, tokens: submitted.tokens()}
	err := s.renewReservation(ctx, submitted, &reserved)
	return reserved, err
}

// renewReservation reserves the tokens under a new holder. A sweeper that releases the earlier
// reservation then doesn't release this one.
func (s *Service) renewReservation(ctx context.Context, submitted *Job, reserved *reservation) error {
	if !reserved.isBounded() {
		return nil
	}
	var err error
	reserved.holder = s.newHolder()
	reserved.isNew, err = s.quota.Reserve(ctx, reserved.account.name, reserved.account.limit, submitted.ID, reserved.tokens, reserved.holder)
	return err
}

// newHolder returns a unique name for one call, so that a failed call doesn't release the
// reservation of a later one.
func (s *Service) newHolder() string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.submission++
	return fmt.Sprintf("%s/%s/%d", s.self.Name, s.process, s.submission)
}

// release releases a reservation that this call made, in the background. If that fails, the
// sweeper releases it later. A reservation that existed before is kept: it may belong to an
// earlier submission whose outcome is unknown.
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

// settlement is the last update of a job's tokens that its account received.
type settlement struct {
	account account
	tokens  int64
	at      time.Time
}

// endedJob is a job that is over and whose reservation still has to be settled.
type endedJob struct {
	account account
	epoch   int64
}

// settleEnded queues the last settlement of a job that is over.
func (s *Service) settleEnded(ended *ownedJob) {
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
	s.unsettledJobs[ended.job.ID] = endedJob{account: target, epoch: epoch}
}

// settleAll sends settlements to accounts until the context ends.
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

// hasTokenLimit reports whether any route limits its queued tokens.
func (s *Service) hasTokenLimit() bool {
	current := s.holder.Current()
	if current == nil {
		return false
	}
	return slices.ContainsFunc(current.JobRoutes(), func(each *route.Route) bool { return each.MaxQueuedTokens > 0 })
}

// dueSettlement is one operation with the job that it settles. owned is nil if the job is
// over.
type dueSettlement struct {
	limit     quota.Limit
	operation quota.Operation
	owned     *ownedJob
}

// dueSettlements returns the operations to send now, by account.
func (s *Service) dueSettlements(now time.Time) map[string][]dueSettlement {
	due := map[string][]dueSettlement{}
	s.mutex.Lock()
	jobs := s.ownedJobs()
	for id, ended := range s.unsettledJobs {
		operation := quota.Operation{Kind: quota.KindSettle, Job: id, Holder: s.self.Name, Epoch: ended.epoch}
		due[ended.account.name] = append(due[ended.account.name], dueSettlement{limit: ended.account.limit, operation: operation})
	}
	s.mutex.Unlock()
	for _, each := range jobs {
		found, isBounded := s.accountOf(&each.job)
		if !isBounded {
			continue
		}
		waiting := each.queuedTokens()
		if each.isSettlementDue(found, waiting, s.quota.IsNearLimit(found.name), now) {
			operation := quota.Operation{Kind: quota.KindSettle, Job: each.job.ID, Tokens: waiting, Holder: s.self.Name, Epoch: each.claim.claim.Epoch}
			due[found.name] = append(due[found.name], dueSettlement{limit: found.limit, operation: operation, owned: each})
		}
	}
	return due
}

// queuedTokens returns the size of the unfinished items in tokens.
func (o *ownedJob) queuedTokens() int64 {
	total := int64(0)
	for _, each := range o.unfinished() {
		total += int64(each.item.Tokens)
	}
	return total
}

// isSettlementDue reports whether the job's queued tokens should be sent to its account now.
// A job that was taken over is counted there already, with at least its queued tokens.
func (o *ownedJob) isSettlementDue(found account, waiting int64, isNearLimit bool, now time.Time) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	isCurrentAccount := o.settled.account.name == found.name
	if isCurrentAccount && o.settled.tokens == waiting {
		return false
	}
	isCounted := isCurrentAccount || o.claim.claim.Epoch > 1
	return !isCounted || isNearLimit || now.Sub(o.settled.at) >= lazySettleInterval
}

// settle sends the due operations of one account.
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
			delete(s.unsettledJobs, each.operation.Job)
			s.mutex.Unlock()
			continue
		}
		each.owned.mutex.Lock()
		each.owned.settled = settlement{account: account{name: name, limit: each.limit}, tokens: each.operation.Tokens, at: now}
		each.owned.mutex.Unlock()
	}
}
