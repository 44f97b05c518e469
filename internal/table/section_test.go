package table_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"topazpulley/internal/table"
	"topazpulley/internal/table/tabletest"
)

// sortedStore holds one table with sorted keys and counts the reads.
type sortedStore struct {
	table.Store
	keys  []string
	rows  int
	calls int
}

func (s *sortedStore) Read(_ context.Context, wanted table.Range) (table.Page, error) {
	s.calls++
	from := sort.SearchStrings(s.keys, wanted.From)
	end := len(s.keys)
	if wanted.Before != "" {
		end = sort.SearchStrings(s.keys, wanted.Before)
	}
	page := table.Page{Version: 1, More: end-from > wanted.Limit}
	for _, key := range s.keys[min(from, end):min(end, from+wanted.Limit)] {
		page.Rows = append(page.Rows, table.Row{Key: key, Version: 1})
	}
	s.rows += len(page.Rows)
	return page, nil
}

func (s *sortedStore) Watch(ctx context.Context, _ string, after table.Version, wait time.Duration) (table.Changes, error) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
	return table.Changes{Version: after}, nil
}

// countPlan wants a number of rows from a position on.
type countPlan struct {
	position float64
	rows     int
}

func (p countPlan) Position() float64              { return p.position }
func (p countPlan) IsEnough(rows []table.Row) bool { return len(rows) >= p.rows }
func (p countPlan) WantsMore() bool                { return false }
func (p countPlan) WantsLess(int) bool             { return false }

// randomIDs returns random ids in the format of backend ids, sorted.
func randomIDs(count int) []string {
	random := rand.New(rand.NewPCG(1, 2))
	ids := make([]string, 0, count)
	for range count {
		ids = append(ids, fmt.Sprintf("i-%08x", random.Uint32()))
	}
	sort.Strings(ids)
	return ids
}

// followSection starts a follower and returns it with the rows of its section.
func followSection(t *testing.T, store table.Store, plan table.SectionPlan) (*table.Follower, *recorder) {
	t.Helper()
	seen := &recorder{}
	replica := &table.Replica{Consumer: seen}
	follower := &table.Follower{Store: store, Table: followedTable, Consumer: replica, Part: replica, Plan: plan, Logger: discardLogger, Wait: 20 * time.Millisecond}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { defer close(ended); follower.Run(ctx) }()
	require.Eventually(t, func() bool { _, _, isKnown := follower.Section(); return isKnown && follower.Age() < time.Minute }, testTimeout, pollTime)
	t.Cleanup(func() { cancel(); <-ended })
	require.Eventually(t, func() bool { return replica.Rows() == len(seen.keys()) }, testTimeout, pollTime)
	return follower, seen
}

// TestSectionsCoverTheTable guards against backends in no section or in far more sections
// than others, and against reads that grow with the size of the fleet.
func TestSectionsCoverTheTable(t *testing.T) {
	const rows = 192
	for _, size := range []struct{ daemons, backends int }{{986, 10_000}, {1972, 20_000}} {
		store := &sortedStore{keys: randomIDs(size.backends)}
		known := map[string]int{}
		random := rand.New(rand.NewPCG(3, 4))
		for range size.daemons {
			reader := &table.Follower{Store: store, Table: followedTable, Plan: countPlan{position: random.Float64(), rows: rows}}
			section := table.ReadSectionOnce(t.Context(), reader)
			for _, row := range section {
				known[row.Key]++
			}
		}
		perDaemon := float64(store.rows) / float64(size.daemons)
		require.InDelta(t, 64+rows, perDaemon, 4, "the first rows and the section")
		require.LessOrEqual(t, store.calls, 6*size.daemons)
		require.Len(t, known, size.backends, "each backend is known to some daemon")
		mean, most := float64(rows*size.daemons)/float64(size.backends), 0
		for _, count := range known {
			most = max(most, count)
		}
		require.Less(t, float64(most), 2.5*mean)
	}
}

