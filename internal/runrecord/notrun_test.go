package runrecord

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestOnlyRecordMarksNotRun checks that, where requests are sent to backends, only the
// record decides whether an answer says that the request has not run.
func TestOnlyRecordMarksNotRun(t *testing.T) {
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
	require.Equal(t, 2, total, "only giveUp and refuseQuarantined, which check the record")
}

func occurrences(t *testing.T, path, word string) int {
	t.Helper()
	content, err := os.ReadFile(path)
	require.NoError(t, err)
	return strings.Count(string(content), word)
}
