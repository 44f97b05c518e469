// Package job keeps batch jobs: a job is accepted once, durably; one daemon at
// a time runs its items; results take fixed positions; and any daemon answers
// questions about any job from the store.
//
// Invariants, all of which rest on conditional commits alone:
//   - A job exists from the commit that writes its acceptance row, which is
//     insert-if-absent. A resent job finds the row.
//   - The claim row of an open job names its owner. Every commit of results is
//     conditional on the version of the claim row, so that an owner that lost
//     its claim commits nothing more. Ending a job removes the row.
//   - A result row is insert-if-absent at its position and never changes.
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

// ClaimTable is the table whose changes a Service must be told.
const ClaimTable = "open_job"

// Tables of the store.
const (
	tableAccepted = "job"
	tableContent  = "job_content"
	tableClaim    = ClaimTable
	tableResult   = "result"
	// tableVoid holds jobs whose acceptance was given up while its outcome was
	// unknown; one that is carried out late fails on the row.
	tableVoid = "void_job"
)

// shardCount is the number of partitions that jobs are spread over. It must
// never change while jobs exist.
const shardCount = 16

// shard returns the partition of a job's rows.
func shard(id string) string { return strconv.FormatUint(xxhash.Sum64String(id)%shardCount, 16) }

// Item is one request of a job.
type Item struct {
	ID   string
	Path string
	// Fields are passed to the backend.
	Fields []serving.Field
	Body   []byte
	// Prompt is the parts of the item's prompt in order.
	Prompt []routing.PromptPart
	// Tokens is the size of the prompt and the longest output together.
	Tokens int
}

// Check reports an item whose words cannot be sent as one request. An error is a
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

// idField stands for the field that carries an item's id to a backend.
const idField = "id"

// Job is an accepted job.
type Job struct {
	ID string
	// Host is the host name under which the job was submitted.
	Host string
	// Tenant is the name of the tenant that submitted the job; empty means that
	// anybody may read and end it.
	Tenant string
	// SubmittedAt is by the time of day of the daemon that accepted the job.
	SubmittedAt time.Time
	Due         time.Duration
	GiveUpAfter time.Duration
	Items       []Item
}

// tokens is the size of all items.
func (j *Job) tokens() int64 {
	total := int64(0)
	for _, item := range j.Items {
		total += int64(item.Tokens)
	}
	return total
}

// State says how an item ended.
type State string

// The states of a result.
const (
	StateCompleted State = "completed"
	StateAbandoned State = "abandoned"
)

// Result is the end of one item.
type Result struct {
	Item  string
	State State
	// Text is the data of all events, separated by line feeds.
	Text string
}

// Page is a part of a job's results.
type Page struct {
	// Total is the number of the job's items.
	Total   int
	Results []Result
}

// acceptance is the row that makes a job exist. It never changes. The job's
// content lies in rows beside it, or in an object if it is large.
type acceptance struct {
	Total  int    `json:"total"`
	Object string `json:"object,omitempty"`
	// Tenant is that of the job.
	Tenant string `json:"tenant,omitempty"`
}

// claim is the row that names the owner of an open job.
type claim struct {
	Owner string `json:"owner"`
	// Incarnation tells the owner's lives apart.
	Incarnation int64 `json:"incarnation"`
	// Epoch counts the owners.
	Epoch int64 `json:"epoch"`
	// Tenant is that of the job.
	Tenant string `json:"tenant,omitempty"`
}

// resultRow is a result in the store. A long text lies in an object.
type resultRow struct {
	Item   string `json:"item"`
	State  State  `json:"state"`
	Text   string `json:"text,omitempty"`
	Object string `json:"object,omitempty"`
}

// positionDigits keeps the rows of a job in the order of their positions.
const positionDigits = 6

// numberedKey is the key of one of several rows of a job: a result by its
// position, or a part of the content.
func numberedKey(id string, number int) string {
	return fmt.Sprintf("%s/%0*d", id, positionDigits, number)
}

// numberedEnd is the key behind all numbered rows of a job.
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

// codeNoJob tells that there is no such job, or none of the caller's.
const codeNoJob = "no_job"

// Failures of calls about jobs.
func notFound(id string) error {
	return failure.New(failure.KindNotFound, codeNoJob, "there is no job %s", id)
}

func unavailable(cause error) error {
	return failure.Wrap(cause, failure.KindUnavailable, "store_unavailable", "the store does not answer").WithNotRun().WithRetryAfter(retryAfterStore)
}

func acceptanceUnknown(cause error) error {
	return failure.Wrap(cause, failure.KindOutcomeUnknown, "acceptance_unknown", "the store did not tell whether the job was accepted: send it again")
}

func cancelUnknown(cause error) error {
	return failure.Wrap(cause, failure.KindOutcomeUnknown, "end_unknown", "the store did not tell whether the job was ended: end it again")
}

const retryAfterStore = 500 * time.Millisecond
