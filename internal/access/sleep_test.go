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

// noConsumer ignores the rows of a table.
type noConsumer struct{}

func (noConsumer) Replace([]table.Row, table.Version) {}
func (noConsumer) Change([]table.Row, table.Version)  {}

// TestKeysAreRefusedAfterSuspend fails if keys that may have been revoked while the machine was
// suspended, which stops the monotonic clock, are accepted before the next confirmation.
func TestKeysAreRefusedAfterSuspend(t *testing.T) {
	const bound, timeout = 5 * time.Second, 10 * time.Second
	store := tabletest.NewMemory()
	var slept atomic.Int64
	follower := &table.Follower{
		Store: store, Table: "op", Consumer: noConsumer{}, Logger: slog.New(slog.DiscardHandler), Wait: 50 * time.Millisecond,
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
	require.Eventually(t, func() bool { return call() == nil }, timeout, time.Millisecond)
	store.SetDecide(func(string) tabletest.Fault { return tabletest.FaultRefuse })
	// A pending watch ends within its wait time.
	time.Sleep(200 * time.Millisecond)
	require.NoError(t, call(), "recently confirmed keys are refused")
	slept.Store(int64(bound))
	require.True(t, failure.Is(call(), failure.KindUnavailable), "keys that may be revoked are accepted")
	store.SetDecide(nil)
	require.Eventually(t, func() bool { return call() == nil }, timeout, time.Millisecond)
}
