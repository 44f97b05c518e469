# Mutants of what waits: submissions while the store is away, and attempts that fall silent.
mutant stale_commit internal/quota/ledger.go \
	'isFresh = !isFresh' 'isFresh = false' internal/quota TestReservationsBehindAnOutageAreCommittedSoon
mutant waiting_keeper_passed_by internal/quota/accounts.go \
	'if failure.HasCode(err, codeUnavailable) {' 'if false {' internal/quota TestKeeperThatWaitsForTheStoreIsAskedAgain
mutant reservations_not_first internal/quota/ledger.go \
	'if !added.isReservation() {' 'if true {' internal/quota TestReservationsGoBeforeWhatIsRepeated
mutant hold_without_bound internal/holding/holding.go \
	'r.bytes+taken > r.limits.Bytes' 'false' internal/holding TestSmallDaemonsHoldLittle
mutant held_memory_not_given_back internal/job/held.go \
	'defer leave()' '_ = leave' internal/job TestHeldSubmissionEndsWithItsCaller
mutant not_held internal/job/accept.go \
	's.holdWhileAway(ctx, submitted); err != nil' 'error(nil); err != nil' internal/job TestJobsOfAnOutageAreAcceptedBehindIt
