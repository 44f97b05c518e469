package frontend

import (
	"github.com/hamba/avro/v2"
	"github.com/pkg/errors"

	"topazpulley/internal/avrocodec"
	"topazpulley/internal/table"
)

// storeOperation names a call to the store.
type storeOperation string

const (
	storeCommit     storeOperation = "commit"
	storeRead       storeOperation = "read"
	storePartitions storeOperation = "partitions"
	storePutObject  storeOperation = "put_object"
	storeGetObject  storeOperation = "get_object"
)

// storeRequest asks another daemon to make a call to the store.
type storeRequest struct {
	Operation    string           `avro:"operation"`
	Table        string           `avro:"table"`
	Partition    string           `avro:"partition"`
	From         string           `avro:"from"`
	Before       string           `avro:"before"`
	Limit        int              `avro:"limit"`
	Name         string           `avro:"name"`
	Content      []byte           `avro:"content"`
	Conditions   []conditionInput `avro:"conditions"`
	Writes       []writeInput     `avro:"writes"`
	Removals     []removalInput   `avro:"removals"`
	Milliseconds int64            `avro:"milliseconds"`
}

type conditionInput struct {
	Table   string `avro:"table"`
	Key     string `avro:"key"`
	Version int64  `avro:"version"`
}

type writeInput struct {
	Table string `avro:"table"`
	Key   string `avro:"key"`
	Value []byte `avro:"value"`
}

type removalInput struct {
	Table string `avro:"table"`
	Key   string `avro:"key"`
}

// storeAnswer is the result of a call. ErrorKind is noError if there was none. The rows of a
// conflict have their table names set.
type storeAnswer struct {
	ErrorKind  int         `avro:"error_kind"`
	IsConflict bool        `avro:"is_conflict"`
	Version    int64       `avro:"version"`
	Rows       []rowRecord `avro:"rows"`
	More       bool        `avro:"more"`
	Partitions []string    `avro:"partitions"`
	Content    []byte      `avro:"content"`
}

// noError is the ErrorKind of a call that succeeded.
const noError = -1

var (
	storeRequestSchema = avrocodec.MustParse(`{"type":"record","name":"store_request","fields":[{"name":"operation","type":"string"},
		{"name":"table","type":"string"},{"name":"partition","type":"string"},{"name":"from","type":"string"},{"name":"before","type":"string"},
		{"name":"limit","type":"int"},{"name":"name","type":"string"},{"name":"content","type":"bytes"},
		{"name":"conditions","type":{"type":"array","items":{"type":"record","name":"condition","fields":[{"name":"table","type":"string"},
		{"name":"key","type":"string"},{"name":"version","type":"long"}]}}},
		{"name":"writes","type":{"type":"array","items":{"type":"record","name":"write","fields":[{"name":"table","type":"string"},
		{"name":"key","type":"string"},{"name":"value","type":"bytes"}]}}},
		{"name":"removals","type":{"type":"array","items":{"type":"record","name":"removal","fields":[{"name":"table","type":"string"},
		{"name":"key","type":"string"}]}}},{"name":"milliseconds","type":"long"}]}`)
	storeAnswerSchema = avrocodec.MustParse(`{"type":"record","name":"store_answer","fields":[{"name":"error_kind","type":"int"},
		{"name":"is_conflict","type":"boolean"},{"name":"version","type":"long"},
		{"name":"rows","type":{"type":"array","items":` + rowRecordSchema + `}},
		{"name":"more","type":"boolean"},{"name":"partitions","type":{"type":"array","items":"string"}},{"name":"content","type":"bytes"}]}`)
)

// Schema implements peer.Message.
func (storeRequest) Schema() avro.Schema { return storeRequestSchema }

// Schema implements peer.Message.
func (storeAnswer) Schema() avro.Schema { return storeAnswerSchema }

// emptyAnswer returns an answer with the error of a call and no content.
func emptyAnswer(err error) storeAnswer {
	answer := storeAnswer{ErrorKind: noError, Rows: []rowRecord{}, Partitions: []string{}, Content: []byte{}}
	var conflict *table.ConflictError
	var failed *table.Error
	switch {
	case err == nil:
	case errors.As(err, &conflict):
		answer.IsConflict, answer.Rows = true, rowRecords(conflict.Rows)
	case errors.As(err, &failed):
		answer.ErrorKind = int(forwardedKind(failed.Kind))
	default:
		answer.ErrorKind = int(table.ErrorUnknown)
	}
	return answer
}

// forwardedKind returns the kind that another daemon is told. Earlier builds don't know
// ErrorFull.
func forwardedKind(kind table.ErrorKind) table.ErrorKind {
	if kind == table.ErrorFull {
		return table.ErrorNotDone
	}
	return kind
}

// failure returns the error in an answer, or nil.
func (a storeAnswer) failure(operation storeOperation) error {
	if a.IsConflict {
		return &table.ConflictError{Rows: tableRows(a.Rows)}
	}
	if a.ErrorKind == noError {
		return nil
	}
	return &table.Error{Kind: table.ErrorKind(a.ErrorKind), Call: string(operation)}
}

func (r storeRequest) transaction() table.Transaction {
	transaction := table.Transaction{Partition: r.Partition}
	for _, each := range r.Conditions {
		transaction.Conditions = append(transaction.Conditions, table.Condition{Table: each.Table, Key: each.Key, Version: table.Version(each.Version)})
	}
	for _, each := range r.Writes {
		transaction.Writes = append(transaction.Writes, table.Write{Table: each.Table, Key: each.Key, Value: each.Value})
	}
	for _, each := range r.Removals {
		transaction.Removals = append(transaction.Removals, table.Removal{Table: each.Table, Key: each.Key})
	}
	return transaction
}
