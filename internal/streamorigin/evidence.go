package streamorigin

import (
	"context"
	"slices"
	"time"

	"topazpulley/internal/backend"
)

const (
	// confirmTimeout bounds the time for which the store may take to confirm the list, slowTimeout
	// if it has confirmed it within maxCertainAge: it is slow then rather than away.
	confirmTimeout = 300 * time.Millisecond
	slowTimeout    = 900 * time.Millisecond
	// hedgeDelay is how long the store may take until other daemons are asked beside it.
	hedgeDelay = 100 * time.Millisecond
	// maxAgreeing is the largest fleet all of whose daemons are asked whether they agree.
	maxAgreeing = 64
	// historyTimeout bounds the time for which other daemons may take to answer with their
	// history, which they confirm first.
	historyTimeout = slowTimeout + askTimeout
	// questionPause is the least time between two rounds of questions to other daemons.
	questionPause = 25 * time.Millisecond
	// maxCertainAge is the age from which the list may miss a change: while the store or another
	// daemon answers, it is confirmed more often.
	maxCertainAge = 3 * time.Second
)

// List is this daemon's list of backends and the configuration of the routes that lead there.
type List interface {
	// Age is an upper bound of how long ago the list was current.
	Age() time.Duration
	// Confirm brings the list up to date with the store as of a moment after the call. It
	// reports false if the store does not answer.
	Confirm(ctx context.Context) bool
	// Covers reports whether no backend was listed within backend.SoftwareWindow without this
	// daemon's knowledge, up to the list's age.
	Covers() bool
	// IsSection reports whether the list is only a section of all backends.
	IsSection() bool
	// Generation returns a number that changes with each gap in what this daemon has seen of
	// the list.
	Generation() uint64
	// Extend records that this daemon knows the software versions listed within
	// backend.SoftwareWindow from another one. It has no effect if the generation has changed.
	Extend(generation uint64)
	// Configuration is the version of the configuration.
	Configuration() int64
}

// History is what a daemon knows of the software versions of all services.
type History struct {
	// Uses are the versions that it listed within backend.SoftwareWindow.
	Uses []backend.SoftwareUse
	// IsComplete reports whether no other version was listed within backend.SoftwareWindow before a
	// moment after the daemon was asked.
	IsComplete bool
	// IsSettled reports whether no process of this daemon can have listed another one within
	// backend.SoftwareWindow.
	IsSettled bool
	// Fleet is what it knows of the fleet.
	Fleet Fleet
	// Configuration is the version of its configuration, empty histories have none.
	Configuration int64
}

// versionsOf returns the versions of a service.
func (h History) versionsOf(service string) []string {
	found := []string{}
	for _, use := range h.Uses {
		if use.Service == service {
			found = append(found, use.Version)
		}
	}
	return found
}

// Evidence says why a service had no other software versions than those that this daemon knows
// when a caller returned.
type Evidence string

// The kinds of evidence.
const (
	// EvidenceNone means that there may have been others.
	EvidenceNone Evidence = "none"
	// EvidenceAlone means that there are no other daemons by construction.
	EvidenceAlone Evidence = "alone"
	// EvidenceOwnList means that the store has confirmed this daemon's list, whose history is
	// complete.
	EvidenceOwnList Evidence = "own_list"
	// EvidencePeer means that another daemon's list is that.
	EvidencePeer Evidence = "peer"
	// EvidenceFleet means that every daemon at which the stream can have begun has told which
	// versions it listed.
	EvidenceFleet Evidence = "fleet"
	// EvidenceSections means that daemons keep sections of the list, that the store has confirmed
	// this daemon's, whose history is complete, and that all other daemons that were asked agree.
	EvidenceSections Evidence = "sections"
)

// AnswerHistory returns this daemon's history for another one, after the store has confirmed it if
// mustConfirm is set.
func (k *Keeper) AnswerHistory(ctx context.Context, mustConfirm bool) History {
	isComplete := mustConfirm && k.isConfirmedComplete(ctx)
	return History{
		Uses: k.software.SoftwareHistory(time.Now()), IsComplete: isComplete, IsSettled: k.isSettled(), Fleet: k.peers.Fleet(), Configuration: k.list.Configuration(),
	}
}

// isSettled reports whether no earlier process of this daemon can have listed versions of late that
// this one does not know: its history was complete once, or it has run for long.
func (k *Keeper) isSettled() bool {
	if k.list.Covers() || time.Since(k.startedAt) >= backend.SoftwareWindow {
		k.wasSettled.Store(true)
	}
	return k.wasSettled.Load()
}

// isConfirmedComplete reports whether this daemon knows all software versions listed within
// backend.SoftwareWindow before a moment after the call.
func (k *Keeper) isConfirmedComplete(ctx context.Context) bool {
	if k.list.IsSection() || !k.list.Covers() {
		return false
	}
	return k.confirm(ctx) && k.list.Covers()
}

func (k *Keeper) confirm(ctx context.Context) bool {
	timeout := confirmTimeout
	if k.list.Age() < maxCertainAge {
		timeout = slowTimeout
	}
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return k.list.Confirm(bounded)
}

// proof is evidence, and further versions of the service that it brought up.
type proof struct {
	evidence Evidence
	further  []string
}

