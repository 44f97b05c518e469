package backend

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against new work at a backend whose entry went when the grace for that is over, before anyone has
// removed it.
func TestBackendWithoutEntryIsClosedWhenGraceEnds(t *testing.T) {
	set, isOver := NewSet(), false
	set.Put(Instance{ID: "b", Service: "s", Slots: 1})
	set.MarkMissing("b", time.Now(), func() bool { return isOver })
	lease, isOpen := set.Acquire("b", Online, nil)
	require.True(t, isOpen)
	lease.Release()
	isOver = true
	_, isOpen = set.Acquire("b", Online, nil)
	require.False(t, isOpen)
	require.True(t, set.Candidates("s", nil, time.Now())[0].Closed)
	require.Empty(t, set.Usable("s", time.Now()))
	require.True(t, set.IsLeaving(Incarnation{ID: "b"}))

	set.Put(Instance{ID: "b", Service: "s", Slots: 1})
	_, isRemoved := set.RemoveLapsed("b")
	require.False(t, isRemoved, "the entry is back")
	require.False(t, set.IsLeaving(Incarnation{ID: "b"}))
	_, isOpen = set.Acquire("b", Online, nil)
	require.True(t, isOpen)
}
