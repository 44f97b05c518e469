package job

import (
	"time"

	"topazpulley/internal/table"
)

const (
	// takeoverDelay is how long a job's owner must be missing before the first daemon in rank
	// takes over. Each further rank waits takeoverDelayPerRank longer, in case the daemons
	// before it cannot take over.
	takeoverDelay        = 300 * time.Millisecond
	takeoverDelayPerRank = 1500 * time.Millisecond
	// unknownOwnerDelay is added for owners that this daemon has never seen, because it
	// may have just started.
	unknownOwnerDelay = 2 * time.Second
	// recentChangeTime is how long a change of a claim indicates that its owner is alive.
	// It prevents two daemons that cannot reach each other from taking a job from each
	// other repeatedly.
	recentChangeTime = 3 * time.Second
)

// Liveness is the known state of another daemon.
type Liveness uint8

// The states of liveness.
const (
	LivenessUnknown Liveness = iota
	LivenessAlive
	// LivenessSuspected means that nothing was received from the daemon recently.
	LivenessSuspected
	// LivenessGone means that the daemon left or restarted with a later incarnation.
	LivenessGone
)

// markClaimRemoved records that a job's claim of this version was removed, as another
// call reported. The followed copy of the claims may still contain the claim. Without
// the record, a stale claim that names this daemon would look like the result of a lost
// commit, and the finished job would be started again. mutex must be held.
func (s *Service) markClaimRemoved(id string, version table.Version) {
	isCopyCurrent := s.followed >= version && s.claims[id].version != version
	if version == 0 || isCopyCurrent {
		return
	}
	s.removed[id] = max(s.removed[id], version)
	s.forgetClaim(id)
}

// HandleClaimRemoved handles the notification of another daemon that it removed a
// claim. The notification usually arrives before the followed copy of the claims shows
// the removal.
func (s *Service) HandleClaimRemoved(id string, version table.Version) {
	s.mutex.Lock()
	s.markClaimRemoved(id, version)
	owned := s.owned[id]
	isEnded := owned != nil && owned.claim.version <= version
	s.mutex.Unlock()
	if isEnded {
		owned.drop(dropReportedCancelled)
	}
}

// isKnownRemoved reports whether the claim of this version is known to be removed.
// mutex must be held.
func (s *Service) isKnownRemoved(id string, version table.Version) bool {
	return version <= s.removed[id]
}

// forgetClaim deletes the state of a job's claim. mutex must be held.
func (s *Service) forgetClaim(id string) {
	delete(s.claims, id)
	delete(s.orphans, id)
	delete(s.claimedAt, id)
}

// forgetRemoved deletes the records of removed claims that the followed copy, at this
// version, no longer contains. mutex must be held.
func (s *Service) forgetRemoved(listed map[string]versionedClaim, version table.Version) {
	for id, known := range s.removed {
		if _, isListed := listed[id]; !isListed && version > known {
			delete(s.removed, id)
		}
	}
}

// Replace implements table.Consumer for the table of claims.
func (s *Service) Replace(rows []table.Row, version table.Version) {
	claims := map[string]versionedClaim{}
	for _, row := range rows {
		if isClaimRow(row) {
			claims[row.Key] = s.decodeClaim(row)
		}
	}
	s.mutex.Lock()
	s.forgetRemoved(claims, version)
	for id, held := range claims {
		if s.isKnownRemoved(id, held.version) {
			delete(claims, id)
			continue
		}
		if s.claims[id].version != held.version {
			s.recordClaimChange(id)
		}
	}
	s.claims, s.followed = claims, version
	lost := map[string]dropReason{}
	for id, held := range s.owned {
		found, exists := claims[id]
		switch {
		case held.claim.version >= version:
		case !exists:
			lost[id] = dropClaimRemoved
		case found.version != held.claim.version:
			lost[id] = dropClaimLost
		}
	}
	s.mutex.Unlock()
	for id, reason := range lost {
		s.drop(id, reason)
	}
}

