package job

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"topazpulley/internal/backend"
	"topazpulley/internal/batchcapacity"
	"topazpulley/internal/quarantine"
	"topazpulley/internal/quota"
	"topazpulley/internal/route"
	"topazpulley/internal/serving"
	"topazpulley/internal/submissionbuffer"
	"topazpulley/internal/table"
	"topazpulley/internal/telemetry"
)

// Self identifies this daemon to others.
type Self struct {
	Name string
	// Incarnation returns the current incarnation in the membership. It may rise.
	Incarnation func() int64
}

// newProcessID returns a unique name for one run of a daemon.
func newProcessID() string { return strconv.FormatUint(rand.Uint64(), 16) }

// Peers provides the state of the other daemons and sends them notifications.
type Peers interface {
	// Liveness returns the state of the daemon with this incarnation.
	Liveness(name string, incarnation int64) Liveness
	// NotifyClaimRemoved notifies a daemon, without waiting, that the claim of this
	// version on a job that it owned was removed.
	NotifyClaimRemoved(owner, job string, version table.Version)
	// NotifyCancelRequest sends a cancel request to a daemon without waiting.
	NotifyCancelRequest(owner string, request CancelRequest)
	// Successor returns the daemon that should take over the key if this one is gone. It
	// is empty if none is known.
	Successor(key string) string
	// Rank returns this daemon's position, from 0, in the order in which live daemons
	// should take over the key.
	Rank(key string) int
}

// Dependencies are the parts of the daemon that a Service uses.
type Dependencies struct {
	Self     Self
	Store    table.Store
	Backends *backend.Set
	Sender   serving.Sender
	Holder   *route.Holder
	Peers    Peers
	Metrics  *telemetry.Serving
	Logger   *slog.Logger
	// Connections returns this daemon's share of the connections to one backend of a
	// service.
	Connections func(service string) int
	// Quota limits the tokens queued on a route. Nil means no limit.
	Quota *quota.Accounts
	// ResultRetention is how long the texts of results are kept after their job is over.
	ResultRetention time.Duration
	// SettlingTime is how long after its start the service sends no items unless it has
	// received reports of other daemons.
	SettlingTime time.Duration
	// Zone is the zone of this daemon. If it is empty, zones are ignored.
	Zone string
	// BatchCapacity is the policy that decides how much backend capacity items may use. If
	// it is empty, items use every slot that appears free.
	BatchCapacity batchcapacity.Policy
	// Quarantine tells which prompt parts are quarantined for online requests. Items with
	// such a part are paced. Nil means that none is.
	Quarantine *quarantine.Guard
	// ClaimsAge returns how old the followed copy of the claims may be.
	ClaimsAge func() time.Duration
	// ConfigurationConfirmedAt returns the latest time at which the holder's configuration was known to
	// be the newest; zero if it never was. Nil means that it never is.
	ConfigurationConfirmedAt func() time.Time
	// Availability reports whether the store answers. Nil means that no submissions are
	// buffered.
	Availability Availability
	// SubmissionLimits limits the submissions that are buffered while the store is
	// unavailable.
	SubmissionLimits submissionbuffer.Limits
}

// Service answers calls about jobs and runs the jobs that this daemon owns. mutex
// guards the fields after it.
type Service struct {
	self Self
	// process distinguishes this run of the daemon from all others.
	process     string
	store       table.Store
	backends    *backend.Set
	sender      serving.Sender
	holder      *route.Holder
	peers       Peers
	metrics     *telemetry.Serving
	log         *slog.Logger
	connections func(service string) int
	// placeAfter is the time from which items are sent even if no reports of other daemons
	// were received.
	placeAfter time.Time

	lifetime       context.Context
	cancelLifetime context.CancelFunc
	// stopped ends when Stop is called.
	stopped context.Context
	stop    context.CancelFunc
	wake    chan struct{}
	// dispatchedAt and hasStaleClaims belong to the dispatcher's goroutine.
	dispatchedAt    time.Time
	hasStaleClaims  bool
	placer          *placer
	capacityTracker *capacityTracker
	preemptor       *preemptor
	heldParts       *heldParts
	quota           *quota.Accounts
	quarantine      *quarantine.Guard
	claimsAge       func() time.Duration
	// configurationConfirmedAt is Dependencies.ConfigurationConfirmedAt, never nil.
	configurationConfirmedAt func() time.Time
	// hadCurrentClaims is set once the followed copy of the claims was current.
	hadCurrentClaims atomic.Bool
	availability     Availability
	submissions      *submissionbuffer.Buffer
	sweeper          sweeper
	objectSweeper    *objectSweeper
	cancellations    cancellations
	pageLimit        pageLimit

	mutex     sync.Mutex
	itemTimes itemTimes
	// claims is the followed copy of the claim rows, at version followed.
	claims   map[string]versionedClaim
	followed table.Version
	// removed holds, by job, the version up to which claims are known to be removed
	// although the followed copy may still contain them.
	removed map[string]table.Version
	// orphans holds the jobs whose owner is missing and since when. claimedAt is when a
	// job's claim was last seen to change.
	orphans   map[string]time.Time
	claimedAt map[string]time.Time
	takeovers takeovers
	owned     map[string]*ownedJob
	// accepted caches acceptance rows by job.
	accepted map[string]acceptance
	// unsettledJobs are jobs that finished here and whose quota account is not settled
	// yet.
	unsettledJobs map[string]endedJob
	// submission numbers the quota reservations of this run of the daemon.
	submission int64
	stopping   bool
}

