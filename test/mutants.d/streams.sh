# Mutants of streams and items that go on at one software version; mutants.sh sources this.
mutant continues_at_any_version internal/serving/core.go \
	'request.pin.allowed(c.Backends.Candidates(request.Service, request.Prompt, time.Now()))' 'c.Backends.Candidates(request.Service, request.Prompt, time.Now())' internal/serving TestAnswerJoinsNoSoftwareVersions
mutant waits_for_a_version_that_left internal/serving/exchange.go \
	'if !found && e.lacksSoftware() {' 'if false {' internal/serving TestStreamEndsAtOnceWithoutItsSoftwareVersion
mutant uncertain_streams_run internal/serving/core.go \
	'if served.pinToOrigin(bounded) {' 'if served.pinToOrigin(bounded) || true {' internal/serving TestResumptionWithoutCertainOriginIsRefused
mutant unknown_version_equals_itself internal/streamorigin/decision.go \
	'len(versions) == 1 && versions[0] != ""' 'len(versions) == 1' internal/streamorigin TestUnknownVersionIsNotOne
mutant belief_while_cut_off internal/streamorigin/decision.go \
	'case !hasEvidence && s.asked > 0 && len(s.peers) == 0:' 'case false:' internal/streamorigin TestStreamIsResumedOnlyAtCertainOrigin
mutant agreement_is_evidence internal/streamorigin/decision.go \
	'if finding == FindingOnlyVersion && !hasEvidence {' 'if false {' internal/streamorigin TestAgreementIsNoEvidence
mutant sections_without_history internal/streamorigin/evidence.go \
	'allAnswered && k.list.Covers() && k.confirm(ctx)' 'allAnswered && k.confirm(ctx)' internal/streamorigin TestAgreementIsNoEvidence
mutant fleet_without_its_missing internal/streamorigin/evidence.go \
	'!k.isSettled() || !asked.fleet.IsWhole || ' '!k.isSettled() || ' internal/streamorigin TestWholeFleetIsEvidence
mutant one_daemon_is_a_fleet internal/streamorigin/evidence.go \
	' || asked.fleet.Members < 2' '' internal/streamorigin TestWholeFleetIsEvidence
mutant started_daemons_agree internal/streamorigin/evidence.go \
	'return !each.IsSettled || each.Fleet' 'return each.Fleet' internal/streamorigin TestWholeFleetIsEvidence
mutant configurations_not_compared internal/streamorigin/evidence.go \
	' || each.Configuration != configuration' '' internal/streamorigin TestWholeFleetIsEvidence
mutant fleet_versions_ignored internal/streamorigin/evidence.go \
	'each.versionsOf(service)...)' 'each.versionsOf("")...)' internal/streamorigin TestWholeFleetIsEvidence
mutant slow_store_counts_as_away internal/streamorigin/evidence.go \
	'slowTimeout    = 900 * time.Millisecond' 'slowTimeout    = 200 * time.Millisecond' platform 'TestCallersReturnWithoutRelease/slow_store'
mutant registered_daemons_not_missed internal/frontend/streamorigins.go \
	'!p.limits.HasUnmet() && ' '' platform TestGroupStartedBehindCutIsNotTheWholeFleet
mutant list_not_confirmed internal/streamorigin/evidence.go \
	'return k.confirm(ctx) && k.list.Covers()' 'return true' internal/streamorigin TestAgreementIsNoEvidence
mutant sections_not_confirmed internal/streamorigin/evidence.go \
	'allAnswered && k.list.Covers() && k.confirm(ctx)' 'allAnswered && k.list.Covers()' internal/streamorigin TestAgreementIsNoEvidence
mutant versions_of_another_daemon_ignored internal/streamorigin/evidence.go \
	'return proof{evidence: EvidencePeer, further: history.versionsOf(service)}' 'return proof{evidence: EvidencePeer}' internal/streamorigin TestEvidenceOfAnotherDaemon
mutant routes_of_another_daemon_ignored internal/streamorigin/evidence.go \
	'if !history.IsComplete || history.Configuration != k.list.Configuration() {' 'if !history.IsComplete {' internal/streamorigin TestEvidenceOfAnotherDaemon
mutant certain_for_ever internal/streamorigin/keeper.go \
	'if wasCertain && !isCertain {' 'if wasCertain && false {' internal/streamorigin TestOriginsAreCopiedWhenListIsNoLongerCertain
mutant incomplete_history_believed internal/streamorigin/evidence.go \
	'if each := <-answers; each.IsComplete {' 'if each := <-answers; true {
			each.IsComplete = true' internal/streamorigin TestHistoryIsCompletedFromAnotherDaemon
mutant call_under_way_confirms internal/coalesce/coalesce.go \
	'	g.next = nil
	g.isRunning = present != nil
	return present' '	g.isRunning = present != nil
	if present != nil {
		select {
		case <-present.done:
			present, g.next, g.isRunning = nil, nil, false
		default:
		}
	}
	return present' internal/table TestCallUnderWayConfirmsNothingForLaterCallers
