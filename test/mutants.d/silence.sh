# Mutants of attempts that fall silent and of answers that have begun; mutants.sh sources this.
mutant ended_before_another_is_found internal/serving/standby.go \
	'	found := running.worker' '	s.endAttempt()
	found := running.worker' platform TestBegunStreamOutlivesSilenceWhileOthersAreFull
mutant begun_answers_bounded_like_others internal/serving/exchange.go \
	'	if e.outlivesRefusals() {
		e.pace(ctx)' '	if false {
		e.pace(ctx)' platform TestBegunStreamOfCrashedBackendWaitsForRoom
mutant search_ends_with_its_first_probe internal/serving/successor.go \
	'		if !periodic.SleepAbout(probing, searchPause(probes)) {' '		if !periodic.SleepAbout(probing, searchPause(probes)) || true {' platform TestBegunStreamOfDeadBackendWaitsForRoom
mutant silent_backends_are_successors internal/serving/successor.go \
	'	maps.Copy(e.excluded, e.silent)' '' internal/serving TestSilentBackendIsNoSuccessorOfItself
mutant unanswered_attempt_is_no_successor internal/serving/beside.go \
	'	case <-timer.C:
		return true' '	case <-timer.C:
		return false' internal/serving TestBegunStreamIsTakenOver
mutant search_preempts_without_bound internal/serving/standby.go \
	's.preemptions >= maxSearchPreemptions' 'false' internal/serving TestSearchPreemptsFewItems
mutant takeover_despite_output internal/serving/standby.go \
	'	if !s.isAwaiting {
		return false
	}
	s.successor' '	s.successor' internal/serving TestReservationAfterOutputIsNotUsed
mutant output_does_not_end_search internal/serving/standby.go \
	'	running.end()
	<-running.ended' '	<-running.ended' internal/serving TestOutputEndsSearch
mutant output_after_takeover_passed internal/serving/relay.go \
	'		if !waiting.arrived() {
			return errTakenOver
		}
		if event' '		waiting.arrived()
		if event' internal/serving TestEventAfterTakeoverIsNotPassed
mutant runs_beside_forgotten internal/serving/successor.go \
	'	e.sends, e.runs, e.ran = worker.sends, worker.runs, worker.ran' '	e.sends, e.ran = worker.sends, worker.ran' internal/serving TestRunsOfSearchesCount
mutant dropped_successor_is_no_run internal/serving/beside.go \
	'		e.runs++' '' internal/serving TestRunsOfSearchesCount
mutant last_run_is_left internal/serving/successor.go \
	' || e.runs+1 >= e.request.Route.MaxAttempts || ' ' || ' internal/serving 'TestRunsOfSearchesCount|TestLastRunIsWaitedFor'
mutant break_ends_search internal/serving/standby.go \
	'		running.endProbes()
		<-running.ended' '		running.end()
		<-running.ended' internal/serving TestAttemptBesideOutlivesBreak
mutant silent_lease_kept internal/serving/exchange.go \
	'		lease.Release() // the silent' '		// the silent' internal/serving TestSilentBackendIsReleasedAtTakeover
mutant unconnected_is_a_run internal/serving/beside.go \
	'	e.leaveSilent(err)' '	e.leaveSilent(errTakenOver)' internal/serving TestUnconnectedAttemptIsNoRun
mutant response_time_from_takeover internal/serving/beside.go \
	'beside.candidate, beside.attemptedAt' 'beside.candidate, time.Now()' internal/serving TestResponseTimeOfSuccessorCountsFromItsRequest
mutant zone_avoided_in_each_round internal/serving/successor.go \
	'		e.excludeSilent()
		chosen, found' '		e.excludeSilent()
		e.avoidSilentZone()
		chosen, found' internal/serving TestZoneOfSilentBackendIsAskedWhenOthersAreFull
mutant search_stays_in_zone internal/serving/successor.go \
	'	e.excludeSilent()
	e.avoidSilentZone()
	for' '	e.excludeSilent()
	for' internal/serving TestZoneOfSilentBackendIsLeftFirst
