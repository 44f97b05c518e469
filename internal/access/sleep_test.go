package access_test

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/access"
	"topazpulley/internal/boottime"
	"topazpulley/internal/failure"
	"topazpulley/internal/table"
	"topazpulley/internal/table/tabletest"
)

// ignored is a consumer of a table that nobody looks at.
type ignored struct{}

func (ignored) Replace([]table.Row, table.Version) {}
func (ignored) Change([]table.Row, table.Version)  {}

// TestKeysAreNotTrustedAfterASleep: a key may have been taken away while the machine
// slept, and the steady clock stood still meanwhile. The daemon refuses until it has
// heard anew.
func TestKeysAreNotTrustedAfterASleep(t *testing.T) {
	const bound, patience = 5 * time.Second, 10 * time.Second
	store := tabletest.NewMemory()
	var slept atomic.Int64
	follower := &table.Follower{
		Store: store, Table: "op", Consumer: ignored{}, Logger: slog.New(slog.DiscardHandler), Wait: 50 * time.Millisecond,
		Clock: func() boottime.Instant { return boottime.Now().Add(time.Duration(slept.Load())) },
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go follower.Run(ctx)
	gate := &access.Gate{RevocationBound: bound, ConfirmedAt: follower.ConfirmedAt}
	configuration := compiled(holderOf("k"))
	matched, _ := configuration.Match(host, "/closed/")
	call := func() error {
		_, err := gate.Caller(configuration, matched, "k", time.Now())
		return err
	}
	require.Eventually(t, func() bool { return call() == nil }, patience, time.Millisecond)
	store.SetDecide(func(string) tabletest.Fault { return tabletest.FaultRefuse })
	// A watch that was under way ends within its wait.
	time.Sleep(200 * time.Millisecond)
	require.NoError(t, call(), "the keys were confirmed a moment ago")
	slept.Store(int64(bound))
	require.True(t, failure.Is(call(), failure.KindUnavailable), "keys are trusted that may be gone")
	store.SetDecide(nil)
	require.Eventually(t, func() bool { return call() == nil }, patience, time.Millisecond)
}
