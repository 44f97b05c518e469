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
	// commitDelay gathers results that end close together in one commit.
	commitDelay = 60 * time.Millisecond
	// commitResults and commitBytes bound one commit.
	commitResults = 25
	commitBytes   = 700 << 10
	// inlineBytes is the longest text that a row holds.
	inlineBytes = 40 << 10
)

// commitFinished commits results until none is left.
func (o *owned) commitFinished() {
	for {
		if !periodic.SleepAbout(o.ctx, commitDelay) {
			return
		}
		batch, position, isLast := o.takeFinished()
		if len(batch) == 0 {
			return
		}
		err := o.commitBatch(o.ctx, batch, position, isLast)
		if err != nil {
			o.service.drop(o.job.ID, dropClaimLost)
			return
		}
		o.advance(len(batch))
		if isLast {
			o.service.drop(o.job.ID, dropFinished)
			return
		}
	}
}

// takeFinished returns the next results to commit and the position of the
// first. When there are none, committing ends.
func (o *owned) takeFinished() (batch []Result, position int, isLast bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	size := 0
	for _, result := range o.finished {
		size += len(result.Text)
		if len(batch) == commitResults || (size > commitBytes && len(batch) > 0) {
			break
		}
		batch = append(batch, result)
	}
	if len(batch) == 0 {
		o.committing = false
	}
	return batch, o.committed, o.committed+len(batch) == len(o.works)
}

// advance notes that the first results were committed.
func (o *owned) advance(count int) {
	o.mutex.Lock()
	o.finished = o.finished[count:]
	o.committed += count
	committed := o.committed
	o.mutex.Unlock()
	o.announceCommit()
	o.service.log.Info("job_results_committed", "job", o.job.ID, "count", count, "listed", committed, "items", len(o.works))
}

// claimLostError tells that another owner or the job's end came between.
type claimLostError struct {
	job string
}

// Error implements error.
func (e *claimLostError) Error() string { return "the claim on job " + e.job + " is lost" }

// commitBatch commits results at fixed positions, trying again with the same
// content until the store tells how it ended.
func (o *owned) commitBatch(ctx context.Context, batch []Result, position int, isLast bool) error {
	transaction, err := o.resultTransaction(ctx, batch, position, isLast)
	if err != nil {
		return err
	}
	for {
		bounded, cancel := context.WithTimeout(ctx, storeAttempt)
		_, err := o.service.store.Commit(bounded, transaction)
		cancel()
		var conflict *table.ConflictError
		if err == nil {
			return nil
		}
		if errors.As(err, &conflict) {
			return o.settle(conflict, transaction, isLast)
		}
		if !periodic.SleepAbout(ctx, storePause) {
			return errors.WithStack(ctx.Err())
		}
	}
}

// settle tells an earlier try of the same commit, whose answer was lost, from
// a lost claim.
func (o *owned) settle(conflict *table.ConflictError, transaction table.Transaction, isLast bool) error {
	for _, write := range transaction.Writes {
		if !bytes.Equal(conflict.Row(write.Table, write.Key).Value, write.Value) {
			return &claimLostError{job: o.job.ID}
		}
	}
	held := conflict.Row(tableClaim, o.job.ID).Version
	if held == o.claim.version || (isLast && held == 0) {
		return nil
	}
	return &claimLostError{job: o.job.ID}
}

func (o *owned) resultTransaction(ctx context.Context, batch []Result, position int, isLast bool) (table.Transaction, error) {
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

// encodeResult makes a result's row; a long text is stored as an object first.
func (o *owned) encodeResult(ctx context.Context, result Result) ([]byte, error) {
	row := resultRow{Item: result.Item, State: result.State, Text: result.Text}
	if len(result.Text) > inlineBytes {
		text := []byte(result.Text)
		row.Text = ""
		row.Object = "result-" + result.Item + "-" + strconv.FormatUint(xxhash.Sum64(text), 16)
		if err := o.service.putObject(ctx, row.Object, text); err != nil {
			return nil, err
		}
	}
	return encode(row)
}

// releasePoll is the pause between two looks at results that wait for their
// commit.
const releasePoll = 20 * time.Millisecond

// release stops the items, keeps their progress in the store and gives the
// claim up, so that another daemon goes on at once where this one stopped.
func (o *owned) release(ctx context.Context) {
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
	o.service.drop(o.job.ID, dropStopping)
	value, err := encode(claim{Epoch: held.claim.Epoch})
	if err != nil {
		return
	}
	bounded, end := context.WithTimeout(ctx, storeAttempt)
	defer end()
	_, err = o.service.store.Commit(bounded, table.Transaction{
		Partition:  shard(o.job.ID),
		Conditions: []table.Condition{{Table: tableClaim, Key: o.job.ID, Version: held.version}},
		Writes:     []table.Write{{Table: tableClaim, Key: o.job.ID, Value: value}},
	})
	o.service.log.Info("job_released", "job", o.job.ID, "error", err)
}

// stopItems takes all running items back.
func (o *owned) stopItems() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for _, each := range o.works {
		if each.state == itemRunning {
			each.cancel()
		}
	}
}

// isBusy reports whether items run or results wait for their commit.
func (o *owned) isBusy() bool {
	if len(o.running()) > 0 {
		return true
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return len(o.finished) > 0 && !o.dropped
}
