package job_test

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/failure"
	"topazpulley/internal/job"
	"topazpulley/internal/table"
	"topazpulley/internal/table/tabletest"
)

// markup is text whose encoded form is six times as long.
func markup(length int) string { return strings.Repeat("<", length) }

// requireListed waits until a job has this many results and returns them by item.
func requireListed(t *testing.T, reader *daemon, id string, count int) map[string]job.Result {
	t.Helper()
	byItem := map[string]job.Result{}
	require.Eventually(t, func() bool {
		listed, _ := allResults(t, reader, id)
		for _, result := range listed {
			byItem[result.Item] = result
		}
		return len(listed) == count
	}, testTimeout, pollInterval)
	return byItem
}

// TestMarkupResultIsListed guards against a result whose row exceeds the store's limit only
// when it is encoded, so that no result of its job is ever listed.
func TestMarkupResultIsListed(t *testing.T) {
	store, fake := tabletest.NewMemory(), newFakeBackends()
	fake.padding["j1-item0"] = markup(7 << 10)
	owner := startDaemon(t, "a", store, fake)
	require.NoError(t, owner.Submit(t.Context(), newJob("j1", 12)))
	listed := requireListed(t, owner, "j1", 12)
	require.Equal(t, itemEvents*(7<<10), strings.Count(listed["j1-item0"].Text, "<"))
	require.Zero(t, store.Rejected())
}

// TestCommitOfLargeRowsFitsTransaction guards against a commit that is sized by its texts and
// exceeds the store's limit when it is encoded.
func TestCommitOfLargeRowsFitsTransaction(t *testing.T) {
	store, fake := tabletest.NewMemory(), newFakeBackends()
	accepted := newJob("j1", 50)
	for _, item := range accepted.Items {
		fake.padding[item.ID] = markup(1500)
	}
	owner := startDaemon(t, "a", store, fake)
	require.NoError(t, owner.Submit(t.Context(), accepted))
	requireListed(t, owner, "j1", 50)
	require.Zero(t, store.Rejected())
}

// rejectingStore rejects the result row of one item, and its object.
type rejectingStore struct {
	*tabletest.Memory
	item string
}

func (s rejectingStore) Commit(ctx context.Context, transaction table.Transaction) (table.Version, error) {
	for _, write := range transaction.Writes {
		if write.Table == "result" && bytes.Contains(write.Value, []byte(s.item+`"`)) {
			return 0, &table.Error{Kind: table.ErrorInvalid, Call: "commit"}
		}
	}
	return s.Memory.Commit(ctx, transaction)
}

// TestRejectedResultDoesNotDelayOthers guards against a result that the store never accepts
// and that keeps the other results of its job from being listed.
func TestRejectedResultDoesNotDelayOthers(t *testing.T) {
	store, fake := tabletest.NewMemory(), newFakeBackends()
	owner := startDaemon(t, "a", rejectingStore{Memory: store, item: "j1-item0"}, fake)
	require.NoError(t, owner.Submit(t.Context(), newJob("j1", 40)))
	listed := requireListed(t, owner, "j1", 39)
	require.NotContains(t, listed, "j1-item0")
}

// fullStore has no room for objects.
type fullStore struct{ *tabletest.Memory }

func (fullStore) PutObject(context.Context, string, []byte) error {
	return &table.Error{Kind: table.ErrorFull, Call: "put_object"}
}

// TestUnstorableObjectDoesNotDelayOthers guards against a result whose object cannot be
// stored and that keeps the other results of its job from being listed.
func TestUnstorableObjectDoesNotDelayOthers(t *testing.T) {
	store, fake := tabletest.NewMemory(), newFakeBackends()
	fake.padding["j1-item0"] = strings.Repeat("x", 20<<10)
	owner := startDaemon(t, "a", fullStore{store}, fake)
	require.NoError(t, owner.Submit(t.Context(), newJob("j1", 12)))
	listed := requireListed(t, owner, "j1", 11)
	require.NotContains(t, listed, "j1-item0")
}

// TestUnstorableSubmissionIsRefusedAtOnce guards against a submission that the store rejects
// and that is tried until its deadline.
func TestUnstorableSubmissionIsRefusedAtOnce(t *testing.T) {
	owner := startDaemon(t, "a", tabletest.NewMemory(), newFakeBackends())
	submitted := newJob(strings.Repeat("j", table.MaxKeyBytes+1), 1)
	require.True(t, failure.Is(submitted.CheckKeys(), failure.KindInvalid))
	err := owner.Submit(t.Context(), submitted)
	require.True(t, failure.Is(err, failure.KindTooLarge))
	require.True(t, failure.From(err).NotRun)
}
