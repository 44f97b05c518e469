package frontend

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/backend"
	"topazpulley/internal/route"
	"topazpulley/internal/table"
)

// TestOnlyNewestConfigurationIsDecoded guards against a daemon that falls further behind because
// it decodes each version that it missed.
func TestOnlyNewestConfigurationIsDecoded(t *testing.T) {
	decoded := 0
	ports := Ports{ConfigKey: "config", DecodeConfig: func(value []byte) (route.Config, error) {
		decoded++
		version, err := strconv.ParseInt(string(value), 10, 64)
		return route.Config{Version: version}, err
	}}
	holder := &route.Holder{}
	consumer := &configConsumer{
		ports: ports, holder: holder, evacuations: newEvacuations(nil, backend.NewSet(), nil, quiet), log: quiet,
		origin: func() table.Origin { return table.Origin{} },
	}
	rows := []table.Row{}
	for version := int64(1); version <= 9; version++ {
		rows = append(rows, table.Row{Key: "config", Value: []byte(strconv.FormatInt(version, 10)), Version: table.Version(version)})
	}
	consumer.Change(append(rows, table.Row{Key: "other", Version: 10}), 10)
	require.Equal(t, int64(9), holder.Current().Version())
	require.Equal(t, 1, decoded)
}
