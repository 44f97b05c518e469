package batch_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"topazpulley/internal/batch"
	"topazpulley/internal/emulator"
	"topazpulley/internal/failure"
	"topazpulley/internal/storage"
)

const (
	modelItems          = 5
	modelOwners         = 3
	modelJobID          = "job"
	operationsPerSecond = 1e9
)

// chunkModel runs the actions of spec/chunk.pml against Store: owners claim,
// dispatch, commit, crash and lose answers, and the tenant cancels. The failure
// messages use the invariant names of the specification.
type chunkModel struct {
	store      *batch.Store
	loseNext   bool
	job        batch.Job
	jobVersion storage.Version
	claimed    map[string]batch.ClaimedChunk
	sequence   map[string]int
	dispatched map[int]int
	// attempts is the number of dispatches, used for unique attempt ids.
	attempts          int
	cancelled         bool
	committedAtCancel int
	// acknowledged is the result line of each item whose commit returned success.
	acknowledged map[int]string
}

func newChunkModel(t *rapid.T) *chunkModel {
	model := &chunkModel{claimed: map[string]batch.ClaimedChunk{}, sequence: map[string]int{}, dispatched: map[int]int{}, acknowledged: map[int]string{}}
	services := &emulator.InProcess{Platform: emulator.NewPlatform(), LoseAnswer: func() bool {
		lost := model.loseNext
		model.loseNext = false
		return lost
	}}
	model.store = batch.NewStore(storage.NewClient(services, operationsPerSecond))
	job := batch.Job{ID: modelJobID, Tenant: "tenant", Key: "key", Items: modelItems, ChunkSize: modelItems, Chunks: 1, State: batch.StateRunning}
	_, err := model.store.Create(t.Context(), job, "digest")
	require.NoError(t, err)
	model.job, model.jobVersion, err = model.store.Job(t.Context(), modelJobID)
	require.NoError(t, err)
	return model
}

// noRetry returns a context that ends before a lost answer is retried.
func noRetry() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(time.Millisecond, cancel)
	return ctx
}

func (m *chunkModel) owner(t *rapid.T) string {
	return fmt.Sprintf("owner-%d", rapid.IntRange(0, modelOwners-1).Draw(t, "owner"))
}

// claimant draws an owner with a claim that may be stale.
func (m *chunkModel) claimant(t *rapid.T) (string, batch.ClaimedChunk) {
	if len(m.claimed) == 0 {
		t.Skip("nobody has claimed the chunk")
	}
	owner := rapid.SampledFrom(slices.Sorted(maps.Keys(m.claimed))).Draw(t, "holder")
	return owner, m.claimed[owner]
}

func (m *chunkModel) claim(t *rapid.T) {
	owner := m.owner(t)
	m.loseNext = rapid.IntRange(0, 5).Draw(t, "lose") == 3
	claimed, err := m.store.Claim(noRetry(), m.job, m.jobVersion, 0, owner)
	if err == nil && !claimed.Chunk.Done {
		m.claimed[owner] = claimed
		m.sequence[owner] = 0
		return
	}
	delete(m.claimed, owner)
}

func (m *chunkModel) commit(t *rapid.T) {
	owner, claimed := m.claimant(t)
	remaining := claimed.Chunk.Remaining()
	if len(remaining) == 0 {
		t.Skip("nothing to commit")
	}
	count := rapid.IntRange(1, min(2, len(remaining))).Draw(t, "count")
	segment := batch.Segment{Sequence: m.sequence[owner], Items: remaining[:count]}
	lines := [][]byte{}
	for _, item := range segment.Items {
		lines = append(lines, []byte(fmt.Sprintf("%d by %s in %d", item, owner, claimed.Chunk.Epoch)))
	}
	m.loseNext = rapid.IntRange(0, 5).Draw(t, "lose") == 3
	next, err := m.store.Commit(noRetry(), claimed, segment, lines)
	if err != nil && rapid.Bool().Draw(t, "retry") {
		next, err = m.store.Commit(context.Background(), claimed, segment, lines)
	}
	if err != nil {
		delete(m.claimed, owner)
		return
	}
	m.claimed[owner] = next
	m.sequence[owner]++
	for index, item := range segment.Items {
		m.acknowledged[item] = string(lines[index])
	}
}

