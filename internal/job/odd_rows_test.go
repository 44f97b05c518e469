package job_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/job"
	"topazpulley/internal/table"
	"topazpulley/internal/table/tabletest"
)

// write replaces a row of a job's partition.
func write(t *testing.T, store *tabletest.Memory, name, partition, key string, value []byte) {
	t.Helper()
	_, err := store.Commit(t.Context(), table.Transaction{Partition: partition, Writes: []table.Write{{Table: name, Key: key, Value: value}}})
	require.NoError(t, err)
}

// Guards against a job that nobody runs any more because one of its checkpoints is odd.
func TestOddCheckpointDoesNotStopTakeover(t *testing.T) {
	for name, value := range map[string][]byte{
		"empty":           nil,
		"no record":       []byte("\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff"),
		"object":          []byte(strings.Repeat(`{"a":`, 1000)),
		"text no record":  {0, 4, 'x', 'y', 0},
		"fewer failures":  {0, 0, 3},
		"event before 1":  {0, 12, 2, 's', 2, 'v', 5, 0, 0},
		"length too long": {0, 0xfe, 0xff, 0xff, 0xff, 0x0f, 0},
	} {
		t.Run(name, func(t *testing.T) {
			store, fake := tabletest.NewMemory(), newFakeBackends()
			fake.events, fake.pause = 20, 20*time.Millisecond
			owner := startDaemon(t, "a", store, fake)
			accepted := newJob("j1", 3)
			require.NoError(t, owner.Submit(t.Context(), accepted))
			owner.cancel()
			partition := job.Shard(accepted.ID)
			write(t, store, "item_progress", partition, accepted.ID+"/"+accepted.Items[0].ID, value)
			write(t, store, "item_progress", partition, accepted.ID+"/no-item", value)
			other := startDaemon(t, "b", store, fake)
			other.peers.markGone("a")
			requireAllCompleted(t, other, accepted)
		})
	}
}

// Guards against a job that nobody runs any more because its claim is odd, to daemons that followed the
// claims before and to those that read them later.
func TestOddClaimDoesNotStopTakeover(t *testing.T) {
	for name, value := range map[string][]byte{"empty": nil, "no object": []byte("[1]"), "nested": []byte(strings.Repeat("[", 12000)), "number too large": []byte(`{"owner":"a","epoch":1e400}`)} {
		for _, isFollower := range []bool{true, false} {
			t.Run(fmt.Sprint(name, " follower ", isFollower), func(t *testing.T) {
				store, fake := tabletest.NewMemory(), newFakeBackends()
				fake.events, fake.pause = 20, 20*time.Millisecond
				owner := startDaemon(t, "a", store, fake)
				accepted := newJob("j1", 3)
				require.NoError(t, owner.Submit(t.Context(), accepted))
				owner.cancel()
				var other *daemon
				if isFollower {
					other = startDaemon(t, "b", store, fake)
					require.Eventually(t, func() bool { return other.Followed() >= store.Version() }, testTimeout, pollInterval)
				}
				write(t, store, job.ClaimTable, job.Shard(accepted.ID), accepted.ID, value)
				if !isFollower {
					other = startDaemon(t, "b", store, fake)
				}
				other.peers.markGone("a")
				requireAllCompleted(t, other, accepted)
			})
		}
	}
}

// Guards against claims without a job that daemons take over again and again.
func TestClaimWithoutJobIsRemoved(t *testing.T) {
	store, fake := tabletest.NewMemory(), newFakeBackends()
	ids := []string{"no-job", "no-other"}
	for index, value := range []string{"{}", "odd"} {
		write(t, store, job.ClaimTable, job.Shard(ids[index]), ids[index], []byte(value))
		write(t, store, job.ClaimTable, "elsewhere", ids[index], []byte(value))
	}
	started := startDaemon(t, "b", store, fake)
	require.Eventually(t, func() bool {
		page, err := store.Read(t.Context(), table.Range{Table: job.ClaimTable, Partition: job.Shard(ids[0])})
		other, otherErr := store.Read(t.Context(), table.Range{Table: job.ClaimTable, Partition: job.Shard(ids[1])})
		return err == nil && otherErr == nil && len(page.Rows)+len(other.Rows) == 0
	}, testTimeout, pollInterval)
	accepted := newJob("j1", 3)
	require.NoError(t, started.Submit(t.Context(), accepted))
	requireAllCompleted(t, started, accepted)
}
