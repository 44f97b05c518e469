// Package backend keeps what a daemon knows of the processes that run
// requests: which exist, whether they leave, how loaded they are (own requests,
// what other daemons tell, what the backends report), which prompts they have
// read, and whether they failed lately. The choice itself is in package
// routing.
package backend

import (
	"slices"
	"sort"
	"sync"
	"time"

	"topazpulley/internal/routing"
	"topazpulley/internal/slotqueue"
)

// Instance is a backend as discovery lists it.
type Instance struct {
	// ID is unique among backends. A process may start again under it.
	ID string
	// StartMillis is the Unix millisecond at which the process started; 0 means not told.
	StartMillis int64
	Service     string
	// Address is IP:port.
	Address string
	Zone    string
	// Slots is how many requests it works on at once.
	Slots int
	// Draining tells that it is about to leave and must get no new work.
	Draining bool
	// ColdFor is for how much longer it is slow, when the entry was read: it has just
	// started, or lost what it keeps in memory.
	ColdFor time.Duration
}

// Report is what a backend says of its load.
type Report struct {
	Running int
	Waiting int
	Slots   int
	// WorkPercent is how long work takes there now, in per cent of the usual; 0 means
	// not told. It changes many times a second: nothing decides by it yet.
	WorkPercent int
}

// Class tells online work from batch work.
type Class uint8

// The classes of work.
const (
	Online Class = iota
	Batch
)

const (
	// promptMemory bounds the prompt parts remembered per backend.
	promptMemory = 256
	// assumedPropagation holds until the exchange with other daemons tells.
	assumedPropagation = 200 * time.Millisecond
	// reportAge is how long a backend's own report counts.
	reportAge = 400 * time.Millisecond
)

// state is a backend with its load. Set.mutex guards it.
type state struct {
	Instance
	online, batch int
	pendingTokens int
	peers         map[string]PeerLoad
	report        Report
	reportedAt    time.Time
	// failures counts failures in a row that this daemon saw; failureScore
	// those that all daemons saw, each counting less with time.
	failures     int
	failureScore float64
	scoredAt     time.Time
	ejectedUntil time.Time
	ejectedFor   time.Duration
	prompts      *promptCache
	// coldUntil is when the backend works at its usual speed, and seats what this daemon
	// may send it until then.
	coldUntil     time.Time
	coldAllowance coldAllowance
}

// PeerLoad is another daemon's work in flight at a backend.
type PeerLoad struct {
	// StartMillis names the life of the backend at which the work is, as in Instance.
	StartMillis   int64
	Online        int
	Batch         int
	PendingTokens int
}

// IsIdle reports whether there is no work.
func (l PeerLoad) IsIdle() bool { return l.Online == 0 && l.Batch == 0 && l.PendingTokens == 0 }

// Plus returns both loads together. Work at an earlier life of the backend has ended
// with it, and does not count beside work at a later one.
func (l PeerLoad) Plus(other PeerLoad) PeerLoad {
	switch {
	case other.StartMillis > l.StartMillis:
		return other
	case other.StartMillis < l.StartMillis:
		return l
	}
	return PeerLoad{StartMillis: l.StartMillis, Online: l.Online + other.Online, Batch: l.Batch + other.Batch, PendingTokens: l.PendingTokens + other.PendingTokens}
}

// Minus returns the load less a part of it, which may be of an earlier life and is
// then no part.
func (l PeerLoad) Minus(part PeerLoad) PeerLoad {
	if part.StartMillis != l.StartMillis {
		return l
	}
	return PeerLoad{StartMillis: l.StartMillis, Online: l.Online - part.Online, Batch: l.Batch - part.Batch, PendingTokens: l.PendingTokens - part.PendingTokens}
}

// Set is all backends that a daemon knows. It is safe for concurrent use.
type Set struct {
	mutex     sync.Mutex
	states    map[string]*state
	byService map[string][]*state
	// births are the latest of backends that are gone.
	births *births
	reads  []PromptRead
	// unsentFailures are failures that the other daemons were not told yet.
	unsentFailures map[Incarnation]int
	publishSignal  chan struct{}
	// overloaded tells that online requests may wait for this daemon's items.
	overloaded chan struct{}
	// preemptions are backends at which other daemons' items should give way,
	// and givingWay those at which an item of this daemon should.
	preemptions    chan string
	ownPreemptions chan string
	// waiting are this daemon's batch items that wait for a backend, and
	// peerWaiting those of other daemons by who told.
	waiting        int
	peerWaiting    map[string]int
	hasPeerReports bool
	// waits is what waits here by service, and peerQueueStats what waits at other
	// daemons by who told.
	waits          map[string]*serviceWait
	peerQueueStats map[string]map[string]slotqueue.Stats
	// propagation is the time until other daemons know of a change here.
	propagation time.Duration
	closing     closing
	// connected returns the lives to which an idle connection is open.
	connected func() map[Incarnation]bool
}

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{
		states: map[string]*state{}, byService: map[string][]*state{}, publishSignal: make(chan struct{}, 1), overloaded: make(chan struct{}, 1),
		unsentFailures: map[Incarnation]int{}, births: newBirths(), peerWaiting: map[string]int{}, propagation: assumedPropagation,
		preemptions: make(chan string, preemptQueue), ownPreemptions: make(chan string, preemptQueue),
		connected: func() map[Incarnation]bool { return nil }, closing: newClosing(),
		waits: map[string]*serviceWait{}, peerQueueStats: map[string]map[string]slotqueue.Stats{},
	}
}

