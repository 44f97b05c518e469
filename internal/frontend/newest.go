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
	// askInterval is how long the daemon that was asked last for its state may take before the
	// next one is asked too.
	askInterval = 100 * time.Millisecond
	// rowsInterval is the same for the rows, which may be large.
	rowsInterval = 400 * time.Millisecond
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
// newer. The rows are requested from one daemon, since they may be large, and from another one if
// that does not send them within rowsInterval.
func askNewest(ctx context.Context, members []membership.Member, query table.PeerQuery, ask askPeer) (table.PeerCopy, bool) {
	states := askStates(ctx, members, query.Wanted, ask)
	if len(states) == 0 {
		return table.PeerCopy{}, false
	}
	if states[0].Version <= query.After {
		return states[0], true
	}
	found, isFound := table.PeerCopy{}, false
	askInTurn(ctx, senders(states, members), rowsInterval, func(ctx context.Context, address string) peerState {
		return askState(ctx, address, query.After, ask)
	}, func(answer peerState) bool {
		found, isFound = answer.copy, true
		return true
	})
	return found, isFound
}

// senders returns the addresses of the daemons to request rows from: those with known states, the
// best one first, then others.
func senders(states []table.PeerCopy, members []membership.Member) []string {
	addresses := []string{}
	for _, state := range states {
		addresses = append(addresses, state.Daemon)
	}
	for _, member := range members {
		if len(addresses) >= maxStates {
			break
		}
		if !slices.Contains(addresses, member.Address) {
			addresses = append(addresses, member.Address)
		}
	}
	return addresses
}

// askStates asks daemons in this order for the state of their copy, without rows, until one is up
// to date and has the wanted version. It returns the states that it received, the best one first.
func askStates(ctx context.Context, members []membership.Member, wanted table.Version, ask askPeer) []table.PeerCopy {
	addresses := []string{}
	for _, member := range members[:min(maxAskedPeers, len(members))] {
		addresses = append(addresses, member.Address)
	}
	states := []table.PeerCopy{}
	askInTurn(ctx, addresses, askInterval, func(ctx context.Context, address string) peerState {
		return askState(ctx, address, withoutRows, ask)
	}, func(answer peerState) bool {
		states = append(states, answer.copy)
		return answer.isConclusive(wanted) || len(states) == maxStates
	})
	slices.SortStableFunc(states, func(a, b table.PeerCopy) int { return compareCopies(a, b, wanted) })
	return states
}

// askInTurn makes calls to addresses in order: the next one when the one before has ended, or has
// not within the interval, so that daemons that don't answer cause little delay. It passes each
// answer to receive until that reports that no other is needed, or the context ends.
func askInTurn(ctx context.Context, addresses []string, interval time.Duration, call func(ctx context.Context, address string) peerState, receive func(peerState) bool) {
	bounded, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan peerState, len(addresses))
	for asked, ended := 0, 0; ended < len(addresses); {
		if asked < len(addresses) {
			address := addresses[asked]
			asked++
			go func() { answers <- call(bounded, address) }()
		}
		timer := time.NewTimer(interval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case answer := <-answers:
			ended++
			if answer.isKnown && receive(answer) {
				timer.Stop()
				return
			}
		case <-timer.C:
		}
		timer.Stop()
	}
}

// peerState is the state of a daemon's copy, not known if it has none or the call failed.
type peerState struct {
	copy    table.PeerCopy
	isKnown bool
}

func askState(ctx context.Context, address string, after table.Version, ask askPeer) peerState {
	received, err := ask(ctx, address, after)
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
