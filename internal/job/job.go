// Package job stores and runs batch jobs. A job is accepted once and durably. One
// daemon at a time, the owner, runs its items. Results are stored at fixed positions,
// and any daemon answers calls about any job from the store.
//
// Create a Service with NewService and start it with Run. Callers reach the jobs of a
// tenant through Service.Of.
//
// The package relies on conditional commits of the store for these invariants:
//   - A job exists once its acceptance row is committed. The row is inserted only
//     if absent, so a job that is submitted again is not created twice.
//   - The claim row of an open job names its owner. Every commit of results is
//     conditional on the version of the claim row, so an owner that lost its
//     claim cannot commit. Finishing or cancelling a job removes the row.
//   - A result row is inserted only if absent and never changes.
package job

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"topazpulley/internal/failure"
	"topazpulley/internal/httphead"
	"topazpulley/internal/routing"
	"topazpulley/internal/serving"
	"topazpulley/internal/table"
)

// ClaimTable is the table of claims. A Service must receive its changes as a
// table.Consumer.
const ClaimTable = "open_job"

// Tables of the store.
const (
	tableAccepted = "job"
	tableContent  = "job_content"
	tableClaim    = ClaimTable
	tableResult   = "result"
	// tableVoid holds a row for each job whose pending acceptances must fail. An
	// acceptance that commits later fails because of the row.
	tableVoid = "void_job"
)

// shardCount is the number of store partitions that hold jobs. It must not change while
// jobs exist.
const shardCount = 16

// shard returns the partition of a job's rows.
func shard(id string) string { return strconv.FormatUint(xxhash.Sum64String(id)%shardCount, 16) }

// Item is one request of a job.
type Item struct {
	ID   string
	Path string
	// Fields are the header fields that are forwarded to the backend.
	Fields []serving.Field
	Body   []byte
	// Prompt lists the parts of the prompt in order.
	Prompt []routing.PromptPart
	// Tokens is the size of the prompt plus the maximum output.
	Tokens int
}

// Check returns an error if the item cannot be sent as one HTTP request. The error is a
// *httphead.Fault.
func (i *Item) Check() error {
	if err := httphead.CheckTarget(i.Path); err != nil {
		return err
	}
	if err := httphead.CheckField(idField, i.ID); err != nil {
		return err
	}
	for _, field := range i.Fields {
		if err := httphead.CheckField(field.Name, field.Value); err != nil {
			return err
		}
	}
	return nil
}

// idField names the item's id in errors of Check.
const idField = "id"

// Job is an accepted job.
type Job struct {
	ID string
	// Host is the host name that the job was submitted to.
	Host string
	// Tenant is the name of the tenant that submitted the job. If it is empty, any caller
	// may read and cancel the job.
	Tenant string
	// SubmittedAt is the wall-clock time of the daemon that accepted the job.
	SubmittedAt time.Time
	// Due is the time from SubmittedAt by which the job should be finished.
	Due time.Duration
	// GiveUpAfter is the time from SubmittedAt after which items that are still waiting are
	// abandoned. Zero means never.
	GiveUpAfter time.Duration
	Items       []Item
}

// maxIDBytes limits the ids of jobs and items: a row's key holds one of each.
const maxIDBytes = (table.MaxKeyBytes - len("/")) / 2

// CheckKeys returns a failure if an id is too long for the keys of the store.
func (j *Job) CheckKeys() error {
	if len(j.ID) > maxIDBytes {
		return idTooLong("job", j.ID)
	}
	for _, item := range j.Items {
		if len(item.ID) > maxIDBytes {
			return idTooLong("item", item.ID)
		}
	}
	return nil
}

func idTooLong(what, id string) error {
	return failure.New(failure.KindInvalid, "id_too_long", "the id of %s %q is longer than %d bytes", what, id, maxIDBytes).WithNotRun()
}

// tokens returns the total size of the items in tokens.
func (j *Job) tokens() int64 {
	total := int64(0)
	for _, item := range j.Items {
		total += int64(item.Tokens)
	}
	return total
}

