package job

import (
	"context"
	"sync"
	"time"

	"topazpulley/internal/quarantine"
	"topazpulley/internal/table"
)

// itemState is where an item stands.
type itemState uint8

const (
	itemWaiting itemState = iota
	itemRunning
	itemFinished
)

// work is one item of an owned job. owned.mutex guards it, but for progress.
type ownedItem struct {
	item  Item
	owner *ownedJob
	// fingerprint identifies the item's content whatever its id.
	fingerprint quarantine.Fingerprint
	state       itemState
	notBefore   time.Time
	backend     string
	startedAt   time.Time
	// ranFor is how long earlier attempts ran.
	ranFor time.Duration
	// sends counts the attempts that this owner has let leave.
	sends  int
	cancel context.CancelFunc
	// isYielding tells that the present run was taken back and is about to end.
	isPreempted bool
	progress    progress
	// malformed tells why the item can never be sent: jobs that were accepted by
	// versions which did not check their items may hold such.
	malformed error
	// isQuarantined tells that the item was found quarantined, which is logged once.
	isQuarantined bool
}

// yield takes a running item back.
func (w *ownedItem) preempt() {
	w.owner.mutex.Lock()
	w.isPreempted = true
	w.owner.mutex.Unlock()
	w.cancel()
}

// owned is a job that this daemon runs. mutex guards the fields below it.
type ownedJob struct {
	service *Service
	job     Job
	due     time.Time
	giveUp  time.Time
	ctx     context.Context
	cancel  context.CancelFunc

	mutex      sync.Mutex
	claim      versionedClaim
	items      []*ownedItem
	committed  int
	finished   []Result
	committing bool
	// commitLimit is the most text of the next commit, in bytes.
	commitLimit     int
	dropped         bool
	committedSignal chan struct{}
	// settled is what the job's account was last told of it.
	settled settlement
}

// giveUpMargin keeps clear of daemons' differing clocks.
const giveUpMargin = 4 * time.Second

// history is what earlier owners left of a job.
type history struct {
	// listed are the results that exist.
	listed []Result
	// checkpoints are the progress of items without a result, by item.
	checkpoints map[string]checkpoint
	// settled is what the job's account holds; its zero value means unknown.
	settled settlement
}

// own starts running a job under a claim.
func (s *Service) startJob(accepted Job, held versionedClaim, earlier history) {
	ctx, cancel := context.WithCancel(s.lifetime)
	started := &ownedJob{
		service: s, job: accepted, due: accepted.SubmittedAt.Add(accepted.Due), ctx: ctx, cancel: cancel,
		claim: held, committed: len(earlier.listed), committedSignal: make(chan struct{}), commitLimit: maxCommitBytes,
		settled: earlier.settled,
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
		begun := &ownedItem{item: item, owner: started, state: state, malformed: item.Check()}
		begun.fingerprint = quarantine.FingerprintOf(itemMethod, item.Path, accepted.Tenant, item.Body)
		begun.progress.restore(earlier.checkpoints[item.ID])
		started.items = append(started.items, begun)
	}
	s.mutex.Lock()
	if s.stopping || s.owned[accepted.ID] != nil || s.isSuperseded(accepted.ID, held.version) || s.isKnownRemoved(accepted.ID, held.version) {
		s.mutex.Unlock()
		cancel()
		s.log.Info("job_not_owned", "job", accepted.ID, "epoch", held.claim.Epoch, "version", held.version)
		return
	}
	s.owned[accepted.ID] = started
	s.mutex.Unlock()
	s.log.Info("job_owned", "job", accepted.ID, "epoch", held.claim.Epoch, "version", held.version, "listed", len(earlier.listed), "checkpoints", len(earlier.checkpoints), "items", len(accepted.Items))
	s.nudge()
}

// isSuperseded reports whether a claim was changed or removed since it was
// committed, as far as the follower has come. mutex must be held.
func (s *Service) isSuperseded(id string, version table.Version) bool {
	return s.followed >= version && s.claims[id].version != version
}

// dropReason tells why a job is no longer run here.
type dropReason string

// The reasons to drop a job.
const (
	dropFinished     dropReason = "finished"
	dropEnded        dropReason = "ended"
	dropClaimRemoved dropReason = "claim_removed"
	// dropToldEnded tells that the daemon told which ended the job.
	dropReportedEnded dropReason = "told_ended"
	dropClaimLost     dropReason = "claim_lost"
	// dropOutOfStep tells that results are listed which this owner does not know of:
	// it holds the claim, and reads the job anew.
	dropUnknownResults dropReason = "out_of_step"
	dropStopping       dropReason = "stopping"
)

// isClaimGone reports whether the claim that was held is gone.
func (r dropReason) losesClaim() bool { return r != dropUnknownResults && r != dropStopping }

// isOver reports whether nobody runs the job any more.
func (r dropReason) isOver() bool {
	return r == dropFinished || r == dropEnded || r == dropClaimRemoved || r == dropReportedEnded
}

// drop stops running a job whose claim is gone.
func (s *Service) drop(id string, reason dropReason) {
	s.mutex.Lock()
	held := s.owned[id]
	s.mutex.Unlock()
	if held != nil {
		held.drop(reason)
	}
}

// drop stops running the job under this claim. The daemon may have taken the
// job up again meanwhile, under a later claim, which is left alone.
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
		s.noteOver(o)
	}
	s.log.Info("job_dropped", "job", o.job.ID, "reason", string(reason), "epoch", o.claim.claim.Epoch, "version", o.claim.version, "claims_age_ms", shownAge(s.claimsAge()))
}

// nextCommit returns a channel that is closed at the next commit.
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

// waiting returns the items that may be sent now.
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

// running returns the items that are at backends.
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

// staying returns the items that are at backends and were not taken back.
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

// ranFor returns how long an item has run, over all its attempts.
func (o *ownedJob) ranFor(item *ownedItem, now time.Time) time.Duration {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if item.state == itemRunning {
		return item.ranFor + now.Sub(item.startedAt)
	}
	return item.ranFor
}

// end records the end of an item and sees to its commit.
func (o *ownedJob) finish(ended *ownedItem, result Result) {
	o.mutex.Lock()
	if ended.state == itemFinished || o.dropped {
		o.mutex.Unlock()
		return
	}
	ended.state = itemFinished
	ended.progress.clear()
	o.finished = append(o.finished, result)
	mustStart := !o.committing
	o.committing = true
	o.mutex.Unlock()
	if mustStart {
		go o.commitFinished()
	}
}

// requeue puts a running item back; it is sent again after the pause.
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
