package bundle_test

import (
	"crypto/ed25519"
	"encoding/hex"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/bundle"
	"topazpulley/internal/failure"
	"topazpulley/internal/harness"
)

func TestExampleIsValid(t *testing.T) {
	parsed, err := bundle.Parse(harness.ExampleBundle("1"))
	require.NoError(t, err)
	tenant, known := parsed.Directory().Identify(harness.ExampleKey)
	require.True(t, known)
	require.Equal(t, "example", tenant.Name)
	_, known = parsed.Directory().Identify("another key")
	require.False(t, known)
}

func TestInvalidBundleReportsLine(t *testing.T) {
	good := harness.ExampleBundle("1")
	cases := map[string]struct{ old, new, code string }{
		"unknown key":     {"online_limit = 24", "online_limt = 24", "unknown_key"},
		"wrong type":      {"online_limit = 24", `online_limit = "24"`, "bad_toml"},
		"wrong unit":      {`queue_timeout = "500ms"`, `queue_timeout = "500"`, "bad_toml"},
		"negative limit":  {"batch_guard = 4", "batch_guard = -4", "bad_bundle"},
		"limit too large": {"batch_guard = 4", "batch_guard = 99999999", "bad_bundle"},
		"unknown model":   {`models = ["assistant-small"]`, `models = ["missing"]`, "bad_bundle"},
		"wrong kind":      {`kind = "plain"`, `kind = "strange"`, "bad_bundle"},
		"bad key digest":  {`key_digest = "`, `key_digest = "x`, "bad_bundle"},
		"no version":      {`version = "1"`, ``, "bad_bundle"},
	}
	for name, each := range cases {
		t.Run(name, func(t *testing.T) {
			require.Contains(t, good, each.old)
			_, err := bundle.Parse(strings.Replace(good, each.old, each.new, 1))
			typed := failure.From(err)
			require.Equal(t, each.code, typed.Code, typed.Error())
			require.Positive(t, typed.Line, typed.Error())
		})
	}
}

func TestSignaturesAreChecked(t *testing.T) {
	text := harness.ExampleBundle("1")
	firstPublic, firstKey, err := ed25519.GenerateKey(nil)
	require.NoError(t, err)
	_, otherKey, err := ed25519.GenerateKey(nil)
	require.NoError(t, err)
	keys := map[string]string{"amina": hex.EncodeToString(firstPublic)}
	good := bundle.Sign(text, "amina", firstKey)
	require.NoError(t, bundle.Verify(text, []bundle.Signature{good}, keys, 1))
	cases := map[string]struct {
		text       string
		signatures []bundle.Signature
		required   int
		code       string
	}{
		"unsigned":            {text, nil, 1, "too_few_signatures"},
		"same operator twice": {text, []bundle.Signature{good, good}, 2, "too_few_signatures"},
		"altered":             {text + "# more", []bundle.Signature{good}, 1, "bad_signature"},
		"wrong key":           {text, []bundle.Signature{bundle.Sign(text, "amina", otherKey)}, 1, "bad_signature"},
		"unknown operator":    {text, []bundle.Signature{bundle.Sign(text, "mallory", otherKey)}, 1, "unknown_operator"},
	}
	for name, each := range cases {
		t.Run(name, func(t *testing.T) {
			err := bundle.Verify(each.text, each.signatures, keys, each.required)
			require.Equal(t, each.code, failure.From(err).Code)
		})
	}
}

func TestDifferenceListsChanges(t *testing.T) {
	before, err := bundle.Parse(harness.ExampleBundle("1"))
	require.NoError(t, err)
	after, err := bundle.Parse(harness.ExampleBundle("2"))
	require.NoError(t, err)
	require.Equal(t, []string{"model assistant-small: changed"}, bundle.Difference(before, after))
	require.Len(t, bundle.Difference(&bundle.Bundle{}, after), 4)
}

func FuzzParse(f *testing.F) {
	f.Add(harness.ExampleBundle("1"))
	f.Add("[services.a]\nkind = 1")
	f.Fuzz(func(t *testing.T, text string) {
		parsed, err := bundle.Parse(text)
		require.True(t, (parsed == nil) == (err != nil))
	})
}
