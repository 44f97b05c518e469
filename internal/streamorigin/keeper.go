package streamorigin

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"topazpulley/internal/backend"
	"topazpulley/internal/coalesce"
	"topazpulley/internal/telemetry"
)

const (
	// copies is the number of other daemons that get a record. With the daemon that serves the
	// stream, three of four may end at once.
	copies = 3
	// askedDaemons is the number of daemons that are asked for a record. It is above copies
	// because the daemon that is asked and the one that wrote may know different members.
	askedDaemons = 5
	// widelyAskedDaemons is the number of daemons that are asked if those asked first have no record
	// and there is no evidence. The one that serves the stream may be another one.
	widelyAskedDaemons = 40
	// copyTimeout bounds the time for which the first event of a stream waits for a copy of its
	// record. It is well below the time after which callers count an event as late.
	copyTimeout = 60 * time.Millisecond
	// askTimeout bounds the time for which a resumed stream waits for answers.
	askTimeout = 150 * time.Millisecond
)

// Query asks for the origin of a stream.
type Query struct {
	Key Key
	// Service is where a stream without a record is sent.
	Service string
}

// Peers are the other daemons. The functions return at once; each daemon that answers sends one
// element to the channel, which has room for all of them.
type Peers interface {
	// Copy sends a record to count daemons of its key. It returns the number of daemons that
	// it sends to.
	Copy(ctx context.Context, record Record, count int, acknowledged chan<- struct{}) int
	// Ask asks count daemons of the key. It returns the number of daemons that it asks.
	Ask(ctx context.Context, query Query, count int, answers chan<- Answer) int
	// AskHistory asks count daemons for their history, which they confirm first if mustConfirm is
	// set. Each sends one element, an empty history if it does not answer. It returns the number
	// of daemons that it asks.
	AskHistory(ctx context.Context, mustConfirm bool, count int, answers chan<- History) int
	// Fleet returns what this daemon knows of the others.
	Fleet() Fleet
}

// Fleet is what a daemon knows of the fleet.
type Fleet struct {
	// Members is the number of live daemons, this one included.
	Members int
	// IsWhole reports whether no daemon has gone within backend.SoftwareWindow, and none is missing
	// that may still run.
	IsWhole bool
}

// Software lists the software versions of services (backend.Set).
type Software interface {
	// SoftwareVersions returns those listed within backend.SoftwareWindow.
	SoftwareVersions(service string, now time.Time) []string
	// SoftwareHistory returns those of all services.
	SoftwareHistory(now time.Time) []backend.SoftwareUse
	// AddSoftwareHistory adds those of another daemon.
	AddSoftwareHistory(uses []backend.SoftwareUse, now time.Time)
	// SoftwareSignal is signalled when a service gets a further one.
	SoftwareSignal() <-chan struct{}
}

// Keeper keeps the origins of streams. It is safe for concurrent use.
type Keeper struct {
	software Software
	list     List
	peers    Peers
	metrics  *telemetry.Serving
	log      *slog.Logger
	records  *records
	// startedAt is when this daemon started to list backends.
	startedAt time.Time
	// wasSettled is set once this daemon is settled (see isSettled).
	wasSettled atomic.Bool
	// peerQuestions and fleetQuestions share the questions of all callers who wait for evidence.
	peerQuestions  coalesce.Group[History]
	fleetQuestions coalesce.Group[fleetAnswer]
}

// NewKeeper returns a keeper. Nil peers mean that there are no other daemons; the list may be nil
// then.
func NewKeeper(software Software, list List, peers Peers, metrics *telemetry.Serving, log *slog.Logger) *Keeper {
	return &Keeper{software: software, list: list, peers: peers, metrics: metrics, log: log, records: newRecords(), startedAt: time.Now()}
}

// certaintyInterval is the time between two checks whether the list is certain.
const certaintyInterval = 500 * time.Millisecond

// Run copies the records of a service's streams when the service gets a further software
// version, and those of all streams when the list is no longer certain, until the context ends.
func (k *Keeper) Run(ctx context.Context) {
	if k.peers == nil {
		return
	}
	check := time.NewTicker(certaintyInterval)
	defer check.Stop()
	wasCertain := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.software.SoftwareSignal():
			k.copyUncopied(ctx, func(service string) bool { return k.opinion(service).Kind == OpinionSeveral })
		case <-check.C:
			k.isSettled() // records that it is
			k.completeHistory(ctx)
			isCertain := k.isCertain()
			if wasCertain && !isCertain {
				k.CopyAll(ctx)
			}
			wasCertain = isCertain
		}
	}
}

// CopyAll copies the records of all streams of this daemon: routes have changed, so that a stream
// without a record may have begun at another service, or other daemons may soon lack the evidence
// that is needed without one.
func (k *Keeper) CopyAll(ctx context.Context) { k.copyUncopied(ctx, func(string) bool { return true }) }