// dispatch records the intent of an item that must run at most once, then
// counts the item as sent.
func (m *chunkModel) dispatch(t *rapid.T) {
	owner, claimed := m.claimant(t)
	remaining := claimed.Chunk.Remaining()
	if len(remaining) == 0 {
		t.Skip("nothing to send")
	}
	item := rapid.SampledFrom(remaining).Draw(t, "item")
	if _, recorded := claimed.Chunk.IntentFor(item); recorded {
		t.Skip("already sent")
	}
	m.attempts++
	m.loseNext = rapid.IntRange(0, 5).Draw(t, "lose") == 3
	next, err := m.store.RecordIntents(noRetry(), claimed, []batch.Intent{{Item: item, AttemptID: fmt.Sprint(owner, m.attempts)}})
	if err != nil {
		delete(m.claimed, owner)
		return
	}
	m.claimed[owner] = next
	m.dispatched[item]++
}

// crash removes an owner's claim. A paused owner needs no action: it is one that
// is not drawn for some steps.
func (m *chunkModel) crash(t *rapid.T) { delete(m.claimed, m.owner(t)) }

func (m *chunkModel) cancel(t *rapid.T) {
	// rapid draws the ends of a range more often, so the value is in its middle.
	if rapid.IntRange(0, 99).Draw(t, "rarely") != 42 {
		t.Skip("not cancelled")
	}
	ended, err := m.store.Cancel(context.Background(), modelJobID, time.Now())
	require.NoError(t, err)
	if ended.State == batch.StateCancelled && !m.cancelled {
		m.cancelled = true
		m.committedAtCancel = m.committed(t)
	}
}

func (m *chunkModel) committed(t *rapid.T) int {
	chunks, err := m.store.Chunks(context.Background(), modelJobID)
	require.NoError(t, err)
	count := 0
	for _, chunk := range chunks {
		count += chunk.CommittedItems()
	}
	return count
}

func (m *chunkModel) check(t *rapid.T) {
	seen := map[int]string{}
	err := m.store.EachResult(context.Background(), modelJobID, func(line []byte) error {
		item := 0
		_, err := fmt.Sscanf(string(line), "%d", &item)
		require.NoError(t, err)
		require.NotContains(t, seen, item, "OneVisibleResult")
		seen[item] = string(line)
		return nil
	})
	require.NoError(t, err)
	for item, line := range m.acknowledged {
		require.Equal(t, line, seen[item], "ResultStays: item %d", item)
	}
	require.Len(t, seen, m.committed(t), "every committed item has its own visible result")
	for item, count := range m.dispatched {
		require.LessOrEqual(t, count, 1, "DispatchedOnce: item %d", item)
	}
	if m.cancelled {
		require.Equal(t, m.committedAtCancel, m.committed(t), "NothingAfterCancel")
	}
}

// finish claims the chunk for one more owner and commits the remaining items.
func (m *chunkModel) finish(t *rapid.T) {
	m.loseNext = false
	claimed, err := m.store.Claim(context.Background(), m.job, m.jobVersion, 0, "last")
	if m.cancelled {
		require.True(t, err != nil || claimed.Chunk.Done, "nothing is claimed after a cancel")
		return
	}
	require.NoError(t, err)
	if remaining := claimed.Chunk.Remaining(); len(remaining) > 0 {
		lines := make([][]byte, len(remaining))
		for index, item := range remaining {
			lines[index] = []byte(fmt.Sprint(item))
		}
		_, err = m.store.Commit(context.Background(), claimed, batch.Segment{Items: remaining}, lines)
		require.NoError(t, err)
	}
	require.Equal(t, modelItems, m.committed(t), "NoneLost")
}

// TestChunkModel checks the invariants of spec/chunk.pml after every action.
func TestChunkModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := newChunkModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"claim": model.claim, "commit": model.commit, "dispatch": model.dispatch,
			"crash": model.crash, "cancel": model.cancel, "": model.check,
		})
		model.finish(t)
		model.check(t)
	})
}

