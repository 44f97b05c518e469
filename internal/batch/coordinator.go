package batch

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hamba/avro/v2"

	"topazpulley/internal/avrocodec"
	"topazpulley/internal/cluster"
	"topazpulley/internal/duty"
	"topazpulley/internal/failure"
	"topazpulley/internal/membership"
	"topazpulley/internal/peer"
	"topazpulley/internal/periodic"
)

// PrefixBacklog is the key prefix of the gossip items that announce waiting
// chunks.
const PrefixBacklog = "work/"

const (
	coordinateInterval     = 250 * time.Millisecond
	openJobsInterval       = 2 * time.Second
	backlogRefreshInterval = 5 * time.Second
	coordinatorTimeout     = 20 * time.Second
)

// WeightFunc returns a tenant's share of batch capacity.
type WeightFunc func(tenant string) int

// Coordinator coordinates the shards that this daemon owns: it loads open jobs,
// assigns chunks, reclaims the chunks of lost workers and completes jobs. mutex
// guards the fields below it.
type Coordinator struct {
	store     *Store
	node      *cluster.Node
	transport *peer.Transport
	weight    WeightFunc
	log       *slog.Logger

	mutex     sync.Mutex
	shards    map[int]*Shard
	announced map[int]announcement
	loadedAt  map[int]time.Time
	// completed contains the jobs whose completion has begun.
	completed map[string]bool
}

// announcement is the last backlog published for a shard.
type announcement struct {
	backlog     Backlog
	publishedAt time.Time
}

// NewCoordinator returns a coordinator and registers its peer methods.
func NewCoordinator(store *Store, node *cluster.Node, transport *peer.Transport, weight WeightFunc, log *slog.Logger) *Coordinator {
	coordinator := &Coordinator{
		store: store, node: node, transport: transport, weight: weight, log: log,
		shards: map[int]*Shard{}, announced: map[int]announcement{}, loadedAt: map[int]time.Time{}, completed: map[string]bool{},
	}
	peer.Handle(transport, MethodWork, coordinator.handleWork)
	peer.Handle(transport, MethodProgress, coordinator.handleProgress)
	peer.Handle(transport, MethodNotify, coordinator.handleNotice)
	return coordinator
}

// ShardDuty returns the rendezvous hashing key of a shard.
func ShardDuty(shard int) string { return "shard/" + strconv.Itoa(shard) }

// Run coordinates the owned shards until the context ends.
func (c *Coordinator) Run(ctx context.Context) {
	periodic.Run(ctx, coordinateInterval, func() { c.step(ctx) })
}

func (c *Coordinator) step(ctx context.Context) {
	names := c.node.AllNames()
	self := c.node.Self().Name
	for shard := range ShardCount {
		if duty.Owner(ShardDuty(shard), names) == self {
			c.stepShard(ctx, shard, names)
			continue
		}
		c.dropShard(shard)
	}
}

func (c *Coordinator) dropShard(shard int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.shards, shard)
	delete(c.announced, shard)
	delete(c.loadedAt, shard)
}

func (c *Coordinator) stepShard(ctx context.Context, shard int, names []string) {
	if c.isRefreshDue(shard) {
		go c.refresh(ctx, shard)
	}
	isLive := func(worker string) bool { return slices.Contains(names, worker) }
	c.mutex.Lock()
	state, loaded := c.shards[shard]
	if !loaded {
		c.mutex.Unlock()
		return
	}
	reclaimed := state.Reclaim(isLive, time.Now())
	finished := []string{}
	for _, job := range state.Finished() {
		if !c.completed[job] {
			c.completed[job] = true
			finished = append(finished, job)
		}
	}
	c.mutex.Unlock()
	if reclaimed > 0 {
		c.log.Info("chunks_reclaimed", "shard", shard, "chunks", reclaimed)
	}
	for _, job := range finished {
		go c.complete(ctx, shard, job)
	}
	c.announce(shard)
}

// isRefreshDue reports whether the shard's open jobs are due to be read. If so,
// it records the read as begun.
func (c *Coordinator) isRefreshDue(shard int) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if time.Since(c.loadedAt[shard]) < openJobsInterval {
		return false
	}
	c.loadedAt[shard] = time.Now()
	return true
}

