package job_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/table/tabletest"
)

// TestLongItemOutlivesItsOwner: the body of an item has over 1 MiB, the job is
// accepted and its owner ends. Order of events before: the next owner could not read
// the job's content, because the library that writes parts of any length reads none
// of over 1 MiB; the job was given back and taken over again for as long as it
// lasted, and requests for the item's body failed. Evidence: decoding the content of
// an item of 2 MiB told "size is greater than MaxByteSliceSize".
func TestLongItemOutlivesItsOwner(t *testing.T) {
	store, runner := tabletest.NewMemory(), newRunners()
	runner.pause = time.Minute
	owner, heir := startDaemon(t, "a", store, runner), startDaemon(t, "b", store, runner)
	accepted := newJob("j1", 1)
	accepted.Items[0].Body = make([]byte, 2<<20)
	require.NoError(t, owner.Submit(t.Context(), accepted))
	require.Eventually(t, func() bool { return runner.started("j1-item0") == 1 }, patience, pollTime)
	body, err := heir.Body(t.Context(), "j1", "j1-item0")
	require.NoError(t, err)
	require.Equal(t, accepted.Items[0].Body, body)
	owner.cancel()
	heir.peers.kill("a")
	require.Eventually(t, func() bool { return runner.started("j1-item0") == 2 }, patience, pollTime)
}
