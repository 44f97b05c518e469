// Package ratelimit bounds the requests of each tenant, summed over all daemons
// of the fleet.
//
// A limit is a token bucket that is split into equal parts, each granted by one
// daemon, the part's keeper. Keepers are chosen by rendezvous hashing over the
// daemons seen of late, so that all daemons agree on them without asking, also on
// both sides of a cut. A daemon asks
// one keeper for each request, and the others where that one refuses. Splitting
// bounds what any disagreement can cost: a daemon that wrongly believes that it
// is a keeper, or still is one, grants one part more and no whole limit.
//
// Invariants:
//   - A bucket grants at most its capacity and what has flowed in since, by the
//     steady clock. One that is new starts nearly empty: its predecessor may have
//     granted everything a moment ago.
//   - The capacities of all parts, the starts after a loss of all keepers, and
//     what stands in for silent keepers stay together within the tolerance that
//     the operator allows beyond the limit.
//   - A daemon that reaches no keeper grants its own share of the rate and
//     nothing beyond, half of it at first. A keeper that a part of the fleet does
//     not reach grants less by what others grant in its place: the sides of a cut
//     that was noticed together grant no more than the whole.
//   - A limit of an older configuration never replaces one of a newer.
package ratelimit

import (
	"context"
	"time"

	"topazpulley/internal/tenant"
)

// Limit is a tenant's limit by one version of the configuration.
type Limit struct {
	tenant.Limit
	// Config is the version of the configuration that says so.
	Config int64
}

// Daemon is one that can keep a part of a limit.
type Daemon struct {
	Name    string
	Address string
}

// View is what a daemon sees of the fleet.
type View struct {
	// Daemons are those among which limits are kept, this one included.
	Daemons []Daemon
	// Missing are those that were seen of late and did not leave. They may be dead, or
	// may be cut off and grant their part.
	Missing []Daemon
	// IsKnown is false while the fleet is not known well enough for all daemons
	// to agree on it.
	IsKnown bool
}

// Fleet reaches the daemons that keep limits.
type Fleet interface {
	// Self is this daemon's name.
	Self() string
	// View returns what this daemon sees now.
	View() View
	// Ask sends a request to the keeper at an address.
	Ask(ctx context.Context, address string, request Request) (Answer, error)
}

// Source says who decided on a request.
type Source string

// The sources of decisions.
const (
	// SourceUnlimited tells that the tenant has no limit.
	SourceUnlimited Source = "unlimited"
	// SourceCoordinator tells that the keeper of a part decided.
	SourceCoordinator Source = "keeper"
	// SourceBackup tells that a daemon decided in place of a silent keeper.
	SourceBackup Source = "stand_in"
	// SourceShare tells that no keeper could be asked, and that this daemon
	// decided by its own share of the limit.
	SourceShare Source = "own_share"
	// SourceRecent tells that keepers refused the tenant here a moment ago and
	// told when to ask again.
	SourceRecent Source = "recent_refusal"
)

// Decision tells whether a request may go on, and what that rests on.
type Decision struct {
	IsAdmitted bool
	// RetryAfter is when the limit will have room for a refused request.
	RetryAfter time.Duration
	Source     Source
	// Coordinator is the daemon that decided.
	Coordinator string
	// Level is how many requests the part of the limit had room for, before the
	// decision.
	Level float64
	// Config is the version of the configuration whose limit was applied.
	Config int64
	// Asked counts the daemons that were asked, Silent those without an answer.
	Asked  int
	Silent int
	// Took is the time until the decision.
	Took time.Duration
}
