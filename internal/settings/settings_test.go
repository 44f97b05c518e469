package settings_test

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/failure"
	"topazpulley/internal/settings"
)

const valid = `name = "a"
zone = "z"
http_address = "127.0.0.1:1"
peer_address = "127.0.0.1:2"
platform_url = "http://127.0.0.1:3"
cluster_key = "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"
`

func load(t *testing.T, text string) (settings.Settings, error) {
	path := filepath.Join(t.TempDir(), "settings.toml")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	loaded, err := settings.Load(path)
	if err != nil {
		return loaded, err
	}
	return loaded, loaded.Validate()
}

func TestValidSettings(t *testing.T) {
	loaded, err := load(t, valid)
	require.NoError(t, err)
	require.Equal(t, loaded.PeerAddress, loaded.AdvertiseAddress)
	require.Len(t, loaded.ClusterKeyBytes(), 32)
}

func TestInvalidSettingIsNamed(t *testing.T) {
	cases := map[string]struct{ old, new, mentions string }{
		"unknown key":          {`name = "a"`, "name = \"a\"\nnonsense = 1", "line 2"},
		"wrong type":           {`name = "a"`, "name = 7", "line 1"},
		"wrong unit":           {`zone = "z"`, "zone = \"z\"\nprobe_interval = \"5\"", "line 3"},
		"host name":            {"127.0.0.1:1", "localhost:1", "http_address"},
		"unknown timeout mode": {`zone = "z"`, "zone = \"z\"\nsilence_patience = \"long\"", "silence_patience"},
		"held share over 0.5":  {`zone = "z"`, "zone = \"z\"\nheld_submissions_share = 0.7", "held_submissions_share"},
		"short key":            {"000102", "00", "cluster_key"},
		"no zone":              {`zone = "z"`, "", "zone"},
		"half of TLS":          {`zone = "z"`, "zone = \"z\"\ntls_key_file = \"x\"", "tls_certificate_file"},
		"unknown order":        {`zone = "z"`, "zone = \"z\"\nwaiting_order = \"first\"", "waiting_order"},
		"unknown batch policy": {`zone = "z"`, "zone = \"z\"\nbatch_room = \"some\"", "batch_room"},
		"too many signatures":  {`zone = "z"`, "zone = \"z\"\nrequired_signatures = 3", "required_signatures"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := load(t, strings.Replace(valid, test.old, test.new, 1))
			require.True(t, failure.Is(err, failure.KindInvalid))
			require.Contains(t, err.Error(), test.mentions)
		})
	}
}

// TestEverySettingIsDocumented checks that docs/OPERATIONS.md has each key of Settings.
func TestEverySettingIsDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	require.NoError(t, err)
	fields := reflect.TypeFor[settings.Settings]()
	for index := range fields.NumField() {
		require.Contains(t, string(page), "`"+fields.Field(index).Tag.Get("toml")+"`")
	}
}
