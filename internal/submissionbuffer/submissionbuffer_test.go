package submissionbuffer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/submissionbuffer"
)

// TestSmallDaemonsBufferLittle fails if a daemon with 160 MB buffers a job of 4 MB, or doesn't
// buffer about 18 jobs of 150 KB.
func TestSmallDaemonsBufferLittle(t *testing.T) {
	buffer := submissionbuffer.New(submissionbuffer.LimitsOf(160, 0.05))
	_, isBuffered := buffer.Add(4 << 20)
	require.False(t, isBuffered)
	releases := []func(){}
	for {
		release, isBuffered := buffer.Add(150 << 10)
		if !isBuffered {
			break
		}
		releases = append(releases, release)
	}
	require.InDelta(t, 18, len(releases), 1)
	for _, release := range releases {
		release()
	}
	require.Zero(t, buffer.Count())
	_, isBuffered = buffer.Add(150 << 10)
	require.True(t, isBuffered)
}

// TestCountIsBounded fails if small contents are buffered without a bound on their number.
func TestCountIsBounded(t *testing.T) {
	buffer := submissionbuffer.New(submissionbuffer.LimitsOf(0, 0.05))
	buffered := 0
	for range 1000 {
		if _, isBuffered := buffer.Add(1); isBuffered {
			buffered++
		}
	}
	require.Equal(t, 64, buffered)
}

// TestNothingIsBufferedWithoutShare fails if a daemon with a share of 0 buffers submissions.
func TestNothingIsBufferedWithoutShare(t *testing.T) {
	_, isBuffered := submissionbuffer.New(submissionbuffer.LimitsOf(160, 0)).Add(1)
	require.False(t, isBuffered)
}

// TestRetryAfterFollowsOutage fails if the retry delay doesn't follow the outage's duration
// within its bounds.
func TestRetryAfterFollowsOutage(t *testing.T) {
	require.Equal(t, 500*time.Millisecond, submissionbuffer.RetryAfter(100*time.Millisecond, false))
	require.Equal(t, 2*time.Second, submissionbuffer.RetryAfter(2*time.Second, false))
	require.Equal(t, 3*time.Second, submissionbuffer.RetryAfter(time.Minute, false))
	require.Less(t, submissionbuffer.RetryAfter(2*time.Second, true), 200*time.Millisecond, "a buffered caller retries soon")
}
