// Package quota bounds the tokens that wait on an account, summed over all
// daemons of the fleet. An account is one route, or one tenant's part of it.
//
// The store holds one row with the account's total and one reservation for each
// job that waits. Invariants, all of which rest on conditional commits alone:
//   - The total is the sum of the reservations: both change in one transaction,
//     which is conditional on the version of the total.
//   - A reservation that adds tokens is committed only if the total then stays
//     within the limit. So no daemon's old picture can pass the limit.
//   - A reservation names its holder; a release by anybody else changes nothing.
//     It is settled under the epoch of the job's claim, which only rises.
//
// One daemon, the account's keeper, commits for all others while it is
// reachable, several operations at a time. That saves calls and conflicts; no
// promise rests on it, and any daemon may commit itself.
package quota

import (
	"context"
	"strings"
	"time"

	"topazpulley/internal/failure"
	"topazpulley/internal/table"
)

// Tables of the store. The partition of their rows is the account.
const (
	tableTotal       = "quota_total"
	tableReservation = "quota_reservation"
	// keyTotal is the key of an account's only row in tableTotal.
	keyTotal = "total"
)

// TenantSeparator stands in the name of an account between the route and the
// tenant, where tenants have accounts of their own. Metrics are by route: there
// may be thousands of tenants.
const TenantSeparator = "/tenant/"

// routeOf returns the route of an account.
func routeOf(account string) string {
	route, _, _ := strings.Cut(account, TenantSeparator)
	return route
}

// Limit is the bound of an account by one version of the configuration.
type Limit struct {
	// Tokens is the bound; 0 means none.
	Tokens int64
	// Config is the version of the configuration that says so.
	Config int64
}

// Kind says what an operation does.
type Kind int

// The kinds of operation.
const (
	// KindReserve adds a job's tokens if they fit. A reservation that exists
	// already is taken over by the new holder and never refused.
	KindReserve Kind = iota
	// KindSettle sets what is left of an accepted job, 0 when it is over. It is
	// never refused: the caller owns the job.
	KindSettle
	// KindRelease takes a reservation back that came to nothing, if the holder
	// still holds it.
	KindRelease
)

// Operation is one change of a reservation.
type Operation struct {
	Kind Kind   `avro:"kind"`
	Job  string `avro:"job"`
	// Tokens is what the job has waiting.
	Tokens int64 `avro:"tokens"`
	// Holder names the call or the daemon that holds the reservation.
	Holder string `avro:"holder"`
	// Epoch is that of the claim under which a job is settled. Settling under a
	// lower epoch than the last changes nothing.
	Epoch int64 `avro:"epoch"`
}

// Outcome is what became of an operation.
type Outcome struct {
	// IsGranted is false only for a reservation that does not fit.
	IsGranted bool `avro:"granted"`
	// IsNew tells that the reservation did not exist before.
	IsNew bool `avro:"new"`
	// Waiting is the account's total after the operation, and Limit the bound
	// that was applied.
	Waiting int64 `avro:"waiting"`
	Limit   int64 `avro:"limit"`
	// FreedPerSecond is how many tokens of the account ended lately, as the
	// committing daemon saw it.
	FreedPerSecond float64 `avro:"freed_per_second"`
}

// Reservation is what the store holds for one job.
type Reservation struct {
	Job     string
	Tokens  int64
	Holder  string
	Version table.Version
}

// Store is the part of the store that reservations need.
type Store interface {
	Commit(ctx context.Context, transaction table.Transaction) (table.Version, error)
	Read(ctx context.Context, wanted table.Range) (table.Page, error)
	Partitions(ctx context.Context, name, after string) ([]string, bool, error)
}

// Refused is the failure of a job that does not fit.
func Refused(account string, outcome Outcome, retryAfter time.Duration) error {
	return failure.New(failure.KindOverloaded, "quota_reached", "%d of %d tokens wait on %s already: send the job again later", outcome.Waiting, outcome.Limit, account).
		WithNotRun().WithRetryAfter(retryAfter)
}

// codeUnavailable tells that the store did not say what waits.
const codeUnavailable = "quota_unavailable"

func unavailable(cause error) error {
	return failure.Wrap(cause, failure.KindUnavailable, codeUnavailable, "the store does not tell what waits").WithNotRun().WithRetryAfter(retryAfterStore)
}

// retryAfterStore is the advice to callers while the store does not answer.
const retryAfterStore = 500 * time.Millisecond
