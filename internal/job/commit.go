package job

import (
	"bytes"
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"topazpulley/internal/periodic"
	"topazpulley/internal/table"
)

const (
	// commitDelay is the mean wait before a commit, so that results that arrive close
	// together share it.
	commitDelay = 60 * time.Millisecond
	// maxCommitResults limits the results in one commit. A transaction takes at most
	// table.MaxTransactionRows, and each result uses up to three.
	maxCommitResults = 25
	// maxCommitBytes limits the rows in one commit. The limit is halved after commits that
	// time out, down to minCommitBytes, and doubled after each success.
	maxCommitBytes = 512 << 10
	minCommitBytes = 16 << 10
	// objectRetryPause is how long a result is left out of commits after its object could
	// not be stored, and rejectedRetryPause after the store rejected its row.
	objectRetryPause   = 500 * time.Millisecond
	rejectedRetryPause = 2 * time.Second
)

// finishedResult is a result that is not committed yet. Only the goroutine of
// commitFinished uses the fields below Result.
type finishedResult struct {
	Result
	// object is the name of the object that holds the text, or empty. isStored is set once
	// the object is stored.
	object   string
	isStored bool
	// needsObject is set if the text must be stored as an object whatever its length.
	needsObject bool
	// retryAt is when the result may be part of a commit again.
	retryAt time.Time
}

// resultBatch is one commit of results at consecutive positions.
type resultBatch struct {
	results     []*finishedResult
	transaction table.Transaction
	// isLast reports that all items have a result after the commit.
	isLast bool
}

// commitFinished commits results until none is left or the job is dropped.
func (o *ownedJob) commitFinished() {
	for periodic.SleepAbout(o.ctx, commitDelay) {
		candidates, isDone := o.nextCandidates(time.Now())
		if isDone {
			return
		}
		batch, err := o.newBatch(o.ctx, candidates)
		if err == nil && len(batch.results) == 0 {
			continue
		}
		if err == nil {
			err = o.commitBatch(o.ctx, batch)
		}
		var lost *claimLostError
		switch {
		case errors.As(err, &lost):
			o.drop(lost.reason())
			return
		case err != nil:
			o.handleCommitFailure(batch, err)
			continue
		}
		o.markCommitted(batch)
		if batch.isLast {
			o.drop(dropFinished)
			return
		}
	}
}

// handleCommitFailure logs a failed commit. If the store did not respond in time, it
// halves the maximum size of the next commit, because the link may be slow. If the store
// rejected the commit, it isolates the result that the store does not accept.
func (o *ownedJob) handleCommitFailure(batch resultBatch, err error) {
	o.service.log.Info("job_results_not_committed", "job", o.job.ID, "count", len(batch.results), "error", err)
	switch {
	case isUnknown(err):
		o.mutex.Lock()
		o.commitLimit = max(o.commitLimit/2, minCommitBytes)
		o.mutex.Unlock()
	case isInvalid(err):
		o.isolateRejected(batch)
	}
}

// isolateRejected prepares the next commit after the store rejected this one. Results are
// committed one by one until the rejected one is alone. Its text is then stored as an
// object; if the row is rejected all the same, it waits while others are committed.
func (o *ownedJob) isolateRejected(batch resultBatch) {
	o.mutex.Lock()
	o.commitCount = 1
	o.mutex.Unlock()
	if len(batch.results) != 1 {
		return
	}
	rejected := batch.results[0]
	if !rejected.needsObject {
		rejected.needsObject = true
		return
	}
	rejected.retryAt = time.Now().Add(rejectedRetryPause)
	o.service.log.Error("job_result_rejected", "job", o.job.ID, "item", rejected.Item, "text_bytes", len(rejected.Text), "retry_in", rejectedRetryPause)
}

// nextCandidates returns the results that may be part of a commit now. If no results are
// left, it marks the committing goroutine as ended.
func (o *ownedJob) nextCandidates(now time.Time) (candidates []*finishedResult, isDone bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if len(o.finished) == 0 {
		o.committing = false
		return nil, true
	}
	for _, result := range o.finished {
		if len(candidates) == o.commitCount {
			break
		}
		if !now.Before(result.retryAt) {
			candidates = append(candidates, result)
		}
	}
	return candidates, false
}

// newBatch builds a commit of the candidates that fit into it. A result whose object
// cannot be stored is left out, so that it does not delay the others.
func (o *ownedJob) newBatch(ctx context.Context, candidates []*finishedResult) (resultBatch, error) {
	o.mutex.Lock()
	position, limit := o.committed, o.commitLimit
	o.mutex.Unlock()
	batch := resultBatch{}
	batch.transaction = table.Transaction{
		Partition:  shard(o.job.ID),
		Conditions: []table.Condition{{Table: tableClaim, Key: o.job.ID, Version: o.claim.version}},
	}
	size := 0
	for _, each := range candidates {
		value, err := o.encodeResult(ctx, each)
		if err != nil {
			return batch, err
		}
		if value == nil {
			continue
		}
		size += len(value)
		if size > limit && len(batch.results) > 0 {
			break
		}
		o.addResult(&batch, each, numberedKey(o.job.ID, position+len(batch.results)), value)
	}
	batch.isLast = position+len(batch.results) == len(o.items)
	if batch.isLast {
		batch.transaction.Removals = append(batch.transaction.Removals, table.Removal{Table: tableClaim, Key: o.job.ID})
	}
	return batch, nil
}

