package frontend

import (
	"context"
	"time"

	"topazpulley/internal/cluster"
	"topazpulley/internal/membership"
	"topazpulley/internal/peer"
	"topazpulley/internal/table"
)

// methodStore is the peer method that makes a store call for a daemon that can't reach the
// store.
const methodStore = "store.call"

// storeHelpers is the maximum number of daemons that are asked, in turn, to make one call.
const storeHelpers = 2

// peerStore makes store calls through other daemons, and serves their calls.
type peerStore struct {
	node      *cluster.Node
	transport *peer.Transport
	// direct is the store without forwarding, and isServed reports whether it can be reached.
	direct   table.Store
	isServed func() bool
}

var _ table.Store = (*peerStore)(nil)

func newPeerStore(node *cluster.Node, transport *peer.Transport, direct table.Store) *peerStore {
	made := &peerStore{node: node, transport: transport, direct: direct, isServed: func() bool { return true }}
	peer.Handle(transport, methodStore, made.serve)
	return made
}

// serve makes a call for another daemon. It answers ErrorNotDone if this daemon can't reach the
// store either.
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
		answer.Version, answer.More, answer.Rows = int64(page.Version), page.More, rowRecords(page.Rows)
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

// call makes a call through another daemon. If that daemon answers ErrorNotDone, the next one
// is tried. If it does not answer, the outcome is unknown and the error is ErrorUnknown.
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
		if table.IsKind(err, table.ErrorNotDone) {
			continue
		}
		return answer, err
	}
	return storeAnswer{}, notDone
}

// helpers returns up to storeHelpers live daemons in random order, those of the same zone first.
func (p *peerStore) helpers() []membership.Member {
	near, far, _ := shuffledPeers(p.node)
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
	return table.Page{Rows: tableRows(answer.Rows), More: answer.More, Version: table.Version(answer.Version)}, nil
}

// Partitions implements table.Store.
func (p *peerStore) Partitions(ctx context.Context, name, after string) ([]string, bool, error) {
	answer, err := p.call(ctx, storePartitions, storeRequest{Table: name, From: after})
	return answer.Partitions, answer.More, err
}

// Watch implements table.Store. Watches are not forwarded.
func (p *peerStore) Watch(context.Context, string, table.Version, time.Duration) (table.Changes, error) {
	return table.Changes{}, &table.Error{Kind: table.ErrorNotDone, Call: "watch"}
}

// PutObject implements table.Store.
func (p *peerStore) PutObject(ctx context.Context, name string, content []byte) error {
	_, err := p.call(ctx, storePutObject, storeRequest{Name: name, Content: content})
	return err
}

// DropObject implements table.Store. It is not forwarded.
func (p *peerStore) DropObject(context.Context, string) error {
	return &table.Error{Kind: table.ErrorNotDone, Call: "drop_object"}
}

// Objects implements table.Store. It is not forwarded.
func (p *peerStore) Objects(context.Context, string, string) ([]string, bool, error) {
	return nil, false, &table.Error{Kind: table.ErrorNotDone, Call: "objects"}
}

// GetObject implements table.Store.
func (p *peerStore) GetObject(ctx context.Context, name string) ([]byte, error) {
	answer, err := p.call(ctx, storeGetObject, storeRequest{Name: name})
	return answer.Content, err
}
