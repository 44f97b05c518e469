package frontend

import (
	"cmp"
	"context"
	"math"
	"slices"
	"time"

	"topazpulley/internal/membership"
	"topazpulley/internal/table"
)

const (
	// maxAskedPeers is the maximum number of daemons that one query asks.
	maxAskedPeers = 12
	// maxStates is the number of answers after which the best of them is taken.
	maxStates = 4
	// askInterval is how long the daemon that was asked last may take before the next one is
	// asked too.
	askInterval = 100 * time.Millisecond
	// conclusiveAge is the age below which no better copy is sought.
	conclusiveAge = time.Second
	// withoutRows is higher than any version: a daemon that is asked for newer rows than that
	// answers with the state of its copy only.
	withoutRows table.Version = math.MaxInt64
)

// askPeer asks the daemon at an address for its copy of a table, with the rows if any has changed
// after a version.
type askPeer func(ctx context.Context, address string, after table.Version) (table.PeerCopy, error)

// askNewest finds a daemon with an up-to-date copy and returns that copy, with its rows if any is
// newer. The rows are sent by one daemon only, since they may be large.
func askNewest(ctx context.Context, members []membership.Member, query table.PeerQuery, ask askPeer) (table.PeerCopy, bool) {
	states := askStates(ctx, members, query.Wanted, ask)
	for _, state := range states {
		if state.Version <= query.After {
			return state, true
		}
		if found, err := ask(ctx, state.Daemon, query.After); err == nil {
			return found, true
		}
	}
	return table.PeerCopy{}, false
}

// askStates asks daemons in this order for the state of their copy, without rows, until one is up
// to date and has the wanted version. It returns the states that it received, the best one first.
// The next daemon is asked when the one before has answered, or has not within askInterval:
// daemons that don't answer delay the result by little.
func askStates(ctx context.Context, members []membership.Member, wanted table.Version, ask askPeer) []table.PeerCopy {
	members = members[:min(maxAskedPeers, len(members))]
	bounded, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan peerState, len(members))
	states := []table.PeerCopy{}
	isDone := false
	for asked, answered := 0, 0; answered < len(members) && !isDone; {
		if asked < len(members) {
			address := members[asked].Address
			asked++
			go func() { answers <- askState(bounded, address, ask) }()
		}
		interval := time.NewTimer(askInterval)
		select {
		case <-ctx.Done():
			isDone = true
		case answer := <-answers:
			answered++
			if answer.isKnown {
				states = append(states, answer.copy)
			}
			isDone = answer.isConclusive(wanted) || len(states) == maxStates
		case <-interval.C:
		}
		interval.Stop()
	}
	slices.SortStableFunc(states, func(a, b table.PeerCopy) int { return compareCopies(a, b, wanted) })
	return states
}

// peerState is the state of a daemon's copy, not known if it has none or the call failed.
type peerState struct {
	copy    table.PeerCopy
	isKnown bool
}

func askState(ctx context.Context, address string, ask askPeer) peerState {
	received, err := ask(ctx, address, withoutRows)
	received.Daemon = address
	return peerState{copy: received, isKnown: err == nil && received.Version > 0}
}

// isConclusive reports whether no better copy is sought.
func (s peerState) isConclusive(wanted table.Version) bool {
	return s.isKnown && s.copy.Age <= conclusiveAge && s.copy.Version >= wanted
}

// compareCopies orders copies: those with the wanted version first, then by age.
func compareCopies(one, other table.PeerCopy, wanted table.Version) int {
	hasOne, hasOther := one.Version >= wanted, other.Version >= wanted
	if hasOne != hasOther {
		if hasOne {
			return -1
		}
		return 1
	}
	return cmp.Compare(one.Age, other.Age)
}
