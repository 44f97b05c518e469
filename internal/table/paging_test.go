package table_test

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/table"
)

// bytesStore holds one table whose answers, like JSON, replace each byte of a key that is no text.
type bytesStore struct {
	sortedStore
}

// maxDamagedReads is more than a read of each of the tables takes.
const maxDamagedReads = 100

func (s *bytesStore) Read(ctx context.Context, wanted table.Range) (table.Page, error) {
	if s.calls > maxDamagedReads {
		return table.Page{}, &table.Error{Kind: table.ErrorInvalid, Call: "read_for_ever"}
	}
	page, err := s.sortedStore.Read(ctx, wanted)
	for index := range page.Rows {
		page.Rows[index].Key = strings.ToValidUTF8(page.Rows[index].Key, "\uFFFD")
	}
	return page, err
}

// keysOf returns a number of keys that begin with a text.
func keysOf(start string, count int) []string {
	keys := []string{}
	for index := range count {
		keys = append(keys, fmt.Sprintf("%s%04d", start, index))
	}
	return keys
}

// Guards against rows that are skipped, or read for ever, because the last keys of a page are damaged.
func TestReadGoesOnAfterDamagedKeys(t *testing.T) {
	const pageRows = 500
	for name, each := range map[string]struct {
		damaged []string
		later   string
	}{
		"one, before its replacement":   {[]string{"k\x80"}, "k\u00e9"},
		"one, after its replacement":    {[]string{"k\xf0!"}, "k\U0001F600"},
		"a page, after its replacement": {keysOf("k\xf0!", pageRows+1), "l"},
	} {
		sound := append(keysOf("i", pageRows-1), keysOf(each.later, 10)...)
		keys := append(append([]string{}, sound...), each.damaged...)
		sort.Strings(keys)
		store := &bytesStore{sortedStore{keys: keys}}
		seen := &recorder{}
		follower := &table.Follower{Store: store, Table: followedTable, Consumer: seen, Logger: discardLogger, Wait: 20 * time.Millisecond}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() { defer close(ended); follower.Run(ctx) }()
		require.Eventually(t, func() bool { return follower.Age() < time.Minute }, testTimeout, pollTime, name)
		cancel()
		<-ended
		require.Subset(t, seen.keys(), sound, name)

		section := &table.Follower{Store: &bytesStore{sortedStore{keys: keys}}, Table: followedTable, Plan: countPlan{position: 0, rows: len(keys)}}
		read := []string{}
		for _, row := range table.ReadSectionOnce(t.Context(), section) {
			read = append(read, row.Key)
		}
		require.Subset(t, read, sound, name)
	}
}

// Guards against a page without readable rows that counts as the end of the table.
func TestEmptyPageIsNoEnd(t *testing.T) {
	_, _, err := table.Page{More: true}.Next("k")
	require.True(t, table.IsKind(err, table.ErrorNotDone))
	_, more, err := table.Page{Rows: []table.Row{{Key: "k"}}}.Next("")
	require.NoError(t, err)
	require.False(t, more)
}