// prove finds out why the service had no other software versions than those that this daemon
// knows and the further ones that it returns. allAnswered is set if all daemons that were asked
// for the origin have answered. The store is asked first; if it does not answer soon, or the
// history has a gap, other daemons are asked beside it.
func (k *Keeper) prove(ctx context.Context, service string, allAnswered bool) proof {
	if k.peers == nil {
		return proof{evidence: EvidenceAlone}
	}
	found := make(chan proof, 3)
	go func() { found <- k.proveByStore(ctx, allAnswered) }()
	hedge := time.NewTimer(hedgeDelay)
	defer hedge.Stop()
	outstanding := 1
	select {
	case each := <-found:
		if each.evidence != EvidenceNone {
			return each
		}
		outstanding = 0
	case <-hedge.C:
	}
	go func() { found <- k.proveByPeer(ctx, service) }()
	go func() { found <- k.proveByFleet(ctx, service) }()
	for range outstanding + 2 {
		if each := <-found; each.evidence != EvidenceNone {
			return each
		}
	}
	return proof{evidence: EvidenceNone}
}

// proveByStore is prove by this daemon's list. Other daemons keep other sections of it.
func (k *Keeper) proveByStore(ctx context.Context, allAnswered bool) proof {
	switch {
	case !k.list.IsSection() && k.isConfirmedComplete(ctx):
		return proof{evidence: EvidenceOwnList}
	case k.list.IsSection() && allAnswered && k.list.Covers() && k.confirm(ctx):
		return proof{evidence: EvidenceSections}
	}
	return proof{evidence: EvidenceNone}
}

// proveByPeer is prove by the list of another daemon.
func (k *Keeper) proveByPeer(ctx context.Context, service string) proof {
	history, _ := k.peerQuestions.Do(ctx, questionPause, k.askPeers)
	if !history.IsComplete || history.Configuration != k.list.Configuration() {
		return proof{evidence: EvidenceNone}
	}
	return proof{evidence: EvidencePeer, further: history.versionsOf(service)}
}

// proveByFleet is prove by the answers of all daemons at which the stream can have begun.
func (k *Keeper) proveByFleet(ctx context.Context, service string) proof {
	asked, _ := k.fleetQuestions.Do(ctx, questionPause, k.askFleet)
	if !asked.isAgreed(k.list.Configuration()) {
		return proof{evidence: EvidenceNone}
	}
	agreed := proof{evidence: EvidenceFleet}
	for _, each := range asked.histories {
		agreed.further = append(agreed.further, each.versionsOf(service)...)
	}
	slices.Sort(agreed.further)
	agreed.further = slices.Compact(agreed.further)
	return agreed
}

// fleetAnswer is what all other daemons answered.
type fleetAnswer struct {
	// fleet is what this daemon knew before and after.
	fleet     Fleet
	histories []History
}

// isAgreed reports whether every daemon at which a stream can have begun has answered. None may be
// missing or have ended of late, be unknown to another one, or run another configuration.
func (a fleetAnswer) isAgreed(configuration int64) bool {
	return len(a.histories) == a.fleet.Members-1 && !slices.ContainsFunc(a.histories, func(each History) bool {
		return !each.IsSettled || each.Fleet != a.fleet || each.Configuration != configuration
	})
}

// askFleet asks all other daemons for their history if that may be evidence. A daemon that knows no
// other one may have started behind a cut.
func (k *Keeper) askFleet() fleetAnswer {
	asked := fleetAnswer{fleet: k.peers.Fleet()}
	if !k.isSettled() || !asked.fleet.IsWhole || asked.fleet.Members < 2 || asked.fleet.Members > maxAgreeing {
		return fleetAnswer{}
	}
	bounded, cancel := context.WithTimeout(context.Background(), historyTimeout)
	defer cancel()
	answers := make(chan History, maxAgreeing)
	for range k.peers.AskHistory(bounded, false, maxAgreeing, answers) {
		asked.histories = append(asked.histories, <-answers)
	}
	if k.peers.Fleet() != asked.fleet {
		return fleetAnswer{}
	}
	return asked
}

// askPeers returns the first complete history of other daemons, or an incomplete one if none has
// any.
func (k *Keeper) askPeers() History {
	bounded, cancel := context.WithTimeout(context.Background(), historyTimeout)
	defer cancel()
	answers := make(chan History, askedDaemons)
	for range k.peers.AskHistory(bounded, true, askedDaemons, answers) {
		if each := <-answers; each.IsComplete {
			return each
		}
	}
	return History{}
}

// completeHistory asks other daemons for what this one has not seen of the list, if anything.
func (k *Keeper) completeHistory(ctx context.Context) {
	if k.list.Covers() || k.list.IsSection() {
		return
	}
	generation := k.list.Generation()
	history, _ := k.peerQuestions.Do(ctx, questionPause, k.askPeers)
	if !history.IsComplete {
		return
	}
	k.software.AddSoftwareHistory(history.Uses, time.Now())
	k.list.Extend(generation)
	k.log.Info("software_history_completed", "versions", len(history.Uses))
}

// isCertain reports whether the list has all software versions of late, so that no stream needs
// a record elsewhere while its service has one version.
func (k *Keeper) isCertain() bool { return k.list.Covers() && k.list.Age() < maxCertainAge }
