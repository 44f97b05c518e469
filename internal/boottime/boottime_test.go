package boottime_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/boottime"
)

// TestNowGoesOn: as the steady clock does while the machine is awake.
func TestNowGoesOn(t *testing.T) {
	steady, before := time.Now(), boottime.Now()
	time.Sleep(20 * time.Millisecond)
	passed := boottime.Now().Sub(before)
	require.GreaterOrEqual(t, passed, 20*time.Millisecond)
	require.LessOrEqual(t, passed, time.Since(steady)+time.Millisecond)
	require.Equal(t, before.Add(passed).Sub(before), passed)
}
