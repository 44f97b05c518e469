package job_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/job"
	"topazpulley/internal/serving"
	"topazpulley/internal/table/tabletest"
)

// TestMalformedStoredItemIsAbandoned: a stored item with line breaks in its path, id or
// headers must never be sent, neither by the owner nor after a takeover.
func TestMalformedStoredItemIsAbandoned(t *testing.T) {
	malformed := map[string]job.Item{
		"path":  {ID: "bad", Path: "/jobs/run HTTP/1.1\r\n\r\nPOST /jobs/run"},
		"id":    {ID: "bad\r\nX-A: b", Path: "/jobs/run"},
		"name":  {ID: "bad", Path: "/jobs/run", Fields: []serving.Field{{Name: "X-A: b\r\nX-B", Value: "c"}}},
		"value": {ID: "bad", Path: "/jobs/run", Fields: []serving.Field{{Name: "X-A", Value: "a\nX-B: c"}}},
	}
	for name, item := range malformed {
		t.Run(name, func(t *testing.T) {
			store, fake := tabletest.NewMemory(), newFakeBackends()
			fake.pause = time.Minute
			owner, successor := startDaemon(t, "a", store, fake), startDaemon(t, "b", store, fake)
			accepted := newJob("j1", 3)
			accepted.Items = append(accepted.Items, item)
			require.NoError(t, owner.Submit(t.Context(), accepted))
			abandoned := func() bool {
				listed, total := allResults(t, successor, "j1")
				return total == 4 && len(listed) == 1 && listed[0].Item == item.ID && listed[0].State == job.StateAbandoned
			}
			require.Eventually(t, abandoned, testTimeout, pollInterval)
			owner.cancel()
			successor.peers.markGone("a")
			require.Eventually(t, func() bool { return successor.Owned() == 1 && fake.started("j1-item2") == 2 }, testTimeout, pollInterval)
			require.True(t, abandoned())
			require.Zero(t, fake.started(item.ID))
		})
	}
}