mutant calls_are_not_paced internal/coalesce/coalesce.go \
	'time.Sleep(pause)' '' internal/coalesce TestCallsArePaced
mutant removed_rows_make_no_gap internal/table/replica.go \
	'if row.Deleted && !isKept && !added[key] {' 'if !isKept && false {' internal/table TestHistoryHasNoGaps
mutant extended_over_a_gap internal/table/history.go \
	'if generation == h.generation {' 'if true {' internal/table TestHistoryHasNoGaps
mutant removals_forgotten internal/table/confirm.go \
	'if row.Deleted || (isKnown && before' 'if !row.Deleted && (isKnown && before' internal/table TestHistoryHasNoGaps
mutant changed_rows_forgotten internal/table/confirm.go \
	'|| (isKnown && before != trait) {' '|| (isKnown && false && before != trait) {' internal/table TestHistoryWithChangedRowsIsNotWhole
mutant changed_versions_forgotten internal/frontend/consumers.go \
	'return instance.Service + "\x00" + instance.Version' 'return instance.Service' platform TestVersionChangedInPlaceIsNotForgotten
mutant changes_wait_for_history internal/table/follower.go \
	'beside.Go(func() { f.readHistory(ctx) })' 'f.readHistory(ctx)' internal/table TestChangesDoNotWaitForHistory
mutant record_not_sought_widely internal/streamorigin/keeper.go \
	'if finding == FindingUnproven && known.asked == askedDaemons {' 'if finding == "" {' internal/streamorigin TestRecordIsSoughtWidelyWithoutEvidence
mutant stale_entries_ignored internal/backend/backend.go \
	'		s.addUnused(instance)' '' internal/backend TestVersionsOfStaleEntriesCount
mutant stale_entries_for_ever internal/backend/backend.go \
	'	s.dropUnused(id)
	s.lapse(id)' '	s.lapse(id)' internal/backend TestVersionsOfStaleEntriesCount
mutant beliefs_not_compared internal/streamorigin/decision.go \
	'case only != "" && each.Opinion.Only != only:' 'case false:' internal/streamorigin TestStreamIsResumedOnlyAtCertainOrigin
mutant origin_kept_alone internal/streamorigin/keeper.go \
	'if !mustCopy {' 'if true {' internal/streamorigin TestOriginIsKnownElsewhereBeforeFirstEvent
mutant always_copied internal/streamorigin/keeper.go \
	'mustCopy := k.peers != nil && (' 'mustCopy := k.peers != nil && (true || ' internal/streamorigin TestNothingIsCopiedWhileThereIsOneVersion
mutant second_version_unnoticed internal/backend/software.go \
	'return known.listed == 1 && count > 1' 'return count < 0' internal/streamorigin TestOriginsAreCopiedWhenSecondVersionAppears
mutant version_forgotten_as_it_leaves internal/backend/software.go \
	'return l.listed > 0 || now.Sub(l.lastListed) < SoftwareWindow' 'return l.listed > 0' internal/backend TestSoftwareVersionsOfWindow
mutant records_unbounded internal/streamorigin/records.go \
	'isNeeded && len(r.byKey) < maxRecords' 'isNeeded' internal/streamorigin TestRecordsAreBounded
mutant conflicting_records_count internal/streamorigin/records.go \
	'known.isConflicting || known.Origin != added.Origin' 'known.isConflicting' internal/streamorigin TestStreamsOfOneKeyAreNotResumed
mutant items_go_on_anywhere internal/job/continuation.go \
	'if begun.software == "" || serving == 0 {' 'if true {' internal/job TestItemGoesOnOnlyAtItsSoftwareVersion
mutant events_of_two_versions internal/job/progress.go \
	'return at.Continues(p.began)
}

// isFrom' 'return true
}

// isFrom' internal/job TestProgressHoldsEventsOfOneSoftwareVersion
mutant checkpoint_for_any_build internal/job/progress.go \
	'row := checkpointRow{Failures: taken.Failures}' 'row := checkpointRow{Failures: taken.Failures, LastEvent: taken.LastEvent}' internal/job TestCheckpointOfOtherBuildStartsOver
mutant scarce_items_preempted_first internal/job/dispatch.go \
	'return items[b].losesEvents' 'return items[a].losesEvents' internal/job TestItemThatWouldStartOverIsPreemptedLast
mutant status_zero_is_a_success internal/httphead/joined.go \
	'if isFirst && !answerLine.Match(line) {' 'if false && !answerLine.Match(line) {' platform 'TestInvalidStatusOfABackendIsNoAnswer|TestAnswerWithStatusZeroReachesNobody|TestItemAnsweredWithStatusZeroIsRunAgain'
mutant status_zero_of_the_store_is_a_success internal/httphead/joined.go \
	'if isFirst && !answerLine.Match(line) {' 'if false && !answerLine.Match(line) {' platform TestInvalidStatusOfTheStoreIsUnknown
