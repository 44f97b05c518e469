package batch

import (
	"context"
	"slices"
	"time"

	"topazpulley/internal/duty"
	"topazpulley/internal/failure"
	"topazpulley/internal/peer"
)

// RecordIntent stores the intent of an item that must run at most once. The item
// may be sent only after RecordIntent has returned nil.
func (w *Worker) RecordIntent(ctx context.Context, task *Task, intent Intent) error {
	chunk := task.chunk
	chunk.storeMutex.Lock()
	defer chunk.storeMutex.Unlock()
	bounded, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	next, err := w.store.RecordIntents(bounded, chunk.claimed(), []Intent{intent})
	if err == nil {
		chunk.setState(next)
		return nil
	}
	if isClaimLost(err) {
		w.dropChunk(chunk, err)
	}
	return err
}

func (c *activeChunk) setState(next ClaimedChunk) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.state = next
}

func isClaimLost(err error) bool {
	return failure.HasCode(err, CodeStaleEpoch) || failure.HasCode(err, CodeJobEnded)
}

// commitLoop commits a chunk's results in segments until all are committed or
// the chunk is dropped. While the platform is down, results stay in memory.
func (w *Worker) commitLoop(ctx context.Context, chunk *activeChunk) {
	ticker := time.NewTicker(commitPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-chunk.context.Done():
			return
		case <-chunk.wake:
		case <-ticker.C:
		}
		for w.commitOnce(ctx, chunk) {
			continue
		}
		if chunk.assignment().Done {
			return
		}
	}
}

// commitOnce commits the results that are due and reports whether it committed
// any.
func (w *Worker) commitOnce(ctx context.Context, chunk *activeChunk) bool {
	chunk.storeMutex.Lock()
	defer chunk.storeMutex.Unlock()
	due := chunk.takeResults(time.Now())
	if len(due) == 0 {
		return false
	}
	segment := Segment{Sequence: chunk.sequence}
	lines := make([][]byte, 0, len(due))
	for _, finished := range due {
		segment.Items = append(segment.Items, finished.index)
		lines = append(lines, finished.line)
		if finished.failed {
			segment.Failed++
		}
	}
	bounded, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	next, err := w.store.Commit(bounded, chunk.claimed(), segment, lines)
	if err == nil {
		chunk.setCommitted(next, len(due))
		return true
	}
	if isClaimLost(err) {
		w.dropChunk(chunk, err)
		return false
	}
	w.log.Warn("commit_delayed", "job", chunk.job.ID, "chunk", chunk.number, "results", len(due), "error", err)
	select {
	case <-ctx.Done():
	case <-time.After(commitRetryPause):
	}
	return false
}

func (c *activeChunk) setCommitted(next ClaimedChunk, count int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.state = next
	c.sequence++
	c.committing = 0
	if count <= len(c.results) {
		c.results = slices.Clone(c.results[count:])
	}
	c.oldestAt = time.Now()
	c.done = next.Chunk.Done
}

// reportAll reports the active chunks to the coordinators of their shards, then
// removes the done and released chunks of each report that was delivered.
func (w *Worker) reportAll(ctx context.Context) {
	w.releaseStalled(ctx)
	byShard := map[int][]AssignmentMessage{}
	w.mutex.Lock()
	for _, chunk := range w.active {
		shard := ShardOf(chunk.job.ID)
		byShard[shard] = append(byShard[shard], chunk.assignment())
	}
	w.mutex.Unlock()
	for shard, messages := range byShard {
		if w.report(ctx, shard, messages) {
			w.removeFinished(messages)
		}
	}
}

// release commits the chunk's finished results and drops the rest, so that
// another worker can claim it.
func (w *Worker) release(ctx context.Context, chunk *activeChunk) {
	chunk.mutex.Lock()
	chunk.oldestAt = time.Time{}
	chunk.mutex.Unlock()
	w.commitOnce(ctx, chunk)
	if !chunk.assignment().Done {
		chunk.drop()
	}
}

// releaseStalled releases chunks that this daemon's engines do not run.
func (w *Worker) releaseStalled(ctx context.Context) {
	w.mutex.Lock()
	active := slices.Clone(w.active)
	w.mutex.Unlock()
	for _, chunk := range active {
		if chunk.isStalled(time.Now()) {
			w.log.Info("chunk_released", "job", chunk.job.ID, "chunk", chunk.number)
			w.release(ctx, chunk)
		}
	}
}

func (w *Worker) report(ctx context.Context, shard int, messages []AssignmentMessage) bool {
	bounded, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	owner, known := w.node.Member(duty.Owner(ShardDuty(shard), w.node.AllNames()))
	if !known {
		return false
	}
	report := ProgressReport{Worker: w.node.Self().Name, Shard: shard, Assignments: messages}
	answer, err := peer.Call[ProgressReport, ProgressAnswer](bounded, w.transport, owner.Address, MethodProgress, report)
	if err != nil {
		return false
	}
	for _, job := range answer.Ended {
		w.dropIfEnded(bounded, job)
	}
	return true
}

// dropIfEnded drops the chunks of a job that the store shows as ended. The store
// is read because a new coordinator may not have loaded the job yet.
func (w *Worker) dropIfEnded(ctx context.Context, job string) {
	current, _, err := w.store.Job(ctx, job)
	if err != nil || current.State == StateRunning {
		return
	}
	w.removeJob(job)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, chunk := range w.active {
		if chunk.job.ID == job && !chunk.assignment().Done {
			w.dropChunk(chunk, failure.New(failure.KindCancelled, CodeJobEnded, "the job has ended"))
		}
	}
}

func (w *Worker) removeFinished(messages []AssignmentMessage) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, message := range messages {
		if !message.Done && !message.Released {
			continue
		}
		w.active = slices.DeleteFunc(w.active, func(chunk *activeChunk) bool {
			return chunk.job.ID == message.Job && chunk.number == message.Chunk
		})
	}
}
