package job_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/job"
	"topazpulley/internal/serving"
	"topazpulley/internal/table/tabletest"
)

// TestStoredItemThatIsNoRequestIsGivenUp.
//
// What users saw: a backend ran a request that nobody had sent. Order of events: a
// version that did not look at the words of items accepts a job in which some hold
// line breaks; the job is stored; it is run, there or by a daemon of a later version
// that takes it over. Cause: what lies in the store was believed to be fit for a
// request. Evidence: without the look, the items of this test are sent.
func TestStoredItemThatIsNoRequestIsGivenUp(t *testing.T) {
	malformed := map[string]job.Item{
		"path":  {ID: "bad", Path: "/jobs/run HTTP/1.1\r\n\r\nPOST /jobs/run"},
		"id":    {ID: "bad\r\nX-A: b", Path: "/jobs/run"},
		"name":  {ID: "bad", Path: "/jobs/run", Fields: []serving.Field{{Name: "X-A: b\r\nX-B", Value: "c"}}},
		"value": {ID: "bad", Path: "/jobs/run", Fields: []serving.Field{{Name: "X-A", Value: "a\nX-B: c"}}},
	}
	for name, item := range malformed {
		t.Run(name, func(t *testing.T) {
			store, runner := tabletest.NewMemory(), newRunners()
			runner.pause = time.Minute
			owner, heir := startDaemon(t, "a", store, runner), startDaemon(t, "b", store, runner)
			accepted := newJob("j1", 3)
			accepted.Items = append(accepted.Items, item)
			require.NoError(t, owner.Submit(t.Context(), accepted))
			abandoned := func() bool {
				listed, total := allResults(t, heir, "j1")
				return total == 4 && len(listed) == 1 && listed[0].Item == item.ID && listed[0].State == job.StateAbandoned
			}
			require.Eventually(t, abandoned, patience, pollTime)
			owner.cancel()
			heir.peers.kill("a")
			require.Eventually(t, func() bool { return heir.Owned() == 1 && runner.started("j1-item2") == 2 }, patience, pollTime)
			require.True(t, abandoned())
			require.Zero(t, runner.started(item.ID))
		})
	}
}
