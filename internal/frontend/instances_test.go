package frontend

import (
	"log/slog"
	"testing"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/backend"
	"topazpulley/internal/table"
)

func row(id string, version table.Version) table.Row {
	return table.Row{Key: id, Version: version, Value: []byte(id)}
}

func newTestConsumer(settled *bool) *instanceConsumer {
	ports := Ports{DecodeInstance: func(key string, _ []byte) (backend.Instance, error) {
		return backend.Instance{ID: key, Service: "s", Slots: 1}, nil
	}}
	made := newInstanceConsumer(ports, backend.NewSet(), slog.New(slog.DiscardHandler))
	made.isSettled = func() bool { return *settled }
	return made
}

func requireListed(t *testing.T, consumer *instanceConsumer, expected ...string) {
	t.Helper()
	ids := []string{}
	for _, instance := range consumer.backends.Instances("") {
		ids = append(ids, instance.ID)
	}
	require.ElementsMatch(t, expected, ids)
}

// TestEntriesThatLapsedWhileTheStoreWasAway: their back ends are used on; those
// that come back stay, those still missing after the return time are gone.
func TestEntriesThatLapsedWhileTheStoreWasAway(t *testing.T) {
	isSettled := true
	consumer := newTestConsumer(&isSettled)
	consumer.Replace([]table.Row{row("a", 1), row("b", 2), row("c", 3)}, 3)
	isSettled = false
	consumer.Replace([]table.Row{row("a", 1)}, 9)
	consumer.settle()
	requireListed(t, consumer, "a", "b", "c")
	consumer.Change([]table.Row{row("b", 10)}, 10)
	isSettled = true
	consumer.settle()
	requireListed(t, consumer, "a", "b")
}

// TestBackEndThatLeavesIsOutAtOnce while the store was there all the time.
func TestBackEndThatLeavesIsOutAtOnce(t *testing.T) {
	isSettled := true
	consumer := newTestConsumer(&isSettled)
	consumer.Replace([]table.Row{row("a", 1), row("b", 2)}, 2)
	consumer.Change([]table.Row{{Key: "a", Version: 3, Deleted: true}}, 3)
	requireListed(t, consumer, "b")
	consumer.Replace(nil, 4)
	requireListed(t, consumer)
}
