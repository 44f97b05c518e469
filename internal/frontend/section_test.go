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

// testPlan reads rows whose values are service and slots.
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

// TestSectionHasEnoughOfEachService, also of a small one, and does not grow without bound
// for one that nobody runs.
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
	require.False(t, plan.IsEnough(backendRows(mostSectionRows-1, rare)))
	require.True(t, plan.IsEnough(backendRows(mostSectionRows, rare)))
	plan, _ = testPlan()
	require.False(t, plan.IsEnough(backendRows(sectionRows-1, rare)))
	require.True(t, plan.IsEnough(backendRows(sectionRows, rare)), "no configuration is known yet")
}

// TestMoreBackendsAreSoughtWhenFewAreLeft or when those that are known have little room,
// and less and less often while there are no more.
func TestMoreBackendsAreSoughtWhenFewAreLeft(t *testing.T) {
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
	})), "as many as are known are not enough now")

	plan, backends = testPlan("s")
	backends.Put(backend.Instance{ID: "left", Service: "s", Slots: 2})
	require.True(t, plan.WantsMore())
	require.False(t, plan.WantsMore(), "it was just tried")
	plan.pausedUntil = time.Time{}
	require.True(t, plan.WantsMore())
	require.Equal(t, 2*shortestWiden, plan.pause)
}

// TestUpstreamTellsASectionItsOwnChanges: a call is held through changes elsewhere, answered
// by one inside, and refused where the changes are not kept so far back.
func TestUpstreamTellsASectionItsOwnChanges(t *testing.T) {
	store := tabletest.NewMemory()
	put(t, store, "m")
	serving := serverOf(newCopy(t, store))
	_, held, _ := serving.copies["t"].replica.Since(0)
	request := followSectionRequest{Table: "t", After: int64(held), WaitMilliseconds: patience.Milliseconds(), From: "m", Before: "p"}
	go func() {
		for _, key := range []string{"a", "z", "n"} {
			time.Sleep(20 * time.Millisecond)
			_, _ = store.Commit(context.Background(), table.Transaction{Writes: []table.Write{{Table: "t", Key: key, Value: []byte(key)}}})
		}
	}()
	told, err := serving.serveSection(t.Context(), "", request)
	require.NoError(t, err)
	require.Len(t, told.Rows, 1)
	require.Equal(t, "n", told.Rows[0].Key)
	request.After, request.WaitMilliseconds = told.Version, 10
	told, err = serving.serveSection(t.Context(), "", request)
	require.NoError(t, err)
	require.Empty(t, told.Rows)
	request.After = 0
	_, err = serving.serveSection(t.Context(), "", request)
	require.ErrorContains(t, err, "not kept")
	request.Table = "unknown"
	_, err = serving.serveSection(t.Context(), "", request)
	require.Error(t, err)
}

// TestPartIsNotToldAsTheWhole: to a daemon that asks for the whole table by its copy or by
// following, which would take all other backends for gone.
func TestPartIsNotToldAsTheWhole(t *testing.T) {
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
