package job

import (
	"bytes"
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"strconv"

	"topazpulley/internal/periodic"
	"topazpulley/internal/table"
)

const (
	// commitDelay is the mean wait before a commit, so that results that arrive close
	// together share it.
	commitDelay = 60 * time.Millisecond
	// maxCommitResults limits the results in one commit. A transaction takes at most 100
	// rows, and each result uses up to three.
	maxCommitResults = 25
	// maxCommitBytes limits the result text in one commit. The limit is halved after
	// commits that time out, down to minCommitBytes, and doubled after each success.
	maxCommitBytes = 512 << 10
	minCommitBytes = 16 << 10
	// maxInlineBytes is the longest text that is stored in the result row. Longer texts
	// are stored as objects.
	maxInlineBytes = 40 << 10
)

// commitFinished commits results until none is left or the job is dropped.
func (o *ownedJob) commitFinished() {
	for periodic.SleepAbout(o.ctx, commitDelay) {
		batch, position, isLast := o.nextBatch()
		if len(batch) == 0 {
			return
		}
		err := o.commitBatch(o.ctx, batch, position, isLast)
		var lost *claimLostError
		switch {
		case errors.As(err, &lost):
			o.drop(lost.reason())
			return
		case err != nil:
			o.handleCommitFailure(len(batch), err)
			continue
		}
		o.markCommitted(len(batch))
		if isLast {
			o.drop(dropFinished)
			return
		}
	}
}

// handleCommitFailure logs a failed commit. If the store did not respond in time, it
// halves the maximum size of the next commit, because the link may be slow.
func (o *ownedJob) handleCommitFailure(count int, err error) {
	if isUnknown(err) {
		o.mutex.Lock()
		o.commitLimit = max(o.commitLimit/2, minCommitBytes)
		o.mutex.Unlock()
	}
	o.service.log.Info("job_results_not_committed", "job", o.job.ID, "count", count, "error", err)
}

// nextBatch returns the next results to commit and the position of the first one. If
// there are none, it marks the committing goroutine as ended.
func (o *ownedJob) nextBatch() (batch []Result, position int, isLast bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	size := 0
	for _, result := range o.finished {
		size += len(result.Text)
		if len(batch) == maxCommitResults || (size > o.commitLimit && len(batch) > 0) {
			break
		}
		batch = append(batch, result)
	}
	if len(batch) == 0 {
		o.committing = false
	}
	return batch, o.committed, o.committed+len(batch) == len(o.items)
}

// markCommitted removes the first count results from the queue after their commit.
func (o *ownedJob) markCommitted(count int) {
	o.mutex.Lock()
	o.finished = o.finished[count:]
	o.committed += count
	o.commitLimit = min(o.commitLimit*2, maxCommitBytes)
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
func (o *ownedJob) commitBatch(ctx context.Context, batch []Result, position int, isLast bool) error {
	transaction, err := o.resultTransaction(ctx, batch, position, isLast)
	if err != nil {
		return err
	}
	_, err = o.service.commit(ctx, transaction)
	var conflict *table.ConflictError
	if errors.As(err, &conflict) {
		return o.resolveConflict(conflict, transaction)
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

func (o *ownedJob) resultTransaction(ctx context.Context, batch []Result, position int, isLast bool) (table.Transaction, error) {
	transaction := table.Transaction{
		Partition:  shard(o.job.ID),
		Conditions: []table.Condition{{Table: tableClaim, Key: o.job.ID, Version: o.claim.version}},
	}
	for index, result := range batch {
		key := numberedKey(o.job.ID, position+index)
		value, err := o.encodeResult(ctx, result)
		if err != nil {
			return transaction, err
		}
		transaction.Conditions = append(transaction.Conditions, table.Condition{Table: tableResult, Key: key})
		transaction.Writes = append(transaction.Writes, table.Write{Table: tableResult, Key: key, Value: value})
		if o.hasCheckpoint(result.Item) {
			transaction.Removals = append(transaction.Removals, table.Removal{Table: tableProgress, Key: progressKey(o.job.ID, result.Item)})
		}
	}
	if isLast {
		transaction.Removals = append(transaction.Removals, table.Removal{Table: tableClaim, Key: o.job.ID})
	}
	return transaction, nil
}

// encodeResult encodes a result's row. A text longer than maxInlineBytes is stored as
// an object first.
func (o *ownedJob) encodeResult(ctx context.Context, result Result) ([]byte, error) {
	row := resultRow{Item: result.Item, State: result.State, Text: result.Text}
	if len(result.Text) > maxInlineBytes {
		text := []byte(result.Text)
		row.Text = ""
		row.Object = "result-" + result.Item + "-" + strconv.FormatUint(xxhash.Sum64(text), 16)
		if err := o.service.putObject(ctx, row.Object, text); err != nil {
			return nil, err
		}
	}
	return encode(row)
}

// releasePoll is the mean interval at which release checks for items that still run and
// results that are not committed.
const releasePoll = 20 * time.Millisecond

// release stops the items, saves their progress and gives up the claim, so that another
// daemon continues from there immediately.
func (o *ownedJob) release(ctx context.Context) {
	o.stopItems()
	for o.isBusy() && periodic.SleepAbout(ctx, releasePoll) {
	}
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

// stopItems cancels all running items.
func (o *ownedJob) stopItems() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
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
