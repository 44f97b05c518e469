package frontend

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/hamba/avro/v2"
	"github.com/pkg/errors"

	"topazpulley/internal/cluster"
	"topazpulley/internal/membership"
	"topazpulley/internal/peer"
	"topazpulley/internal/table"
)

// methodStore is the method of the peer protocol by which a daemon that the
// store does not serve has another make a call.
const methodStore = "store.call"

// storeHelpers is how many daemons are asked to make a call, in turn.
const storeHelpers = 2

// storeOperation names a call to the store.
type storeOperation string

const (
	storeCommit     storeOperation = "commit"
	storeRead       storeOperation = "read"
	storePartitions storeOperation = "partitions"
	storePutObject  storeOperation = "put_object"
	storeGetObject  storeOperation = "get_object"
)

// storeRequest is a call to the store that another daemon makes.
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

// storeAnswer is how the call ended. ErrorKind is -1 without an error; the rows
// of a conflict bear the names of their tables.
type storeAnswer struct {
	ErrorKind  int              `avro:"error_kind"`
	IsConflict bool             `avro:"is_conflict"`
	Version    int64            `avro:"version"`
	Rows       []storeRowRecord `avro:"rows"`
	More       bool             `avro:"more"`
	Partitions []string         `avro:"partitions"`
	Content    []byte           `avro:"content"`
}

type storeRowRecord struct {
	Table     string `avro:"table"`
	Partition string `avro:"partition"`
	Key       string `avro:"key"`
	Value     []byte `avro:"value"`
	Version   int64  `avro:"version"`
}

// noError is the ErrorKind of a call that succeeded.
const noError = -1

var (
	storeRequestSchema = avro.MustParse(`{"type":"record","name":"store_request","fields":[{"name":"operation","type":"string"},
		{"name":"table","type":"string"},{"name":"partition","type":"string"},{"name":"from","type":"string"},{"name":"before","type":"string"},
		{"name":"limit","type":"int"},{"name":"name","type":"string"},{"name":"content","type":"bytes"},
		{"name":"conditions","type":{"type":"array","items":{"type":"record","name":"condition","fields":[{"name":"table","type":"string"},
		{"name":"key","type":"string"},{"name":"version","type":"long"}]}}},
		{"name":"writes","type":{"type":"array","items":{"type":"record","name":"write","fields":[{"name":"table","type":"string"},
		{"name":"key","type":"string"},{"name":"value","type":"bytes"}]}}},
		{"name":"removals","type":{"type":"array","items":{"type":"record","name":"removal","fields":[{"name":"table","type":"string"},
		{"name":"key","type":"string"}]}}},{"name":"milliseconds","type":"long"}]}`)
	storeAnswerSchema = avro.MustParse(`{"type":"record","name":"store_answer","fields":[{"name":"error_kind","type":"int"},
		{"name":"is_conflict","type":"boolean"},{"name":"version","type":"long"},
		{"name":"rows","type":{"type":"array","items":{"type":"record","name":"store_row","fields":[{"name":"table","type":"string"},
		{"name":"partition","type":"string"},{"name":"key","type":"string"},{"name":"value","type":"bytes"},{"name":"version","type":"long"}]}}},
		{"name":"more","type":"boolean"},{"name":"partitions","type":{"type":"array","items":"string"}},{"name":"content","type":"bytes"}]}`)
)

// Schema implements peer.Message.
func (storeRequest) Schema() avro.Schema { return storeRequestSchema }

// Schema implements peer.Message.
func (storeAnswer) Schema() avro.Schema { return storeAnswerSchema }

// peerStore makes calls to the store through other daemons, and for them.
type peerStore struct {
	node      *cluster.Node
	transport *peer.Transport
	// direct is the store as this daemon reaches it, and isServed tells whether
	// it does.
	direct   table.Store
	isServed func() bool
}

var _ table.Store = (*peerStore)(nil)

