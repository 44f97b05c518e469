package frontend

import (
	"testing"

	"github.com/hamba/avro/v2"
	"github.com/stretchr/testify/require"

	"topazpulley/internal/table"
	"topazpulley/internal/table/tabletest"
)

// throughWire makes a call with both messages encoded and decoded.
func throughWire(t *testing.T, helper *peerStore, request storeRequest) storeAnswer {
	t.Helper()
	if request.Content == nil {
		request.Content = []byte{}
	}
	encoded, err := avro.Marshal(request.Schema(), request)
	require.NoError(t, err)
	var received storeRequest
	require.NoError(t, avro.Unmarshal(received.Schema(), encoded, &received))
	answer, err := helper.serve(t.Context(), "", received)
	require.NoError(t, err)
	encoded, err = avro.Marshal(answer.Schema(), answer)
	require.NoError(t, err)
	var returned storeAnswer
	require.NoError(t, avro.Unmarshal(returned.Schema(), encoded, &returned))
	return returned
}

// TestHelperMakesEveryCall: a helper makes each kind of store call, returns its result, and
// refuses if it can't reach the store.
func TestHelperMakesEveryCall(t *testing.T) {
	isServed := true
	helper := &peerStore{direct: tabletest.NewMemory(), isServed: func() bool { return isServed }}
	write := storeRequest{
		Operation: string(storeCommit), Partition: "p", Milliseconds: 1000,
		Conditions: []conditionInput{{Table: "t", Key: "a"}}, Writes: []writeInput{{Table: "t", Key: "a", Value: []byte("1")}}, Removals: []removalInput{},
	}
	committed := throughWire(t, helper, write)
	require.NoError(t, committed.failure(storeCommit))
	require.Positive(t, committed.Version)
	var conflict *table.ConflictError
	require.ErrorAs(t, throughWire(t, helper, write).failure(storeCommit), &conflict)
	require.Equal(t, table.Version(committed.Version), conflict.Row("t", "a").Version)

	read := throughWire(t, helper, storeRequest{Operation: string(storeRead), Table: "t", Partition: "p", Milliseconds: 1000})
	require.Equal(t, "1", string(tableRows(read.Rows)[0].Value))
	listed := throughWire(t, helper, storeRequest{Operation: string(storePartitions), Table: "t", Milliseconds: 1000})
	require.Equal(t, []string{"p"}, listed.Partitions)

	put := throughWire(t, helper, storeRequest{Operation: string(storePutObject), Name: "o", Content: []byte("body"), Milliseconds: 1000})
	require.NoError(t, put.failure(storePutObject))
	got := throughWire(t, helper, storeRequest{Operation: string(storeGetObject), Name: "o", Milliseconds: 1000})
	require.Equal(t, "body", string(got.Content))
	missing := throughWire(t, helper, storeRequest{Operation: string(storeGetObject), Name: "none", Milliseconds: 1000}).failure(storeGetObject)
	var failed *table.Error
	require.ErrorAs(t, missing, &failed)
	require.Equal(t, table.ErrorMissing, failed.Kind)

	isServed = false
	require.ErrorAs(t, throughWire(t, helper, write).failure(storeCommit), &failed)
	require.Equal(t, table.ErrorNotDone, failed.Kind)
}
