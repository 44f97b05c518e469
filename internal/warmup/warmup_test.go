package warmup_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/warmup"
)

const (
	coldRate = 14.0
	// A cold backend gets at most maxRateFactor times its rate and maxRateSlack requests in
	// any second.
	maxRateFactor = 1.5
	maxRateSlack  = 5
)

func daemons(count int) []string {
	names := make([]string, count)
	for index := range names {
		names[index] = fmt.Sprint("daemon-", index)
	}
	return names
}

// sentByWindow returns by window how many requests a backend gets if all daemons use their
// whole allowance. Each partition lists the members that its daemons know.
func sentByWindow(partitions [][]string, backend string, first warmup.Window, count int) []int {
	sent := make([]int, count)
	for index := range sent {
		for _, members := range partitions {
			for _, name := range members {
				sent[index] += warmup.Allowance(name, members, backend, coldRate, first+warmup.Window(index))
			}
		}
	}
	return sent
}

// maxPerSecond returns the maximum sum of five consecutive windows, the most that a second
// overlaps.
func maxPerSecond(sent []int) int {
	most := 0
	for index := range len(sent) - 4 {
		sum := 0
		for _, each := range sent[index : index+5] {
			sum += each
		}
		most = max(most, sum)
	}
	return most
}

// TestColdRateIsNotExceeded checks that daemons that use their whole allowance don't
// exceed the rate of cold backends, also during a network partition.
func TestColdRateIsNotExceeded(t *testing.T) {
	all := daemons(79)
	first := warmup.WindowAt(time.Unix(1_700_000_000, 0))
	for name, partitions := range map[string][][]string{"connected": {all}, "partitioned": {all[:26], all[26:]}, "one daemon": {all[:1]}} {
		for backend := range 20 {
			sent := sentByWindow(partitions, fmt.Sprint("backend-", backend), first, 24)
			require.LessOrEqual(t, maxPerSecond(sent), int(coldRate*maxRateFactor)+maxRateSlack, name)
		}
	}
}

// TestColdRateIsUsed checks that the allowances of all daemons add up to the assigned
// share of the rate.
func TestColdRateIsUsed(t *testing.T) {
	const windows, windowsPerSecond = 40, 4
	first := warmup.WindowAt(time.Unix(1_700_000_000, 0))
	total := 0
	for _, each := range sentByWindow([][]string{daemons(79)}, "backend", first, windows) {
		total += each
	}
	require.InDelta(t, coldRate*0.6*windows/windowsPerSecond, total, 2)
}

// TestAllowanceIsSpreadOverDaemons checks that no daemon gets the allowances of many
// backends at once.
func TestAllowanceIsSpreadOverDaemons(t *testing.T) {
	all := daemons(79)
	first := warmup.WindowAt(time.Unix(1_700_000_000, 0))
	for _, name := range all {
		own := 0
		for backend := range 20 {
			for window := range warmup.Window(8) {
				own += warmup.Allowance(name, all, fmt.Sprint("backend-", backend), coldRate, first+window)
			}
		}
		require.Less(t, own, 20)
	}
}
