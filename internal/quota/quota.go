// Package quota limits the queued tokens of an account over all daemons of the fleet. An
// account is a route, or one tenant on a route.
//
// The store has one row with the account's total and one reservation for each
// queued job. These invariants are enforced by conditional commits alone:
//   - The total is the sum of the reservations: both change in one transaction,
//     which is conditional on the version of the total.
//   - A reservation that adds tokens is committed only if the new total is within the
//     limit, even if the daemon's view of the account is outdated.
//   - A reservation has a holder. A release by another holder changes nothing.
//   - A reservation is settled under the epoch of the job's claim, which only increases.
//     A settlement under a lower epoch changes nothing.
//
// One daemon, the account's coordinator, commits for all others while it is reachable, and
// combines operations into one transaction. This saves calls and conflicts. Correctness does
// not depend on it: any daemon may commit directly.
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

// TenantSeparator separates route and tenant in the name of a tenant's account. Metrics are
// labelled by route only: there may be thousands of tenants.
const TenantSeparator = "/tenant/"

// routeOf returns the route of an account.
func routeOf(account string) string {
	route, _, _ := strings.Cut(account, TenantSeparator)
	return route
}

// Limit is the limit of an account in one version of the configuration.
type Limit struct {
	// Tokens is the maximum number of queued tokens. 0 means no limit.
	Tokens int64
	// Config is the version of the configuration.
	Config int64
}

// Kind is the kind of an operation.
type Kind int

// The kinds of operation.
const (
	// KindReserve adds a job's tokens if they fit. An existing reservation is assigned to
	// the new holder and never refused.
	KindReserve Kind = iota
	// KindSettle sets the remaining tokens of an accepted job, 0 when it is finished. It
	// is never refused: the caller owns the job.
	KindSettle
	// KindRelease removes the reservation of a job that was not accepted, if its holder is
	// unchanged.
	KindRelease
)

// Operation is one change of a reservation.
type Operation struct {
	Kind Kind   `avro:"kind"`
	Job  string `avro:"job"`
	// Tokens is the number of the job's queued tokens.
	Tokens int64 `avro:"tokens"`
	// Holder identifies the call or the daemon that holds the reservation.
	Holder string `avro:"holder"`
	// Epoch is the epoch of the claim under which a job is settled. A settlement with a
	// lower epoch than the last one changes nothing.
	Epoch int64 `avro:"epoch"`
}

// Outcome is the result of an operation.
type Outcome struct {
	// IsGranted is false only for a reservation that does not fit.
	IsGranted bool `avro:"granted"`
	// IsNew is true if the reservation did not exist before.
	IsNew bool `avro:"new"`
	// Waiting is the account's total of queued tokens after the operation, and Limit the
	// limit that was applied.
	Waiting int64 `avro:"waiting"`
	Limit   int64 `avro:"limit"`
	// FreedPerSecond is the recent rate of freed tokens of the account, in tokens per
	// second, as measured by the committing daemon.
	FreedPerSecond float64 `avro:"freed_per_second"`
}

// Reservation is the stored reservation of one job.
type Reservation struct {
	Job     string
	Tokens  int64
	Holder  string
	Version table.Version
}

// Store is the subset of the store that reservations use.
type Store interface {
	Commit(ctx context.Context, transaction table.Transaction) (table.Version, error)
	Read(ctx context.Context, wanted table.Range) (table.Page, error)
	Partitions(ctx context.Context, name, after string) ([]string, bool, error)
}

// Refused returns the error for a job that does not fit.
func Refused(account string, outcome Outcome, retryAfter time.Duration) error {
	return failure.New(failure.KindOverloaded, "quota_reached", "%d of %d tokens are queued on %s: retry the job later", outcome.Waiting, outcome.Limit, account).
		WithNotRun().WithRetryAfter(retryAfter)
}

// codeUnavailable is the error code for an operation whose result the store did not return.
const codeUnavailable = "quota_unavailable"

func unavailable(cause error) error {
	return failure.Wrap(cause, failure.KindUnavailable, codeUnavailable, "the store did not return the queued tokens of the account").WithNotRun().WithRetryAfter(retryAfterStore)
}

// retryAfterStore is the time after which callers should retry while the store does not answer.
const retryAfterStore = 500 * time.Millisecond