// TestOddKeysBesideThoseOfBackends guards against sections that grow to the whole table, or are read at
// the same place by all daemons, because some keys are unlike the others.
func TestOddKeysBesideThoseOfBackends(t *testing.T) {
	const rows, daemons, backends = 192, 200, 10_000
	for name, odd := range map[string][]string{
		"low": {"!odd"}, "empty text": {"\x01"}, "high": {"~odd"}, "between": {"i-0", "i-0000zzzzzzzzzzzzzzzzzzzzzzzzzzz", "i-0000\u00e9"},
		"some low": keysOf("!odd-", 15), "both": {"!odd", "~odd"},
	} {
		store := &sortedStore{keys: append(randomIDs(backends), odd...)}
		sort.Strings(store.keys)
		known := map[string]int{}
		random := rand.New(rand.NewPCG(3, 4))
		for range daemons {
			reader := &table.Follower{Store: store, Table: followedTable, Plan: countPlan{position: random.Float64(), rows: rows}}
			for _, row := range table.ReadSectionOnce(t.Context(), reader) {
				known[row.Key]++
			}
		}
		perDaemon := float64(store.rows) / float64(daemons)
		require.Less(t, perDaemon, 2*float64(64+rows), name)
		require.Greater(t, len(known), backends*3/4, name)
	}
}

// TestSmallTablesAreKeptEntirely guards against splitting small tables.
func TestSmallTablesAreKeptEntirely(t *testing.T) {
	for _, count := range []int{0, 1, 63, 64, 65, 400} {
		store := &sortedStore{keys: randomIDs(count)}
		follower, seen := followSection(t, store, countPlan{position: 0.9, rows: 10})
		section, width, _ := follower.Section()
		require.False(t, section.IsPart)
		require.InDelta(t, 1, width, 0)
		require.Len(t, seen.keys(), count)
	}
}

// TestSectionsOfNonuniformKeys guards against empty or too large sections when keys are not
// uniform over their alphabet.
func TestSectionsOfNonuniformKeys(t *testing.T) {
	kinds := map[string]func(int) string{
		"numbers":      func(index int) string { return fmt.Sprintf("back-end-%09d", index) },
		"no prefix":    func(index int) string { return fmt.Sprintf("%06x", index*1613) },
		"long tails":   func(index int) string { return fmt.Sprintf("%05d-of-a-long-name-that-all-share", index) },
		"other script": func(index int) string { return fmt.Sprintf("é%05d", index) },
	}
	for name, key := range kinds {
		keys := []string{}
		for index := range 3000 {
			keys = append(keys, key(index))
		}
		sort.Strings(keys)
		for _, position := range []float64{0, 0.3, 0.999999} {
			_, seen := followSection(t, &sortedStore{keys: keys}, countPlan{position: position, rows: 100})
			require.GreaterOrEqual(t, len(seen.keys()), 100, name)
			require.Less(t, len(seen.keys()), 200, name)
		}
	}
}

// TestSectionMatchesRowsRead guards against a section that differs from the rows read, also
// where it wraps around the last key.
func TestSectionMatchesRowsRead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		keys := randomIDs(rapid.IntRange(1100, 1500).Draw(t, "rows"))
		plan := countPlan{position: rapid.Float64Range(0, 0.9999).Draw(t, "place"), rows: rapid.IntRange(1, 2000).Draw(t, "wanted")}
		follower := &table.Follower{Store: &sortedStore{keys: keys}, Table: followedTable, Plan: plan, Part: &table.Replica{Consumer: &recorder{}}}
		read := map[string]bool{}
		for _, row := range table.ReadSectionOnce(context.Background(), follower) {
			read[row.Key] = true
		}
		section, width, _ := follower.Section()
		contained := 0
		for _, key := range keys {
			if section.Holds(key) {
				contained++
				require.True(t, read[key], key)
			}
		}
		require.Len(t, read, contained)
		require.InDelta(t, float64(contained)/float64(len(keys)), width, 0.15)
	})
}

// TestFollowerOfSection guards against missing changes in the section and against keeping
// rows of the rest of the table.
func TestFollowerOfSection(t *testing.T) {
	store := tabletest.NewMemory()
	for _, key := range randomIDs(1200) {
		put(t, store, "", key, "1")
	}
	follower, seen := followSection(t, store, countPlan{position: 0.5, rows: 200})
	section, _, _ := follower.Section()
	require.True(t, section.IsPart)
	before := len(seen.keys())
	inside, outside := section.From+"0", "i-00000000"
	put(t, store, "", outside, "2")
	put(t, store, "", inside, "2")
	require.Eventually(t, func() bool { return seen.value(inside) == "2" }, testTimeout, pollTime)
	require.Len(t, seen.keys(), before+1)
	remove(t, store, inside)
	require.Eventually(t, func() bool { return len(seen.keys()) == before }, testTimeout, pollTime)
}

