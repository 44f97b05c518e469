# Mutants of attempts that fall silent and of answers that have begun; mutants.sh sources this.
mutant ended_before_another_is_found internal/serving/standby.go \
	'	found := running.searcher' '	s.endAttempt()
	found := running.searcher' platform TestBegunStreamOutlivesSilenceWhileOthersAreFull
mutant begun_answers_bounded_like_others internal/serving/exchange.go \
	'	if e.hasBegun {
		e.paceBegun(ctx)' '	if false {
		e.paceBegun(ctx)' platform TestBegunStreamOfCrashedBackendWaitsForRoom
mutant search_ends_with_its_first_probe internal/serving/successor.go \
	'		if !periodic.SleepAbout(ctx, searchPause(probes)) {' '		if true {' platform TestBegunStreamOfDeadBackendWaitsForRoom
mutant silent_backends_are_successors internal/serving/successor.go \
	'	maps.Copy(e.excluded, e.silent)' '' platform TestPlainRequestOutlivesSilenceOfAllBackends
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
	'time.Now().After(queueDeadline) && !hasBegun' 'time.Now().After(queueDeadline)' internal/harness TestAnswersOutliveLongSilenceOfOnlyEngine
