package frontend

import (
	"fmt"
	"testing"

	"github.com/hamba/avro/v2"
	"github.com/stretchr/testify/require"

	"topazpulley/internal/membership"
	"topazpulley/internal/streamorigin"
)

// membersOf returns daemons in seven zones of three regions.
func membersOf(count int) []membership.Member {
	members := []membership.Member{}
	for index := range count {
		zone := index % 7
		members = append(members, membership.Member{Name: fmt.Sprint("daemon-", index), Zone: fmt.Sprint("zone-", zone), Region: fmt.Sprint("region-", zone%3)})
	}
	return members
}

func keyOfStream(number int) streamorigin.Key {
	return streamorigin.KeyOf("host", "", fmt.Sprint("stream-", number))
}

// Guards against copies that are all lost with one zone, and against daemons that look for a copy
// elsewhere than another one has put it.
func TestKeepersAreInSeveralZonesAndAgreed(t *testing.T) {
	members := membersOf(410)
	known := membersOfRegion("region-0", members)
	others := membersOfRegion("region-0", append(append([]membership.Member{}, members[:7]...), members[8:]...))
	for number := range 50 {
		key := keyOfStream(number)
		keepers := keepersOf(key, known)
		zones := map[string]bool{}
		for _, each := range keepers[:3] {
			zones[each.zone] = true
		}
		require.Len(t, zones, 3, "region-0 has three zones")
		// A daemon that knows one daemon less asks at least two of those that have copies.
		fewer := keepersOf(key, others)
		asked := map[string]bool{}
		for _, each := range fewer[:5] {
			asked[each.name] = true
		}
		found := 0
		for _, each := range keepers[:3] {
			if asked[each.name] {
				found++
			}
		}
		require.GreaterOrEqual(t, found, 2)
	}
}

// Guards against copies that cost more than their part of a daemon's 8 KB a second: 12.4 streams
// a second, three copies each.
func TestCopyOfOneOriginIsSmall(t *testing.T) {
	key := keyOfStream(1)
	content, err := avro.Marshal(originCopySchema, originCopy{Records: []originRecord{
		{Key: key[:], Service: "a-service-of-usual-name", Software: "v1.12.3-rc1", RemainingMillis: 8000},
	}})
	require.NoError(t, err)
	require.Less(t, len(content), 80)
}

func BenchmarkKeepers(b *testing.B) {
	members := membersOfRegion("region-0", membersOf(410))
	b.ReportAllocs()
	for b.Loop() {
		keepersOf(keyOfStream(1), members)
	}
}
