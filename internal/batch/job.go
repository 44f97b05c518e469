package batch

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"

	"topazpulley/internal/failure"
)

// ShardCount is the fixed number of job shards; each has one coordinator.
const ShardCount = 64

// ShardOf returns the shard of a job.
func ShardOf(job string) int { return int(xxhash.Sum64String(job) % ShardCount) }

// State is the state of a job.
type State string

// The states of a job. StateDone and StateCancelled are final.
const (
	StateRunning   State = "running"
	StateCancelled State = "cancelled"
	StateDone      State = "done"
)

// Job is the durable state of a job. Its row changes only on state transitions,
// so a chunk commit with an unchanged row version proves that the job is still
// running.
type Job struct {
	ID      string `json:"id"`
	Tenant  string `json:"tenant"`
	Key     string `json:"key"`
	Service string `json:"service"`
	// InputFile is the id of the JSONL file.
	InputFile string `json:"input_file"`
	Endpoint  string `json:"endpoint"`
	// Items and Chunks are numbers of items and chunks; ChunkSize is the number
	// of items in each chunk but the last.
	Items     int   `json:"items"`
	ChunkSize int   `json:"chunk_size"`
	Chunks    int   `json:"chunks"`
	State     State `json:"state"`
	// Created, Deadline and Ended are Unix times in milliseconds. Ended is 0
	// while the job runs.
	Created  int64 `json:"created"`
	Deadline int64 `json:"deadline"`
	Ended    int64 `json:"ended"`
	// Completed and Failed are the final counts of a job that is done.
	Completed int               `json:"completed"`
	Failed    int               `json:"failed"`
	Metadata  map[string]string `json:"metadata,omitempty"`
}

// Identity is the durable record of an idempotency key.
type Identity struct {
	Job    string `json:"job"`
	Digest string `json:"digest"`
}

// JobID derives the id of a job from its tenant and idempotency key, so that a
// repeated submission has the same id.
func JobID(tenant, key string) string {
	sum := sha256.Sum256([]byte(tenant + "\x00" + key))
	return "batch_" + hex.EncodeToString(sum[:12])
}

// ContentDigest returns the digest of a job's input file and endpoint.
func ContentDigest(inputFile, endpoint string) string {
	sum := sha256.Sum256([]byte(inputFile + "\x00" + endpoint))
	return hex.EncodeToString(sum[:])
}

// ChunkItems returns the number of items in a chunk.
func (j Job) ChunkItems(number int) int { return min(j.ChunkSize, j.Items-number*j.ChunkSize) }

// ManifestObject returns the object name of the job's manifest. The name includes
// the content digest because a rejected job with the same key may have stored
// another manifest.
func (j Job) ManifestObject() string {
	return "manifests/" + j.ID + "/" + ContentDigest(j.InputFile, j.Endpoint)
}

// InputObject returns the object name of the job's input file.
func (j Job) InputObject() string { return FileObject(j.Tenant, j.InputFile) }

// FileObject returns the object name of a tenant's uploaded file.
func FileObject(tenant, id string) string { return "files/" + tenant + "/" + id }

// Manifest contains the byte offsets of the chunks in the input file.
type Manifest struct {
	// Offsets has the start of each chunk and, last, the end of the last chunk.
	Offsets []int64 `json:"offsets"`
}

const (
	minChunkSize = 16
	maxChunkSize = 256
	// targetChunks is the number of chunks that a job is split into if the
	// chunk size limits allow it.
	targetChunks = 8
)

// ChunkSizeFor returns the chunk size of a job, in items. Small jobs are split so
// that several engines can run them; large jobs use large chunks to limit the
// number of table rows.
func ChunkSizeFor(items int) int {
	return min(max((items+targetChunks-1)/targetChunks, minChunkSize), maxChunkSize)
}

// ResultLine is one line of an output or error file.
type ResultLine struct {
	ID       string          `json:"id"`
	CustomID string          `json:"custom_id"`
	Response *ResultResponse `json:"response"`
	Error    *ResultError    `json:"error"`
}

// ResultResponse is the response to a completed item.
type ResultResponse struct {
	StatusCode int             `json:"status_code"`
	RequestID  string          `json:"request_id"`
	Body       json.RawMessage `json:"body"`
}

// ResultError is the failure of an item.
type ResultError struct {
	Type    failure.Kind `json:"type"`
	Code    string       `json:"code"`
	Message string       `json:"message"`
}

// DeadlineAfter converts a completion window to a deadline in milliseconds.
func DeadlineAfter(now time.Time, window time.Duration) int64 { return now.Add(window).UnixMilli() }
