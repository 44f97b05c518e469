package batch_test

import (
	"log/slog"
	"testing"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/batch"
	"topazpulley/internal/emulator"
	"topazpulley/internal/storage"
)

// Guards against a chunk that nobody works on because it was claimed while its worker stopped.
func TestChunkClaimedWhileStoppingIsReleased(t *testing.T) {
	for _, isStopping := range []bool{false, true} {
		store := batch.NewStore(storage.NewClient(&emulator.InProcess{Platform: emulator.NewPlatform()}, operationsPerSecond))
		_, err := store.Create(t.Context(), batch.Job{ID: modelJobID, Tenant: "tenant", Key: "key", Items: modelItems, ChunkSize: modelItems, Chunks: 1, State: batch.StateRunning}, "digest")
		require.NoError(t, err)
		job, version, err := store.Job(t.Context(), modelJobID)
		require.NoError(t, err)
		worker := batch.NewWorker(store, nil, nil, slog.New(slog.DiscardHandler))
		claimed, err := store.Claim(t.Context(), job, version, 0, "worker")
		require.NoError(t, err)
		if isStopping {
			worker.Stop(t.Context())
		}
		require.Equal(t, isStopping, worker.Begin(t.Context(), job, claimed), "stopping %v", isStopping)
	}
}
