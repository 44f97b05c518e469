package batch

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"topazpulley/internal/cluster"
	"topazpulley/internal/duty"
	"topazpulley/internal/engine"
	"topazpulley/internal/failure"
	"topazpulley/internal/membership"
	"topazpulley/internal/peer"
	"topazpulley/internal/periodic"
	"topazpulley/internal/storage"
)

const (
	segmentItems          = 64
	segmentMaxAge         = 700 * time.Millisecond
	commitPollInterval    = 100 * time.Millisecond
	fetchInterval         = 100 * time.Millisecond
	reportInterval        = time.Second
	peerCallTimeout       = 2 * time.Second
	claimTimeout          = 10 * time.Second
	commitTimeout         = 30 * time.Second
	maxActiveChunks       = 64
	maxUncommittedResults = 20000
	maxChunksPerCall      = 4
	commitRetryPause      = 500 * time.Millisecond
	stallTimeout          = 5 * time.Second
)

// jobInfo is a worker's cached state of a job.
type jobInfo struct {
	job      Job
	version  storage.Version
	manifest Manifest
}

// Worker claims chunks for this daemon's engines, provides their items to the
// supervisors and commits the results. mutex guards the fields below it.
type Worker struct {
	store     *Store
	node      *cluster.Node
	transport *peer.Transport
	log       *slog.Logger

	mutex  sync.Mutex
	active []*activeChunk
	// demand is the number of items that the engines can run at once, by
	// service.
	demand map[string]int
	// backlog is the announced backlog by shard.
	backlog  map[int]shardBacklog
	jobs     map[string]jobInfo
	stopping bool
	// claiming is the number of claims under way.
	claiming int
}

// shardBacklog is a shard's announced backlog and when it was received.
type shardBacklog struct {
	backlog    Backlog
	receivedAt time.Time
}

// backlogLifetime is the time after which an announced backlog is ignored.
const backlogLifetime = 3 * backlogRefreshInterval

// NewWorker returns a worker without chunks.
func NewWorker(store *Store, node *cluster.Node, transport *peer.Transport, log *slog.Logger) *Worker {
	return &Worker{
		store: store, node: node, transport: transport, log: log,
		demand: map[string]int{}, backlog: map[int]shardBacklog{}, jobs: map[string]jobInfo{},
	}
}

// Receive is the membership subscriber that records the announced backlogs.
func (w *Worker) Receive(event membership.Event) {
	if event.Kind != membership.EventItem || len(event.Item.Key) < len(PrefixBacklog) || event.Item.Key[:len(PrefixBacklog)] != PrefixBacklog {
		return
	}
	shard, backlog, err := DecodeBacklog(event.Item)
	if err != nil {
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.backlog[shard] = shardBacklog{backlog: backlog, receivedAt: time.Now()}
}

// SetDemand sets the number of items of a service that the daemon's engines can
// run at once.
func (w *Worker) SetDemand(service string, items int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.demand[service] = items
}

// Run fetches work and reports progress until the context ends.
func (w *Worker) Run(ctx context.Context) {
	go periodic.Run(ctx, reportInterval, func() { w.reportAll(ctx) })
	periodic.Run(ctx, fetchInterval, func() { w.fetchAll(ctx) })
}

// Take returns a waiting task of a service.
func (w *Worker) Take(service string) (*Task, bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.stopping {
		return nil, false
	}
	for _, chunk := range w.active {
		if chunk.job.Service != service {
			continue
		}
		if task, found := chunk.takeTask(); found {
			return task, true
		}
	}
	return nil, false
}

func (c *activeChunk) takeTask() (*Task, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.waiting) == 0 {
		return nil, false
	}
	task := c.waiting[0]
	c.waiting = c.waiting[1:]
	c.takenAt = time.Now()
	return task, true
}

// GiveBack returns a task that did not finish to the front of its chunk's waiting
// tasks.
func (w *Worker) GiveBack(task *Task) {
	task.chunk.mutex.Lock()
	defer task.chunk.mutex.Unlock()
	if !task.chunk.dropped {
		task.chunk.waiting = slices.Insert(task.chunk.waiting, 0, task)
	}
}

