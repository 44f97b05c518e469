package gateway

import (
	"context"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"

	"topazpulley/internal/batch"
	"topazpulley/internal/failure"
)

// batchRequest is the body of a request to create a batch job.
type batchRequest struct {
	InputFileID      string            `json:"input_file_id"`
	Endpoint         string            `json:"endpoint"`
	CompletionWindow string            `json:"completion_window"`
	Metadata         map[string]string `json:"metadata"`
}

// batchObject is the OpenAI description of a job.
type batchObject struct {
	ID               string            `json:"id"`
	Object           string            `json:"object"`
	Endpoint         string            `json:"endpoint"`
	InputFileID      string            `json:"input_file_id"`
	CompletionWindow string            `json:"completion_window"`
	Status           string            `json:"status"`
	OutputFileID     string            `json:"output_file_id"`
	ErrorFileID      string            `json:"error_file_id"`
	CreatedAt        int64             `json:"created_at"`
	CompletedAt      int64             `json:"completed_at,omitempty"`
	RequestCounts    batchCounts       `json:"request_counts"`
	Metadata         map[string]string `json:"metadata,omitempty"`
}

type batchCounts struct {
	Total     int `json:"total"`
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
}

const (
	defaultWindow     = 24 * time.Hour
	maxWindow         = 14 * 24 * time.Hour
	notifyTimeout     = time.Second
	millisPerSecond   = 1000
	maxMetadata       = 16
	createJobTimeout  = 3 * time.Second
	readInputTimeout  = 20 * time.Second
	statusReadTimeout = 5 * time.Second
)

// statusNames maps job states to OpenAI's status names.
var statusNames = map[batch.State]string{
	batch.StateRunning:   "in_progress",
	batch.StateCancelled: "cancelled",
	batch.StateDone:      "completed",
}

func (c *caller) batches(rest string) {
	id, action, _ := strings.Cut(rest, "/")
	switch {
	case rest == "" && c.call.IsPost():
		c.createBatch()
	case action == "cancel" && c.call.IsPost():
		c.cancelBatch(id)
	case id != "" && action == "" && c.call.IsGet():
		c.readBatch(id)
	default:
		c.gateway.writeFailure(c.call, failure.New(failure.KindNotFound, "no_path", "jobs are created by POST /v1/batches, read by GET /v1/batches/{id} and cancelled by POST /v1/batches/{id}/cancel").WithNotRun())
	}
}

func (c *caller) createBatch() {
	job, digest, manifest, err := c.prepareJob()
	if err != nil {
		c.gateway.writeFailure(c.call, failure.From(err).WithNotRun())
		return
	}
	ctx, cancel := context.WithTimeout(c.gateway.lifetime, createJobTimeout)
	defer cancel()
	if err := c.gateway.Store.PutManifest(ctx, job, manifest); err != nil {
		c.gateway.writeFailure(c.call, platformDown(err))
		return
	}
	accepted, err := c.gateway.Store.Create(ctx, job, digest)
	if failure.Is(err, failure.KindUnavailable) {
		c.gateway.writeFailure(c.call, c.gateway.unconfirmedJob(err))
		return
	}
	if err != nil {
		c.gateway.writeFailure(c.call, err)
		return
	}
	c.gateway.Logger.Info("job_accepted", "job", accepted.ID, "tenant", accepted.Tenant, "items", accepted.Items, "chunks", accepted.Chunks)
	go c.gateway.notifyJob(accepted.ID)
	c.answerJob(accepted, nil)
}

// unconfirmedJob returns the error for a job whose commit was not confirmed. The job
// may exist; sending it again with the same key is safe.
func (g *Gateway) unconfirmedJob(err error) error {
	return failure.Wrap(err, failure.KindUnavailable, "job_not_confirmed", "the platform did not confirm the job: send it again with the same Idempotency-Key").WithRetryAfter(noEngineRetry)
}

func (g *Gateway) notifyJob(id string) {
	ctx, cancel := context.WithTimeout(g.lifetime, notifyTimeout)
	defer cancel()
	g.Coordinator.Notify(ctx, id)
}

