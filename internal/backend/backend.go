// Package backend holds a daemon's view of the backends: which exist, which are
// draining, their load (own requests, other daemons' requests, the backends' own
// reports), the prompts that they read recently, and their recent failures.
// Package routing selects one of them for a request.
package backend

import (
	"slices"
	"sort"
	"sync"
	"time"

	"topazpulley/internal/routing"
	"topazpulley/internal/slotqueue"
)

// Instance is a backend as service discovery lists it.
type Instance struct {
	// ID is unique among backends. A restarted process may keep its id.
	ID string
	// StartMillis is the start time of the process in Unix milliseconds; 0 if unknown.
	StartMillis int64
	Service     string
	// Version is the version of the backend's software, not of its weights. Versions have no
	// order. Empty means unknown.
	Version string
	// Address is IP:port.
	Address string
	Zone    string
	// Slots is the number of requests that the backend runs at once.
	Slots int
	// Draining is set when the backend is about to stop and must get no new work.
	Draining bool
	// ColdFor is the rest of the warm-up at the time the entry was read. A backend is
	// cold after a start and after it lost its cache.
	ColdFor time.Duration
}

// Report is the load that a backend reports.
type Report struct {
	Running int
	Waiting int
	Slots   int
	// WorkPercent is the current duration of work in per cent of the usual duration; 0
	// if unknown. It isn't used for decisions.
	WorkPercent int
}

// Class is the class of a request: online or batch.
type Class uint8

// The classes of work.
const (
	Online Class = iota
	Batch
)

const (
	// maxPromptParts limits the prompt parts remembered per backend.
	maxPromptParts = 256
	// defaultPropagation is used until SetPropagation is called.
	defaultPropagation = 200 * time.Millisecond
	// maxReportAge is the age after which a backend's own report is ignored.
	maxReportAge = 400 * time.Millisecond
)

// state is a backend with its load. Set.mutex guards it.
type state struct {
	Instance
	// online, batch and pendingTokens are this daemon's work in flight, as in PeerLoad.
	// peers is the work of the other daemons, by daemon.
	online, batch int
	pendingTokens int
	peers         map[string]PeerLoad
	report        Report
	reportedAt    time.Time
	// failures counts consecutive failures seen by this daemon. failureScore sums the
	// failures seen by all daemons and decays with time.
	failures     int
	failureScore float64
	scoredAt     time.Time
	ejectedUntil time.Time
	ejectedFor   time.Duration
	prompts      *promptCache
	// coldUntil is the end of the warm-up. coldAllowance limits what this daemon sends
	// until then.
	coldUntil     time.Time
	coldAllowance coldAllowance
	// missing is set while the backend is used without an entry.
	missing *missingEntry
}

// PeerLoad is one daemon's work in flight at a backend.
type PeerLoad struct {
	// StartMillis identifies the incarnation at which the work runs, as in Instance.
	StartMillis int64
	Online      int
	Batch       int
	// PendingTokens is the number of uncached prompt tokens of requests without output.
	PendingTokens int
}

// IsIdle reports whether there is no work.
func (l PeerLoad) IsIdle() bool { return l.Online == 0 && l.Batch == 0 && l.PendingTokens == 0 }

// Plus returns the sum of both loads. If they belong to different incarnations, it
// returns the load of the later one: work at the earlier one ended with it.
func (l PeerLoad) Plus(other PeerLoad) PeerLoad {
	switch {
	case other.StartMillis > l.StartMillis:
		return other
	case other.StartMillis < l.StartMillis:
		return l
	}
	return PeerLoad{StartMillis: l.StartMillis, Online: l.Online + other.Online, Batch: l.Batch + other.Batch, PendingTokens: l.PendingTokens + other.PendingTokens}
}

// Minus returns the load without part. A part of another incarnation isn't
// subtracted.
func (l PeerLoad) Minus(part PeerLoad) PeerLoad {
	if part.StartMillis != l.StartMillis {
		return l
	}
	return PeerLoad{StartMillis: l.StartMillis, Online: l.Online - part.Online, Batch: l.Batch - part.Batch, PendingTokens: l.PendingTokens - part.PendingTokens}
}

