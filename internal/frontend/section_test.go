package frontend

import (
	"context"
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/backend"
	"topazpulley/internal/route"
	"topazpulley/internal/table"
	"topazpulley/internal/table/tabletest"
)

// testPlan returns a plan for rows whose value is the name of the service.
func testPlan(services ...string) (*sectionPlan, *backend.Set) {
	routes := []route.Route{}
	for _, service := range services {
		routes = append(routes, route.Route{Targets: []route.Target{{Service: service, Weight: 1}}})
	}
	holder, backends := &route.Holder{}, backend.NewSet()
	holder.Apply(route.Config{Version: 1, Routes: routes}, time.Now())
	decode := func(key string, value []byte) (backend.Instance, error) {
		return backend.Instance{ID: key, Service: string(value), Slots: 2}, nil
	}
	return newSectionPlan("daemon", Ports{DecodeInstance: decode}, holder, backends, quiet), backends
}

func backendRows(count int, service func(index int) string) []table.Row {
	rows := []table.Row{}
	for index := range count {
		rows = append(rows, table.Row{Key: fmt.Sprint(index), Value: []byte(service(index))})
	}
	return rows
}

// TestSectionHasEnoughOfEachService: a section has enough backends of a rare service, and is
// bounded if a service has none.
func TestSectionHasEnoughOfEachService(t *testing.T) {
	rare := func(index int) string {
		if index%100 == 99 {
			return "rare"
		}
		return "common"
	}
	plan, _ := testPlan("common", "rare")
	require.False(t, plan.IsEnough(backendRows(sectionRows, rare)))
	require.False(t, plan.IsEnough(backendRows(499, rare)))
	require.True(t, plan.IsEnough(backendRows(500, rare)))
	plan, _ = testPlan("common", "nobody")
	require.False(t, plan.IsEnough(backendRows(maxSectionRows-1, rare)))
	require.True(t, plan.IsEnough(backendRows(maxSectionRows, rare)))
	plan, _ = testPlan()
	require.False(t, plan.IsEnough(backendRows(sectionRows-1, rare)))
	require.True(t, plan.IsEnough(backendRows(sectionRows, rare)), "no configuration is known yet")
}

// TestSectionWidensWhenShort: the section is widened if few backends are left or have few free
// slots, with growing pauses while this does not help.
func TestSectionWidensWhenShort(t *testing.T) {
	plan, backends := testPlan("s")
	for index := range sectionBackends {
		backends.Put(backend.Instance{ID: strconv.Itoa(index), Service: "s", Slots: 2})
	}
	require.False(t, plan.WantsMore())
	for index := range 2 * sectionBackends {
		_, isTaken := backends.Acquire(strconv.Itoa(index%sectionBackends), backend.Online, nil)
		require.True(t, isTaken)
	}
	require.True(t, plan.WantsMore(), "all slots are taken")
	require.False(t, plan.IsEnough(backendRows(sectionRows, func(index int) string {
		if index < sectionBackends {
			return "s"
		}
		return "other"
	})), "the current number of backends must not be enough")

	plan, backends = testPlan("s")
	backends.Put(backend.Instance{ID: "left", Service: "s", Slots: 2})
	require.True(t, plan.WantsMore())
	require.False(t, plan.WantsMore(), "the pause after an attempt must be kept")
	plan.pausedUntil = time.Time{}
	require.True(t, plan.WantsMore())
	require.Equal(t, 2*minWidenPause, plan.pause)
}

// TestUpstreamServesSectionChanges: a call waits through changes outside its section, is answered
// at one inside, and is refused if the changes are no longer kept.
func TestUpstreamServesSectionChanges(t *testing.T) {
	store := tabletest.NewMemory()
	put(t, store, "m")
	serving := serverOf(newCopy(t, store))
	_, version, _ := serving.copies["t"].replica.Since(0)
	request := followSectionRequest{Table: "t", After: int64(version), WaitMilliseconds: testTimeout.Milliseconds(), From: "m", Before: "p"}
	go func() {
		for _, key := range []string{"a", "z", "n"} {
			time.Sleep(20 * time.Millisecond)
			_, _ = store.Commit(context.Background(), table.Transaction{Writes: []table.Write{{Table: "t", Key: key, Value: []byte(key)}}})
		}
	}()
	answer, err := serving.serveSection(t.Context(), "", request)
	require.NoError(t, err)
	require.Len(t, answer.Rows, 1)
	require.Equal(t, "n", answer.Rows[0].Key)
	request.After, request.WaitMilliseconds = answer.Version, 10
	answer, err = serving.serveSection(t.Context(), "", request)
	require.NoError(t, err)
	require.Empty(t, answer.Rows)
	request.After = 0
	_, err = serving.serveSection(t.Context(), "", request)
	require.ErrorContains(t, err, "not kept")
	request.Table = "unknown"
	_, err = serving.serveSection(t.Context(), "", request)
	require.Error(t, err)
}

// TestSectionIsNotServedAsCompleteTable: a daemon that asks for the complete table must not get a
// section, as it would remove all other backends.
func TestSectionIsNotServedAsCompleteTable(t *testing.T) {
	store := tabletest.NewMemory()
	put(t, store, "m")
	offered := newCopy(t, store)
	offered.replica.SetSection(table.Section{IsPart: true, From: "m"})
	_, err := serverOf(offered).serve(t.Context(), "", followRequest{Table: "t"})
	require.ErrorContains(t, err, "not kept")
	source := &peerSource{copies: map[string]followedCopy{"t": offered}}
	answer, err := source.answer(t.Context(), "", newerRequest{Table: "t"})
	require.NoError(t, err)
	require.Zero(t, answer.Version)
	require.Empty(t, answer.Rows)
}
