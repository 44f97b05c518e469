package job

import (
	"context"
	"sync"
	"time"

	"topazpulley/internal/quarantine"
	"topazpulley/internal/serving"
	"topazpulley/internal/table"
	"topazpulley/internal/telemetry"
)

// itemState is the state of an item at its owner.
type itemState uint8

const (
	itemWaiting itemState = iota
	itemRunning
	itemFinished
)

// ownedItem is one item of an owned job. ownedJob.mutex guards all fields except
// progress, which has its own lock.
type ownedItem struct {
	item  Item
	owner *ownedJob
	// fingerprint identifies the item's content independently of its id.
	fingerprint quarantine.Fingerprint
	// parts identify the parts of the item's prompt at partsService.
	parts        quarantine.Parts
	partsService string
	state        itemState
	// notBefore is the earliest time at which a waiting item may be sent.
	notBefore time.Time
	// backend and startedAt describe the current run.
	backend   string
	startedAt time.Time
	// ranFor is the total run time of earlier attempts that its events are from.
	ranFor time.Duration
	// waitingSince is when an item that has events began to wait for a backend with its software
	// version; zero if it does not.
	waitingSince time.Time
	// sends counts the attempts that this owner permitted to be sent.
	sends  int
	cancel context.CancelFunc
	// uselessAnswers counts answers in a row that say nothing of the item, as far as its pause depends on
	// them. It is changed by the attempt that runs.
	uselessAnswers int
	// broken paces the item after attempts under which a backend ended.
	broken brokenAttempts
	// isPreempted reports that the current run was cancelled by preempt and has not ended
	// yet.
	isPreempted bool
	progress    progress
	// malformed is the reason why the item can never be sent, or nil. Older versions
	// accepted jobs without checking their items.
	malformed error
	// hadRoute is set once a configuration of this daemon had a route for the item.
	hadRoute bool
	// heldSince is when the item began to wait because a part of its prompt is quarantined;
	// zero if it does not.
	heldSince time.Time
}

// partsAt returns the fingerprints of the item's prompt parts at a service.
func (i *ownedItem) partsAt(service string) quarantine.Parts {
	i.owner.mutex.Lock()
	defer i.owner.mutex.Unlock()
	if i.parts == nil || i.partsService != service {
		i.parts, i.partsService = serving.PartsOf(service, i.item.Prompt), service
	}
	return i.parts
}

// preempt cancels a running item so that it is queued again.
func (i *ownedItem) preempt() {
	i.owner.mutex.Lock()
	i.isPreempted = true
	i.owner.mutex.Unlock()
	i.cancel()
}

// ownedJob is a job that this daemon runs. mutex guards the fields after it.
type ownedJob struct {
	service *Service
	job     Job
	due     time.Time
	giveUp  time.Time
	// startedAt is when this daemon began to run the job, which was accepted before.
	startedAt time.Time
	// contentObject is the object that holds the job's content; empty if it is in rows.
	contentObject string
	ctx           context.Context
	cancel        context.CancelFunc

	mutex sync.Mutex
	claim versionedClaim
	items []*ownedItem
	// committed is the number of stored results.
	committed int
	// finished are the results that are not committed yet.
	finished []*finishedResult
	// committing reports that commitFinished is running.
	committing bool
	// commitLimit is the maximum size of the rows in the next commit in bytes, and
	// commitCount the maximum number of its results.
	commitLimit int
	commitCount int
	dropped     bool
	// isReleasing is set once the job is being handed over, so that no item is started any more.
	isReleasing bool
	// committedSignal is closed and replaced at each commit.
	committedSignal chan struct{}
	// settled is the settlement that the job's quota account last received.
	settled settlement
}

// giveUpMargin is added to a job's give-up time to allow for clock differences between
// daemons.
const giveUpMargin = 4 * time.Second

