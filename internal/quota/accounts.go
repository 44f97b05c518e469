package quota

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"topazpulley/internal/failure"
	"topazpulley/internal/periodic"
	"topazpulley/internal/table"
	"topazpulley/internal/telemetry"
)

const (
	// coordinatorTimeout is the timeout of a reservation at an account's coordinator, and
	// settleTimeout that of other operations, which job owners repeat. After a failure of
	// the coordinator, reservations bypass it for avoidTime.
	coordinatorTimeout = 150 * time.Millisecond
	settleTimeout      = time.Second
	avoidTime          = 2 * time.Second
	// nearLimitShare is the share of the limit above which an account is near its limit:
	// job owners then settle at once. The state lasts for nearLimitTime.
	nearLimitShare = 0.5
	nearLimitTime  = 5 * time.Second
	// announceInterval is the minimum time between two announcements of an account.
	announceInterval = time.Second
	// settleDelay is the time that job owners need to settle after an announcement.
	settleDelay = 150 * time.Millisecond
	// reservationsPerPage is the maximum number of reservations in one read.
	reservationsPerPage = 500
)

// Peers sends messages to the other daemons.
type Peers interface {
	// Coordinator returns the address of the daemon that commits for an account, and
	// whether it is this one.
	Coordinator(account string) (address string, isSelf bool)
	// Apply asks another daemon to commit operations.
	Apply(ctx context.Context, address string, request Request) (Answer, error)
	// Announce notifies all daemons that an account is near its limit.
	Announce(account string)
}

// Accounts reserves, settles and releases tokens on all accounts. It is safe
// for concurrent use. mutex guards the fields below it.
type Accounts struct {
	store   Store
	peers   Peers
	metrics *telemetry.Quota
	log     *slog.Logger

	mutex   sync.Mutex
	ledgers map[string]*ledger
	// nearLimitSince, nearLimitAt and announcedAt are keyed by account, avoidedUntil by
	// the coordinator's address.
	nearLimitSince map[string]time.Time
	nearLimitAt    map[string]time.Time
	announcedAt    map[string]time.Time
	avoidedUntil   map[string]time.Time
}

// NewAccounts returns accounts over a store.
func NewAccounts(store Store, peers Peers, metrics *telemetry.Quota, log *slog.Logger) *Accounts {
	return &Accounts{
		store: store, peers: peers, metrics: metrics, log: log, ledgers: map[string]*ledger{},
		nearLimitSince: map[string]time.Time{}, nearLimitAt: map[string]time.Time{}, announcedAt: map[string]time.Time{}, avoidedUntil: map[string]time.Time{},
	}
}

// Reserve adds a job's tokens to an account and reports whether the job had none there
// before. A job that does not fit is refused with an error that contains the time after
// which to retry. After any other error the reservation may exist: the caller has to
// release it.
func (a *Accounts) Reserve(ctx context.Context, account string, limit Limit, job string, tokens int64, holder string) (isNew bool, err error) {
	operations := []Operation{{Kind: KindReserve, Job: job, Tokens: tokens, Holder: holder}}
	started := time.Now()
	wasNearLimit := a.isNearLimitFor(account, settleDelay)
	outcome, err := a.applyOne(ctx, account, limit, operations)
	if err != nil || outcome.IsGranted {
		return outcome.IsNew, err
	}
	if !wasNearLimit && tokens <= outcome.Limit && periodic.Sleep(ctx, settleDelay) {
		// Job owners were notified by the first attempt and may have settled since.
		if outcome, err = a.applyOne(ctx, account, limit, operations); err != nil || outcome.IsGranted {
			return outcome.IsNew, err
		}
	}
	refused := Refused(account, outcome, retryAfter(tokens, outcome))
	a.metrics.Refusals.WithLabelValues(routeOf(account)).Inc()
	a.log.Info("quota_refused", "job", job, "account", account, "tokens", tokens, "waiting", outcome.Waiting, "limit", outcome.Limit,
		"config", limit.Config, "count_age_ms", time.Since(started).Milliseconds(), "freed_per_second", int64(outcome.FreedPerSecond),
		"retry_after_ms", failure.From(refused).RetryAfter.Milliseconds())
	return false, refused
}

func (a *Accounts) applyOne(ctx context.Context, account string, limit Limit, operations []Operation) (Outcome, error) {
	outcomes, err := a.Apply(ctx, account, limit, operations)
	if err != nil {
		return Outcome{}, err
	}
	return outcomes[0], nil
}

// Apply commits operations on an account through its coordinator. If the coordinator
// fails, reservations are committed directly. Operations are idempotent.
func (a *Accounts) Apply(ctx context.Context, account string, limit Limit, operations []Operation) ([]Outcome, error) {
	outcomes, err := a.commit(ctx, account, limit, operations)
	if err != nil {
		return nil, err
	}
	last := outcomes[len(outcomes)-1]
	a.metrics.Waiting.WithLabelValues(routeOf(account)).Set(float64(last.Waiting))
	a.announceNearLimit(account, outcomes, time.Now())
	return outcomes, nil
}