// refresh reads the shard's open jobs, adds new ones and removes ended ones.
func (c *Coordinator) refresh(ctx context.Context, shard int) {
	bounded, cancel := context.WithTimeout(ctx, coordinatorTimeout)
	defer cancel()
	open, err := c.store.OpenJobs(bounded, shard)
	if err != nil {
		c.log.Warn("open_jobs_unreadable", "shard", shard, "error", err)
		return
	}
	c.mutex.Lock()
	state, loaded := c.shards[shard]
	if !loaded {
		state = NewShard()
		c.shards[shard] = state
	}
	known := state.JobIDs()
	c.mutex.Unlock()
	for _, job := range open {
		if !slices.Contains(known, job) {
			c.addJob(bounded, shard, job)
		}
	}
	c.removeEnded(bounded, shard, known, open)
}

func (c *Coordinator) removeEnded(ctx context.Context, shard int, known, open []string) {
	for _, job := range known {
		if slices.Contains(open, job) {
			continue
		}
		// The job may have been added after the scan began, so its state is
		// read before it is removed.
		current, _, err := c.store.Job(ctx, job)
		if err == nil && current.State != StateRunning {
			c.removeJob(shard, job)
		}
	}
}

func (c *Coordinator) removeJob(shard int, job string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if state, loaded := c.shards[shard]; loaded {
		state.RemoveJob(job)
	}
	delete(c.completed, job)
}

func (c *Coordinator) addJob(ctx context.Context, shard int, id string) {
	job, _, err := c.store.Job(ctx, id)
	if err != nil || job.State != StateRunning {
		return
	}
	chunks, err := c.store.Chunks(ctx, id)
	if err != nil {
		return
	}
	names := c.node.AllNames()
	isLive := func(worker string) bool { return slices.Contains(names, worker) }
	c.mutex.Lock()
	defer c.mutex.Unlock()
	state, loaded := c.shards[shard]
	if !loaded || state.HasJob(id) {
		return
	}
	state.AddJob(job, c.weight(job.Tenant), chunks, isLive, time.Now())
	c.log.Info("job_tracked", "job", id, "tenant", job.Tenant, "items", job.Items, "chunks", job.Chunks, "claimed", len(chunks))
}

// complete marks a job as done. It first reads the job's chunks to check that
// every item has a result.
func (c *Coordinator) complete(ctx context.Context, shard int, id string) {
	err := c.tryComplete(ctx, shard, id)
	if err != nil {
		c.log.Warn("job_completion_failed", "job", id, "error", err)
		c.mutex.Lock()
		delete(c.completed, id)
		c.mutex.Unlock()
	}
}

func (c *Coordinator) tryComplete(ctx context.Context, shard int, id string) error {
	bounded, cancel := context.WithTimeout(ctx, coordinatorTimeout)
	defer cancel()
	job, _, err := c.store.Job(bounded, id)
	if err != nil {
		return err
	}
	chunks, err := c.store.Chunks(bounded, id)
	if err != nil {
		return err
	}
	items, failed, err := countResults(job, chunks)
	if err != nil {
		return err
	}
	ended, err := c.store.Complete(bounded, id, items-failed, failed, time.Now())
	if err != nil {
		return err
	}
	c.removeJob(shard, id)
	c.log.Info("job_ended", "job", id, "state", ended.State, "completed", ended.Completed, "failed", ended.Failed)
	return nil
}

func countResults(job Job, chunks []Chunk) (items, failed int, err error) {
	for _, chunk := range chunks {
		if chunk.Done {
			items += chunk.CommittedItems()
			failed += chunk.FailedItems()
		}
	}
	if items != job.Items {
		return items, failed, failure.New(failure.KindInternal, "job_incomplete", "job %s has %d of %d results", job.ID, items, job.Items)
	}
	return items, failed, nil
}