func newPeerStore(node *cluster.Node, transport *peer.Transport, direct table.Store) *peerStore {
	made := &peerStore{node: node, transport: transport, direct: direct, isServed: func() bool { return true }}
	peer.Handle(transport, methodStore, made.serve)
	return made
}

// serve makes a call for another daemon, unless the store does not serve this
// one either.
func (p *peerStore) serve(ctx context.Context, _ string, request storeRequest) (storeAnswer, error) {
	if !p.isServed() {
		return emptyAnswer(&table.Error{Kind: table.ErrorNotDone, Call: request.Operation}), nil
	}
	bounded, cancel := context.WithTimeout(ctx, time.Duration(request.Milliseconds)*time.Millisecond)
	defer cancel()
	return p.perform(bounded, request), nil
}

func (p *peerStore) perform(ctx context.Context, request storeRequest) storeAnswer {
	switch storeOperation(request.Operation) {
	case storeCommit:
		version, err := p.direct.Commit(ctx, request.transaction())
		answer := emptyAnswer(err)
		answer.Version = int64(version)
		return answer
	case storeRead:
		page, err := p.direct.Read(ctx, table.Range{Table: request.Table, Partition: request.Partition, From: request.From, Before: request.Before, Limit: request.Limit})
		answer := emptyAnswer(err)
		answer.Version, answer.More, answer.Rows = int64(page.Version), page.More, storeRows(page.Rows)
		return answer
	case storePartitions:
		names, more, err := p.direct.Partitions(ctx, request.Table, request.From)
		answer := emptyAnswer(err)
		answer.Partitions, answer.More = append(answer.Partitions, names...), more
		return answer
	case storePutObject:
		return emptyAnswer(p.direct.PutObject(ctx, request.Name, request.Content))
	case storeGetObject:
		content, err := p.direct.GetObject(ctx, request.Name)
		answer := emptyAnswer(err)
		answer.Content = append(answer.Content, content...)
		return answer
	}
	return emptyAnswer(&table.Error{Kind: table.ErrorInvalid, Call: request.Operation})
}

// emptyAnswer tells how a call ended.
func emptyAnswer(err error) storeAnswer {
	answer := storeAnswer{ErrorKind: noError, Rows: []storeRowRecord{}, Partitions: []string{}, Content: []byte{}}
	var conflict *table.ConflictError
	var failed *table.Error
	switch {
	case err == nil:
	case errors.As(err, &conflict):
		answer.IsConflict, answer.Rows = true, storeRows(conflict.Rows)
	case errors.As(err, &failed):
		answer.ErrorKind = int(failed.Kind)
	default:
		answer.ErrorKind = int(table.ErrorUnknown)
	}
	return answer
}

// failure returns the error that an answer tells of, or nil.
func (a storeAnswer) failure(operation storeOperation) error {
	if a.IsConflict {
		return &table.ConflictError{Rows: a.tableRows()}
	}
	if a.ErrorKind == noError {
		return nil
	}
	return &table.Error{Kind: table.ErrorKind(a.ErrorKind), Call: string(operation)}
}

func storeRows(rows []table.Row) []storeRowRecord {
	records := make([]storeRowRecord, 0, len(rows))
	for _, row := range rows {
		record := storeRowRecord{Table: row.Table, Partition: row.Partition, Key: row.Key, Value: row.Value, Version: int64(row.Version)}
		if record.Value == nil {
			record.Value = []byte{}
		}
		records = append(records, record)
	}
	return records
}

