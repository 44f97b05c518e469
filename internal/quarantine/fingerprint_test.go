package quarantine

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestFingerprintDistinguishesRequests(t *testing.T) {
	base := FingerprintOf("POST", "/a/1", "caller", []byte("body"))
	require.Equal(t, base, FingerprintOf("POST", "/a/1", "caller", []byte("body")))
	require.NotEqual(t, base, FingerprintOf("GET", "/a/1", "caller", []byte("body")))
	require.NotEqual(t, base, FingerprintOf("POST", "/a/2", "caller", []byte("body")))
	require.NotEqual(t, base, FingerprintOf("POST", "/a/1", "another", []byte("body")))
	require.NotEqual(t, base, FingerprintOf("POST", "/a/1", "caller", []byte("other")))
	require.NotEqual(t, FingerprintOf("POST", "/ab", "c", nil), FingerprintOf("POST", "/a", "bc", nil))
}
