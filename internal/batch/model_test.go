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
	modelItems  = 5
	modelOwners = 3
	modelJob    = "job"
	manyCalls   = 1e9
)

// chunkModel drives the real Store with the actions of spec/chunk.pml: owners
// claim, run, commit, crash and lose answers, and the tenant cancels. The
// invariants have the same names there.
type chunkModel struct {
	store      *batch.Store
	loseNext   bool
	job        batch.Job
	jobVersion storage.Version
	held       map[string]batch.HeldChunk
	sequence   map[string]int
	dispatched map[int]int
	lives      int
	cancelled  bool
	atCancel   int
	// acknowledged holds the result of each item whose commit an owner saw
	// succeed.
	acknowledged map[int]string
}

func newChunkModel(t *rapid.T) *chunkModel {
	model := &chunkModel{held: map[string]batch.HeldChunk{}, sequence: map[string]int{}, dispatched: map[int]int{}, acknowledged: map[int]string{}}
	services := &emulator.InProcess{Platform: emulator.NewPlatform(), LoseAnswer: func() bool {
		lost := model.loseNext
		model.loseNext = false
		return lost
	}}
	model.store = batch.NewStore(storage.NewClient(services, manyCalls))
	job := batch.Job{ID: modelJob, Tenant: "tenant", Key: "key", Items: modelItems, ChunkSize: modelItems, Chunks: 1, State: batch.StateRunning}
	_, err := model.store.Create(t.Context(), job, "digest")
	require.NoError(t, err)
	model.job, model.jobVersion, err = model.store.Job(t.Context(), modelJob)
	require.NoError(t, err)
	return model
}

// once returns a context in which a lost answer is not retried, as for a
// caller that gave up.
func once() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(time.Millisecond, cancel)
	return ctx
}

func (m *chunkModel) owner(t *rapid.T) string {
	return fmt.Sprintf("owner-%d", rapid.IntRange(0, modelOwners-1).Draw(t, "owner"))
}

// holder draws an owner that believes to hold the chunk.
func (m *chunkModel) holder(t *rapid.T) (string, batch.HeldChunk) {
	if len(m.held) == 0 {
		t.Skip("nobody holds the chunk")
	}
	owner := rapid.SampledFrom(slices.Sorted(maps.Keys(m.held))).Draw(t, "holder")
	return owner, m.held[owner]
}

func (m *chunkModel) claim(t *rapid.T) {
	owner := m.owner(t)
	m.loseNext = rapid.IntRange(0, 5).Draw(t, "lose") == 3
	held, err := m.store.Claim(once(), m.job, m.jobVersion, 0, owner)
	if err == nil && !held.Chunk.Done {
		m.held[owner] = held
		m.sequence[owner] = 0
		return
	}
	delete(m.held, owner)
}

func (m *chunkModel) commit(t *rapid.T) {
	owner, held := m.holder(t)
	remaining := held.Chunk.Remaining()
	if len(remaining) == 0 {
		t.Skip("nothing to commit")
	}
	count := rapid.IntRange(1, min(2, len(remaining))).Draw(t, "count")
	segment := batch.Segment{Sequence: m.sequence[owner], Items: remaining[:count]}
	lines := [][]byte{}
	for _, item := range segment.Items {
		lines = append(lines, []byte(fmt.Sprintf("%d by %s in %d", item, owner, held.Chunk.Epoch)))
	}
	m.loseNext = rapid.IntRange(0, 5).Draw(t, "lose") == 3
	next, err := m.store.Commit(once(), held, segment, lines)
	if err != nil && rapid.Bool().Draw(t, "retry") {
		next, err = m.store.Commit(context.Background(), held, segment, lines)
	}
	if err != nil {
		delete(m.held, owner)
		return
	}
	m.held[owner] = next
	m.sequence[owner]++
	for index, item := range segment.Items {
		m.acknowledged[item] = string(lines[index])
	}
}

// dispatch sends an item that may not be repeated, after its intent.
func (m *chunkModel) dispatch(t *rapid.T) {
	owner, held := m.holder(t)
	remaining := held.Chunk.Remaining()
	if len(remaining) == 0 {
		t.Skip("nothing to send")
	}
	item := rapid.SampledFrom(remaining).Draw(t, "item")
	if _, recorded := held.Chunk.IntentFor(item); recorded {
		t.Skip("already sent")
	}
	m.lives++
	m.loseNext = rapid.IntRange(0, 5).Draw(t, "lose") == 3
	next, err := m.store.RecordIntents(once(), held, []batch.Intent{{Item: item, AttemptID: fmt.Sprint(owner, m.lives)}})
	if err != nil {
		delete(m.held, owner)
		return
	}
	m.held[owner] = next
	m.dispatched[item]++
}

// crash makes an owner forget what it held. An owner that pauses instead is any
// owner that is not chosen for a while.
func (m *chunkModel) crash(t *rapid.T) { delete(m.held, m.owner(t)) }

