package frontend

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/boottime"
	"topazpulley/internal/table"
	"topazpulley/internal/table/tabletest"
)

const (
	// startLimit is the age of the claims from which a daemon starts no items (the job
	// service's claimsAgeLimit).
	startLimit = 2 * time.Second
	// storeTime is the round trip time to the store.
	storeTime = 2 * time.Millisecond
	// idleTime is many times the longest watch.
	idleTime = time.Minute
)

// virtualNow is the clock of the synctest bubble.
func virtualNow() boottime.Instant { return boottime.Instant(time.Now().UnixNano()) }

// idleStore is a store without changes. Its answers have the time at which they were made,
// which for a watch without changes is the end of the wait.
type idleStore struct{ table.Store }

func (c idleStore) Watch(ctx context.Context, name string, after table.Version, wait time.Duration) (table.Changes, error) {
	time.Sleep(storeTime / 2)
	changes, err := c.Store.Watch(ctx, name, after, wait)
	changes.AsOf = virtualNow()
	time.Sleep(storeTime / 2)
	return changes, err
}

// servingOthers is the table.Upstream of a daemon that is an upstream itself.
type servingOthers struct{}

func (servingOthers) Changes(context.Context, string, table.Section, table.Version, time.Duration) (table.RelayedChanges, bool, error) {
	return table.RelayedChanges{}, false, nil
}
func (servingOthers) Serves() bool { return true }

// following is the table.Upstream of a daemon that follows an upstream, without the network.
type following struct{ upstream *upstream }

func (f following) Changes(ctx context.Context, name string, _ table.Section, after table.Version, wait time.Duration) (table.RelayedChanges, bool, error) {
	answer, err := f.upstream.serve(ctx, "", followRequest{Table: name, After: int64(after), WaitMilliseconds: wait.Milliseconds()})
	return table.RelayedChanges{
		Changes: table.Changes{Rows: tableRows(answer.Rows), Version: table.Version(answer.Version)},
		IsWhole: answer.IsWhole, IsSettled: answer.IsSettled, Age: time.Duration(answer.AgeMilliseconds) * time.Millisecond,
	}, true, err
}
func (following) Serves() bool { return false }

// TestClaimsStayFreshWithoutChanges: the claims of a daemon that follows an upstream must not
// reach the age at which it starts no items just because no job changes.
func TestClaimsStayFreshWithoutChanges(t *testing.T) { synctest.Test(t, claimsStayFresh) }

func claimsStayFresh(t *testing.T) {
	store := idleStore{tabletest.NewMemory()}
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	follow := func(consumer table.Consumer, through table.Upstream) *table.Follower {
		made := newClaimFollower()
		made.Store, made.Table, made.Consumer, made.Logger, made.Upstream, made.Clock = store, "t", consumer, quiet, through, virtualNow
		running.Go(func() { made.Run(ctx) })
		return made
	}
	offered := followedCopy{replica: &table.Replica{Consumer: discard{}}}
	offered.follower = follow(offered.replica, servingOthers{})
	time.Sleep(time.Second)
	require.Less(t, offered.follower.StoreAge(), upstreamAge)
	followers := []*table.Follower{}
	for range 12 {
		followers = append(followers, follow(discard{}, following{serverOf(offered)}))
		time.Sleep(63 * time.Millisecond) // spread over one watch of the upstream
	}
	time.Sleep(time.Second)
	var (
		watched sync.WaitGroup
		mutex   sync.Mutex
		oldest  time.Duration
	)
	for _, each := range followers {
		watched.Go(func() {
			for end := time.Now().Add(idleTime); time.Now().Before(end); time.Sleep(pollTime) {
				age := each.Age()
				mutex.Lock()
				oldest = max(oldest, age)
				mutex.Unlock()
			}
		})
	}
	watched.Wait()
	t.Log("oldest", oldest)
	require.Less(t, oldest, startLimit, "a daemon starts no items although nothing is wrong")
}