// history is the stored state of a job that earlier owners left.
type history struct {
	// listed are the stored results, in the order of their positions.
	listed []Result
	// checkpoints are the saved progress of items without a result, by item id.
	checkpoints map[string]checkpoint
	// settled is the settlement that the job's quota account last received. The zero
	// value means unknown.
	settled settlement
	// contentObject is the object that holds the job's content; empty if it is in rows.
	contentObject string
}

// startJob starts running a job under a claim, unless the service stops, already runs
// the job, or the claim is known to be replaced or removed. A daemon that stops gives the claim back.
func (s *Service) startJob(accepted Job, held versionedClaim, earlier history) {
	ctx, cancel := context.WithCancel(s.lifetime)
	started := &ownedJob{
		service: s, job: accepted, startedAt: time.Now(), due: accepted.SubmittedAt.Add(accepted.Due), ctx: ctx, cancel: cancel,
		claim: held, committed: len(earlier.listed), committedSignal: make(chan struct{}), commitLimit: maxCommitBytes, commitCount: maxCommitResults,
		settled: earlier.settled, contentObject: earlier.contentObject,
	}
	if started.settled.at.IsZero() {
		started.settled.at = time.Now()
	}
	if accepted.GiveUpAfter > 0 {
		started.giveUp = accepted.SubmittedAt.Add(accepted.GiveUpAfter + giveUpMargin)
	}
	done := map[string]bool{}
	for _, result := range earlier.listed {
		done[result.Item] = true
	}
	for _, item := range accepted.Items {
		state := itemWaiting
		if done[item.ID] {
			state = itemFinished
		}
		added := &ownedItem{item: item, owner: started, state: state, malformed: item.Check()}
		added.fingerprint = quarantine.FingerprintOf(itemMethod, item.Path, accepted.Tenant, item.Body)
		added.progress.restore(earlier.checkpoints[item.ID])
		_, _, added.hadRoute = s.routeOf(accepted.Host, item)
		started.items = append(started.items, added)
	}
	s.mutex.Lock()
	isStopping := s.stopping
	if isStopping || s.owned[accepted.ID] != nil || s.isSuperseded(accepted.ID, held.version) || s.isKnownRemoved(accepted.ID, held.version) {
		s.mutex.Unlock()
		cancel()
		s.log.Info("job_not_owned", "job", accepted.ID, "epoch", held.claim.Epoch, "version", held.version)
		if isStopping {
			go s.releaseClaim(s.lifetime, accepted.ID, held)
		}
		return
	}
	s.owned[accepted.ID] = started
	s.mutex.Unlock()
	s.log.Info("job_owned", "job", accepted.ID, "epoch", held.claim.Epoch, "version", held.version, "listed", len(earlier.listed), "checkpoints", len(earlier.checkpoints), "items", len(accepted.Items))
	s.nudge()
}

// isSuperseded reports whether the followed copy of the claims includes this version
// and shows that the claim was changed or removed since. mutex must be held.
func (s *Service) isSuperseded(id string, version table.Version) bool {
	return s.followed >= version && s.claims[id].version != version
}

// dropReason is the reason why this daemon stopped running a job.
type dropReason string

// The reasons to drop a job.
const (
	dropFinished     dropReason = "finished"
	dropCancelled    dropReason = "ended"
	dropClaimRemoved dropReason = "claim_removed"
	// dropReportedCancelled means that the daemon that cancelled the job reported it.
	dropReportedCancelled dropReason = "told_ended"
	dropClaimLost         dropReason = "claim_lost"
	// dropUnknownResults means that results are stored that this owner does not have. It
	// still holds the claim and loads the job again.
	dropUnknownResults dropReason = "out_of_step"
	dropStopping       dropReason = "stopping"
)

// losesClaim reports whether the claim is gone after a drop for this reason.
func (r dropReason) losesClaim() bool { return r != dropUnknownResults && r != dropStopping }

// isOver reports whether the job is finished or cancelled, so that no daemon runs it
// any more.
func (r dropReason) isOver() bool {
	return r == dropFinished || r == dropCancelled || r == dropClaimRemoved || r == dropReportedCancelled
}