func (m *chunkModel) cancel(t *rapid.T) {
	// Drawn numbers favour the ends of their range.
	if rapid.IntRange(0, 99).Draw(t, "rarely") != 42 {
		t.Skip("not cancelled")
	}
	ended, err := m.store.Cancel(context.Background(), modelJob, time.Now())
	require.NoError(t, err)
	if ended.State == batch.StateCancelled && !m.cancelled {
		m.cancelled = true
		m.atCancel = m.committed(t)
	}
}

func (m *chunkModel) committed(t *rapid.T) int {
	chunks, err := m.store.Chunks(context.Background(), modelJob)
	require.NoError(t, err)
	count := 0
	for _, chunk := range chunks {
		count += chunk.CommittedItems()
	}
	return count
}

func (m *chunkModel) check(t *rapid.T) {
	seen := map[int]string{}
	err := m.store.EachResult(context.Background(), modelJob, func(line []byte) error {
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
		require.Equal(t, m.atCancel, m.committed(t), "NothingAfterCancel")
	}
}

// finish lets one owner that nothing disturbs run the rest.
func (m *chunkModel) finish(t *rapid.T) {
	m.loseNext = false
	held, err := m.store.Claim(context.Background(), m.job, m.jobVersion, 0, "last")
	if m.cancelled {
		require.True(t, err != nil || held.Chunk.Done, "nothing is claimed after a cancel")
		return
	}
	require.NoError(t, err)
	if remaining := held.Chunk.Remaining(); len(remaining) > 0 {
		lines := make([][]byte, len(remaining))
		for index, item := range remaining {
			lines[index] = []byte(fmt.Sprint(item))
		}
		_, err = m.store.Commit(context.Background(), held, batch.Segment{Items: remaining}, lines)
		require.NoError(t, err)
	}
	require.Equal(t, modelItems, m.committed(t), "NoneLost")
}

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

// TestChunkRefusesAnOldEpoch holds for the pure state machine by itself.
func TestChunkRefusesAnOldEpoch(t *testing.T) {
	first := batch.Chunk{Job: modelJob, Items: 2}.Claim("a")
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

func TestIntentIsReplacedOnlyByItsOwnRefusal(t *testing.T) {
	chunk := batch.Chunk{Job: modelJob, Items: 1}.Claim("a")
	chunk, err := chunk.RecordIntents("a", 1, []batch.Intent{{Item: 0, AttemptID: "one"}})
	require.NoError(t, err)
	_, err = chunk.RecordIntents("a", 1, []batch.Intent{{Item: 0, AttemptID: "two"}})
	require.Error(t, err)
	chunk, err = chunk.RecordIntents("a", 1, []batch.Intent{{Item: 0, AttemptID: "two", Replaces: "one"}})
	require.NoError(t, err)
	require.Len(t, chunk.Intents, 1)
}

func TestResentJobIsTheSameJob(t *testing.T) {
	store := batch.NewStore(storage.NewClient(&emulator.InProcess{Platform: emulator.NewPlatform()}, manyCalls))
	job := batch.Job{ID: batch.JobID("tenant", "key"), Tenant: "tenant", Key: "key", Items: 1, ChunkSize: 1, Chunks: 1, State: batch.StateRunning, Created: 1}
	_, err := store.Create(t.Context(), job, "digest")
	require.NoError(t, err)
	resent := job
	resent.Created = 2
	again, err := store.Create(t.Context(), resent, "digest")
	require.NoError(t, err)
	require.Equal(t, job.Created, again.Created, "the first job is found, not made anew")
	_, err = store.Create(t.Context(), resent, "other content")
	require.True(t, failure.HasCode(err, "key_reused"))
	require.True(t, failure.From(err).NotRun)
}

// TestNothingIsCommittedAfterACancel: an owner that has not heard of the end of
// its job commits nothing more.
func TestNothingIsCommittedAfterACancel(t *testing.T) {
	store := batch.NewStore(storage.NewClient(&emulator.InProcess{Platform: emulator.NewPlatform()}, manyCalls))
	job := batch.Job{ID: modelJob, Tenant: "tenant", Key: "key", Items: 2, ChunkSize: 2, Chunks: 1, State: batch.StateRunning}
	_, err := store.Create(t.Context(), job, "digest")
	require.NoError(t, err)
	created, version, err := store.Job(t.Context(), modelJob)
	require.NoError(t, err)
	held, err := store.Claim(t.Context(), created, version, 0, "owner")
	require.NoError(t, err)
	held, err = store.Commit(t.Context(), held, batch.Segment{Items: []int{0}}, [][]byte{[]byte("before")})
	require.NoError(t, err)
	_, err = store.Cancel(t.Context(), modelJob, time.Now())
	require.NoError(t, err)
	_, err = store.Commit(t.Context(), held, batch.Segment{Sequence: 1, Items: []int{1}}, [][]byte{[]byte("after")})
	require.True(t, failure.HasCode(err, batch.CodeJobEnded), "%v", err)
	chunks, err := store.Chunks(t.Context(), modelJob)
	require.NoError(t, err)
	require.Len(t, chunks[0].Segments, 1)
}