// Set holds all backends known to a daemon. It is safe for concurrent use.
type Set struct {
	mutex     sync.Mutex
	states    map[string]*state
	byService map[string][]*state
	// startTimes holds the latest start times of removed backends.
	startTimes *startTimes
	lapsed     lapsedStates
	// promptReads are the reads not yet sent to other daemons.
	promptReads []PromptRead
	// unsentFailures are the failures not yet sent to other daemons.
	unsentFailures map[Incarnation]int
	publishSignal  chan struct{}
	// overloaded is signalled when online requests may wait for this daemon's batch items.
	overloaded chan struct{}
	// preemptions queues the backends at which another daemon should preempt an item,
	// ownPreemptions those at which this daemon should.
	preemptions    chan string
	ownPreemptions chan string
	// waiting is the number of this daemon's batch items that wait for a backend,
	// peerWaiting those of other daemons by daemon.
	waiting        int
	peerWaiting    map[string]int
	hasPeerReports bool
	// queues is the queue of this daemon by service, peerQueueStats the queue stats of
	// other daemons by daemon and service.
	queues         map[string]*serviceQueue
	peerQueueStats map[string]map[string]slotqueue.Stats
	// propagation is the time until other daemons learn of a change here.
	propagation time.Duration
	admission   admission
	// software holds the software versions of the services; softwareSignal is signalled when a
	// service gets a further one.
	software       softwareVersions
	softwareSignal chan struct{}
	// unused holds the listed entries of stale incarnations by id: other daemons may use them.
	unused map[string]Instance
	// connected returns the incarnations with an open idle connection.
	connected func() map[Incarnation]bool
	// listAge returns for how long the list of backends may have been out of date.
	listAge func() time.Duration
}

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{
		states: map[string]*state{}, byService: map[string][]*state{}, publishSignal: make(chan struct{}, 1), overloaded: make(chan struct{}, 1),
		unsentFailures: map[Incarnation]int{}, startTimes: newStartTimes(), lapsed: newLapsedStates(), peerWaiting: map[string]int{}, propagation: defaultPropagation,
		preemptions: make(chan string, maxQueuedPreemptions), ownPreemptions: make(chan string, maxQueuedPreemptions),
		connected: func() map[Incarnation]bool { return nil }, listAge: func() time.Duration { return 0 }, admission: newAdmission(),
		software: newSoftwareVersions(), softwareSignal: make(chan struct{}, 1), unused: map[string]Instance{},
		queues: map[string]*serviceQueue{}, peerQueueStats: map[string]map[string]slotqueue.Stats{},
	}
}

// Put adds or updates an entry of service discovery and returns what it changed. A new
// incarnation replaces the state of the previous one, whose leases no longer count.
func (s *Set) Put(instance Instance) Listing {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.dropUnused(instance.ID)
	known := s.states[instance.ID]
	listing := s.classify(known, instance)
	switch listing {
	case ListingStale:
		s.addUnused(instance)
	case ListingSame:
		instance.StartMillis = known.StartMillis
		known.missing = nil
		s.update(known, instance)
		known.setColdUntil(time.Now())
	default:
		s.remove(instance.ID)
		added := s.lapsed.take(instance, time.Now())
		added.setColdUntil(time.Now())
		s.states[instance.ID] = added
		s.addToService(added)
	}
	return listing
}

func (s *Set) classify(known *state, entry Instance) Listing {
	newest := s.startTimes.newest(entry.ID)
	if known == nil {
		return classify(nil, newest, entry)
	}
	return classify(&known.Instance, max(newest, known.StartMillis), entry)
}

// update applies an entry to an incarnation that is already known.
func (s *Set) update(known *state, instance Instance) {
	if known.Service == instance.Service && known.Version == instance.Version {
		known.Instance = instance
		return
	}
	s.removeFromService(known)
	known.Instance = instance
	s.addToService(known)
}

// setColdUntil sets the end of the warm-up from the entry.
func (k *state) setColdUntil(now time.Time) { k.coldUntil = now.Add(k.ColdFor) }

// current returns the backend if incarnation is its current one, else nil. mutex must be
// held.
func (s *Set) current(incarnation Incarnation) *state {
	known, exists := s.states[incarnation.ID]
	if !exists || known.StartMillis != incarnation.StartMillis {
		return nil
	}
	return known
}

// IsListed reports whether incarnation is the current one of its backend.
func (s *Set) IsListed(incarnation Incarnation) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.current(incarnation) != nil
}

// HasSuccessor reports whether a later incarnation of the same backend was ever listed.
func (s *Set) HasSuccessor(incarnation Incarnation) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	newest := s.startTimes.newest(incarnation.ID)
	if known, exists := s.states[incarnation.ID]; exists {
		newest = max(newest, known.StartMillis)
	}
	return incarnation.StartMillis > 0 && newest > incarnation.StartMillis
}