// copyUncopied copies the records of this daemon's streams that have no copies yet.
func (k *Keeper) copyUncopied(ctx context.Context, accept func(service string) bool) {
	if k.peers == nil {
		return
	}
	taken := k.records.takeUncopied(accept, time.Now())
	for _, each := range taken {
		k.peers.Copy(ctx, each, copies, make(chan struct{}, copies))
	}
	if len(taken) > 0 {
		k.log.Info("stream_origins_copied", "count", len(taken))
	}
}

// Began records the origin of a stream whose first event is about to be passed to the caller,
// who waits until the deadline. If the service has several software versions, or may have had
// others lately, it waits until another daemon has a copy, at most copyTimeout. It also does if
// mustHaveRecord is set, as in Find.
func (k *Keeper) Began(ctx context.Context, key Key, origin Origin, deadline time.Time, mustHaveRecord bool) {
	now := time.Now()
	record := Record{Key: key, Origin: origin, Expires: expiryOf(deadline, now)}
	mustCopy := k.peers != nil && (mustHaveRecord || !k.isCertain() || k.opinion(origin.Service).Kind != OpinionOne)
	k.records.put(record, !mustCopy, now)
	if !mustCopy {
		return
	}
	bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), copyTimeout)
	acknowledged := make(chan struct{}, copies)
	sent := k.peers.Copy(bounded, record, copies, acknowledged)
	if sent == 0 {
		cancel()
		k.records.markUncopied(key)
		return
	}
	// The other copies are still sent after the first one is acknowledged.
	context.AfterFunc(bounded, cancel)
	select {
	case <-acknowledged:
		k.metrics.OriginCopies.WithLabelValues("copied").Inc()
	case <-bounded.Done():
		k.records.markUncopied(key)
		k.metrics.OriginCopies.WithLabelValues("no_answer").Inc()
		k.log.Info("stream_origin_not_copied", "key", key.String(), "service", origin.Service, "software", origin.Software, "asked", sent, "after_ms", time.Since(now).Milliseconds())
	}
}

// Accept stores copies of another daemon's records.
func (k *Keeper) Accept(copied []Record) {
	now := time.Now()
	for _, each := range copied {
		each.Expires = expiryOf(each.Expires, now)
		k.records.put(each, false, now)
	}
}

// Answer returns what this daemon knows about the origin of a stream.
func (k *Keeper) Answer(query Query) Answer {
	answer := Answer{Opinion: k.opinion(query.Service)}
	if known, hasRecord := k.records.get(query.Key, time.Now()); hasRecord {
		answer.HasRecord, answer.IsConflicting, answer.Origin = true, known.isConflicting, known.Origin
	}
	return answer
}

func (k *Keeper) opinion(service string) Opinion {
	return opinionOf(k.software.SoftwareVersions(service, time.Now()))
}

// Count returns the number of records, copies for other daemons included.
func (k *Keeper) Count() int { return k.records.count() }

// Find finds the origin of a stream that a caller resumes. mustHaveRecord reports whether a
// stream without a record may have begun at another service than the query's; it is asked once
// the configuration has been confirmed.
func (k *Keeper) Find(ctx context.Context, query Query, mustHaveRecord func() bool) Result {
	known := search{service: query.Service, mustHaveRecord: mustHaveRecord(), own: k.Answer(query)}
	if !known.own.HasRecord && k.peers != nil {
		known.asked, known.peers = k.ask(ctx, query, askedDaemons)
	}
	if known.needsEvidence() {
		found := k.prove(ctx, query.Service, known.asked > 0 && len(known.peers) == known.asked)
		known.evidence, known.further = found.evidence, found.further
		known.own, known.mustHaveRecord = k.Answer(query), mustHaveRecord()
	}
	origin, finding := known.decide()
	if finding == FindingUnproven && known.asked == askedDaemons {
		known.asked, known.peers = k.ask(ctx, query, widelyAskedDaemons)
		origin, finding = known.decide()
	}
	k.metrics.OriginFindings.WithLabelValues(string(finding)).Inc()
	result := Result{Origin: origin, Finding: finding, Asked: known.asked, Answered: len(known.peers), Evidence: known.evidence, Opinion: known.own.Opinion}
	if k.list != nil {
		result.ListAge = k.list.Age()
	}
	return result
}

// ask asks count other daemons for the origin of a stream.
func (k *Keeper) ask(ctx context.Context, query Query, count int) (asked int, answered []Answer) {
	bounded, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	answers := make(chan Answer, count)
	asked = k.peers.Ask(bounded, query, count, answers)
	return asked, collect(bounded, answers, asked)
}

// collect returns the answers that arrive before the context ends. It stops at a record.
func collect(ctx context.Context, answers <-chan Answer, count int) []Answer {
	found := []Answer{}
	for len(found) < count {
		select {
		case <-ctx.Done():
			return found
		case each := <-answers:
			found = append(found, each)
			if each.HasRecord {
				return found
			}
		}
	}
	return found
}
