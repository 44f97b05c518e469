package ratelimit

import (
	"time"

	"topazpulley/internal/settings"
	"topazpulley/internal/tenant"
)

// Tolerance is by how much the operator allows the requests of a tenant to pass
// its limit within any window: a part of the limit and some requests.
type Tolerance struct {
	Window   time.Duration
	Share    float64
	Requests float64
}

// ToleranceOf is what the settings of a process allow.
func ToleranceOf(process settings.Settings) Tolerance {
	return Tolerance{
		Window: time.Duration(process.RateWindow), Share: process.RateToleranceShare, Requests: process.RateToleranceRequests,
	}
}

// excess returns the requests in a window that are allowed beyond a limit.
func (t Tolerance) excess(limit tenant.Limit) float64 {
	return t.Share*(limit.PerSecond*t.Window.Seconds()+limit.Burst) + t.Requests
}

const (
	// looseShare is the part of the excess that widens the bucket, so that no
	// request is refused which the limit, counted elsewhere, still has room for.
	looseShare = 0.25
	// startShare is the part of the excess with which a new bucket starts. All
	// keepers may be lost twice within a window.
	startShare = 0.25
	// standInShare is the part of its rate that a daemon grants which stands in
	// for a keeper that others cannot reach, and which may be at work all the
	// same.
	standInShare = 0.2
	// aloneShare is the part of the daemons that may reach no keeper at once: all, if
	// the machines of the keepers and of those that stand in for them sleep or freeze
	// together. What such daemons grant at the start stays within startShare of the
	// excess. With a quarter, a window of 5 s at 60 requests a second held 433 to 445
	// after 1 s without keepers, of 416 that are allowed.
	aloneShare = 1.0
	// aloneRate is the part of its even share of the rate that such a daemon
	// grants: what tenants use whose limit is half as much again as their usual
	// rate. The keepers that others reach go on granting the whole.
	aloneRate = 0.7
	// unnoticedRate is the part of that which it grants for noticeTime at first. Until then
	// keepers behind a cut may not have noticed it and still grant what they did.
	unnoticedRate = 0.5
	// noticeTime is after which time most of the fleet has noticed a cut: a membership of
	// 69 daemons that probe once a second needed 2.3 s for half of the pairs, and 4.7 s for
	// 19 in 20.
	noticeTime = 4 * time.Second
	// fewestParts is where a limit is too small to be split.
	fewestParts = 1
)

// share is what one daemon grants of a limit.
type share struct {
	perSecond float64
	// limitPerSecond is the rate of all shares together.
	limitPerSecond float64
	// capacity is how many requests may be saved up, and start how many a new
	// bucket holds.
	capacity float64
	start    float64
	// isByChance grants less than a whole request by chance, where a daemon alone
	// saves up too little to ever grant one at the start.
	isByChance bool
}

// whole is a limit that is not split.
func (t Tolerance) whole(limit tenant.Limit) share {
	excess := t.excess(limit)
	return share{
		perSecond: limit.PerSecond, limitPerSecond: limit.PerSecond,
		capacity: max(limit.Burst+looseShare*excess, 1), start: startShare * excess,
	}
}

// parts returns into how many parts a limit is split: each must be able to hold
// a whole request.
func (t Tolerance) parts(limit tenant.Limit, most int) int {
	return max(min(int(t.whole(limit).capacity), most), fewestParts)
}

// part is one of several equal parts of a limit, as granted by a keeper that
// sees so much of the fleet.
func (t Tolerance) part(limit tenant.Limit, parts int, reach float64) share {
	return t.whole(limit).scaled(reach / float64(parts))
}

// standIn is what a daemon grants in place of the keeper of a part.
func (t Tolerance) standIn(limit tenant.Limit, parts int, reach float64) share {
	return t.part(limit, parts, reach).scaled(standInShare)
}

// alone is what each of so many daemons grants while it reaches no keeper. One
// request may be saved up.
func (t Tolerance) alone(limit tenant.Limit, daemons int) share {
	count := float64(max(daemons, 1))
	own := t.whole(limit).scaled(aloneRate / count)
	own.capacity, own.isByChance = 1, true
	own.start = min(startShare*t.excess(limit)/(aloneShare*count), 1)
	return own
}

// unnoticed is what a daemon grants that has reached no keeper for so long.
func (s share) unnoticed(decidedFor time.Duration) share {
	if decidedFor < noticeTime {
		s.perSecond *= unnoticedRate
	}
	return s
}

// scaled is a part of a share. A bucket can always hold one request.
func (s share) scaled(factor float64) share {
	s.perSecond *= factor
	s.capacity = max(s.capacity*factor, 1)
	s.start = min(s.start*factor, s.capacity)
	return s
}
