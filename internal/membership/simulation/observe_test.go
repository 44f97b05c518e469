package simulation

// allHaveMembers reports whether each daemon that is up has the given number of live
// members.
func (n *Network) allHaveMembers(members int) bool {
	for _, daemon := range n.daemons {
		if daemon.isUp && len(daemon.core.Members()) != members {
			return false
		}
	}
	return true
}

// noneHasLive reports whether no other daemon that is up has the daemon as a live
// member.
func (n *Network) noneHasLive(index int) bool {
	for _, daemon := range n.daemons {
		if member, known := daemon.core.Member(name(index)); daemon.isUp && daemon.index != index && known && member.Live() {
			return false
		}
	}
	return true
}

// allHaveRevision reports whether every daemon that is up has the revision.
func (n *Network) allHaveRevision(revision int64) bool {
	for _, daemon := range n.daemons {
		if daemon.isUp && daemon.revision < revision {
			return false
		}
	}
	return true
}

// deaths counts the deaths that daemons have declared.
func (n *Network) deaths() uint64 {
	total := uint64(0)
	for _, daemon := range n.daemons {
		total += daemon.previous.Deaths + daemon.core.Statistics().Deaths
	}
	return total
}

// suspicions counts the suspicions that daemons have raised.
func (n *Network) suspicions() uint64 {
	total := uint64(0)
	for _, daemon := range n.daemons {
		total += daemon.previous.Suspicions + daemon.core.Statistics().Suspicions
	}
	return total
}

// bytesSent counts the bytes sent by the current incarnations of all daemons.
func (n *Network) bytesSent() uint64 {
	total := uint64(0)
	for _, daemon := range n.daemons {
		total += daemon.core.Statistics().BytesSent
	}
	return total
}