func (a storeAnswer) tableRows() []table.Row {
	rows := make([]table.Row, 0, len(a.Rows))
	for _, each := range a.Rows {
		rows = append(rows, table.Row{Table: each.Table, Partition: each.Partition, Key: each.Key, Value: each.Value, Version: table.Version(each.Version)})
	}
	return rows
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

// call has another daemon make a call. A daemon that the store does not serve
// either is passed by; after one that did not answer, nothing is known.
func (p *peerStore) call(ctx context.Context, operation storeOperation, request storeRequest) (storeAnswer, error) {
	notDone := &table.Error{Kind: table.ErrorNotDone, Call: string(operation)}
	request.Operation = string(operation)
	if request.Content == nil {
		request.Content = []byte{}
	}
	for _, helper := range p.helpers() {
		deadline, isBounded := ctx.Deadline()
		if !isBounded || ctx.Err() != nil {
			return storeAnswer{}, notDone
		}
		request.Milliseconds = time.Until(deadline).Milliseconds()
		answer, err := peer.Call[storeRequest, storeAnswer](ctx, p.transport, helper.Address, methodStore, request)
		if err != nil {
			return storeAnswer{}, &table.Error{Kind: table.ErrorUnknown, Call: string(operation), Cause: err}
		}
		err = answer.failure(operation)
		var failed *table.Error
		if errors.As(err, &failed) && failed.Kind == table.ErrorNotDone {
			continue
		}
		return answer, err
	}
	return storeAnswer{}, notDone
}

// helpers are some live daemons, those of the own zone first.
func (p *peerStore) helpers() []membership.Member {
	self := p.node.Self()
	near, far := []membership.Member{}, []membership.Member{}
	for _, member := range p.node.Members() {
		switch {
		case member.Name == self.Name || member.State != membership.StateAlive:
		case member.Zone == self.Zone:
			near = append(near, member)
		default:
			far = append(far, member)
		}
	}
	for _, group := range [][]membership.Member{near, far} {
		rand.Shuffle(len(group), func(a, b int) { group[a], group[b] = group[b], group[a] })
	}
	all := append(near, far...)
	return all[:min(storeHelpers, len(all))]
}

// Commit implements table.Store.
func (p *peerStore) Commit(ctx context.Context, transaction table.Transaction) (table.Version, error) {
	request := storeRequest{Partition: transaction.Partition, Conditions: []conditionInput{}, Writes: []writeInput{}, Removals: []removalInput{}}
	for _, each := range transaction.Conditions {
		request.Conditions = append(request.Conditions, conditionInput{Table: each.Table, Key: each.Key, Version: int64(each.Version)})
	}
	for _, each := range transaction.Writes {
		request.Writes = append(request.Writes, writeInput{Table: each.Table, Key: each.Key, Value: each.Value})
	}
	for _, each := range transaction.Removals {
		request.Removals = append(request.Removals, removalInput{Table: each.Table, Key: each.Key})
	}
	answer, err := p.call(ctx, storeCommit, request)
	return table.Version(answer.Version), err
}

// Read implements table.Store.
func (p *peerStore) Read(ctx context.Context, wanted table.Range) (table.Page, error) {
	answer, err := p.call(ctx, storeRead, storeRequest{Table: wanted.Table, Partition: wanted.Partition, From: wanted.From, Before: wanted.Before, Limit: wanted.Limit})
	if err != nil {
		return table.Page{}, err
	}
	return table.Page{Rows: answer.tableRows(), More: answer.More, Version: table.Version(answer.Version)}, nil
}

// Partitions implements table.Store.
func (p *peerStore) Partitions(ctx context.Context, name, after string) ([]string, bool, error) {
	answer, err := p.call(ctx, storePartitions, storeRequest{Table: name, From: after})
	return answer.Partitions, answer.More, err
}

// Watch implements table.Store: watches are not made for others.
func (p *peerStore) Watch(context.Context, string, table.Version, time.Duration) (table.Changes, error) {
	return table.Changes{}, &table.Error{Kind: table.ErrorNotDone, Call: "watch"}
}

// PutObject implements table.Store.
func (p *peerStore) PutObject(ctx context.Context, name string, content []byte) error {
	_, err := p.call(ctx, storePutObject, storeRequest{Name: name, Content: content})
	return err
}

// GetObject implements table.Store.
func (p *peerStore) GetObject(ctx context.Context, name string) ([]byte, error) {
	answer, err := p.call(ctx, storeGetObject, storeRequest{Name: name})
	return answer.Content, err
}
