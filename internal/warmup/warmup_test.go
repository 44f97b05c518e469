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
	// boundShare and boundSlack are what a cold backend bears in any second: one and a
	// half times its rate and 5 requests.
	boundShare = 1.5
	boundSlack = 5
)

func daemons(count int) []string {
	names := make([]string, count)
	for index := range names {
		names[index] = fmt.Sprint("daemon-", index)
	}
	return names
}

// sentInTurns is what all daemons, each with the view of its side, send to a backend by
// turn if they use every seat.
func sentInTurns(sides [][]string, backend string, first warmup.Window, count int) []int {
	sent := make([]int, count)
	for index := range sent {
		for _, side := range sides {
			for _, name := range side {
				sent[index] += warmup.Allowance(name, side, backend, coldRate, first+warmup.Window(index))
			}
		}
	}
	return sent
}

// mostInASecond is the most in five turns in a row, which any second meets at most.
func mostInASecond(sent []int) int {
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

// TestColdBackendsStayWithinWhatTheyBear: 20 backends of a zone come back cold, and
// 79 daemons send all that they may, on one side of a cut or on two.
func TestColdBackendsStayWithinWhatTheyBear(t *testing.T) {
	all := daemons(79)
	first := warmup.WindowAt(time.Unix(1_700_000_000, 0))
	for name, sides := range map[string][][]string{"whole": {all}, "cut": {all[:26], all[26:]}, "one daemon": {all[:1]}} {
		for backend := range 20 {
			sent := sentInTurns(sides, fmt.Sprint("backend-", backend), first, 24)
			require.LessOrEqual(t, mostInASecond(sent), int(coldRate*boundShare)+boundSlack, name)
		}
	}
}

// TestColdBackendsAreFilled: what they bear is used, up to the share that is given out.
func TestColdBackendsAreFilled(t *testing.T) {
	const turns, turnsASecond = 40, 4
	first := warmup.WindowAt(time.Unix(1_700_000_000, 0))
	total := 0
	for _, each := range sentInTurns([][]string{daemons(79)}, "backend", first, turns) {
		total += each
	}
	require.InDelta(t, coldRate*0.6*turns/turnsASecond, total, 2)
}

// TestSeatsSpreadOverDaemons: no daemon has the seats of many backends at once.
func TestSeatsSpreadOverDaemons(t *testing.T) {
	all := daemons(79)
	first := warmup.WindowAt(time.Unix(1_700_000_000, 0))
	for _, name := range all {
		own := 0
		for backend := range 20 {
			for turn := range warmup.Window(8) {
				own += warmup.Allowance(name, all, fmt.Sprint("backend-", backend), coldRate, first+turn)
			}
		}
		require.Less(t, own, 20)
	}
}
