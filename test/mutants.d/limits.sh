# Mutants of the limits of tenants during network partitions; mutants.sh sources this.
mutant keepers_change_with_each_view internal/ratelimit/ranking.go \
	'all := slices.Concat(seen.Daemons, seen.Missing)' 'all := slices.Clone(seen.Daemons)' internal/ratelimit TestNoWindowExceedsLimitAroundPartition
mutant missed_daemons_lose_their_places internal/ratelimit/recent.go \
	'(d.hasEnded && missingFor >= missingRetention)' 'd.hasEnded' internal/ratelimit TestMissingDaemonsKeepTheirRank
mutant silent_daemons_lose_their_places internal/ratelimit/recent.go \
	'(d.hasEnded && missingFor >= missingRetention)' 'missingFor >= missingRetention' internal/ratelimit TestNoWindowExceedsLimitBehindLongPartition
mutant silent_daemons_have_ended internal/peer/probe.go \
	'errors.Is(err, syscall.ECONNREFUSED)' '(err == nil || errors.Is(err, syscall.ECONNREFUSED))' internal/ratelimit TestOnlyRefusingDaemonsHaveEnded
mutant same_daemons_probed_each_round internal/ratelimit/recent.go \
	'		seen.probedAt = now
' '' internal/ratelimit TestOnlyRefusingDaemonsHaveEnded
mutant earlier_process_refuses_for_later_one internal/ratelimit/recent.go \
	'seen.missingSince.IsZero() || seen.daemon' 'seen.daemon' internal/ratelimit TestNewProcessEndsMissingTime
mutant replaced_daemon_keeps_its_place internal/ratelimit/recent.go \
	'hasLeft(name) || isTaken[seen.daemon.Address]' 'hasLeft(name)' internal/ratelimit TestNewProcessEndsMissingTime
mutant daemons_that_left_are_missed internal/ratelimit/recent.go \
	'hasLeft(name) || ' '' internal/ratelimit TestMissingDaemonsKeepTheirRank
mutant sides_of_a_cut_grant_all internal/ratelimit/reach.go \
	'return min(max(reach, minGranted), 2*reach)' 'return 1' internal/ratelimit TestPartitionSidesGrantAtMostOneShard
mutant seen_again_is_reached_at_once internal/ratelimit/reach.go \
	'now.Sub(missingAt) < missingGrace && !isReaching' 'now.Equal(missingAt) && !isReaching' internal/ratelimit TestMissingDaemonsStayUnreachedForGracePeriod
mutant asking_daemons_are_not_reached internal/ratelimit/reach.go \
	'&& !isReaching' '|| isReaching' internal/ratelimit TestMissingDaemonsThatAskCountAsReached
mutant asking_once_is_reaching_for_ever internal/ratelimit/reach.go \
	'return now.Sub(at) >= askMemory' 'return false && now.Sub(at) >= askMemory' internal/ratelimit TestMissingDaemonsThatAskCountAsReached
mutant own_shares_begin_whole internal/ratelimit/share.go \
	's.perSecond *= undetectedRate' '' internal/ratelimit TestOwnSharesStartReduced
mutant stand_ins_grant_what_keepers_do_not_yet_miss internal/ratelimit/share.go \
	'backupShare = 0.2' 'backupShare = 0.3' internal/ratelimit TestPartitionStaysWithinTolerance
mutant own_shares_are_whole_too_soon internal/ratelimit/share.go \
	'detectionTime = 4 * time.Second' 'detectionTime = 2 * time.Second' internal/ratelimit TestPartitionStaysWithinTolerance
mutant fleet_not_watched internal/ratelimit/limiter.go \
	'if hasLimits() {' 'if false {' internal/ratelimit TestPartitionIsDetectedWithoutRequests
mutant daemons_lost_by_others_unknown internal/ratelimit/fleet.go \
	'	f.recent.addLost(lost, now)
' '' internal/ratelimit TestDaemonStartedBehindPartitionCountsLostDaemons
mutant forgotten_daemons_missing_anew internal/ratelimit/recent.go \
	'			r[name] = seen
			continue' '			delete(r, name)
			continue' internal/ratelimit TestForgottenDaemonsStayForgotten
