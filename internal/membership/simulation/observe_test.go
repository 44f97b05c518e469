package simulation

// everyoneKnows reports whether every daemon that is up sees the number of
// live members.
func (n *Network) everyoneKnows(members int) bool {
	for _, daemon := range n.daemons {
		if daemon.up && len(daemon.core.Members()) != members {
			return false
		}
	}
	return true
}

// nobodyBelieves reports whether no daemon that is up still sees the daemon
// live.
func (n *Network) nobodyBelieves(index int) bool {
	for _, daemon := range n.daemons {
		if member, known := daemon.core.Member(name(index)); daemon.up && daemon.index != index && known && member.Live() {
			return false
		}
	}
	return true
}

// everyoneServes reports whether every daemon that is up has the revision.
func (n *Network) everyoneServes(revision int64) bool {
	for _, daemon := range n.daemons {
		if daemon.up && daemon.revision < revision {
			return false
		}
	}
	return true
}

// deaths counts the deaths that daemons have declared.
func (n *Network) deaths() uint64 {
	total := uint64(0)
	for _, daemon := range n.daemons {
		total += daemon.earlier.Deaths + daemon.core.Statistics().Deaths
	}
	return total
}

// suspicions counts the suspicions that daemons have raised.
func (n *Network) suspicions() uint64 {
	total := uint64(0)
	for _, daemon := range n.daemons {
		total += daemon.earlier.Suspicions + daemon.core.Statistics().Suspicions
	}
	return total
}

// bytesSent counts what the daemons' present lives have sent.
func (n *Network) bytesSent() uint64 {
	total := uint64(0)
	for _, daemon := range n.daemons {
		total += daemon.core.Statistics().BytesSent
	}
	return total
}