// TestSectionFollowsTableSize guards against keeping all of a table that has grown, and
// against keeping only a section of one that has shrunk.
func TestSectionFollowsTableSize(t *testing.T) {
	store := tabletest.NewMemory()
	ids := randomIDs(2500)
	for _, index := range rand.New(rand.NewPCG(5, 6)).Perm(len(ids))[:100] {
		put(t, store, "", ids[index], "1")
	}
	seen := &recorder{}
	replica := &table.Replica{Consumer: seen}
	plan := &adaptivePlan{replica: replica}
	follower := &table.Follower{Store: store, Table: followedTable, Consumer: replica, Part: replica, Plan: plan, Logger: discardLogger, Wait: 20 * time.Millisecond}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { defer close(ended); follower.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-ended })
	isPart := func() bool { section, _, _ := follower.Section(); return section.IsPart }
	require.Eventually(t, func() bool { return len(seen.keys()) == 100 }, testTimeout, pollTime)
	require.False(t, isPart())
	for _, id := range ids {
		put(t, store, "", id, "2")
	}
	require.Eventually(t, func() bool { return isPart() && len(seen.keys()) < maxPlanned }, testTimeout, pollTime)
	section, width, _ := follower.Section()
	for index := range 1000 {
		put(t, store, "", fmt.Sprintf("%s-%d", section.From, index), "3")
	}
	require.Eventually(t, func() bool {
		_, narrower, _ := follower.Section()
		return narrower < width && len(seen.keys()) < maxPlanned
	}, testTimeout, pollTime)
	for index := range 1000 {
		remove(t, store, fmt.Sprintf("%s-%d", section.From, index))
	}
	for _, id := range ids[300:] {
		remove(t, store, id)
	}
	require.Eventually(t, func() bool { return !isPart() && len(seen.keys()) == 300 }, testTimeout, pollTime)
}

// Guards against a section that stays one because it was read again while the table shrank.
func TestSectionReadWhileTableShrinks(t *testing.T) {
	const left, rows, pauses = 300, 2500, 24
	for number := range pauses {
		pauseAt := left + (rows-left)*number/pauses
		t.Run(fmt.Sprint("pause at ", pauseAt), func(t *testing.T) {
			t.Parallel()
			store, ids := tabletest.NewMemory(), randomIDs(rows)
			for _, id := range ids {
				put(t, store, "", id, "1")
			}
			seen := &recorder{}
			replica := &table.Replica{Consumer: seen}
			follower := &table.Follower{Store: store, Table: followedTable, Consumer: replica, Part: replica, Plan: &adaptivePlan{replica: replica}, Logger: discardLogger, Wait: 20 * time.Millisecond}
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan struct{})
			go func() { defer close(ended); follower.Run(ctx) }()
			t.Cleanup(func() { cancel(); <-ended })
			isPart := func() bool { section, _, _ := follower.Section(); return section.IsPart }
			require.Eventually(t, func() bool { return isPart() && replica.Rows() == len(seen.keys()) }, testTimeout, pollTime)
			for index := left; index < rows; index++ {
				if index == pauseAt {
					time.Sleep(1300 * time.Millisecond)
				}
				remove(t, store, ids[index])
			}
			require.Eventually(t, func() bool { return !isPart() && len(seen.keys()) == left }, testTimeout, pollTime)
		})
	}
}

// adaptivePlan wants 200 rows, more if fewer than 100 are left and less from maxPlanned on.
type adaptivePlan struct{ replica *table.Replica }

func (p *adaptivePlan) Position() float64              { return 0.4 }
func (p *adaptivePlan) IsEnough(rows []table.Row) bool { return len(rows) >= 200 }
func (p *adaptivePlan) WantsMore() bool                { return p.replica.Rows() < 100 }
func (p *adaptivePlan) WantsLess(rows int) bool        { return rows >= maxPlanned }

// maxPlanned is the number of rows from which a section is too large for an adaptivePlan.
const maxPlanned = 400

// servingUpstream is the Upstream of a daemon that others follow.
type servingUpstream struct{}

func (servingUpstream) Serves() bool { return true }
func (servingUpstream) Changes(context.Context, string, table.Section, table.Version, time.Duration) (table.RelayedChanges, bool, error) {
	return table.RelayedChanges{}, false, nil
}