// announce publishes the shard's backlog if it became empty or non-empty, or, for
// a non-empty backlog, if the last announcement is stale.
func (c *Coordinator) announce(shard int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	state, loaded := c.shards[shard]
	if !loaded {
		return
	}
	backlog := Backlog{}
	for service, chunks := range state.Backlog() {
		backlog.Services = append(backlog.Services, ServiceBacklog{Service: service, Chunks: chunks})
	}
	sort.Slice(backlog.Services, func(a, b int) bool { return backlog.Services[a].Service < backlog.Services[b].Service })
	last, known := c.announced[shard]
	isEmpty := len(backlog.Services) == 0
	wasEmpty := !known || len(last.backlog.Services) == 0
	isStale := time.Since(last.publishedAt) > backlogRefreshInterval
	if (isEmpty && wasEmpty) || (isEmpty == wasEmpty && !isStale) {
		return
	}
	payload, err := avro.Marshal(backlogSchema, backlog)
	if err != nil {
		return
	}
	c.announced[shard] = announcement{backlog: backlog, publishedAt: time.Now()}
	c.node.Publish(membership.Item{Key: PrefixBacklog + strconv.Itoa(shard), Priority: membership.PriorityLoad, Payload: payload})
}

// DecodeBacklog returns the shard and backlog of a gossip item.
func DecodeBacklog(item membership.Item) (int, Backlog, error) {
	backlog := Backlog{}
	shard, err := strconv.Atoi(strings.TrimPrefix(item.Key, PrefixBacklog))
	if err != nil {
		return 0, backlog, failure.Wrap(err, failure.KindInvalid, "bad_backlog", "the backlog key is malformed")
	}
	err = avrocodec.Unmarshal(backlogSchema, item.Payload, &backlog)
	return shard, backlog, err
}

func (c *Coordinator) requireShard(shard int) (*Shard, error) {
	state, loaded := c.shards[shard]
	if !loaded {
		return nil, failure.New(failure.KindUnavailable, "not_coordinator", "this daemon does not coordinate shard %d", shard).WithNotRun()
	}
	return state, nil
}

func (c *Coordinator) handleWork(_ context.Context, _ string, request WorkRequest) (WorkAnswer, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	answer := WorkAnswer{}
	state, err := c.requireShard(request.Shard)
	if err != nil {
		return answer, err
	}
	for _, assignment := range state.Assign(request.Worker, request.Service, request.Chunks, time.Now()) {
		answer.Assignments = append(answer.Assignments, AssignmentMessage{Job: assignment.Job, Chunk: assignment.Chunk})
	}
	return answer, nil
}

func (c *Coordinator) handleProgress(_ context.Context, _ string, report ProgressReport) (ProgressAnswer, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	answer := ProgressAnswer{}
	state, err := c.requireShard(report.Shard)
	if err != nil {
		return answer, err
	}
	for _, message := range report.Assignments {
		if !state.Report(report.Worker, message, time.Now()) && !slices.Contains(answer.Ended, message.Job) {
			answer.Ended = append(answer.Ended, message.Job)
		}
	}
	return answer, nil
}

func (c *Coordinator) handleNotice(ctx context.Context, _ string, notice JobNotice) (peer.Empty, error) {
	shard := ShardOf(notice.Job)
	c.mutex.Lock()
	state, loaded := c.shards[shard]
	isKnown := loaded && state.HasJob(notice.Job)
	c.mutex.Unlock()
	if !loaded {
		return peer.Empty{}, nil
	}
	job, _, err := c.store.Job(ctx, notice.Job)
	if err != nil {
		return peer.Empty{}, err
	}
	if job.State != StateRunning {
		c.removeJob(shard, notice.Job)
	} else if !isKnown {
		c.addJob(ctx, shard, notice.Job)
	}
	c.announce(shard)
	return peer.Empty{}, nil
}

// Notify notifies the coordinator of a job's shard that the job was created or
// cancelled. An error is only logged: the coordinator's next scan finds the
// change.
func (c *Coordinator) Notify(ctx context.Context, job string) {
	owner := duty.Owner(ShardDuty(ShardOf(job)), c.node.AllNames())
	member, known := c.node.Member(owner)
	if !known {
		return
	}
	if owner == c.node.Self().Name {
		_, _ = c.handleNotice(ctx, owner, JobNotice{Job: job})
		return
	}
	_, err := peer.Call[JobNotice, peer.Empty](ctx, c.transport, member.Address, MethodNotify, JobNotice{Job: job})
	if err != nil {
		c.log.Info("job_notice_failed", "job", job, "coordinator", owner, "error", err)
	}
}

// Describe returns the number of shards and open jobs, for status output.
func (c *Coordinator) Describe() string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	jobs := 0
	for _, shard := range c.shards {
		jobs += len(shard.jobs)
	}
	return fmt.Sprintf("%d shards, %d open jobs", len(c.shards), jobs)
}
