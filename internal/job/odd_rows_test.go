package job_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/table"
	"topazpulley/internal/table/tabletest"
)

// write replaces a row of a job's partition.
func write(t *testing.T, store *tabletest.Memory, name, partition, key string, value []byte) {
	t.Helper()
	_, err := store.Commit(t.Context(), table.Transaction{Partition: partition, Writes: []table.Write{{Table: name, Key: key, Value: value}}})
	require.NoError(t, err)
}

// partitionOf returns the partition that a job's rows are in.
func partitionOf(t *testing.T, store *tabletest.Memory, id string) string {
	t.Helper()
	partitions, _, err := store.Partitions(t.Context(), "job", "")
	require.NoError(t, err)
	for _, partition := range partitions {
		page, err := store.Read(t.Context(), table.Range{Table: "job", Partition: partition, From: id, Before: id + "\x00"})
		require.NoError(t, err)
		if len(page.Rows) > 0 {
			return partition
		}
	}
	require.Fail(t, "no such job")
	return ""
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
			partition := partitionOf(t, store, accepted.ID)
			write(t, store, "item_progress", partition, accepted.ID+"/"+accepted.Items[0].ID, value)
			write(t, store, "item_progress", partition, accepted.ID+"/no-item", value)
			other := startDaemon(t, "b", store, fake)
			other.peers.markGone("a")
			requireAllCompleted(t, other, accepted)
		})
	}
}
