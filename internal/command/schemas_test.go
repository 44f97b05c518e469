package command_test

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/avrocodec"
	_ "topazpulley/internal/command"
)

// TestSchemasAreThoseOfTheList: messages between daemons and records in the store carry no
// schema, and builds of before and after run side by side while a fleet is upgraded. A
// schema in testdata/schemas is never changed or taken away while a deployment may run a
// build that has it; one that is new is added there, with a name of its method, key or table
// that no earlier schema has.
func TestSchemasAreThoseOfTheList(t *testing.T) {
	listed, err := os.ReadFile("testdata/schemas")
	require.NoError(t, err)
	require.Equal(t, strings.Split(strings.TrimSpace(string(listed)), "\n"), avrocodec.Registered())
}
