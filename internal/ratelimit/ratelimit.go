// Package ratelimit limits the request rate of each tenant over the whole fleet.
//
// A limit is a token bucket that is split into equal shards. Each shard is granted by one
// daemon, its coordinator. Coordinators are chosen by rendezvous hashing over the recently seen
// daemons, so that all daemons agree on them without communication, also on both sides of a
// network partition. A daemon asks one coordinator for each request, and the others if that one
// refuses. A daemon that wrongly takes itself for a coordinator grants at most one extra shard.
//
// Invariants:
//   - A bucket grants at most its capacity and the tokens accrued since, by the monotonic
//     clock. A new bucket starts almost empty, because its predecessor may just have granted
//     everything.
//   - The capacities of all shards, the initial levels after a loss of all coordinators and
//     the grants of backup coordinators together stay within the configured tolerance.
//   - A daemon that reaches no coordinator grants only its own share of the rate, reduced by
//     half at first. A coordinator that a part of the fleet doesn't reach grants less, so that
//     both sides of a detected partition together grant at most the limit.
//   - A limit of an older configuration never replaces a newer one.
package ratelimit

import (
	"context"
	"time"

	"topazpulley/internal/tenant"
)

// Limit is a tenant's limit in one version of the configuration.
type Limit struct {
	tenant.Limit
	// Config is the version of the configuration that contains the limit.
	Config int64
}

// Daemon is a daemon that can coordinate a shard of a limit.
type Daemon struct {
	Name    string
	Address string
}

// View is a daemon's current view of the fleet.
type View struct {
	// Daemons are the live daemons, this one included.
	Daemons []Daemon
	// Missing are daemons that were seen recently and have not left. They may have crashed, or
	// be partitioned and still granting their shard.
	Missing []Daemon
	// IsKnown is false while the view is too incomplete for all daemons to agree on
	// coordinators.
	IsKnown bool
}

// Fleet gives access to the other daemons.
type Fleet interface {
	// Self returns this daemon's name.
	Self() string
	// View returns the current view.
	View() View
	// Ask sends a request to the coordinator at an address.
	Ask(ctx context.Context, address string, request Request) (Answer, error)
}

// Source is the kind of daemon or state that a decision is based on.
type Source string

// The sources of decisions.
const (
	// SourceUnlimited: the tenant has no limit.
	SourceUnlimited Source = "unlimited"
	// SourceCoordinator: the coordinator of a shard decided.
	SourceCoordinator Source = "keeper"
	// SourceBackup: a backup coordinator decided because a coordinator did not answer.
	SourceBackup Source = "stand_in"
	// SourceShare: no coordinator answered, and this daemon used its own share of the limit.
	SourceShare Source = "own_share"
	// SourceRecent: coordinators refused the tenant recently, and the retry time has not come.
	SourceRecent Source = "recent_refusal"
)

// Decision is the result of a rate limit check and its basis.
type Decision struct {
	IsAdmitted bool
	// RetryAfter is the time until a refused request can be granted.
	RetryAfter time.Duration
	Source     Source
	// Coordinator is the name of the daemon that decided.
	Coordinator string
	// Level is the number of tokens in the shard before the decision.
	Level float64
	// Config is the version of the configuration whose limit was applied.
	Config int64
	// Asked counts the daemons that were asked, Silent those that did not answer.
	Asked  int
	Silent int
	// Took is the time that the decision needed.
	Took time.Duration
}
