package runrecord

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestOnlyTheRecordPromises: where requests have been sent to backends, "not run"
// is made by the record and by nothing else. Each path that made one of its own was
// false after some sequence of attempts.
func TestOnlyTheRecordPromises(t *testing.T) {
	for file, word := range map[string]string{
		"../gateway/generation.go": "WithNotRun",
		"../engine/quarantine.go":  "WithNotRun",
	} {
		require.Zero(t, occurrences(t, file, word), file)
		require.Zero(t, occurrences(t, file, "NotRun ="), file)
	}
	paths, err := filepath.Glob("../serving/*.go")
	require.NoError(t, err)
	total := 0
	for _, path := range paths {
		if !strings.HasSuffix(path, "_test.go") && filepath.Base(path) != "request.go" {
			total += occurrences(t, path, "VerdictNotRun") + occurrences(t, path, "VerdictQuarantined")
		}
	}
	require.Equal(t, 2, total, "giveUp and refuseQuarantined, which both ask the record")
}

func occurrences(t *testing.T, path, word string) int {
	t.Helper()
	content, err := os.ReadFile(path)
	require.NoError(t, err)
	return strings.Count(string(content), word)
}
