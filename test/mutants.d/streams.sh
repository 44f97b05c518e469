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
	'if s.asked > 0 && len(s.peers) == 0 {' 'if false {' internal/streamorigin TestStreamIsResumedOnlyAtCertainOrigin
mutant beliefs_not_compared internal/streamorigin/decision.go \
	'case only != "" && each.Opinion.Only != only:' 'case false:' internal/streamorigin TestStreamIsResumedOnlyAtCertainOrigin
mutant origin_kept_alone internal/streamorigin/keeper.go \
	'if !mustCopy {' 'if true {' internal/streamorigin TestOriginIsKnownElsewhereBeforeFirstEvent
mutant always_copied internal/streamorigin/keeper.go \
	'mustCopy := k.peers != nil && (' 'mustCopy := k.peers != nil && (true || ' internal/streamorigin TestNothingIsCopiedWhileThereIsOneVersion
mutant second_version_unnoticed internal/backend/software.go \
	'return known.listed == 1 && len(versions) > 1' 'return false' internal/streamorigin TestOriginsAreCopiedWhenSecondVersionAppears
mutant version_forgotten_as_it_leaves internal/backend/software.go \
	'return l.listed > 0 || now.Sub(l.lastListed) < StreamWindow' 'return l.listed > 0' internal/backend TestSoftwareVersionsOfWindow
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