// Change implements table.Consumer for the table of claims.
func (s *Service) Change(rows []table.Row, version table.Version) {
	// The claims and the followed version change under one lock. Otherwise startJob could
	// check between the two and start a job whose claim was removed.
	lost := map[string]dropReason{}
	s.mutex.Lock()
	for _, row := range rows {
		if !isClaimRow(row) {
			continue
		}
		if reason, isLost := s.applyClaimChange(row); isLost {
			lost[row.Key] = reason
		}
	}
	s.followed = version
	s.mutex.Unlock()
	for id, reason := range lost {
		s.drop(id, reason)
	}
}

// isClaimRow reports whether a row is where the claim of its job belongs.
func isClaimRow(row table.Row) bool { return row.Partition == shard(row.Key) }

// applyClaimChange applies one changed claim row. It reports whether this daemon
// thereby loses a job that it owns, and why. mutex must be held.
func (s *Service) applyClaimChange(row table.Row) (reason dropReason, isLost bool) {
	owned := s.owned[row.Key]
	isLost = owned != nil && row.Version > owned.claim.version
	if s.isKnownRemoved(row.Key, row.Version) {
		return "", false
	}
	delete(s.removed, row.Key)
	if row.Deleted {
		s.forgetClaim(row.Key)
		return dropClaimRemoved, isLost
	}
	s.recordClaimChange(row.Key)
	s.claims[row.Key] = s.decodeClaim(row)
	return dropClaimLost, isLost
}

// recordClaimChange restarts the takeover delay of a job. mutex must be held.
func (s *Service) recordClaimChange(id string) {
	delete(s.orphans, id)
	s.claimedAt[id] = time.Now()
}

// dueOrphans returns the claims that this daemon should take over now.
func (s *Service) dueOrphans(now time.Time) map[string]versionedClaim {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	due := map[string]versionedClaim{}
	if s.stopping {
		return due
	}
	for id, held := range s.claims {
		if s.owned[id] != nil {
			continue
		}
		if s.takeovers.mayBegin(id, now) && s.isDueForTakeover(id, held.claim, now) {
			due[id] = held
		}
	}
	return due
}

// isDueForTakeover reports whether this daemon should take over the job now. It records
// when the owner was first found missing. mutex must be held.
func (s *Service) isDueForTakeover(id string, held claim, now time.Time) bool {
	if s.isOwnClaim(held) {
		return true // committed by this daemon, but the response was lost
	}
	liveness := s.ownerLiveness(held)
	if liveness == LivenessAlive {
		delete(s.orphans, id)
		return false
	}
	since, noted := s.orphans[id]
	if !noted {
		s.orphans[id] = now
		return false
	}
	pause := takeoverDelay + time.Duration(s.takeoverRank(id, held))*takeoverDelayPerRank
	if liveness == LivenessUnknown {
		pause += unknownOwnerDelay
	}
	isRecent := now.Sub(s.claimedAt[id]) < recentChangeTime
	if liveness != LivenessGone && isRecent {
		return false
	}
	return now.Sub(since) >= pause
}

// isOwnClaim reports whether this process made the claim.
func (s *Service) isOwnClaim(held claim) bool {
	return held.Owner == s.self.Name && held.Process == s.process
}

// ownerLiveness returns the state of the process that made a claim. An earlier process of
// this daemon is gone, whatever its incarnation.
func (s *Service) ownerLiveness(held claim) Liveness {
	if held.Owner == "" || held.Owner == s.self.Name {
		return LivenessGone
	}
	return s.peers.Liveness(held.Owner, held.Incarnation)
}

// takeoverRank returns this daemon's position in the order in which daemons take over a job.
// It is at most the second for the jobs of its own earlier process, because to the others
// that process may look alive.
func (s *Service) takeoverRank(id string, held claim) int {
	rank := s.peers.Rank(id)
	if held.Owner == s.self.Name {
		return min(rank, 1)
	}
	return rank
}