func (a *Accounts) commit(ctx context.Context, account string, limit Limit, operations []Operation) ([]Outcome, error) {
	address, isSelf := a.peers.Coordinator(account)
	isReserved := isReservation(operations)
	if isSelf || (isReserved && a.isAvoided(address)) {
		return a.ledger(account).apply(ctx, limit, operations)
	}
	timeout := settleTimeout
	if isReserved {
		timeout = coordinatorTimeout
	}
	outcomes, err := a.askCoordinator(ctx, address, timeout, Request{Account: account, Limit: limit.Tokens, Config: limit.Config, Operations: operations})
	if err != nil && isReserved {
		return a.ledger(account).apply(ctx, limit, operations)
	}
	return outcomes, err
}

// Serve commits the operations of another daemon's request.
func (a *Accounts) Serve(ctx context.Context, request Request) (Answer, error) {
	bounded, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	limit := Limit{Tokens: request.Limit, Config: request.Config}
	outcomes, err := a.ledger(request.Account).apply(bounded, limit, request.Operations)
	return Answer{Outcomes: outcomes}, err
}

func (a *Accounts) askCoordinator(ctx context.Context, address string, timeout time.Duration, request Request) ([]Outcome, error) {
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answer, err := a.peers.Apply(bounded, address, request)
	if err == nil && len(answer.Outcomes) == len(request.Operations) {
		return answer.Outcomes, nil
	}
	if failure.HasCode(err, codeUnavailable) {
		// The coordinator is available, but the store did not answer it. The coordinator
		// is not avoided for avoidTime: direct commits of many daemons would conflict
		// when the store is available again.
		a.log.Info("quota_keeper_waits", "account", request.Account, "keeper", address, "error", err)
		return nil, unavailable(err)
	}
	a.mutex.Lock()
	a.avoidedUntil[address] = time.Now().Add(avoidTime)
	a.mutex.Unlock()
	a.log.Info("quota_keeper_passed_by", "account", request.Account, "keeper", address, "error", err)
	return nil, unavailable(err)
}

func (a *Accounts) isAvoided(address string) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return time.Now().Before(a.avoidedUntil[address])
}

func (a *Accounts) ledger(account string) *ledger {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	found := a.ledgers[account]
	if found == nil {
		found = newLedger(a.store, account)
		a.ledgers[account] = found
	}
	return found
}

// announceNearLimit marks and announces an account if an outcome is near its limit.
func (a *Accounts) announceNearLimit(account string, outcomes []Outcome, now time.Time) {
	isNear := false
	for _, outcome := range outcomes {
		isBounded := outcome.Limit > 0
		isNear = isNear || (isBounded && float64(outcome.Waiting) > nearLimitShare*float64(outcome.Limit))
	}
	if !isNear {
		return
	}
	a.mutex.Lock()
	mustAnnounce := now.Sub(a.announcedAt[account]) >= announceInterval
	if mustAnnounce {
		a.announcedAt[account] = now
	}
	a.mutex.Unlock()
	if mustAnnounce {
		a.peers.Announce(account)
	}
	a.MarkNearLimit(account, now)
}

// MarkNearLimit records that an account is near its limit.
func (a *Accounts) MarkNearLimit(account string, now time.Time) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if now.Sub(a.nearLimitAt[account]) > nearLimitTime {
		a.nearLimitSince[account] = now
	}
	a.nearLimitAt[account] = now
}

// IsNearLimit reports whether an account is near its limit, so that job owners should settle
// at once.
func (a *Accounts) IsNearLimit(account string) bool { return a.isNearLimitFor(account, 0) }

// isNearLimitFor reports whether an account has been near its limit for at least a time.
func (a *Accounts) isNearLimitFor(account string, least time.Duration) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := time.Now()
	return now.Sub(a.nearLimitAt[account]) <= nearLimitTime && now.Sub(a.nearLimitSince[account]) >= least
}

// Reservations returns an account's reservations.
func (a *Accounts) Reservations(ctx context.Context, account string) ([]Reservation, error) {
	found := []Reservation{}
	from := ""
	for {
		page, err := a.store.Read(ctx, table.Range{Table: tableReservation, Partition: account, From: from, Limit: reservationsPerPage})
		if err != nil {
			return nil, err
		}
		for _, row := range page.Rows {
			stored := reservationRow{}
			if err := decode(row, &stored); err != nil {
				return nil, err
			}
			found = append(found, Reservation{Job: row.Key, Tokens: stored.Tokens, Holder: stored.Holder, Version: row.Version})
		}
		next, more, err := page.Next(from)
		if err != nil {
			return nil, err
		}
		if !more {
			return found, nil
		}
		from = next
	}
}

// Reserved returns the accounts that have reservations.
func (a *Accounts) Reserved(ctx context.Context) ([]string, error) {
	all := []string{}
	for after := ""; ; {
		page, more, err := a.store.Partitions(ctx, tableReservation, after)
		if err != nil {
			return nil, err
		}
		all = append(all, page...)
		next, hasMore, err := table.NextName(page, more, after)
		if err != nil {
			return nil, err
		}
		if !hasMore {
			return all, nil
		}
		after = next
	}
}
