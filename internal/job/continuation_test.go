package job

import (
	"testing"
	"time"

	"github.com/hamba/avro/v2"
	"github.com/stretchr/testify/require"

	"topazpulley/internal/avrocodec"
	"topazpulley/internal/routing"
	"topazpulley/internal/serving"
	"topazpulley/internal/streamorigin"
)

func TestItemGoesOnOnlyAtItsSoftwareVersion(t *testing.T) {
	free := func(software string) routing.Candidate { return routing.Candidate{Software: software, Slots: 4} }
	full := func(software string) routing.Candidate {
		return routing.Candidate{Software: software, Slots: 4, Online: 4}
	}
	waiting := func(waited time.Duration) begunItem {
		return begunItem{software: "v1", redoTime: time.Second, waited: waited}
	}
	require.Equal(t, continueAtSoftware, continuationOf(waiting(0), []routing.Candidate{free("v2"), free("v1")}, 1))
	require.Equal(t, awaitSoftware, continuationOf(waiting(0), []routing.Candidate{free("v2"), full("v1")}, 1))
	require.Equal(t, startOver, continuationOf(waiting(time.Second), []routing.Candidate{free("v2"), full("v1")}, 1), "waiting costs as much as starting over")
	require.Equal(t, startOver, continuationOf(waiting(0), []routing.Candidate{free("v2")}, 0), "the version is gone")
	require.Equal(t, startOver, continuationOf(begunItem{}, []routing.Candidate{free("")}, 1), "the version is unknown")
}

func at(service, software string) streamorigin.Origin {
	return streamorigin.Origin{Service: service, Software: software}
}

func TestProgressHoldsEventsOfOneSoftwareVersion(t *testing.T) {
	held := &progress{}
	require.True(t, held.beginRun(at("s", "v1")))
	require.True(t, held.add(serving.Event{ID: 1, Data: []byte("a")}))
	require.False(t, held.beginRun(at("s", "v2")))
	require.False(t, held.beginRun(at("s", "")))
	require.False(t, held.beginRun(at("other", "v1")), "a service of another name")
	require.True(t, held.beginRun(at("s", "v1")))
	require.EqualValues(t, 1, held.reset())
	require.True(t, held.beginRun(at("s", "v2")))
	require.True(t, held.add(serving.Event{ID: 1, Data: []byte("b")}))
	require.Equal(t, "b", held.text())
}

// Guards against builds that know no software versions and go on from a checkpoint, and against
// this build going on from one of theirs.
func TestCheckpointOfOtherBuildStartsOver(t *testing.T) {
	saved := checkpoint{Failures: 2, LastEvent: 7, Text: "text", Began: at("s", "v1")}
	value, err := encodeCheckpoint(saved)
	require.NoError(t, err)
	read, err := decodeCheckpoint(value)
	require.NoError(t, err)
	require.Equal(t, saved, read)
	row, err := readRow(value)
	require.NoError(t, err)
	require.Zero(t, row.LastEvent, "an older build goes on after this event")
	require.Equal(t, 2, row.Failures)

	older, err := writeRow(checkpointRow{LastEvent: 7, Text: "text", Failures: 2})
	require.NoError(t, err)
	read, err = decodeCheckpoint(older)
	require.NoError(t, err)
	require.Equal(t, checkpoint{Failures: 2}, read)
	restored := &progress{}
	restored.restore(read)
	require.Zero(t, restored.lastID())
	require.Equal(t, 2, restored.failureCount())
}

func TestItemThatWouldStartOverIsPreemptedLast(t *testing.T) {
	now := time.Now()
	item := func(name string, due time.Time, losesEvents bool) runningItem {
		return runningItem{ownedItem: &ownedItem{item: Item{ID: name}, owner: &ownedJob{due: due}}, losesEvents: losesEvents}
	}
	items := []runningItem{item("scarce", now.Add(time.Minute), true), item("early", now, false), item("late", now.Add(time.Second), false)}
	sortForPreemption(items)
	require.Equal(t, []string{"late", "early", "scarce"}, []string{items[0].item.ID, items[1].item.ID, items[2].item.ID})
}

func readRow(value []byte) (checkpointRow, error) {
	var row checkpointRow
	err := avrocodec.Unmarshal(checkpointSchema, value, &row)
	return row, err
}

func writeRow(row checkpointRow) ([]byte, error) { return avro.Marshal(checkpointSchema, row) }
