package quota

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"topazpulley/internal/periodic"
	"topazpulley/internal/table"
)

const (
	// batchOperations bounds one transaction: each operation takes up to two of
	// the store's 100 entries, and the total takes two.
	batchOperations = 45
	storeAttempt    = 900 * time.Millisecond
	// shortestPause and longestPause bound the pause after a commit that came to
	// nothing. It doubles with each one and is halved by each that succeeds: many
	// daemons that commit to one account would else keep its partition, which
	// takes one call at a time, busy with calls that conflict.
	shortestPause = 8 * time.Millisecond
	longestPause  = 500 * time.Millisecond
	// unansweredPause is the mean pause after a commit that the store did not answer:
	// callers who wait through an outage have 1.4 seconds and more, and lose a seventh
	// of that behind its end. It does not grow: what is tried again while the store is
	// away says nothing of how many commit to the account.
	unansweredPause = 200 * time.Millisecond
)

// backoff is the pause of a daemon between commits to one account.
type backoff struct {
	pause time.Duration
}

// failed returns the pause after a commit that came to nothing.
func (b *backoff) failed() time.Duration {
	b.pause = min(max(2*b.pause, shortestPause), longestPause)
	return b.pause
}

func (b *backoff) succeeded() { b.pause /= 2 }

// pending is operations of one caller that wait for their commit.
type pending struct {
	ctx        context.Context
	operations []Operation
	// since is when it began to wait.
	since time.Time
	// done receives the outcomes; it is buffered.
	done chan []Outcome
}

// isReservation reports whether a caller waits for the operations.
func (p *pending) isReservation() bool { return isReservation(p.operations) }

func isReservation(operations []Operation) bool { return operations[0].Kind == KindReserve }

// ledger commits the operations on one account, those that wait at a time in
// one transaction. mutex guards queue, limit and isRunning; view,
// freed and backoff belong to the goroutine that commits.
type ledger struct {
	store   Store
	account string
	view    *view
	freed   *freedRate
	backoff backoff

	mutex     sync.Mutex
	queue     []*pending
	limit     Limit
	isRunning bool
}

func newLedger(store Store, account string) *ledger {
	return &ledger{store: store, account: account, view: newView(), freed: &freedRate{}}
}

// apply commits operations. When the context ends first, it is unknown whether
// they were carried out.
func (l *ledger) apply(ctx context.Context, limit Limit, operations []Operation) ([]Outcome, error) {
	waiting := &pending{ctx: ctx, operations: operations, since: time.Now(), done: make(chan []Outcome, 1)}
	l.enqueue(waiting, limit)
	select {
	case outcomes := <-waiting.done:
		return outcomes, nil
	case <-ctx.Done():
		return nil, unavailable(ctx.Err())
	}
}

func (l *ledger) enqueue(waiting *pending, limit Limit) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if limit.Config >= l.limit.Config {
		l.limit = limit
	}
	l.queue = insertByUrgency(l.queue, waiting)
	if !l.isRunning {
		l.isRunning = true
		go l.run()
	}
}

// longestSettleWait is how long operations that nobody waits for are passed by
// reservations: half of the time after which their owners give a try up. Without it 150
// reservations at once kept every settlement away, and what had ended was not freed.
const longestSettleWait = 500 * time.Millisecond

// insertByUrgency puts reservations, whose callers wait, before operations that their
// owners repeat by themselves: behind an outage of the store all owners of a fleet settle
// what ended meanwhile.
func insertByUrgency(queue []*pending, added *pending) []*pending {
	if !added.isReservation() {
		return append(queue, added)
	}
	place := 0
	for index, waiting := range queue {
		if waiting.isReservation() || added.since.Sub(waiting.since) >= longestSettleWait {
			place = index + 1
		}
	}
	return slices.Insert(queue, place, added)
}

// run commits until nothing waits.
func (l *ledger) run() {
	for {
		batch, limit := l.take()
		if len(batch) == 0 {
			return
		}
		l.commit(batch, limit)
	}
}

// take returns the callers whose operations go into the next transaction. When
// there are none, the ledger rests.
func (l *ledger) take() ([]*pending, Limit) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	batch := []*pending{}
	count := 0
	for len(l.queue) > 0 {
		next := l.queue[0]
		if len(batch) > 0 && count+len(next.operations) > batchOperations {
			break
		}
		l.queue = l.queue[1:]
		if next.ctx.Err() == nil {
			batch = append(batch, next)
			count += len(next.operations)
		}
	}
	l.isRunning = len(batch) > 0
	return batch, l.limit
}

// commit tries until the store has carried the batch out or nobody waits for
// it any more. A conflict tells how the account stands, and the next try comes at once:
// behind a pause that picture would be old again, and where many daemons commit, as
// behind an outage of the store, nearly every try would conflict. Forty of them took
// 17 s for what now takes 2 (TestReservationsBehindAnOutageAreCommittedSoon).
func (l *ledger) commit(batch []*pending, limit Limit) {
	isFresh, unanswered := false, 0
	for {
		batch = stillWanted(batch)
		if len(batch) == 0 {
			return
		}
		made := l.view.planOf(l.account, limit, operationsOf(batch))
		switch l.try(made) {
		case tryCommitted:
			l.backoff.succeeded()
			made.noteRate(l.freed.perSecond(time.Now()))
			deliver(batch, made.outcomes)
			return
		case tryConflicted:
			isFresh = !isFresh
			if !isFresh {
				periodic.SleepAbout(context.Background(), l.backoff.failed())
			}
		case tryUnanswered:
			isFresh = false
			unanswered++
			periodic.SleepAbout(context.Background(), pauseAfter(unanswered))
		}
	}
}

// pauseAfter is the mean pause behind so many commits in a row that the store did not
// answer. One alone is no outage: a pause of unansweredPause, longer than askers wait for
// a keeper, had keepers passed by for 13 of 20 single failures.
func pauseAfter(unanswered int) time.Duration {
	if unanswered == 1 {
		return shortestPause
	}
	return unansweredPause
}

// tryEnd is how one try of a commit ended.
type tryEnd uint8

const (
	tryCommitted tryEnd = iota
	// tryConflicted tells that the account stood otherwise; the view has its rows now.
	tryConflicted
	// tryUnanswered tells that the store did not carry the commit out, or did not say.
	tryUnanswered
)

// try commits a plan once. After a conflict the view holds the rows as they stand.
func (l *ledger) try(made plan) tryEnd {
	bounded, cancel := context.WithTimeout(context.Background(), storeAttempt)
	defer cancel()
	version, err := l.store.Commit(bounded, made.transaction)
	var conflict *table.ConflictError
	if errors.As(err, &conflict) {
		// A row that cannot be read leaves the view as it was.
		_ = l.view.refresh(conflict, made.transaction)
		return tryConflicted
	}
	if err != nil {
		return tryUnanswered
	}
	l.freed.note(l.view.total.Waiting-made.total.Waiting, time.Now())
	l.view.committed(made, version)
	return tryCommitted
}

func stillWanted(batch []*pending) []*pending {
	wanted := batch[:0]
	for _, each := range batch {
		if each.ctx.Err() == nil {
			wanted = append(wanted, each)
		}
	}
	return wanted
}

func operationsOf(batch []*pending) []Operation {
	operations := []Operation{}
	for _, each := range batch {
		operations = append(operations, each.operations...)
	}
	return operations
}

func deliver(batch []*pending, outcomes []Outcome) {
	for _, each := range batch {
		count := len(each.operations)
		each.done <- outcomes[:count:count]
		outcomes = outcomes[count:]
	}
}
