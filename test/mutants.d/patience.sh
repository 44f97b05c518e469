# Mutants of buffered submissions, quota and response timeouts; mutants.sh sources this.
mutant stale_commit internal/quota/ledger.go \
	'isFresh = !isFresh' 'isFresh = false' internal/quota TestReservationsCommitSoonAfterOutage
mutant waiting_keeper_passed_by internal/quota/accounts.go \
	'if failure.HasCode(err, codeUnavailable) {' 'if false {' internal/quota TestCoordinatorWithoutStoreIsNotAvoided
mutant reservations_not_first internal/quota/ledger.go \
	'if !added.isReservation() {' 'if true {' internal/quota TestReservationsPrecedeRepeatedOperations
mutant hold_without_bound internal/submissionbuffer/submissionbuffer.go \
	'b.bytes+reserved > b.limits.Bytes' 'false' internal/submissionbuffer TestSmallDaemonsBufferLittle
mutant held_memory_not_given_back internal/job/buffering.go \
	'defer remove()' '_ = remove' internal/job TestBufferedSubmissionEndsWithCaller
mutant not_held internal/job/accept.go \
	'wasBuffered, err := s.bufferWhileUnavailable(ctx, submitted)' 'wasBuffered, err := false, error(nil)' internal/job TestBufferedJobsAreAcceptedAfterOutage
mutant left_whatever_the_route internal/serving/timeout.go \
	'!e.request.Route.Repeatable() || e.runs+1 >= e.request.Route.MaxAttempts' 'false' internal/serving TestUnrepeatableAttemptIsNotEnded
mutant silence_without_budget internal/serving/timeout.go \
	'!e.core.earlyEnds.Spend()' 'false' internal/serving TestEarlyEndsHaveABudget
mutant silent_zone_asked_again internal/serving/successor.go \
	'e.avoidZone(e.last.Zone)' '_ = 0' internal/serving TestZoneOfSilentBackendIsAvoided
mutant nothing_learned internal/responsetimeout/responsetimeout.go \
	'known.add(elapsed)' '_ = elapsed' internal/responsetimeout TestFastServiceHasShortTimeout
mutant stream_left_before_it_is_late internal/responsetimeout/responsetimeout.go \
	'shortest = objective
' 'shortest = objective / floorDivisor
' internal/responsetimeout TestStreamTimeoutIsAtLeastObjective
mutant left_early_in_vain internal/watchdog/watchdog.go \
	'|| mayFire() {' '|| mayFire() || true {' internal/watchdog TestFiresEarlyOnlyIfAllowed
mutant held_job_runs_after_its_end internal/job/accept.go \
	'	if wasTried {' '	if false {' internal/job TestCanceledBufferedSubmissionDoesNotRun
mutant holds_outlive_their_daemon internal/job/buffering.go \
	'	defer context.AfterFunc(s.stopped, cancel)()' '' internal/job TestStopFailsBufferedSubmissions
