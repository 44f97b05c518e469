# Mutants of backends that leave and of entries that go; mutants.sh sources this.
mutant grace_counts_from_the_arrival internal/table/absence.go \
	'until := c.presentAt.Add(bounds.Present)' 'until := now.Add(bounds.Present)' internal/table TestGraceOfRemovedRowEndsWithinBound
mutant any_failed_call_is_an_outage internal/table/absence.go \
	'if last.Sub(silenceBegan(calls, c.answeredAt)) < bounds.Outage {' 'if false {' internal/table TestGraceOfRemovedRowEndsWithinBound
mutant outage_while_others_are_served internal/table/absence.go \
	' && call.startedAt <= c.arrivedAt' '' internal/table TestGraceNeverCountsFromArrival
mutant one_late_answer_is_an_outage internal/table/absence.go \
	'if isLateAtMost {' 'if isLateAtMost && false {' internal/table TestOutagesAreTold
mutant outages_give_no_grace internal/table/absence.go \
	'case c.awayAt > 0 && now < returned:' 'case false:' internal/table TestGraceLastsUntilExpiredRowsAreBack
mutant late_answers_never_confirm internal/table/grace.go \
	'	f.isUnconfirmed = true
' '' internal/table TestLateStoreConfirms
mutant throttled_calls_are_an_outage internal/table/grace.go \
	'(IsKind(err, ErrorNotDone) ||' '(IsKind(err, ErrorNotDone) || IsKind(err, ErrorThrottled) ||' internal/table TestGraceCountsFromLastPresence
mutant later_rows_extend_the_grace internal/frontend/consumers.go \
	'	if !isMissing {
' '	if true {
' internal/frontend TestLaterRowsDoNotExtendGrace
mutant open_until_someone_removes_it internal/backend/missing.go \
	' || (known.missing != nil && known.missing.isOver())' '' internal/backend TestBackendWithoutEntryIsClosedWhenGraceEnds
mutant entry_is_back_and_still_missing internal/backend/backend.go \
	'		known.missing = nil
' '' internal/backend TestBackendWithoutEntryIsClosedWhenGraceEnds
mutant chosen_in_time_sent_late internal/serving/guarded.go \
	'if s.backends.IsLeaving(chosen) {' 'if s.backends.IsLeaving(chosen) && false {' internal/serving TestBackendThatLeftWhileConnectingGetsNothing