// RemoveIncarnation removes a backend if incarnation is its current one, because another process
// answers at its address.
func (s *Set) RemoveIncarnation(incarnation Incarnation) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.current(incarnation) != nil {
		s.remove(incarnation.ID)
	}
	s.lapsed.forget(incarnation)
}

// Remove removes a backend whose entry went. Requests in flight continue, and still count if the
// entry comes back.
func (s *Set) Remove(id string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.dropUnused(id)
	s.lapse(id)
}

// Retain removes all backends whose ids aren't in ids.
func (s *Set) Retain(ids map[string]bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for id := range s.states {
		if !ids[id] {
			s.lapse(id)
		}
	}
}

// lapse removes a backend but keeps its state in case the same process is listed again. mutex must
// be held.
func (s *Set) lapse(id string) {
	known, exists := s.states[id]
	s.remove(id)
	if exists {
		s.lapsed.keep(known, time.Now())
	}
}

func (s *Set) remove(id string) {
	known, exists := s.states[id]
	if !exists {
		return
	}
	delete(s.states, id)
	s.startTimes.record(known.Incarnation())
	s.removeFromService(known)
}

// serviceIndex returns a backend's index in its service's list, which is sorted by id.
// Binary search keeps the listing of thousands of backends cheap.
func (s *Set) serviceIndex(known *state) int {
	group := s.byService[known.Service]
	return sort.Search(len(group), func(index int) bool { return group[index].ID >= known.ID })
}

func (s *Set) addToService(known *state) {
	if s.software.add(known.Instance) {
		signal(s.softwareSignal)
	}
	s.byService[known.Service] = slices.Insert(s.byService[known.Service], s.serviceIndex(known), known)
}

func (s *Set) removeFromService(known *state) {
	s.software.remove(known.Instance, time.Now())
	at := s.serviceIndex(known)
	s.byService[known.Service] = slices.Delete(s.byService[known.Service], at, at+1)
}

// Get returns a backend.
func (s *Set) Get(id string) (Instance, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	known, exists := s.states[id]
	if !exists {
		return Instance{}, false
	}
	return known.Instance, true
}

// Count returns the number of backends of a service, or of all services if service is
// empty.
func (s *Set) Count(service string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if service == "" {
		return len(s.states)
	}
	return len(s.byService[service])
}

// Instances returns the backends of a service, or of all services if service is empty.
func (s *Set) Instances(service string) []Instance {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	found := []Instance{}
	for _, known := range s.states {
		if service == "" || known.Service == service {
			found = append(found, known.Instance)
		}
	}
	return found
}

// SetConnected sets the function that returns the incarnations with an open idle
// connection. It must be called before the set is used.
func (s *Set) SetConnected(connected func() map[Incarnation]bool) { s.connected = connected }

// Candidates returns a snapshot of a service's backends for routing.
func (s *Set) Candidates(service string, prompt []routing.PromptPart, now time.Time) []routing.Candidate {
	connected := s.connected()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	group := s.byService[service]
	candidates := make([]routing.Candidate, 0, len(group))
	for _, known := range group {
		candidate := known.candidate(prompt, now)
		candidate.Closed = s.isClosed(known, now)
		candidate.IsConnected = connected[known.Incarnation()]
		candidates = append(candidates, candidate)
	}
	return candidates
}

func (k *state) candidate(prompt []routing.PromptPart, now time.Time) routing.Candidate {
	online, batch, pending := k.load()
	waiting := 0
	if now.Sub(k.reportedAt) < maxReportAge {
		waiting = k.report.Waiting
	}
	return routing.Candidate{
		ID: k.ID, StartMillis: k.StartMillis, Software: k.Version, Zone: k.Zone, Slots: k.Slots,
		Online: online, Batch: batch, OwnBatch: k.batch, Waiting: waiting, ReportAge: now.Sub(k.reportedAt),
		PendingTokens: pending, UncachedTokens: k.prompts.uncached(prompt, now),
		Ejected: now.Before(k.ejectedUntil),
	}
}

// load sums the work of all daemons at the backend.
func (k *state) load() (online, batch, pendingTokens int) {
	online, batch, pendingTokens = k.online, k.batch, k.pendingTokens
	for _, peer := range k.peers {
		online += peer.Online
		batch += peer.Batch
		pendingTokens += peer.PendingTokens
	}
	return online, batch, pendingTokens
}
