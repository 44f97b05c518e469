package frontend

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/ratelimit"
	"topazpulley/internal/table"
)

// Guards against odd rows that count as daemons, which share the limits of tenants and are pinged.
func TestOddAddressesAreNoDaemons(t *testing.T) {
	rows := []table.Row{{Key: "self", Value: []byte("127.0.0.1:1")}, {Key: "sound", Value: []byte("127.0.0.1:2")}}
	for _, odd := range []string{"", "name.example:7000", "127.0.0.1:65536", "127.0.0.1:0", "127.0.0.1", strings.Repeat("[", 9000), `{"address":"127.0.0.1:3"}`, "\xff"} {
		rows = append(rows, table.Row{Key: "odd" + odd, Value: []byte(odd)})
	}
	require.Equal(t, []ratelimit.Daemon{{Name: "sound", Address: "127.0.0.1:2"}}, registeredDaemons(rows, "self"))
}