mutant refusals_outlive_takeover internal/serving/exchange.go \
	'	e.silent[e.last.ID] = true
	e.excludeSilent()' '	e.silent[e.last.ID] = true
	e.excluded[e.last.ID] = true' internal/serving TestRefusalBeforeSilenceDoesNotBarRetry
mutant taken_request_given_up internal/serving/exchange.go \
	'return e.hasBegun || len(e.silent) > 0' 'return e.hasBegun' internal/serving TestRequestTakenFromSilentBackendWaitsForRoom
mutant ejected_are_successors internal/serving/successor.go \
	'	return chosen, found && !chosen.Ejected' '	return chosen, found' internal/serving TestEjectedBackendsAreNoSuccessors
mutant search_without_retry internal/serving/successor.go \
	'if !e.hasBegun && !e.payRetry() {' 'if false {' internal/serving TestSilentRequestWithoutRetriesKeepsWaiting
mutant each_probe_pays internal/serving/successor.go \
	'e.search.isRetryPaid || e.core.retries.Spend()' 'e.core.retries.Spend()' internal/serving TestSilentRequestPaysOneRetry
mutant searches_unpaced internal/serving/successor.go \
	'		pause *= 2' '		return pause' internal/serving 'TestManySearchesAreBounded|TestSearchPausesAreBounded'
mutant search_despite_quarantine internal/serving/successor.go \
	'	return !isQuarantined' '	return isQuarantined || true' internal/serving TestQuarantinedRequestStaysAtSilentBackend
mutant successor_outlives_caller internal/serving/beside.go \
	'bounded, cancel := context.WithCancel(request)' 'bounded, cancel := context.WithCancel(context.WithoutCancel(request))' internal/serving TestCallerLeavesAfterTakeover
mutant items_left_after_a_short_silence internal/job/attempt.go \
	'	eventTimeout      = 3 * time.Second' '	eventTimeout      = 1500 * time.Millisecond' platform TestItemsOutliveSilenceWithOneRun
mutant items_stay_at_dead_backends internal/job/attempt.go \
	'watchdog.Start(firstEventTimeout, eventTimeout, cancel)' 'watchdog.Start(firstEventTimeout, itemTimeout, cancel)' platform TestItemsLeaveBackendThatIsSilentForGood
mutant batch_items_cancelled_after_a_silence internal/supervisor/engineloop.go \
	'l.window.Restart(len(l.running), time.Now())' 'l.window.Restart(0, time.Now())' internal/harness TestBatchItemsOutliveSilenceOfEngine
mutant engines_left_after_a_short_silence internal/daemon/daemon.go \
	'engineStallTimeout = 5 * time.Second' 'engineStallTimeout = 2 * time.Second' internal/harness TestAnswersOutliveSilenceOfEngine
mutant returned_backends_count_as_idle internal/backend/backend.go \
	'added := s.lapsed.take(instance, time.Now())' 'added := (&lapsedStates{}).take(instance, time.Now())' internal/backend TestReturnedBackendKeepsItsState
mutant replaced_backends_keep_their_state internal/backend/backend.go \
	'	s.lapsed.forget(incarnation)' '' internal/backend TestOtherProcessHasNoState
mutant lapsed_backends_are_kept_forever internal/backend/lapse.go \
	'return now.Sub(each.since) >= maxLapse' 'return false' internal/backend TestLapsedBackendsAreBounded
mutant items_start_over_as_entries_lapse internal/job/continuation.go \
	' + s.backends.CountReturning(service, begun.software, now)' '' internal/job TestItemAwaitsVersionWhoseEntryLapsed
mutant items_await_backends_that_leave internal/backend/lapse.go \
	' && !kept.Draining' '' internal/job TestItemStartsOverIfItsVersionIsGone
mutant resumptions_wait_for_dead_engines internal/gateway/generation.go \
	'go n.leaveSilentEngine(bounded, cancel, n.excludedAfterLeaving())' '' internal/harness TestAnswersLeaveEngineThatIsSilentForGood
mutant begun_generations_end_when_engines_are_full internal/gateway/choose.go \
	'time.Now().After(queueDeadline) && !hasBegun' 'time.Now().After(queueDeadline) && (hasBegun || !hasBegun)' internal/harness TestAnswersOutliveLongSilenceOfOnlyEngine
