// Package revision implements the configuration log: an append-only sequence of
// revisions in the platform's table. All daemons apply the highest revision.
// Revisions are never removed; a withdrawal is a new revision.
//
// Log reads and appends revisions, Holder keeps the revision that is current on
// this daemon, and Watcher keeps Holder up to date.
package revision

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"

	"topazpulley/internal/bundle"
	"topazpulley/internal/failure"
	"topazpulley/internal/storage"
)

// Kind is the type of a revision.
type Kind string

// The kinds of revision.
const (
	// KindAccept records a signed bundle. The active bundle stays the same.
	KindAccept Kind = "accept"
	// KindRoll activates an accepted bundle.
	KindRoll Kind = "roll"
	// KindWithdraw withdraws the active bundle and activates the previous one.
	KindWithdraw Kind = "withdraw"
)

// Revision is one row of the log. Rows are never changed.
type Revision struct {
	Number int64 `json:"number"`
	Kind   Kind  `json:"kind"`
	// Subject is the digest of the bundle that the revision is about.
	Subject string `json:"subject"`
	// Active is the digest of the bundle that is active as of this revision, or
	// empty.
	Active string `json:"active"`
	// Earlier are the digests of previously active bundles, the latest last.
	Earlier []string `json:"earlier,omitempty"`
	// Signatures approve the Subject.
	Signatures  []bundle.Signature `json:"signatures,omitempty"`
	Operator    string             `json:"operator"`
	OperationID string             `json:"operation_id"`
	// Created is a Unix time in milliseconds.
	Created int64 `json:"created"`
}

const (
	prefix          = "revision/"
	maxEarlier      = 16
	historyPageSize = 200
)

func key(number int64) string { return fmt.Sprintf("%s%012d", prefix, number) }

// BundleObject returns the object name of a bundle's text.
func BundleObject(digest string) string { return "bundles/" + digest }

// Log reads and appends revisions.
type Log struct {
	platform *storage.Client
}

// NewLog returns the log over the daemon's platform client.
func NewLog(client *storage.Client) *Log { return &Log{platform: client} }

// Head returns the highest revision; number 0 means that there is none.
func (l *Log) Head(ctx context.Context) (Revision, error) {
	history, err := l.History(ctx, 1)
	if err != nil || len(history) == 0 {
		return Revision{}, err
	}
	return history[0], nil
}

// History returns the newest revisions, the highest first.
func (l *Log) History(ctx context.Context, limit int) ([]Revision, error) {
	rows, err := l.platform.Scan(ctx, storage.ScanRequest{Prefix: prefix, Limit: limit, Reverse: true})
	if err != nil {
		return nil, err
	}
	history := make([]Revision, len(rows))
	for index, row := range rows {
		if err := json.Unmarshal(row.Value, &history[index]); err != nil {
			return nil, failure.Wrap(err, failure.KindInternal, "bad_revision", "revision row %s is damaged", row.Key)
		}
	}
	return history, nil
}

// Change is a revision that an operator requests.
type Change struct {
	Kind Kind
	// Subject is the digest of the bundle.
	Subject    string
	Signatures []bundle.Signature
	Operator   string
	// OperationID is chosen by the operator's client. A repeated call with the
	// same id returns the revision of the first call.
	OperationID string
	// Base is the number of the head that the change is based on. If the head
	// is another revision, the change is a conflict. A negative value allows
	// any head.
	Base int64
}

// Append appends a revision. If another operator appends at the same time, it
// returns a conflict that names the other revision.
func (l *Log) Append(ctx context.Context, change Change, now time.Time) (Revision, error) {
	history, err := l.History(ctx, historyPageSize)
	if err != nil {
		return Revision{}, failure.From(err).WithNotRun()
	}
	for _, earlier := range history {
		if earlier.OperationID == change.OperationID {
			return earlier, nil
		}
	}
	head := Revision{}
	if len(history) > 0 {
		head = history[0]
	}
	if change.Base >= 0 && head.Number != change.Base {
		return head, overtakenBy(head)
	}
	next, err := head.next(change, history, now)
	if err != nil {
		return head, err
	}
	return l.insert(ctx, next)
}

func overtakenBy(existing Revision) *failure.Error {
	return failure.New(failure.KindConflict, "revision_overtaken",
		"operator %q created revision %d (%s of %.12s) first: review it and retry", existing.Operator, existing.Number, existing.Kind, existing.Subject).WithNotRun()
}

func (l *Log) insert(ctx context.Context, next Revision) (Revision, error) {
	encoded, err := json.Marshal(next)
	if err != nil {
		return next, errors.WithStack(err)
	}
	_, err = l.platform.Transact(ctx, storage.Transaction{
		OperationID: next.OperationID,
		Conditions:  []storage.Condition{{Key: key(next.Number)}},
		Writes:      []storage.Write{{Key: key(next.Number), Value: encoded}},
	})
	var conflict *storage.ConflictError
	if !errors.As(err, &conflict) {
		return next, err
	}
	existing := Revision{}
	if json.Unmarshal(conflict.Rows[0].Value, &existing) == nil && existing.OperationID == next.OperationID {
		return existing, nil
	}
	return existing, overtakenBy(existing)
}

// next computes the revision that follows the head.
func (r Revision) next(change Change, history []Revision, now time.Time) (Revision, error) {
	next := Revision{
		Number: r.Number + 1, Kind: change.Kind, Subject: change.Subject, Active: r.Active, Earlier: r.Earlier,
		Signatures: change.Signatures, Operator: change.Operator, OperationID: change.OperationID, Created: now.UnixMilli(),
	}
	switch change.Kind {
	case KindAccept:
		return next, nil
	case KindRoll:
		return next.roll(r, history)
	case KindWithdraw:
		return next.withdraw(r)
	}
	return next, failure.New(failure.KindInvalid, "bad_kind", "a revision is accept, roll or withdraw, not %q", change.Kind)
}

func (r Revision) roll(head Revision, history []Revision) (Revision, error) {
	for _, earlier := range history {
		if earlier.Subject != r.Subject {
			continue
		}
		if earlier.Kind == KindWithdraw {
			return r, failure.New(failure.KindConflict, "bundle_withdrawn", "bundle %.12s was withdrawn by revision %d: propose it again first", r.Subject, earlier.Number)
		}
		r.Signatures = earlier.Signatures
		if head.Active != "" && head.Active != r.Subject {
			r.Earlier = append(slices.Clone(head.Earlier), head.Active)
		}
		r.Earlier = r.Earlier[max(0, len(r.Earlier)-maxEarlier):]
		r.Active = r.Subject
		return r, nil
	}
	return r, failure.New(failure.KindNotFound, "bundle_not_accepted", "bundle %.12s has not been accepted: propose it first", r.Subject)
}

func (r Revision) withdraw(head Revision) (Revision, error) {
	if head.Active != r.Subject {
		return r, failure.New(failure.KindConflict, "bundle_not_active", "bundle %.12s is not active, %.12s is", r.Subject, head.Active)
	}
	if len(head.Earlier) == 0 {
		return r, failure.New(failure.KindConflict, "nothing_earlier", "no bundle was active before: roll another bundle instead")
	}
	last := len(head.Earlier) - 1
	r.Active = head.Earlier[last]
	r.Earlier = slices.Clone(head.Earlier[:last])
	return r, nil
}
