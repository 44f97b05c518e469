package batch

import "context"

// Begin begins work on a chunk that was claimed, and reports whether the chunk is given back.
func (w *Worker) Begin(ctx context.Context, job Job, claimed ClaimedChunk) (isReleased bool) {
	chunk := newActiveChunk(ctx, job, claimed, make([]Item, job.Items))
	w.begin(ctx, chunk)
	return chunk.assignment().Released
}