// prepareJob checks the request and its input file. It returns the job, the digest of
// its content and its manifest.
func (c *caller) prepareJob() (batch.Job, string, batch.Manifest, error) {
	body := batchRequest{}
	if err := decodeBody(c.call, &body); err != nil {
		return batch.Job{}, "", batch.Manifest{}, err
	}
	window, err := completionWindow(body)
	if err != nil {
		return batch.Job{}, "", batch.Manifest{}, err
	}
	key, err := idempotencyKey(c.call)
	if err != nil {
		return batch.Job{}, "", batch.Manifest{}, err
	}
	if key == "" {
		key = ulid.Make().String()
	}
	if !c.gateway.Platform.Available() {
		return batch.Job{}, "", batch.Manifest{}, platformDown(nil)
	}
	input, err := c.readInput(body)
	if err != nil {
		return batch.Job{}, "", batch.Manifest{}, err
	}
	service, err := c.serviceOf(input)
	if err != nil {
		return batch.Job{}, "", batch.Manifest{}, err
	}
	now := time.Now()
	size := batch.ChunkSizeFor(input.Items)
	job := batch.Job{
		ID: batch.JobID(c.tenant, key), Tenant: c.tenant, Key: key, Service: service, InputFile: body.InputFileID,
		Endpoint: body.Endpoint, Items: input.Items, ChunkSize: size, Chunks: (input.Items + size - 1) / size,
		State: batch.StateRunning, Created: now.UnixMilli(), Deadline: batch.DeadlineAfter(now, window), Metadata: body.Metadata,
	}
	return job, batch.ContentDigest(body.InputFileID, body.Endpoint), batch.ManifestFor(input, size), nil
}

func completionWindow(body batchRequest) (time.Duration, error) {
	if len(body.Metadata) > maxMetadata {
		return 0, failure.New(failure.KindInvalid, "too_much_metadata", "metadata has at most %d entries", maxMetadata)
	}
	if body.CompletionWindow == "" {
		return defaultWindow, nil
	}
	window, err := time.ParseDuration(body.CompletionWindow)
	if err != nil || window <= 0 || window > maxWindow {
		return 0, failure.New(failure.KindInvalid, "bad_completion_window", "completion_window must be a duration up to %s, such as \"24h\"", maxWindow)
	}
	return window, nil
}

func (c *caller) readInput(body batchRequest) (batch.Input, error) {
	ctx, cancel := context.WithTimeout(c.gateway.lifetime, readInputTimeout)
	defer cancel()
	content, err := c.readUpload(ctx, body.InputFileID)
	if failure.Is(err, failure.KindNotFound) {
		return batch.Input{}, failure.New(failure.KindNotFound, "no_file", "file %q does not exist: upload it first", body.InputFileID)
	}
	if err != nil {
		return batch.Input{}, platformDown(err)
	}
	return batch.ParseInput(content, body.Endpoint)
}

// serviceOf returns the service that serves all models of an input. It fails if
// they belong to several services.
func (c *caller) serviceOf(input batch.Input) (string, error) {
	service := ""
	for _, model := range input.Models {
		serving, known := c.active.ServiceForModel(model)
		if !known {
			return "", failure.New(failure.KindNotFound, "unknown_model", "model %q is not served: see /v1/models", model)
		}
		if service != "" && serving != service {
			return "", failure.New(failure.KindInvalid, "mixed_services", "models %q belong to several services: split the file", strings.Join(input.Models, ", "))
		}
		service = serving
	}
	return service, nil
}

func (c *caller) cancelBatch(id string) {
	if _, err := c.ownJob(id); err != nil {
		c.gateway.writeFailure(c.call, err)
		return
	}
	ctx, cancel := context.WithTimeout(c.gateway.lifetime, createJobTimeout)
	defer cancel()
	job, err := c.gateway.Store.Cancel(ctx, id, time.Now())
	if err != nil {
		c.gateway.writeFailure(c.call, err)
		return
	}
	c.gateway.Logger.Info("job_cancelled", "job", id, "state", job.State)
	go c.gateway.notifyJob(id)
	c.answerJob(job, nil)
}

func (c *caller) readBatch(id string) {
	job, err := c.ownJob(id)
	if err != nil {
		c.gateway.writeFailure(c.call, err)
		return
	}
	ctx, cancel := context.WithTimeout(c.gateway.lifetime, statusReadTimeout)
	defer cancel()
	var chunks []batch.Chunk
	if job.State != batch.StateDone {
		if chunks, err = c.gateway.Store.Chunks(ctx, id); err != nil {
			c.gateway.writeFailure(c.call, err)
			return
		}
	}
	c.answerJob(job, chunks)
}

// answerJob answers with the description of a job. The chunks supply the request
// counts of a job that is not done.
func (c *caller) answerJob(job batch.Job, chunks []batch.Chunk) {
	counts := batchCounts{Total: job.Items, Completed: job.Completed, Failed: job.Failed}
	for _, chunk := range chunks {
		counts.Failed += chunk.FailedItems()
		counts.Completed += chunk.CommittedItems() - chunk.FailedItems()
	}
	window := time.Duration(job.Deadline-job.Created) * time.Millisecond
	writeJSON(c.call, batchObject{
		ID: job.ID, Object: "batch", Endpoint: job.Endpoint, InputFileID: job.InputFile, CompletionWindow: window.String(),
		Status: statusNames[job.State], OutputFileID: outputFilePrefix + job.ID, ErrorFileID: errorFilePrefix + job.ID,
		CreatedAt: job.Created / millisPerSecond, CompletedAt: job.Ended / millisPerSecond, RequestCounts: counts, Metadata: job.Metadata,
	})
}