// TestRereadLeavesNoGapInChanges guards against changes that are missing from an upstream's
// copy after it has read a growing table again.
func TestRereadLeavesNoGapInChanges(t *testing.T) {
	store := tabletest.NewMemory()
	ids := randomIDs(2500)
	put(t, store, "", ids[0], "1")
	replica := &table.Replica{Consumer: &recorder{}}
	follower := &table.Follower{Store: store, Table: followedTable, Consumer: replica, Part: replica, Plan: &adaptivePlan{replica: replica}, Logger: discardLogger, Wait: 20 * time.Millisecond, Upstream: servingUpstream{}}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { defer close(ended); follower.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-ended })
	require.Eventually(t, func() bool { return replica.Rows() == 1 && follower.StoreAge() < time.Minute }, testTimeout, pollTime)
	_, after, _ := replica.Since(0)
	for _, id := range ids[1:] {
		put(t, store, "", id, "2")
	}
	require.Eventually(t, func() bool { _, version, _ := replica.Since(0); return version >= store.Version() }, testTimeout, pollTime)
	require.Eventually(t, func() bool { return replica.Section().IsPart }, testTimeout, pollTime)
	changes, _, isKnown := replica.ChangesSince(after)
	require.True(t, isKnown)
	require.Len(t, changes.Rows, len(ids)-1)
}

// TestReplicaOfSection guards against relaying incomplete changes after the replica has
// received changes of its own section only.
func TestReplicaOfSection(t *testing.T) {
	seen := &recorder{}
	replica := &table.Replica{Consumer: seen}
	replica.SetSection(table.Section{IsPart: true, From: "b", Before: "d"})
	replica.Replace([]table.Row{{Key: "b", Version: 1}}, 1)
	replica.Change([]table.Row{{Key: "a", Version: 2}, {Key: "c", Version: 3}}, 3)
	require.ElementsMatch(t, []string{"b", "c"}, seen.keys())

	changes, isKnown := replica.SectionSince(table.Section{IsPart: true, From: "a", Before: "b"}, 1)
	require.True(t, isKnown)
	require.Len(t, changes.Rows, 1)
	require.Equal(t, "a", changes.Rows[0].Key)
	require.Equal(t, table.Version(3), changes.Version)
	all, isWhole, isKnown := replica.ChangesSince(1)
	require.True(t, isKnown)
	require.False(t, isWhole)
	require.Len(t, all.Rows, 2)
	_, _, isKnown = replica.ChangesSince(0)
	require.False(t, isKnown, "a section is never returned as the entire table")
	_, isKnown = replica.SectionSince(table.Section{}, 0)
	require.False(t, isKnown)

	replica.Keep([]table.Row{{Key: "b", Version: 1}}, 5, []table.Row{{Key: "aa", Version: 4}}, true)
	changes, isKnown = replica.SectionSince(table.Section{IsPart: true, From: "a", Before: "b"}, 1)
	require.True(t, isKnown, "there is no gap before the rows read again")
	require.Len(t, changes.Rows, 2)
	replica.Keep([]table.Row{{Key: "b", Version: 1}}, 6, nil, false)
	_, isKnown = replica.SectionSince(table.Section{}, 5)
	require.False(t, isKnown)

	replica.ChangePart([]table.Row{{Key: "c", Version: 9}}, 9)
	_, isKnown = replica.SectionSince(table.Section{IsPart: true, From: "a", Before: "b"}, 7)
	require.False(t, isKnown, "other changes up to 9 are not known")
}

// TestReadOfManyPartitionsIsDeferred guards against reading many partitions while reads are
// deferred, and against deferring a read of few.
func TestReadOfManyPartitionsIsDeferred(t *testing.T) {
	store := tabletest.NewMemory()
	put(t, store, "few", "a", "1")
	var isDeferred atomic.Bool
	isDeferred.Store(true)
	start := func() *recorder {
		seen := &recorder{}
		follower := &table.Follower{Store: store, Table: followedTable, Consumer: seen, Partitioned: true, Logger: discardLogger, Wait: 20 * time.Millisecond, Deferred: func() time.Duration {
			if isDeferred.Load() {
				return time.Millisecond
			}
			return 0
		}}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() { defer close(ended); follower.Run(ctx) }()
		t.Cleanup(func() { cancel(); <-ended })
		return seen
	}
	few := start()
	require.Eventually(t, func() bool { return few.value("a") == "1" }, testTimeout, pollTime)
	for partition := range 20 {
		put(t, store, fmt.Sprint("part-", partition), "a", "2")
	}
	calls := atomic.Int64{}
	store.SetDecide(func(string) tabletest.Fault {
		calls.Add(1)
		return tabletest.FaultNone
	})
	many := start()
	time.Sleep(100 * time.Millisecond)
	require.Empty(t, many.value("a"))
	require.Less(t, calls.Load(), int64(30), "a deferred read makes no calls; the other follower watches")
	isDeferred.Store(false)
	require.Eventually(t, func() bool { return many.value("a") == "2" }, testTimeout, pollTime)
}
