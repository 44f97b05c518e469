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
	// batchOperations is the maximum number of operations in one transaction: each takes up
	// to two of the store's 100 entries, and the total takes two.
	batchOperations = 45
	// storeTimeout is the timeout of one commit.
	storeTimeout = 900 * time.Millisecond
	// minPause and maxPause limit the pause after repeated conflicts. It doubles with each
	// pause and is halved by each successful commit, so that many daemons that commit to
	// one account do not overload its partition with conflicting calls.
	minPause = 8 * time.Millisecond
	maxPause = 500 * time.Millisecond
	// unansweredPause is the mean pause between commits while the store does not answer.
	// It is constant: unanswered commits do not show contention for the account. Callers who
	// wait through an outage have 1.4 s or more, and lose a seventh of that after its end.
	unansweredPause = 200 * time.Millisecond
)

// backoff is the pause between this daemon's commits to one account.
type backoff struct {
	pause time.Duration
}

// failed increases the pause and returns it.
func (b *backoff) failed() time.Duration {
	b.pause = min(max(2*b.pause, minPause), maxPause)
	return b.pause
}

// succeeded halves the pause.
func (b *backoff) succeeded() { b.pause /= 2 }

// pending holds the operations of one caller until they are committed.
type pending struct {
	ctx        context.Context
	operations []Operation
	// since is the time at which it was queued.
	since time.Time
	// done receives the outcomes. It is buffered.
	done chan []Outcome
}

// isReservation reports whether the operations are reservations, whose callers wait.
func (p *pending) isReservation() bool { return isReservation(p.operations) }

func isReservation(operations []Operation) bool { return operations[0].Kind == KindReserve }

// ledger commits the operations on one account and combines queued operations into one
// transaction. mutex guards queue, limit and isRunning. view, freed and backoff are used
// only by the goroutine that commits.
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

// apply commits operations. If the context ends first, the result is unknown.
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

// maxSettleWait is the time after which reservations are no longer queued ahead of a waiting
// settlement or release. It is half of settleTimeout. Without it 150 reservations at once
// keep every settlement waiting, and the tokens of ended items are not released.
const maxSettleWait = 500 * time.Millisecond

// insertByUrgency queues reservations, whose callers wait, ahead of settlements and
// releases, which are repeated. All owners settle at once after an outage of the store.
func insertByUrgency(queue []*pending, added *pending) []*pending {
	if !added.isReservation() {
		return append(queue, added)
	}
	position := 0
	for index, waiting := range queue {
		if waiting.isReservation() || added.since.Sub(waiting.since) >= maxSettleWait {
			position = index + 1
		}
	}
	return slices.Insert(queue, position, added)
}

// run commits until the queue is empty.
func (l *ledger) run() {
	for {
		batch, limit := l.nextBatch()
		if len(batch) == 0 {
			return
		}
		l.commit(batch, limit)
	}
}

// nextBatch removes the callers of the next transaction from the queue. If there are none, it
// sets isRunning to false.
func (l *ledger) nextBatch() ([]*pending, Limit) {
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

// commit retries a batch until it is committed or the contexts of all its callers have
// ended. A conflict refreshes the view, so the next attempt follows without a pause, after
// which the view might be outdated again: where many daemons commit, as after an outage of the
// store, nearly every attempt would conflict. A second conflict in a row is followed by a pause.
func (l *ledger) commit(batch []*pending, limit Limit) {
	isFresh, unanswered := false, 0
	for {
		batch = withoutCancelled(batch)
		if len(batch) == 0 {
			return
		}
		planned := l.view.planOf(l.account, limit, operationsOf(batch))
		switch l.try(planned) {
		case tryCommitted:
			l.backoff.succeeded()
			planned.setRate(l.freed.perSecond(time.Now()))
			deliver(batch, planned.outcomes)
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

// pauseAfter returns the mean pause after a number of unanswered commits. The first
// pause is shorter than coordinatorTimeout, so that a single failure does not cause
// reservations to bypass this coordinator.
func pauseAfter(unanswered int) time.Duration {
	if unanswered == 1 {
		return minPause
	}
	return unansweredPause
}

// tryResult is the result of one attempt to commit.
type tryResult uint8

const (
	tryCommitted tryResult = iota
	// tryConflicted means that the rows had changed. The view has been refreshed.
	tryConflicted
	// tryUnanswered means that the commit failed or its result is unknown.
	tryUnanswered
)

// try commits a plan once. After a conflict it refreshes the view.
func (l *ledger) try(planned plan) tryResult {
	bounded, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	version, err := l.store.Commit(bounded, planned.transaction)
	var conflict *table.ConflictError
	if errors.As(err, &conflict) {
		// An unreadable row and those after it keep their cached state.
		_ = l.view.refresh(conflict, planned.transaction)
		return tryConflicted
	}
	if err != nil {
		return tryUnanswered
	}
	l.freed.add(l.view.total.Waiting-planned.total.Waiting, time.Now())
	l.view.recordCommit(planned, version)
	return tryCommitted
}

// withoutCancelled removes the callers whose context has ended.
func withoutCancelled(batch []*pending) []*pending {
	remaining := batch[:0]
	for _, each := range batch {
		if each.ctx.Err() == nil {
			remaining = append(remaining, each)
		}
	}
	return remaining
}

func operationsOf(batch []*pending) []Operation {
	operations := []Operation{}
	for _, each := range batch {
		operations = append(operations, each.operations...)
	}
	return operations
}

// deliver sends each caller the outcomes of its operations.
func deliver(batch []*pending, outcomes []Outcome) {
	for _, each := range batch {
		count := len(each.operations)
		each.done <- outcomes[:count:count]
		outcomes = outcomes[count:]
	}
}
