package batch

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/pkg/errors"

	"topazpulley/internal/failure"
	"topazpulley/internal/storage"
)

// Store stores jobs and chunks in the platform's table and object store.
type Store struct {
	platform *storage.Client
}

// NewStore returns a store over the daemon's platform client.
func NewStore(client *storage.Client) *Store { return &Store{platform: client} }

// ClaimedChunk is a chunk with the row versions that are the conditions of its
// next write.
type ClaimedChunk struct {
	Chunk Chunk
	// Version is the version of the chunk's row.
	Version storage.Version
	// JobVersion is the version of the job's state row while the job runs.
	JobVersion storage.Version
}

// Create stores a job. If the tenant already has a job with the same key and
// content, Create returns that job. If the content differs, it returns a
// conflict.
func (s *Store) Create(ctx context.Context, job Job, digest string) (Job, error) {
	identity := Identity{Job: job.ID, Digest: digest}
	transaction := storage.Transaction{
		OperationID: ulid.Make().String(),
		Conditions:  []storage.Condition{{Key: jobKey(job.Tenant, job.Key)}, {Key: stateKey(job.ID)}},
		Writes: []storage.Write{
			{Key: jobKey(job.Tenant, job.Key), Value: encode(identity)},
			{Key: stateKey(job.ID), Value: encode(job)},
			{Key: openKey(job.ID), Value: encode(identity)},
		},
	}
	_, err := s.platform.Transact(ctx, transaction)
	var conflict *storage.ConflictError
	if errors.As(err, &conflict) {
		return s.existingJob(ctx, job, digest, conflict)
	}
	return job, err
}

func (s *Store) existingJob(ctx context.Context, job Job, digest string, conflict *storage.ConflictError) (Job, error) {
	row, found := conflict.Row(jobKey(job.Tenant, job.Key))
	identity := Identity{}
	if !found || json.Unmarshal(row.Value, &identity) != nil || identity.Digest != digest {
		return job, failure.New(failure.KindConflict, "key_reused", "Idempotency-Key %q was used with other content: choose a new key", job.Key).WithNotRun()
	}
	current, _, err := s.Job(ctx, identity.Job)
	return current, err
}

// Job reads a job and the version of its state row.
func (s *Store) Job(ctx context.Context, id string) (Job, storage.Version, error) {
	job := Job{}
	row, err := s.platform.Get(ctx, stateKey(id))
	if err != nil {
		return job, 0, err
	}
	if row.Version == 0 {
		return job, 0, failure.New(failure.KindNotFound, "no_job", "job %s does not exist", id)
	}
	return job, row.Version, decodeRow(row, &job)
}

// OpenJobs reads the ids of a shard's open jobs.
func (s *Store) OpenJobs(ctx context.Context, shard int) ([]string, error) {
	rows, err := s.platform.ScanAll(ctx, openPrefix(shard))
	if err != nil {
		return nil, err
	}
	ids := make([]string, 0, len(rows))
	for _, row := range rows {
		ids = append(ids, row.Key[len(openPrefix(shard)):])
	}
	return ids, nil
}

// Chunks reads the chunks of a job that were ever claimed, in number order.
func (s *Store) Chunks(ctx context.Context, job string) ([]Chunk, error) {
	rows, err := s.platform.ScanAll(ctx, chunkPrefix(job))
	if err != nil {
		return nil, err
	}
	chunks := make([]Chunk, len(rows))
	for index, row := range rows {
		if err := decodeRow(row, &chunks[index]); err != nil {
			return nil, err
		}
	}
	return chunks, nil
}

// Claim claims a chunk for owner under the next epoch. It fails if the job has
// ended or another owner claimed the chunk at the same time. A chunk that is
// done is returned unchanged.
func (s *Store) Claim(ctx context.Context, job Job, jobVersion storage.Version, number int, owner string) (ClaimedChunk, error) {
	row, err := s.platform.Get(ctx, chunkKey(job.ID, number))
	if err != nil {
		return ClaimedChunk{}, err
	}
	chunk := Chunk{Job: job.ID, Number: number, Items: job.ChunkItems(number)}
	if row.Version != 0 {
		if err := decodeRow(row, &chunk); err != nil {
			return ClaimedChunk{}, err
		}
	}
	claimed := ClaimedChunk{Chunk: chunk, Version: row.Version, JobVersion: jobVersion}
	if chunk.Done {
		return claimed, nil
	}
	return s.write(ctx, claimed, chunk.Claim(owner))
}

