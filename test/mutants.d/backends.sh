# Mutants of load reports, entries and incarnations of backends; mutants.sh sources this.
mutant fourth_figure_voids_the_report platform/load.go \
	'if len(parts) < loadFields {' 'if len(parts) != loadFields {' platform TestParseLoad
mutant absurd_figures_believed platform/load.go \
	'if number < 0 || number > maxRequests {' 'if false {' platform TestParseLoad
mutant absurd_work_believed platform/load.go \
	'case percent <= 0 || percent > maxWorkPercent:' 'case false:' platform TestParseLoad
mutant bad_work_voids_the_report platform/answer.go \
	'return report, !fault.isFatal()' 'return report, fault == reportValid' platform TestAnswerLoad
mutant odd_entries_listed platform/entry.go \
	'wire.fault(key); isFaulty {' 'wire.fault(key); false && isFaulty {' platform TestInvalidEntries
mutant odd_births_believed platform/entry.go \
	'if !isValid {' 'if false && !isValid {' platform TestInvalidEntries
mutant odd_entry_keeps_its_back_end internal/frontend/consumers.go \
	'	c.backends.Remove(row.Key)
' '' internal/frontend TestInvalidEntryRemovesBackend
mutant life_kept_over_a_start internal/backend/incarnation.go \
	'case entry.StartMillis != known.StartMillis:' 'case false:' internal/backend TestRestartClearsState
mutant late_entry_wins internal/backend/incarnation.go \
	'case entry.StartMillis < newest:' 'case false:' internal/backend 'TestStaleReportsAreIgnored|TestReportsInAnyOrder'
mutant births_forgotten_with_the_entry internal/backend/backend.go \
	'	s.startTimes.record(known.Incarnation())
' '' internal/backend TestStaleEntryAfterRemoval
mutant entry_without_birth_is_a_new_life internal/backend/incarnation.go \
	'case entry.StartMillis == 0 && newest > 0:' 'case false:' internal/backend TestEntryWithoutStartTime
mutant words_of_another_life_count internal/backend/backend.go \
	'if !exists || known.StartMillis != incarnation.StartMillis {' 'if !exists {' internal/backend TestStaleReportsAreIgnored
mutant loads_of_another_life_count internal/backend/lease.go \
	'|| load.StartMillis != known.StartMillis' '' internal/backend TestStaleReportsAreIgnored
mutant loads_of_two_lives_added internal/backend/backend.go \
	'case other.StartMillis < l.StartMillis:' 'case false:' internal/backend TestPeerLoadsOfTwoIncarnations
mutant loads_told_without_a_life internal/exchange/message.go \
	'StartMillis: load.StartMillis, ' '' internal/exchange TestMessagesCarryIncarnations
mutant place_of_the_life_before internal/serving/exchange.go \
	'AcquireIncarnation(backend.Incarnation{ID: candidate.ID, StartMillis: candidate.StartMillis}, ' 'Acquire(candidate.ID, ' internal/serving TestRestartedBackendLosesReservation
mutant ends_by_id internal/serving/guarded.go \
	's.guard.Crashed(incarnation.String(), runs)' 's.guard.Crashed(incarnation.ID, runs)' internal/serving TestCrashesOfOneBackendCountPerIncarnation
mutant later_life_confirms_no_end internal/serving/guarded.go \
	' || s.backends.HasSuccessor(incarnation)' '' internal/serving TestCrashesOfOneBackendCountPerIncarnation
mutant connections_by_id platform/pool.go \
	'endpoint{incarnation: instance.Incarnation(), ' 'endpoint{incarnation: backend.Incarnation{ID: instance.ID}, ' platform TestConnectionsOfEarlierIncarnationUnused
