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

// Store makes jobs and chunks durable in the platform's table and objects.
type Store struct {
	platform *storage.Client
}

// NewStore returns a store over the daemon's platform client.
func NewStore(client *storage.Client) *Store { return &Store{platform: client} }

// HeldChunk is a chunk together with the versions on which its next write
// depends.
type HeldChunk struct {
	Chunk Chunk
	// Version is the version of the chunk's row.
	Version storage.Version
	// JobVersion is the version of the job's state row while it ran.
	JobVersion storage.Version
}

// Create makes the job durable. If the tenant's key already names a job with
// the same content, that job is returned; with other content it is a conflict.
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
		return s.existing(ctx, job, digest, conflict)
	}
	return job, err
}

func (s *Store) existing(ctx context.Context, job Job, digest string, conflict *storage.ConflictError) (Job, error) {
	row, found := conflict.Row(jobKey(job.Tenant, job.Key))
	identity := Identity{}
	if !found || json.Unmarshal(row.Value, &identity) != nil || identity.Digest != digest {
		return job, failure.New(failure.KindConflict, "key_reused", "Idempotency-Key %q was used with other content: choose a new key", job.Key).WithNotRun()
	}
	present, _, err := s.Job(ctx, identity.Job)
	return present, err
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

// Chunks reads the chunks of a job that were ever claimed, by number.
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

// Claim takes a chunk over under the next epoch. It fails when the job does not
// run any more or another claim came first.
func (s *Store) Claim(ctx context.Context, job Job, jobVersion storage.Version, number int, owner string) (HeldChunk, error) {
	row, err := s.platform.Get(ctx, chunkKey(job.ID, number))
	if err != nil {
		return HeldChunk{}, err
	}
	chunk := Chunk{Job: job.ID, Number: number, Items: job.ChunkItems(number)}
	if row.Version != 0 {
		if err := decodeRow(row, &chunk); err != nil {
			return HeldChunk{}, err
		}
	}
	held := HeldChunk{Chunk: chunk, Version: row.Version, JobVersion: jobVersion}
	if chunk.Done {
		return held, nil
	}
	return s.write(ctx, held, chunk.Claim(owner))
}

// write replaces the chunk row on condition that neither it nor the job's
// state row has changed. This one condition carries the epoch check and the
// rule that nothing is committed after a cancel.
func (s *Store) write(ctx context.Context, held HeldChunk, next Chunk) (HeldChunk, error) {
	transaction := storage.Transaction{
		OperationID: ulid.Make().String(),
		Conditions: []storage.Condition{
			{Key: next.Key(), Version: held.Version},
			{Key: stateKey(next.Job), Version: held.JobVersion},
		},
		Writes: []storage.Write{{Key: next.Key(), Value: encode(next)}},
	}
	version, err := s.platform.Transact(ctx, transaction)
	if err == nil {
		return HeldChunk{Chunk: next, Version: version, JobVersion: held.JobVersion}, nil
	}
	return held, explainConflict(err, next)
}

// CodeJobEnded tells that the job was cancelled or completed.
const CodeJobEnded = "job_ended"

func explainConflict(err error, chunk Chunk) error {
	var conflict *storage.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	if _, ended := conflict.Row(stateKey(chunk.Job)); ended {
		return failure.New(failure.KindConflict, CodeJobEnded, "job %s does not run any more", chunk.Job)
	}
	return failure.New(failure.KindConflict, CodeStaleEpoch, "%s was claimed by another owner", chunk.Key())
}

// Commit stores a segment's results and makes them visible. After a lost
// answer it reads the row back: a segment that is there was committed.
func (s *Store) Commit(ctx context.Context, held HeldChunk, segment Segment, lines [][]byte) (HeldChunk, error) {
	segment.Epoch = held.Chunk.Epoch
	segment.Object = segmentObject(held.Chunk.Job, held.Chunk.Number, segment.Epoch, segment.Sequence)
	next, err := held.Chunk.Commit(held.Chunk.Owner, segment)
	if err != nil {
		return held, err
	}
	if err := s.platform.Put(ctx, segment.Object, bytes.Join(lines, []byte("\n"))); err != nil {
		return held, err
	}
	written, err := s.write(ctx, held, next)
	if failure.HasCode(err, CodeStaleEpoch) {
		return s.settle(ctx, held, func(found Chunk) bool { return found.HasSegment(segment.Epoch, segment.Sequence) }, err)
	}
	return written, err
}

// RecordIntents makes intents durable before the items are dispatched.
func (s *Store) RecordIntents(ctx context.Context, held HeldChunk, intents []Intent) (HeldChunk, error) {
	next, err := held.Chunk.RecordIntents(held.Chunk.Owner, held.Chunk.Epoch, intents)
	if err != nil {
		return held, err
	}
	written, err := s.write(ctx, held, next)
	if failure.HasCode(err, CodeStaleEpoch) {
		return s.settle(ctx, held, func(found Chunk) bool {
			recorded, exists := found.IntentFor(intents[0].Item)
			return exists && recorded.AttemptID == intents[0].AttemptID
		}, err)
	}
	return written, err
}

// settle reads the chunk back after a conflict. If this owner still holds its
// epoch and the change is there, an earlier try took effect.
func (s *Store) settle(ctx context.Context, held HeldChunk, isThere func(Chunk) bool, conflict error) (HeldChunk, error) {
	row, err := s.platform.Get(ctx, held.Chunk.Key())
	if err != nil {
		return held, err
	}
	found := Chunk{}
	if err := decodeRow(row, &found); err != nil {
		return held, err
	}
	isOwner := found.Owner == held.Chunk.Owner && found.Epoch == held.Chunk.Epoch
	if isOwner && isThere(found) {
		return HeldChunk{Chunk: found, Version: row.Version, JobVersion: held.JobVersion}, nil
	}
	return held, conflict
}

// Cancel ends a running job. Cancelling an ended job returns it as it is.
func (s *Store) Cancel(ctx context.Context, id string, now time.Time) (Job, error) {
	return s.end(ctx, id, func(job *Job) {
		job.State = StateCancelled
		job.Ended = now.UnixMilli()
	})
}

// Complete ends a job all of whose chunks are done.
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
		present, _, readErr := s.Job(ctx, id)
		return present, readErr
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

// EachResult visits the committed result lines of a job in chunk order.
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

// encode marshals values that always can be.
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