// write replaces the chunk row if neither it nor the job's state row has changed.
// The chunk condition rejects stale epochs; the job condition rejects commits
// after the job has ended.
func (s *Store) write(ctx context.Context, claimed ClaimedChunk, next Chunk) (ClaimedChunk, error) {
	transaction := storage.Transaction{
		OperationID: ulid.Make().String(),
		Conditions: []storage.Condition{
			{Key: next.Key(), Version: claimed.Version},
			{Key: stateKey(next.Job), Version: claimed.JobVersion},
		},
		Writes: []storage.Write{{Key: next.Key(), Value: encode(next)}},
	}
	version, err := s.platform.Transact(ctx, transaction)
	if err == nil {
		return ClaimedChunk{Chunk: next, Version: version, JobVersion: claimed.JobVersion}, nil
	}
	return claimed, conflictError(err, next)
}

// CodeJobEnded is the error code for a job that was cancelled or completed.
const CodeJobEnded = "job_ended"

func conflictError(err error, chunk Chunk) error {
	var conflict *storage.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	if _, ended := conflict.Row(stateKey(chunk.Job)); ended {
		return failure.New(failure.KindConflict, CodeJobEnded, "job %s is no longer running", chunk.Job)
	}
	return failure.New(failure.KindConflict, CodeStaleEpoch, "%s was claimed by another owner", chunk.Key())
}

// Commit stores a segment's results and adds the segment to the chunk row. On a
// conflict it reads the row back, because an earlier attempt whose answer was
// lost may have added the segment.
func (s *Store) Commit(ctx context.Context, claimed ClaimedChunk, segment Segment, lines [][]byte) (ClaimedChunk, error) {
	segment.Epoch = claimed.Chunk.Epoch
	segment.Object = segmentObject(claimed.Chunk.Job, claimed.Chunk.Number, segment.Epoch, segment.Sequence)
	next, err := claimed.Chunk.Commit(claimed.Chunk.Owner, segment)
	if err != nil {
		return claimed, err
	}
	if err := s.platform.Put(ctx, segment.Object, bytes.Join(lines, []byte("\n"))); err != nil {
		return claimed, err
	}
	written, err := s.write(ctx, claimed, next)
	if failure.HasCode(err, CodeStaleEpoch) {
		return s.resolveConflict(ctx, claimed, func(found Chunk) bool { return found.HasSegment(segment.Epoch, segment.Sequence) }, err)
	}
	return written, err
}

// RecordIntents stores intents. It must succeed before the items are sent.
func (s *Store) RecordIntents(ctx context.Context, claimed ClaimedChunk, intents []Intent) (ClaimedChunk, error) {
	next, err := claimed.Chunk.RecordIntents(claimed.Chunk.Owner, claimed.Chunk.Epoch, intents)
	if err != nil {
		return claimed, err
	}
	written, err := s.write(ctx, claimed, next)
	if failure.HasCode(err, CodeStaleEpoch) {
		return s.resolveConflict(ctx, claimed, func(found Chunk) bool {
			recorded, exists := found.IntentFor(intents[0].Item)
			return exists && recorded.AttemptID == intents[0].AttemptID
		}, err)
	}
	return written, err
}

// resolveConflict reads the chunk back after a conflict. If the owner and epoch
// are unchanged and isApplied reports true, an earlier attempt was applied and
// the stored chunk is returned. Otherwise the conflict is returned.
func (s *Store) resolveConflict(ctx context.Context, claimed ClaimedChunk, isApplied func(Chunk) bool, conflict error) (ClaimedChunk, error) {
	row, err := s.platform.Get(ctx, claimed.Chunk.Key())
	if err != nil {
		return claimed, err
	}
	found := Chunk{}
	if err := decodeRow(row, &found); err != nil {
		return claimed, err
	}
	isOwner := found.Owner == claimed.Chunk.Owner && found.Epoch == claimed.Chunk.Epoch
	if isOwner && isApplied(found) {
		return ClaimedChunk{Chunk: found, Version: row.Version, JobVersion: claimed.JobVersion}, nil
	}
	return claimed, conflict
}