// Finish records a completed task.
func (w *Worker) Finish(task *Task, end engine.Event) {
	task.chunk.addResult(result{index: task.Index, line: successLine(task, task.Tokens, end)})
}

// Fail records a task that failed permanently.
func (w *Worker) Fail(task *Task, err error) {
	task.chunk.addResult(result{index: task.Index, line: failureLine(task, err), failed: true})
}

func (w *Worker) dropChunk(chunk *activeChunk, reason error) {
	w.log.Info("chunk_lost", "job", chunk.job.ID, "chunk", chunk.number, "reason", reason)
	chunk.drop()
}

// fetchAll requests chunks of every service with unmet demand.
func (w *Worker) fetchAll(ctx context.Context) {
	for service, wanted := range w.missingChunks() {
		shard, found := w.chooseShard(service)
		if !found {
			continue
		}
		w.fetch(ctx, shard, service, wanted)
	}
}

// missingChunks returns the number of chunks to request, by service.
func (w *Worker) missingChunks() map[string]int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	missing := map[string]int{}
	isFull := len(w.active)+w.claiming >= maxActiveChunks || w.uncommittedResults() > maxUncommittedResults
	if w.stopping || isFull {
		return missing
	}
	for service, demand := range w.demand {
		if waiting := w.waitingItems(service); demand > 0 && waiting < demand {
			missing[service] = min(max(demand/minChunkSize, 1), maxChunksPerCall)
		}
	}
	return missing
}

// uncommittedResults returns the number of uncommitted results. The caller holds
// mutex.
func (w *Worker) uncommittedResults() int {
	count := 0
	for _, chunk := range w.active {
		chunk.mutex.Lock()
		count += len(chunk.results)
		chunk.mutex.Unlock()
	}
	return count
}

// waitingItems returns the number of waiting tasks of a service. The caller holds
// mutex.
func (w *Worker) waitingItems(service string) int {
	count := 0
	for _, chunk := range w.active {
		if chunk.job.Service != service {
			continue
		}
		chunk.mutex.Lock()
		count += len(chunk.waiting)
		chunk.mutex.Unlock()
	}
	return count
}

// chooseShard selects a random shard, weighted by its backlog of the service.
func (w *Worker) chooseShard(service string) (int, bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	total := 0
	chosen, found := 0, false
	for shard, received := range w.backlog {
		if time.Since(received.receivedAt) > backlogLifetime {
			delete(w.backlog, shard)
			continue
		}
		chunks := received.backlog.chunksOf(service)
		total += chunks
		if chunks > 0 && rand.IntN(total) < chunks {
			chosen, found = shard, true
		}
	}
	return chosen, found
}

func (b Backlog) chunksOf(service string) int {
	for _, entry := range b.Services {
		if entry.Service == service {
			return entry.Chunks
		}
	}
	return 0
}

func (w *Worker) fetch(ctx context.Context, shard int, service string, chunks int) {
	bounded, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	self := w.node.Self().Name
	owner, known := w.node.Member(duty.Owner(ShardDuty(shard), w.node.AllNames()))
	if !known {
		return
	}
	request := WorkRequest{Worker: self, Shard: shard, Service: service, Chunks: chunks}
	answer, err := peer.Call[WorkRequest, WorkAnswer](bounded, w.transport, owner.Address, MethodWork, request)
	if err != nil {
		w.log.Debug("work_request_failed", "shard", shard, "coordinator", owner.Name, "error", err)
		return
	}
	if len(answer.Assignments) == 0 {
		w.removeBacklog(shard, service)
	}
	for _, assignment := range answer.Assignments {
		w.countClaim(1)
		go w.claim(ctx, Assignment{Job: assignment.Job, Chunk: assignment.Chunk})
	}
}