// TestChunkRejectsStaleEpoch checks Chunk without Store.
func TestChunkRejectsStaleEpoch(t *testing.T) {
	first := batch.Chunk{Job: modelJobID, Items: 2}.Claim("a")
	second := first.Claim("b")
	_, err := second.Commit("a", batch.Segment{Epoch: first.Epoch, Items: []int{0}})
	require.Error(t, err)
	_, err = second.RecordIntents("a", first.Epoch, []batch.Intent{{Item: 0}})
	require.Error(t, err)
	committed, err := second.Commit("b", batch.Segment{Epoch: second.Epoch, Items: []int{0}})
	require.NoError(t, err)
	_, err = committed.Commit("b", batch.Segment{Epoch: second.Epoch, Items: []int{0}})
	require.Error(t, err)
}

// TestOnlyRefusedIntentIsReplaced guards against sending an item twice.
func TestOnlyRefusedIntentIsReplaced(t *testing.T) {
	chunk := batch.Chunk{Job: modelJobID, Items: 1}.Claim("a")
	chunk, err := chunk.RecordIntents("a", 1, []batch.Intent{{Item: 0, AttemptID: "one"}})
	require.NoError(t, err)
	_, err = chunk.RecordIntents("a", 1, []batch.Intent{{Item: 0, AttemptID: "two"}})
	require.Error(t, err)
	chunk, err = chunk.RecordIntents("a", 1, []batch.Intent{{Item: 0, AttemptID: "two", Replaces: "one"}})
	require.NoError(t, err)
	require.Len(t, chunk.Intents, 1)
}

func TestCreateReturnsExistingJob(t *testing.T) {
	store := batch.NewStore(storage.NewClient(&emulator.InProcess{Platform: emulator.NewPlatform()}, operationsPerSecond))
	job := batch.Job{ID: batch.JobID("tenant", "key"), Tenant: "tenant", Key: "key", Items: 1, ChunkSize: 1, Chunks: 1, State: batch.StateRunning, Created: 1}
	_, err := store.Create(t.Context(), job, "digest")
	require.NoError(t, err)
	resent := job
	resent.Created = 2
	again, err := store.Create(t.Context(), resent, "digest")
	require.NoError(t, err)
	require.Equal(t, job.Created, again.Created, "the existing job is returned")
	_, err = store.Create(t.Context(), resent, "other content")
	require.True(t, failure.HasCode(err, "key_reused"))
	require.True(t, failure.From(err).NotRun)
}

// TestCommitAfterCancelFails guards against commits by an owner that has not been
// notified of the cancellation.
func TestCommitAfterCancelFails(t *testing.T) {
	store := batch.NewStore(storage.NewClient(&emulator.InProcess{Platform: emulator.NewPlatform()}, operationsPerSecond))
	job := batch.Job{ID: modelJobID, Tenant: "tenant", Key: "key", Items: 2, ChunkSize: 2, Chunks: 1, State: batch.StateRunning}
	_, err := store.Create(t.Context(), job, "digest")
	require.NoError(t, err)
	created, version, err := store.Job(t.Context(), modelJobID)
	require.NoError(t, err)
	claimed, err := store.Claim(t.Context(), created, version, 0, "owner")
	require.NoError(t, err)
	claimed, err = store.Commit(t.Context(), claimed, batch.Segment{Items: []int{0}}, [][]byte{[]byte("before")})
	require.NoError(t, err)
	_, err = store.Cancel(t.Context(), modelJobID, time.Now())
	require.NoError(t, err)
	_, err = store.Commit(t.Context(), claimed, batch.Segment{Sequence: 1, Items: []int{1}}, [][]byte{[]byte("after")})
	require.True(t, failure.HasCode(err, batch.CodeJobEnded), "%v", err)
	chunks, err := store.Chunks(t.Context(), modelJobID)
	require.NoError(t, err)
	require.Len(t, chunks[0].Segments, 1)
}
