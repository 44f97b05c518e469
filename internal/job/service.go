package job

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

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

// Self names this daemon's present life.
type Self struct {
	Name        string
	Incarnation int64
}

// Peers tells which daemons are alive.
type Peers interface {
	// Liveness tells whether the daemon is alive in that incarnation.
	Liveness(name string, incarnation int64) Liveness
	// NotifyClaimRemoved tells a daemon, without waiting, that the claim of this version on a job
	// that it owned was removed.
	NotifyClaimRemoved(owner, job string, version table.Version)
	// NotifyCancelRequest tells a daemon, without waiting, that the end of a job which it owns
	// is wanted and not done yet.
	NotifyCancelRequest(owner string, wanted CancelRequest)
	// Successor is the daemon that should take over the key if this one is gone; empty
	// means that none is known.
	Successor(key string) string
	// Rank is this daemon's place, from 0, among the live daemons in the order
	// in which they should take over the key.
	Rank(key string) int
}

// Dependencies are what a Service works with.
type Dependencies struct {
	Self     Self
	Store    table.Store
	Backends *backend.Set
	Sender   serving.Sender
	Holder   *route.Holder
	Peers    Peers
	Metrics  *telemetry.Serving
	Logger   *slog.Logger
	// Connections is this daemon's share of the connections to one backend of
	// a service.
	Connections func(service string) int
	// Quota bounds the tokens that wait on a route; nil means no bounds.
	Quota *quota.Accounts
	// SettlingTime is how long after its start the service places no items unless
	// it has heard of other daemons' work.
	SettlingTime time.Duration
	// Zone is the daemon's own; empty means that zones do not matter.
	Zone string
	// BatchCapacity is the policy of the room for items; empty means that they take every
	// slot that looks free.
	BatchCapacity batchcapacity.Policy
	// Quarantine tells which items are not sent to backends; nil means that all are.
	Quarantine *quarantine.Guard
	// ClaimsAge returns for how long the claims, as the service was told of them, may
	// not have been the present state.
	ClaimsAge func() time.Duration
	// Availability tells whether the store answers; nil means that no submission is held.
	Availability Availability
	// SubmissionLimits bounds the submissions that are held while the store is away.
	SubmissionLimits submissionbuffer.Limits
}

// Service answers calls about jobs and runs the jobs that this daemon owns.
// mutex guards the fields behind it.
type Service struct {
	self        Self
	store       table.Store
	backends    *backend.Set
	sender      serving.Sender
	holder      *route.Holder
	peers       Peers
	metrics     *telemetry.Serving
	log         *slog.Logger
	connections func(service string) int
	// settledAt is when items are placed even if no other daemon was heard.
	placeAfter time.Time

	lifetime       context.Context
	cancelLifetime context.CancelFunc
	// stopped ends when the daemon begins to stop, by stop.
	stopped context.Context
	stop    context.CancelFunc
	wake    chan struct{}
	// dispatchedAt belongs to the dispatcher's goroutine.
	dispatchedAt time.Time
	// claimsAreOld belongs to it too.
	hasStaleClaims bool
	placer         *placer
	capacities     *rooms
	preempter      *yielder
	quota          *quota.Accounts
	quarantine     *quarantine.Guard
	claimsAge      func() time.Duration
	availability   Availability
	submissions    *submissionbuffer.Buffer
	sweeper        sweeper
	cancellations  cancellations
	pageLimit      pageLimit

	mutex sync.Mutex
	clock itemClock
	// claims are the claim rows as of the version followed. Only the follower
	// changes them.
	claims   map[string]versionedClaim
	followed table.Version
	// gone are the versions up to which claims are known to be gone although the copy
	// that is followed still may have them, by job.
	removed map[string]table.Version
	// orphans are the jobs whose owner is missing, with the time since when;
	// claimedAt is when a claim was last seen to change.
	orphans   map[string]time.Time
	claimedAt map[string]time.Time
	takeovers takeovers
	owned     map[string]*ownedJob
	accepted  map[string]acceptance
	// over are jobs that ended here and whose account was not told yet.
	unsettledJobs map[string]overJob
	submission    int64
	stopping      bool
}

// versionedClaim is a claim with the version of its row, the fence of every
// commit under it.
type versionedClaim struct {
	claim   claim
	version table.Version
}

// NewService returns a service; Run makes it work.
func NewService(dependencies Dependencies) *Service {
	lifetime, cancelLifetime := context.WithCancel(context.Background())
	stopped, stop := context.WithCancel(lifetime)
	service := &Service{
		self: dependencies.Self, store: dependencies.Store, backends: dependencies.Backends, sender: dependencies.Sender,
		holder: dependencies.Holder, peers: dependencies.Peers, metrics: dependencies.Metrics, log: dependencies.Logger,
		connections: dependencies.Connections, placeAfter: time.Now().Add(dependencies.SettlingTime),
		lifetime: lifetime, cancelLifetime: cancelLifetime, stopped: stopped, stop: stop, wake: make(chan struct{}, 1),
		capacities: newRooms(dependencies.BatchCapacity, newRandom()), preempter: newYielder(newRandom()),
		claims: map[string]versionedClaim{}, removed: map[string]table.Version{}, orphans: map[string]time.Time{}, claimedAt: map[string]time.Time{}, takeovers: newTakeovers(), owned: map[string]*ownedJob{}, accepted: map[string]acceptance{},
		quota: dependencies.Quota, quarantine: dependencies.Quarantine, claimsAge: dependencies.ClaimsAge,
		availability: dependencies.Availability, submissions: submissionbuffer.New(dependencies.SubmissionLimits), unsettledJobs: map[string]overJob{}, sweeper: newSweeper(), cancellations: newCancellations(),
	}
	service.placer = newPlacer(newRandom(), dependencies.Zone, service.roomAt)
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
	go s.saveAll(ctx)
	go s.observeDemand(ctx)
	if s.quota != nil {
		go s.settleAll(ctx)
		go s.sweepAll(ctx)
	}
	s.dispatchItems(ctx)
}

// Stop gives up all owned jobs, so that other daemons go on with them at once.
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

// ownedJobs lists the owned jobs. mutex must be held.
func (s *Service) ownedJobs() []*ownedJob {
	jobs := make([]*ownedJob, 0, len(s.owned))
	for _, each := range s.owned {
		jobs = append(jobs, each)
	}
	return jobs
}

// Owned returns how many jobs this daemon runs.
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

// objectName names the object of a job's items by its content.
func objectName(id string, content []byte) string {
	return "job-" + id + "-" + strconv.FormatUint(xxhash.Sum64(content), 16)
}