// removeBacklog removes a service from a shard's announced backlog after the
// coordinator had no chunk of it.
func (w *Worker) removeBacklog(shard int, service string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	received := w.backlog[shard]
	received.backlog.Services = slices.DeleteFunc(slices.Clone(received.backlog.Services), func(entry ServiceBacklog) bool { return entry.Service == service })
	w.backlog[shard] = received
}

func (w *Worker) countClaim(change int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.claiming += change
}

func (w *Worker) claim(ctx context.Context, assignment Assignment) {
	defer w.countClaim(-1)
	bounded, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	chunk, err := w.tryClaim(bounded, ctx, assignment)
	if err != nil {
		w.log.Info("chunk_claim_failed", "job", assignment.Job, "chunk", assignment.Chunk, "error", err)
		w.removeJob(assignment.Job)
		w.report(ctx, ShardOf(assignment.Job), []AssignmentMessage{{Job: assignment.Job, Chunk: assignment.Chunk, Released: true}})
		return
	}
	w.begin(ctx, chunk)
}

// begin begins work on a claimed chunk. A worker that stops releases it with its next report.
func (w *Worker) begin(ctx context.Context, chunk *activeChunk) {
	w.mutex.Lock()
	w.active = append(w.active, chunk)
	isStopping := w.stopping
	w.mutex.Unlock()
	switch {
	case isStopping:
		w.release(ctx, chunk)
	case !chunk.done:
		go w.commitLoop(ctx, chunk)
	}
}

func (w *Worker) tryClaim(bounded, lifetime context.Context, assignment Assignment) (*activeChunk, error) {
	info, err := w.jobInfo(bounded, assignment.Job)
	if err != nil {
		return nil, err
	}
	items, err := w.store.ChunkInput(bounded, info.job, info.manifest, assignment.Chunk)
	if err != nil {
		return nil, err
	}
	claimed, err := w.store.Claim(bounded, info.job, info.version, assignment.Chunk, w.node.Self().Name)
	if err != nil {
		return nil, err
	}
	return newActiveChunk(lifetime, info.job, claimed, items), nil
}

func newActiveChunk(ctx context.Context, job Job, claimed ClaimedChunk, items []Item) *activeChunk {
	chunk := &activeChunk{job: job, number: claimed.Chunk.Number, state: claimed, wake: make(chan struct{}, 1), takenAt: time.Now(), done: claimed.Chunk.Done}
	chunk.context, chunk.cancel = context.WithCancel(ctx)
	for _, index := range claimed.Chunk.Remaining() {
		task := &Task{chunk: chunk, Index: index, Item: items[index]}
		if intent, exists := claimed.Chunk.IntentFor(index); exists {
			task.Earlier = &intent
		}
		chunk.waiting = append(chunk.waiting, task)
	}
	chunk.unfinished = len(chunk.waiting)
	return chunk
}

func (w *Worker) jobInfo(ctx context.Context, id string) (jobInfo, error) {
	w.mutex.Lock()
	info, known := w.jobs[id]
	w.mutex.Unlock()
	if known {
		return info, nil
	}
	job, version, err := w.store.Job(ctx, id)
	if err != nil {
		return info, err
	}
	if job.State != StateRunning {
		return info, failure.New(failure.KindConflict, CodeJobEnded, "job %s is no longer running", id)
	}
	manifest, err := w.store.Manifest(ctx, job)
	if err != nil {
		return info, err
	}
	info = jobInfo{job: job, version: version, manifest: manifest}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.jobs[id] = info
	return info, nil
}

func (w *Worker) removeJob(id string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	delete(w.jobs, id)
}

// Stop stops taking work, commits finished results and releases the chunks that
// are not done, so that other workers can claim them immediately.
func (w *Worker) Stop(ctx context.Context) {
	w.mutex.Lock()
	w.stopping = true
	active := slices.Clone(w.active)
	w.mutex.Unlock()
	for _, chunk := range active {
		w.release(ctx, chunk)
	}
	w.reportAll(ctx)
}

// Held returns the number of active chunks.
func (w *Worker) Held() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return len(w.active)
}