// versionedClaim is a claim and the version of its row. Every commit under the claim is
// conditional on the version.
type versionedClaim struct {
	claim   claim
	version table.Version
}

// NewService returns a service that does nothing until Run is called.
func NewService(dependencies Dependencies) *Service {
	lifetime, cancelLifetime := context.WithCancel(context.Background())
	stopped, stop := context.WithCancel(lifetime)
	service := &Service{
		self: dependencies.Self, process: newProcessID(), store: dependencies.Store, backends: dependencies.Backends, sender: dependencies.Sender,
		holder: dependencies.Holder, peers: dependencies.Peers, metrics: dependencies.Metrics, log: dependencies.Logger,
		connections: dependencies.Connections, placeAfter: time.Now().Add(dependencies.SettlingTime),
		lifetime: lifetime, cancelLifetime: cancelLifetime, stopped: stopped, stop: stop, wake: make(chan struct{}, 1),
		capacityTracker: newCapacityTracker(dependencies.BatchCapacity, newRandom()), preemptor: newPreemptor(newRandom()), heldParts: newHeldParts(),
		claims: map[string]versionedClaim{}, removed: map[string]table.Version{}, orphans: map[string]time.Time{}, claimedAt: map[string]time.Time{}, takeovers: newTakeovers(), owned: map[string]*ownedJob{}, accepted: map[string]acceptance{},
		quota: dependencies.Quota, quarantine: dependencies.Quarantine, claimsAge: dependencies.ClaimsAge,
		availability: dependencies.Availability, submissions: submissionbuffer.New(dependencies.SubmissionLimits), unsettledJobs: map[string]endedJob{}, sweeper: newSweeper(), objectSweeper: newObjectSweeper(dependencies.ResultRetention), cancellations: newCancellations(),
	}
	service.configurationConfirmedAt = dependencies.ConfigurationConfirmedAt
	if service.configurationConfirmedAt == nil {
		service.configurationConfirmedAt = func() time.Time { return time.Time{} }
	}
	service.placer = newPlacer(newRandom(), dependencies.Zone, service.batchCapacity)
	return service
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// Run takes over orphaned jobs and dispatches items until the context ends.
func (s *Service) Run(ctx context.Context) {
	go func() {
		<-ctx.Done()
		s.cancelLifetime()
	}()
	go s.superviseClaims(ctx)
	go s.saveCheckpoints(ctx)
	go s.observeDemand(ctx)
	go s.sweepObjects(ctx)
	if s.quota != nil {
		go s.settleAll(ctx)
		go s.sweepAll(ctx)
	}
	s.dispatchItems(ctx)
}

// Stop releases all owned jobs so that other daemons continue them immediately.
func (s *Service) Stop(ctx context.Context) {
	s.mutex.Lock()
	s.stopping = true
	jobs := s.ownedJobs()
	s.mutex.Unlock()
	s.stop()
	var released sync.WaitGroup
	for _, each := range jobs {
		released.Go(func() { each.release(ctx) })
	}
	released.Wait()
}

// ownedJobs returns the owned jobs. mutex must be held.
func (s *Service) ownedJobs() []*ownedJob {
	jobs := make([]*ownedJob, 0, len(s.owned))
	for _, each := range s.owned {
		jobs = append(jobs, each)
	}
	return jobs
}

// Owned returns the number of jobs that this daemon runs.
func (s *Service) Owned() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.owned)
}

// nudge wakes the dispatcher.
func (s *Service) nudge() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}