// State is the final state of an item.
type State string

// The states of a result.
const (
	StateCompleted State = "completed"
	StateAbandoned State = "abandoned"
)

// Result is the result of one item.
type Result struct {
	Item  string
	State State
	// Text is the data of all events, separated by line feeds.
	Text string
}

// Page is a consecutive part of a job's results.
type Page struct {
	// Total is the number of the job's items.
	Total   int
	Results []Result
}

// acceptance is the row that makes a job exist. It never changes. The job's content is
// in rows of tableContent or, if it is large, in an object.
type acceptance struct {
	Total  int    `json:"total"`
	Object string `json:"object,omitempty"`
	Tenant string `json:"tenant,omitempty"`
}

// claim is the row that names the owner of an open job.
type claim struct {
	Owner string `json:"owner"`
	// Incarnation is the owner's incarnation in the membership when it made the claim.
	Incarnation int64 `json:"incarnation"`
	// Process is the run of the owner that made the claim. Earlier builds write none.
	Process string `json:"process,omitempty"`
	// Epoch increases by one with each new owner.
	Epoch  int64  `json:"epoch"`
	Tenant string `json:"tenant,omitempty"`
}

// resultRow is a stored result. A long text is stored as the object named by Object.
type resultRow struct {
	Item   string `json:"item"`
	State  State  `json:"state"`
	Text   string `json:"text,omitempty"`
	Object string `json:"object,omitempty"`
}

// positionDigits is the number of digits of a row number in a key. Padding keeps the
// rows in numerical order.
const positionDigits = 6

// numberedKey returns the key of one of several rows of a job: a result by its
// position, or a part of the content.
func numberedKey(id string, number int) string {
	return fmt.Sprintf("%s/%0*d", id, positionDigits, number)
}

// numberedEnd returns a key that sorts after all numbered rows of a job: the character
// 0 follows / in the order of keys.
func numberedEnd(id string) string { return id + "0" }

func encode(value any) ([]byte, error) {
	encoded, err := json.Marshal(value)
	return encoded, errors.WithStack(err)
}

func decode(row table.Row, target any) error {
	if err := json.Unmarshal(row.Value, target); err != nil {
		return failure.Wrap(err, failure.KindInternal, "bad_row", "row %s of table %s cannot be read", row.Key, row.Table)
	}
	return nil
}

// codeNoJob is the error code if a job does not exist or belongs to another tenant.
const codeNoJob = "no_job"

// notFound returns the failure for a job that does not exist or belongs to another
// tenant.
func notFound(id string) error {
	return failure.New(failure.KindNotFound, codeNoJob, "there is no job %s", id)
}

// unavailable returns the failure for a call that had no effect because the store did
// not answer.
func unavailable(cause error) error {
	return failure.Wrap(cause, failure.KindUnavailable, "store_unavailable", "the store does not answer").WithNotRun().WithRetryAfter(retryAfterStore)
}

// rejectedSubmission returns the failure for a job that the store does not accept.
func rejectedSubmission(cause error) error {
	return failure.Wrap(cause, failure.KindTooLarge, "job_not_storable", "the store does not accept a job of this form or size").WithNotRun()
}

// notStored returns the failure for a job whose content could not be stored.
func notStored(cause error) error {
	if isInvalid(cause) {
		return rejectedSubmission(cause)
	}
	return unavailable(cause)
}

// acceptanceUnknown returns the failure for a submission that may have taken effect.
func acceptanceUnknown(cause error) error {
	return failure.Wrap(cause, failure.KindOutcomeUnknown, "acceptance_unknown", "the store did not confirm whether the job was accepted: send it again")
}

// cancelUnknown returns the failure for a cancellation that may have taken effect or
// may still do so.
func cancelUnknown(cause error) error {
	return failure.Wrap(cause, failure.KindOutcomeUnknown, "end_unknown", "the store did not confirm whether the job was cancelled: cancel it again")
}

// retryAfterStore is the retry delay that callers are advised of after failures of the
// store.
const retryAfterStore = 500 * time.Millisecond
