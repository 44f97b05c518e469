package tenant_test

import (
	"crypto/sha256"
	"encoding/hex"
	"testing"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/failure"
	"topazpulley/internal/tenant"
)

func directory() *tenant.Directory {
	return tenant.NewDirectory([]tenant.Tenant{
		{Name: "a", Keys: []tenant.Digest{tenant.DigestOf("a1"), tenant.DigestOf("a2")}},
		{Name: "b", Keys: []tenant.Digest{tenant.DigestOf("b1"), tenant.DigestOf("a1")}},
		{Name: "without keys"},
	})
}

// TestKeysIdentifyTheirTenant fails if one of several keys isn't found, or another text is.
func TestKeysIdentifyTheirTenant(t *testing.T) {
	cases := map[string]string{"a1": "a", "a2": "a", "b1": "b", "b2": "", "": "", "A1": "", "a1 ": ""}
	for key, name := range cases {
		found, isKnown := directory().Identify(key)
		require.Equal(t, name != "", isKnown, key)
		if isKnown {
			require.Equal(t, name, found.Name)
		}
	}
	require.Equal(t, 3, directory().Count())
	require.ElementsMatch(t, []string{"a", "b", "without keys"}, directory().Names())
}

// TestNilDirectoryIsEmpty fails if a nil directory panics or returns a tenant.
func TestNilDirectoryIsEmpty(t *testing.T) {
	var none *tenant.Directory
	_, isKnown := none.Identify("a1")
	require.False(t, isKnown)
	_, isKnown = none.Named("a")
	require.False(t, isKnown)
	require.Zero(t, none.Count())
	require.Empty(t, none.Names())
}

// TestParseDigest fails if a valid digest is rejected, or other text is accepted.
func TestParseDigest(t *testing.T) {
	sum := sha256.Sum256([]byte("key"))
	digest, err := tenant.ParseDigest(hex.EncodeToString(sum[:]))
	require.NoError(t, err)
	require.Equal(t, tenant.DigestOf("key"), digest)
	for _, text := range []string{"", "00", "zz", hex.EncodeToString(append(sum[:], 0))} {
		_, err := tenant.ParseDigest(text)
		require.True(t, failure.Is(err, failure.KindInvalid), text)
	}
}