// drop stops running a job if this daemon owns it.
func (s *Service) drop(id string, reason dropReason) {
	s.mutex.Lock()
	owned := s.owned[id]
	s.mutex.Unlock()
	if owned != nil {
		owned.drop(reason)
	}
}

// drop stops running the job under this claim. If the daemon has started the job again
// under a later claim, that run continues.
func (o *ownedJob) drop(reason dropReason) {
	s := o.service
	s.mutex.Lock()
	if s.owned[o.job.ID] == o {
		delete(s.owned, o.job.ID)
	}
	if reason.losesClaim() {
		s.markClaimRemoved(o.job.ID, o.claim.version)
	}
	s.mutex.Unlock()
	o.mutex.Lock()
	isRepeated := o.dropped
	o.dropped = true
	o.mutex.Unlock()
	if isRepeated {
		return
	}
	o.cancel()
	o.notifyCommit()
	if reason.isOver() {
		s.settleEnded(o)
		s.dropContent(o)
	}
	s.log.Info("job_dropped", "job", o.job.ID, "reason", string(reason), "epoch", o.claim.claim.Epoch, "version", o.claim.version, "claims_age_ms", telemetry.AgeMillis(s.claimsAge()))
}

// nextCommit returns a channel that is closed at the next commit or when the job is
// dropped.
func (o *ownedJob) nextCommit() <-chan struct{} {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.committedSignal
}

func (o *ownedJob) notifyCommit() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	close(o.committedSignal)
	o.committedSignal = make(chan struct{})
}

// sendable returns the waiting items that may be sent now.
func (o *ownedJob) sendable(now time.Time) []*ownedItem {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	ready := []*ownedItem{}
	for _, each := range o.items {
		if each.state == itemWaiting && !now.Before(each.notBefore) {
			ready = append(ready, each)
		}
	}
	return ready
}

// start marks a waiting item as running at a backend. It returns false if the job is being handed over.
func (o *ownedJob) start(waiting *ownedItem, backend string, now time.Time, cancel context.CancelFunc) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.isReleasing {
		return false
	}
	waiting.waitingSince = time.Time{}
	waiting.state, waiting.backend, waiting.startedAt, waiting.cancel, waiting.isPreempted = itemRunning, backend, now, cancel, false
	return true
}

// running returns the items that are running at backends.
func (o *ownedJob) running() []*ownedItem {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	found := []*ownedItem{}
	for _, each := range o.items {
		if each.state == itemRunning {
			found = append(found, each)
		}
	}
	return found
}

// notPreempted returns the running items that were not preempted.
func (o *ownedJob) notPreempted() []*ownedItem {
	found := []*ownedItem{}
	running := o.running()
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for _, each := range running {
		if !each.isPreempted {
			found = append(found, each)
		}
	}
	return found
}

// ranFor returns the total run time of an item over all its attempts.
func (o *ownedJob) ranFor(item *ownedItem, now time.Time) time.Duration {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if item.state == itemRunning {
		return item.ranFor + now.Sub(item.startedAt)
	}
	return item.ranFor
}

// finish records the result of an item and starts committing results if no commit is in
// progress.
func (o *ownedJob) finish(ended *ownedItem, result Result) {
	o.mutex.Lock()
	if ended.state == itemFinished || o.dropped {
		o.mutex.Unlock()
		return
	}
	ended.state = itemFinished
	ended.progress.clear()
	o.finished = append(o.finished, &finishedResult{Result: result})
	mustStart := !o.committing
	o.committing = true
	o.mutex.Unlock()
	if mustStart {
		go o.commitFinished()
	}
}

// requeue queues a running item again. It may be sent after the pause.
func (o *ownedJob) requeue(returned *ownedItem, pause time.Duration) {
	o.mutex.Lock()
	if returned.state == itemRunning {
		returned.state = itemWaiting
		returned.ranFor += time.Since(returned.startedAt)
		returned.notBefore = time.Now().Add(pause)
	}
	o.mutex.Unlock()
	o.service.nudge()
}