// Put takes an entry of discovery in and tells what it changes. With a new life all
// that is known of the one before goes; leases of that one count nothing any more.
func (s *Set) Put(instance Instance) Listing {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	known := s.states[instance.ID]
	listing := s.judge(known, instance)
	switch listing {
	case ListingStale:
	case ListingSame:
		instance.StartMillis = known.StartMillis
		s.update(known, instance)
		known.noteCold(time.Now())
	default:
		s.remove(instance.ID)
		added := &state{Instance: instance, peers: map[string]PeerLoad{}, prompts: newPromptCache(promptMemory)}
		added.noteCold(time.Now())
		s.states[instance.ID] = added
		s.putIn(added)
	}
	return listing
}

func (s *Set) judge(known *state, told Instance) Listing {
	newest := s.births.newest(told.ID)
	if known == nil {
		return judge(nil, newest, told)
	}
	return judge(&known.Instance, max(newest, known.StartMillis), told)
}

// update takes over what is told of a life that is known.
func (s *Set) update(known *state, instance Instance) {
	if known.Service == instance.Service {
		known.Instance = instance
		return
	}
	s.takeOut(known)
	known.Instance = instance
	s.putIn(known)
}

// noteCold takes over for how long the backend's entry says that it is cold.
func (k *state) noteCold(now time.Time) { k.coldUntil = now.Add(k.ColdFor) }

// current returns a backend if its present life is the one named, else nil. mutex must
// be held.
func (s *Set) current(life Incarnation) *state {
	known, exists := s.states[life.ID]
	if !exists || known.StartMillis != life.StartMillis {
		return nil
	}
	return known
}

// IsListed reports whether a life is a backend's present one.
func (s *Set) IsListed(life Incarnation) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.current(life) != nil
}

// HasSuccessor reports whether a later life of the same backend was ever told.
func (s *Set) HasSuccessor(life Incarnation) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	newest := s.births.newest(life.ID)
	if known, exists := s.states[life.ID]; exists {
		newest = max(newest, known.StartMillis)
	}
	return life.StartMillis > 0 && newest > life.StartMillis
}

// RemoveIncarnation takes a backend out if its present life is the one named.
func (s *Set) RemoveIncarnation(life Incarnation) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.current(life) != nil {
		s.remove(life.ID)
	}
}

// Remove takes a backend out. Requests in flight there go on.
func (s *Set) Remove(id string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.remove(id)
}

// Retain removes all backends but those with the ids.
func (s *Set) Retain(ids map[string]bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for id := range s.states {
		if !ids[id] {
			s.remove(id)
		}
	}
}

func (s *Set) remove(id string) {
	known, exists := s.states[id]
	if !exists {
		return
	}
	delete(s.states, id)
	s.births.note(known.Incarnation())
	s.takeOut(known)
}

// place is where a backend stands in its service's list, which is in the order
// of ids. One backend more or less moves the list's end and sorts nothing:
// thousands are listed when a daemon starts.
func (s *Set) place(known *state) int {
	group := s.byService[known.Service]
	return sort.Search(len(group), func(index int) bool { return group[index].ID >= known.ID })
}

func (s *Set) putIn(known *state) {
	s.byService[known.Service] = slices.Insert(s.byService[known.Service], s.place(known), known)
}

func (s *Set) takeOut(known *state) {
	at := s.place(known)
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

// Count returns how many backends a service has, or all services together when it is
// empty.
func (s *Set) Count(service string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if service == "" {
		return len(s.states)
	}
	return len(s.byService[service])
}

// Instances returns the backends of a service, or of all when it is empty.
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

// SetConnected sets the function that returns the lives of backends to which an idle
// connection is open. It must be called before the set is used.
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
	if now.Sub(k.reportedAt) < reportAge {
		waiting = k.report.Waiting
	}
	return routing.Candidate{
		ID: k.ID, StartMillis: k.StartMillis, Zone: k.Zone, Slots: k.Slots,
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