// addResult adds a result's row under a key to a commit.
func (o *ownedJob) addResult(batch *resultBatch, added *finishedResult, key string, value []byte) {
	batch.results = append(batch.results, added)
	transaction := &batch.transaction
	transaction.Conditions = append(transaction.Conditions, table.Condition{Table: tableResult, Key: key})
	transaction.Writes = append(transaction.Writes, table.Write{Table: tableResult, Key: key, Value: value})
	if o.hasCheckpoint(added.Item) {
		transaction.Removals = append(transaction.Removals, table.Removal{Table: tableProgress, Key: progressKey(o.job.ID, added.Item)})
	}
}

// markCommitted removes results from the queue after their commit.
func (o *ownedJob) markCommitted(batch resultBatch) {
	count := len(batch.results)
	o.mutex.Lock()
	o.finished = slices.DeleteFunc(o.finished, func(each *finishedResult) bool { return slices.Contains(batch.results, each) })
	o.committed += count
	o.commitLimit = min(o.commitLimit*2, maxCommitBytes)
	o.commitCount = min(o.commitCount*2, maxCommitResults)
	committed := o.committed
	o.mutex.Unlock()
	o.notifyCommit()
	o.service.log.Info("job_results_committed", "job", o.job.ID, "count", count, "listed", committed, "items", len(o.items))
}

// claimLostError reports that a commit failed because the claim changed or was removed,
// or because other results are stored at these positions although the claim is still
// held.
type claimLostError struct {
	job string
	// ownsClaim reports that the claim is still held.
	ownsClaim bool
}

// reason returns why the job is dropped.
func (e *claimLostError) reason() dropReason {
	if e.ownsClaim {
		return dropUnknownResults
	}
	return dropClaimLost
}

// Error implements error.
func (e *claimLostError) Error() string { return "the claim on job " + e.job + " is lost" }

// commitBatch tries once to commit results at fixed positions. An earlier attempt whose
// response was lost may have committed them and further results after them.
func (o *ownedJob) commitBatch(ctx context.Context, batch resultBatch) error {
	_, err := o.service.commit(ctx, batch.transaction)
	var conflict *table.ConflictError
	if errors.As(err, &conflict) {
		return o.resolveConflict(conflict, batch.transaction)
	}
	return err
}

// resolveConflict distinguishes an earlier successful attempt of the same commit from a
// lost claim. It returns nil if all rows are stored as written and the claim is
// unchanged or removed. The claim is removed together with the last result.
func (o *ownedJob) resolveConflict(conflict *table.ConflictError, transaction table.Transaction) error {
	held := conflict.Row(tableClaim, o.job.ID).Version
	for _, write := range transaction.Writes {
		if !bytes.Equal(conflict.Row(write.Table, write.Key).Value, write.Value) {
			return &claimLostError{job: o.job.ID, ownsClaim: held == o.claim.version}
		}
	}
	if held == o.claim.version || held == 0 {
		return nil
	}
	return &claimLostError{job: o.job.ID}
}

// encodeResult encodes a result's row. If the row would be too large for the store, the
// text is stored as an object first. A nil value means that this failed; the result is
// then left out of commits for objectRetryPause.
func (o *ownedJob) encodeResult(ctx context.Context, result *finishedResult) ([]byte, error) {
	if !result.needsObject {
		value, err := encode(resultRow{Item: result.Item, State: result.State, Text: result.Text})
		if err != nil || len(value) <= table.MaxRowBytes {
			return value, err
		}
		result.needsObject = true
	}
	if result.object == "" {
		result.object = newObjectName(textPrefix, o.job.ID)
	}
	if !result.isStored {
		text := []byte(result.Text)
		if err := o.service.putObjectOnce(ctx, result.object, text); err != nil {
			result.retryAt = time.Now().Add(objectRetryPause)
			o.service.log.Info("job_result_object_not_stored", "job", o.job.ID, "item", result.Item, "text_bytes", len(text), "error", err)
			return nil, nil
		}
		result.isStored = true
	}
	return encode(resultRow{Item: result.Item, State: result.State, Object: result.object})
}

const (
	// releasePoll is the mean interval at which release checks for items that still run and
	// results that are not committed.
	releasePoll = 20 * time.Millisecond
	// handoverTime is what release leaves of its time for the progress and the claim, one call each.
	handoverTime = 2 * attemptTimeout
)

// release stops the items, saves their progress and gives up the claim, so that another
// daemon continues from there immediately.
func (o *ownedJob) release(ctx context.Context) {
	o.stopItems()
	o.awaitIdle(ctx)
	o.saveProgress(ctx, 1)
	o.mutex.Lock()
	isDropped := o.dropped
	held := o.claim
	o.mutex.Unlock()
	if isDropped {
		return
	}
	o.drop(dropStopping)
	_, err := o.service.replaceClaim(ctx, o.job.ID, held.version, claim{Epoch: held.claim.Epoch, Tenant: held.claim.Tenant})
	o.service.log.Info("job_released", "job", o.job.ID, "error", err)
}

// awaitIdle waits until no item runs and all results are committed, or only the time for the handover
// is left: handoverTime, or half of the time if that is less.
func (o *ownedJob) awaitIdle(ctx context.Context) {
	bounded := ctx
	if deadline, isBounded := ctx.Deadline(); isBounded {
		reserved := min(handoverTime, time.Until(deadline)/2)
		var cancel context.CancelFunc
		bounded, cancel = context.WithDeadline(ctx, deadline.Add(-reserved))
		defer cancel()
	}
	for o.isBusy() && periodic.SleepAbout(bounded, releasePoll) {
	}
}

// stopItems cancels all running items. No further ones are started.
func (o *ownedJob) stopItems() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.isReleasing = true
	for _, each := range o.items {
		if each.state == itemRunning {
			each.cancel()
		}
	}
}

// isBusy reports whether items are running or results are not committed yet.
func (o *ownedJob) isBusy() bool {
	if len(o.running()) > 0 {
		return true
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return len(o.finished) > 0 && !o.dropped
}