// Cancel cancels a running job. A job that has ended is returned unchanged.
func (s *Store) Cancel(ctx context.Context, id string, now time.Time) (Job, error) {
	return s.end(ctx, id, func(job *Job) {
		job.State = StateCancelled
		job.Ended = now.UnixMilli()
	})
}

// Complete marks a running job as done. All of its chunks must be done.
func (s *Store) Complete(ctx context.Context, id string, completed, failed int, now time.Time) (Job, error) {
	return s.end(ctx, id, func(job *Job) {
		job.State = StateDone
		job.Ended = now.UnixMilli()
		job.Completed = completed
		job.Failed = failed
	})
}

func (s *Store) end(ctx context.Context, id string, change func(*Job)) (Job, error) {
	job, version, err := s.Job(ctx, id)
	if err != nil || job.State != StateRunning {
		return job, err
	}
	change(&job)
	transaction := storage.Transaction{
		OperationID: ulid.Make().String(),
		Conditions:  []storage.Condition{{Key: stateKey(id), Version: version}},
		Writes:      []storage.Write{{Key: stateKey(id), Value: encode(job)}, {Key: openKey(id), Delete: true}},
	}
	_, err = s.platform.Transact(ctx, transaction)
	var conflict *storage.ConflictError
	if errors.As(err, &conflict) {
		current, _, readErr := s.Job(ctx, id)
		return current, readErr
	}
	return job, err
}

// ChunkInput reads the items of a chunk.
func (s *Store) ChunkInput(ctx context.Context, job Job, manifest Manifest, number int) ([]Item, error) {
	start, end := manifest.Offsets[number], manifest.Offsets[number+1]
	content, err := s.platform.GetRange(ctx, job.InputObject(), start, end-start)
	if err != nil {
		return nil, err
	}
	items, err := ParseChunk(content, job.Endpoint)
	if err != nil {
		return nil, err
	}
	if len(items) != job.ChunkItems(number) {
		return nil, failure.New(failure.KindInternal, "chunk_mismatch", "chunk %d of %s has %d items, not %d", number, job.ID, len(items), job.ChunkItems(number))
	}
	return items, nil
}

// Manifest reads a job's chunk offsets.
func (s *Store) Manifest(ctx context.Context, job Job) (Manifest, error) {
	manifest := Manifest{}
	content, err := s.platform.GetObject(ctx, job.ManifestObject())
	if err != nil {
		return manifest, err
	}
	if err := json.Unmarshal(content, &manifest); err != nil || len(manifest.Offsets) != job.Chunks+1 {
		return manifest, failure.New(failure.KindInternal, "bad_manifest", "the manifest of %s is damaged", job.ID)
	}
	return manifest, nil
}

// PutManifest stores a job's chunk offsets.
func (s *Store) PutManifest(ctx context.Context, job Job, manifest Manifest) error {
	return s.platform.Put(ctx, job.ManifestObject(), encode(manifest))
}

// EachResult calls visit for each committed result line of a job, in chunk order.
func (s *Store) EachResult(ctx context.Context, job string, visit func(line []byte) error) error {
	chunks, err := s.Chunks(ctx, job)
	if err != nil {
		return err
	}
	for _, chunk := range chunks {
		for _, segment := range chunk.Segments {
			if err := s.eachLine(ctx, segment, visit); err != nil {
				return err
			}
		}
	}
	return nil
}

func (s *Store) eachLine(ctx context.Context, segment Segment, visit func(line []byte) error) error {
	content, err := s.platform.GetObject(ctx, segment.Object)
	if err != nil {
		return err
	}
	for _, line := range bytes.Split(content, []byte("\n")) {
		if err := visit(line); err != nil {
			return err
		}
	}
	return nil
}

// encode marshals a value to JSON. It panics if the value cannot be marshalled.
func encode(value any) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(errors.Wrap(err, "encode a row"))
	}
	return encoded
}

func decodeRow(row storage.Row, target any) error {
	if err := json.Unmarshal(row.Value, target); err != nil {
		return failure.Wrap(err, failure.KindInternal, "bad_row", "row %s is damaged", row.Key)
	}
	return nil
}
