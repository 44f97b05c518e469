# Limits of tenants around a cut of the fleet.
mutant keepers_change_with_each_view internal/ratelimit/ranking.go \
	'all := slices.Concat(seen.Daemons, seen.Missing)' 'all := slices.Clone(seen.Daemons)' internal/ratelimit TestNoWindowPassesTheLimitAroundACut
mutant missed_daemons_lose_their_places internal/ratelimit/sighting.go \
	'now.Sub(seen.missedSince) >= missingTime' 'true' internal/ratelimit TestMissedDaemonsKeepTheirPlaces
mutant daemons_that_left_are_missed internal/ratelimit/sighting.go \
	'hasLeft(name) || ' '' internal/ratelimit TestMissedDaemonsKeepTheirPlaces
mutant sides_of_a_cut_grant_all internal/ratelimit/reach.go \
	'return min(max(reach, leastReach), 2*reach)' 'return 1' internal/ratelimit TestSidesOfACutGrantNoMoreThanAPart
mutant seen_again_is_reached_at_once internal/ratelimit/reach.go \
	'now.Sub(missedAt) < missedMemory && !isReaching' 'now.Equal(missedAt) && !isReaching' internal/ratelimit TestMissedDaemonsCountAWhileLonger
mutant asking_daemons_are_not_reached internal/ratelimit/reach.go \
	'&& !isReaching' '|| isReaching' internal/ratelimit TestMissedDaemonsThatAskAreReached
mutant asking_once_is_reaching_for_ever internal/ratelimit/reach.go \
	'return now.Sub(at) >= heardMemory' 'return false && now.Sub(at) >= heardMemory' internal/ratelimit TestMissedDaemonsThatAskAreReached
mutant own_shares_begin_whole internal/ratelimit/share.go \
	's.perSecond *= unnoticedRate' '' internal/ratelimit TestOwnSharesBeginSmall
mutant stand_ins_grant_what_keepers_do_not_yet_miss internal/ratelimit/share.go \
	'standInShare = 0.2' 'standInShare = 0.3' internal/ratelimit TestCutStaysWithinTheTolerance
mutant own_shares_are_whole_too_soon internal/ratelimit/share.go \
	'noticeTime = 4 * time.Second' 'noticeTime = 2 * time.Second' internal/ratelimit TestCutStaysWithinTheTolerance
mutant fleet_not_watched internal/ratelimit/limiter.go \
	'if hasLimits() {' 'if false {' internal/ratelimit TestCutIsNoticedThoughNobodyAsked
