package streamorigin

import (
	"context"
	"time"

	"topazpulley/internal/backend"
)

const (
	// confirmTimeout bounds the time for which the store may take to confirm the list.
	confirmTimeout = 300 * time.Millisecond
	// historyTimeout bounds the time for which other daemons may take to answer with their
	// history, which they confirm first.
	historyTimeout = confirmTimeout + askTimeout
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
	// Covers reports whether no backend was listed within backend.StreamWindow without this
	// daemon's knowledge, up to the list's age.
	Covers() bool
	// IsSection reports whether the list is only a section of all backends.
	IsSection() bool
	// Generation returns a number that changes with each gap in what this daemon has seen of
	// the list.
	Generation() uint64
	// Extend records that this daemon knows the software versions listed within
	// backend.StreamWindow from another one. It has no effect if the generation has changed.
	Extend(generation uint64)
	// Configuration is the version of the configuration.
	Configuration() int64
}

// History is what a daemon knows of the software versions of all services.
type History struct {
	// IsComplete reports whether Uses are all versions listed within backend.StreamWindow before
	// a moment after the daemon was asked. The other fields are set only then.
	IsComplete bool
	Uses       []backend.SoftwareUse
	// Configuration is the version of the newest configuration at that moment.
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
	// EvidenceSections means that daemons keep sections of the list, that the store has confirmed
	// this daemon's, and that all other daemons that were asked agree.
	EvidenceSections Evidence = "sections"
)

// AnswerHistory returns this daemon's history for another one, after the store has confirmed it.
func (k *Keeper) AnswerHistory(ctx context.Context) History {
	if !k.isConfirmedComplete(ctx) {
		return History{}
	}
	return History{IsComplete: true, Uses: k.software.SoftwareHistory(time.Now()), Configuration: k.list.Configuration()}
}

// isConfirmedComplete reports whether this daemon knows all software versions listed within
// backend.StreamWindow before a moment after the call.
func (k *Keeper) isConfirmedComplete(ctx context.Context) bool {
	if k.list.IsSection() || !k.list.Covers() {
		return false
	}
	return k.confirm(ctx) && k.list.Covers()
}

func (k *Keeper) confirm(ctx context.Context) bool {
	bounded, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	return k.list.Confirm(bounded)
}

// prove finds out why the service had no other software versions than those that this daemon
// knows and the further ones that it returns. allAnswered is set if all daemons that were asked
// for the origin have answered.
func (k *Keeper) prove(ctx context.Context, service string, allAnswered bool) (Evidence, []string) {
	switch {
	case k.peers == nil:
		return EvidenceAlone, nil
	case k.list.IsSection():
		return k.proveBySections(ctx, allAnswered), nil
	case k.list.Age() < maxCertainAge && k.isConfirmedComplete(ctx):
		return EvidenceOwnList, nil
	}
	history := k.askHistory(ctx)
	if history.IsComplete && history.Configuration == k.list.Configuration() {
		return EvidencePeer, history.versionsOf(service)
	}
	if k.isConfirmedComplete(ctx) {
		return EvidenceOwnList, nil
	}
	return EvidenceNone, nil
}

// proveBySections is prove for a list that is a section. Other daemons keep other sections.
func (k *Keeper) proveBySections(ctx context.Context, allAnswered bool) Evidence {
	if allAnswered && k.confirm(ctx) {
		return EvidenceSections
	}
	return EvidenceNone
}

// askHistory returns the first complete history of other daemons, or an incomplete one if none
// has any.
func (k *Keeper) askHistory(ctx context.Context) History {
	bounded, cancel := context.WithTimeout(ctx, historyTimeout)
	defer cancel()
	answers := make(chan History, askedDaemons)
	asked := k.peers.AskHistory(bounded, askedDaemons, answers)
	for range asked {
		select {
		case <-bounded.Done():
			return History{}
		case each := <-answers:
			if each.IsComplete {
				return each
			}
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
	history := k.askHistory(ctx)
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
