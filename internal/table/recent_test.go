package table_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/table"
)

// TestReplicaKeepsOneVersionOfALargeRow guards against a copy that keeps and sends every version
// of a row, so that a large one fills the memory and the links of a daemon.
func TestReplicaKeepsOneVersionOfALargeRow(t *testing.T) {
	const (
		versions   = 30
		valueBytes = 600_000
	)
	kept := &table.Replica{Consumer: &recorder{}}
	kept.Replace(nil, 1)
	for version := table.Version(2); version < 2+versions; version++ {
		kept.Change([]table.Row{{Table: followedTable, Key: "large", Value: make([]byte, valueBytes), Version: version}}, version)
	}
	changes, isWhole, isKnown := kept.ChangesSince(1)
	require.True(t, isKnown)
	require.False(t, isWhole)
	require.Equal(t, 1, len(changes.Rows))
	require.Equal(t, table.Version(1+versions), changes.Rows[0].Version)
	require.LessOrEqual(t, kept.Bytes(), 3*valueBytes)
}

// TestReplicaBoundsBytesOfChanges guards against recent changes that are bounded by their number
// only.
func TestReplicaBoundsBytesOfChanges(t *testing.T) {
	const (
		rows       = 200
		valueBytes = 100_000
		maxBytes   = 9 << 20
	)
	kept := &table.Replica{Consumer: &recorder{}}
	kept.Replace(nil, 1)
	for version := table.Version(2); version < 2+rows; version++ {
		row := table.Row{Table: followedTable, Key: fmt.Sprint(version), Value: make([]byte, valueBytes), Version: version}
		kept.Change([]table.Row{row}, version)
		row.Version, row.Deleted, row.Value = version, true, nil
		kept.Change([]table.Row{row}, version)
	}
	require.LessOrEqual(t, kept.Bytes(), maxBytes)
	for version := table.Version(2 + rows); version < 2+2*rows; version++ {
		kept.Change([]table.Row{{Table: followedTable, Key: fmt.Sprint(version), Value: make([]byte, valueBytes), Version: version}}, version)
	}
	require.LessOrEqual(t, kept.Bytes(), rows*(valueBytes+10)+maxBytes)
	_, isWhole, isKnown := kept.ChangesSince(1 + rows)
	require.True(t, isKnown)
	require.True(t, isWhole, "changes that are no longer kept are left out")
}

// TestReplicaChangesMatchRows guards against changes that are lost when superseded ones are
// cleared: a copy that applies them must equal the replica.
func TestReplicaChangesMatchRows(t *testing.T) {
	const (
		keys    = 150
		changes = 20_000
		lag     = 700
	)
	source := rand.New(rand.NewPCG(1, 2))
	kept := &table.Replica{Consumer: &recorder{}}
	kept.Replace(nil, 1)
	expected, followed, seen := map[string]table.Version{}, map[string]table.Version{}, table.Version(1)
	for version := table.Version(2); version < changes; version++ {
		row := table.Row{Table: followedTable, Key: fmt.Sprint(source.IntN(keys)), Value: []byte("x"), Version: version, Deleted: source.IntN(10) == 0}
		kept.Change([]table.Row{row}, version)
		apply(expected, row)
		if source.IntN(lag) > 0 {
			continue
		}
		received, isWhole, isKnown := kept.ChangesSince(seen)
		require.True(t, isKnown)
		require.False(t, isWhole)
		for _, row := range received.Rows {
			require.Greater(t, row.Version, seen, "changes are in order and new")
			seen = row.Version
			apply(followed, row)
		}
		seen = received.Version
		require.Equal(t, expected, followed)
	}
}

func apply(rows map[string]table.Version, row table.Row) {
	if row.Deleted {
		delete(rows, row.Key)
		return
	}
	rows[row.Key] = row.Version
}
