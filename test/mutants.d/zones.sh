# Mutants of evacuated zones and of cold backends; mutants.sh sources this.
mutant evacuation_ignored_at_the_send internal/backend/missing.go \
	'return known.Draining || s.admission.evacuated[known.Zone] ||' 'return known.Draining ||' internal/backend TestEvacuatedZoneGetsNoNewWork
mutant evacuated_places_used internal/backend/lease.go \
	'if s.isClosed(known, now) {' 'if false {' internal/backend TestEvacuatedZoneGetsNoNewWork
mutant order_outlives_its_row internal/frontend/evacuation.go \
	'e.ordered = map[string]string{}
	e.change' 'e.change' internal/frontend TestEvacuationOrders
mutant order_forgotten_at_a_start internal/frontend/consumers.go \
	'c.evacuations.replace(rows, version)' '_ = version' internal/frontend TestEvacuationOrders
mutant cold_entries_ignored internal/backend/backend.go \
	'k.coldUntil = now.Add(k.ColdFor)' '_ = now' internal/backend TestColdBackendAllowance
mutant seats_not_counted internal/backend/admission.go \
	'known.coldAllowance.sent++' '_ = known' internal/backend TestColdBackendAllowance
mutant reopened_zone_is_warm internal/backend/admission.go \
	's.admission.reopened[zone] = now' '_ = now' internal/backend TestReopenedZoneIsCold
mutant pace_by_daemon internal/warmup/warmup.go \
	'if duty.Owner(key, daemons) == daemon {' 'if duty.Owner(key, daemons) != "" {' internal/warmup TestColdRateIsNotExceeded
mutant both_sides_of_a_cut_take_all internal/warmup/warmup.go \
	'safeShare = 0.6' 'safeShare = 1.0' internal/warmup TestColdRateIsNotExceeded
mutant lost_daemons_free_their_cold_share internal/frontend/frontend.go \
	'node.NamesWithLost(lostColdShare)' 'node.NamesWithLost(0*lostColdShare)' internal/frontend TestDaemonThatLostAllOthersKeepsItsColdShare
mutant daemons_lost_long_ago_count internal/membership/core.go \
	'now.Sub(c.changedAt[name]) < lostFor' 'now.Sub(c.changedAt[name]) < 100*lostFor' internal/membership TestNamesWithLostForgetsInTime
mutant daemons_that_left_count_as_lost internal/membership/core.go \
	'member.State == StateDead && now' '!member.Live() && now' internal/membership TestNamesWithLostForgetsInTime
