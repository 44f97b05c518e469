package ratelimit

import (
	"time"

	"topazpulley/internal/settings"
	"topazpulley/internal/tenant"
)

// Tolerance is how much the requests of a tenant may exceed its limit within a window: a share
// of the limit and a number of requests.
type Tolerance struct {
	Window   time.Duration
	Share    float64
	Requests float64
}

// ToleranceOf returns the tolerance of the settings.
func ToleranceOf(process settings.Settings) Tolerance {
	return Tolerance{
		Window: time.Duration(process.RateWindow), Share: process.RateToleranceShare, Requests: process.RateToleranceRequests,
	}
}

// excess returns the number of requests allowed beyond a limit within a window.
func (t Tolerance) excess(limit tenant.Limit) float64 {
	return t.Share*(limit.PerSecond*t.Window.Seconds()+limit.Burst) + t.Requests
}

const (
	// slackShare is the share of the excess that is added to the bucket's capacity, so that an
	// uneven distribution over the shards doesn't cause refusals within the limit.
	slackShare = 0.25
	// startShare is the share of the excess that a new bucket starts with. All coordinators may
	// be lost twice within a window.
	startShare = 0.25
	// backupShare is the share of a shard that a backup coordinator grants. The coordinator may
	// still be granting to daemons that reach it.
	backupShare = 0.2
	// isolatedShare is the share of the daemons that may reach no coordinator at the same time:
	// all of them, if the machines of the coordinators and backups are suspended together. The
	// initial buckets of such daemons stay within startShare of the excess. With a quarter of
	// the daemons, a window exceeds its limit after a second without coordinators.
	isolatedShare = 1.0
	// ownShareRate is the part of its even share of the rate that a daemon grants while it
	// reaches no coordinator. Coordinators that others reach continue to grant. It is what
	// tenants use whose limit is half as much again as their usual rate.
	ownShareRate = 0.7
	// undetectedRate is the factor on the own share for the first detectionTime. Until then the
	// coordinators on the other side of a partition may not have detected it.
	undetectedRate = 0.5
	// detectionTime is the time within which most daemons detect a network partition: 69 daemons
	// that probe once a second need 2.3 s for half of the pairs and 4.7 s for 19 in 20.
	detectionTime = 4 * time.Second
	// minShards is the shard count of limits that are too small to split.
	minShards = 1
)

// share is what one daemon grants of a limit.
type share struct {
	perSecond float64
	// limitPerSecond is the rate of the whole limit.
	limitPerSecond float64
	// capacity is the largest number of tokens, start the number in a new bucket.
	capacity float64
	start    float64
	// isProbabilistic grants a fraction of a token with that probability, for daemons whose
	// share is too small for a whole token at the start.
	isProbabilistic bool
}

// unsplit returns the share of a limit that is not split.
func (t Tolerance) unsplit(limit tenant.Limit) share {
	excess := t.excess(limit)
	return share{
		perSecond: limit.PerSecond, limitPerSecond: limit.PerSecond,
		capacity: max(limit.Burst+slackShare*excess, 1), start: startShare * excess,
	}
}

// shardCount returns the number of shards of a limit. Each shard must hold a whole token.
func (t Tolerance) shardCount(limit tenant.Limit, maxCount int) int {
	return max(min(int(t.unsplit(limit).capacity), maxCount), minShards)
}

// shard returns one of several equal shards of a limit, of which the coordinator grants
// the given share.
func (t Tolerance) shard(limit tenant.Limit, shards int, granted float64) share {
	return t.unsplit(limit).scaled(granted / float64(shards))
}

// backupShard returns what a backup coordinator grants in place of the coordinator of a shard.
func (t Tolerance) backupShard(limit tenant.Limit, shards int, granted float64) share {
	return t.shard(limit, shards, granted).scaled(backupShare)
}

// ownShare returns what each of the daemons grants while it reaches no coordinator. Its
// capacity is one token.
func (t Tolerance) ownShare(limit tenant.Limit, daemons int) share {
	count := float64(max(daemons, 1))
	own := t.unsplit(limit).scaled(ownShareRate / count)
	own.capacity, own.isProbabilistic = 1, true
	own.start = min(startShare*t.excess(limit)/(isolatedShare*count), 1)
	return own
}

// beforeDetection returns the reduced share of the first detectionTime without a coordinator.
func (s share) beforeDetection(decidedFor time.Duration) share {
	if decidedFor < detectionTime {
		s.perSecond *= undetectedRate
	}
	return s
}

// scaled returns a fraction of a share. A bucket can always hold one token.
func (s share) scaled(factor float64) share {
	s.perSecond *= factor
	s.capacity = max(s.capacity*factor, 1)
	s.start = min(s.start*factor, s.capacity)
	return s
}
