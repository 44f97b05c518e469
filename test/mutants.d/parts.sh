# Prompt parts that crash backends. mutants.sh defines mutant().
mutant parts_not_judged internal/quarantine/guard.go \
	'return g.ledger.PartsVerdict(parts, now)' 'return Verdict{}, false' platform TestPartThatTurnsBadIsStopped
mutant parts_of_items_not_read platform/jobs.go \
	'item.Prompt = parsePrompt(value)' '_ = value' platform TestItemsWithQuarantinedPartAreOwed
mutant parts_of_a_malformed_list_not_read platform/requests.go \
	'			tokens = 0' '			return nil' platform TestPartThatCrashesBackendsIsStopped/spelled
mutant innocent_parts_held_beside_a_culprit internal/quarantine/ledger.go \
	'	return unexplained < unexplainedCrashes' '	return false' internal/quarantine TestPartBesideCulpritIsTriedWithoutIt
mutant culprits_hide_behind_absent_parts internal/quarantine/ledger.go \
	'	return unexplained < unexplainedCrashes' '	return len(others) > 0' internal/quarantine TestPartBesideCulpritIsTriedWithoutIt
mutant output_clears_no_part internal/quarantine/guard.go \
	'	for _, part := range parts {
		g.recordSuccess(part)
	}' '	_ = parts' internal/quarantine TestOutputClearsPartEverywhere
mutant ends_of_streams_clear_parts internal/serving/guarded.go \
	'a.recordSound(a.events < quarantine.SoundOutputs)' 'a.recordSound(true)' internal/serving TestEndOfLongStreamClearsNoPart
mutant first_event_clears_parts internal/quarantine/part.go \
	'const SoundOutputs = 2' 'const SoundOutputs = 1' platform TestPartThatCrashesBackendsIsStopped/after_an_event
mutant every_daemon_withdraws internal/quarantine/guard.go \
	'	delete(g.vetoes, fingerprint)
	g.mutex.Unlock()
	if len(instances) > 0 {' '	g.mutex.Unlock()
	if len(instances) > 0 {' internal/quarantine TestOneDaemonWithdrawsExcusedEvidence
mutant parts_push_out_requests internal/quarantine/ledger.go \
	'fingerprint.IsPart() == areParts {' 'true {' internal/quarantine TestFloodOfPartsKeepsVerdicts
mutant messages_not_judged internal/engine/quarantine.go \
	'c.Quarantine.Verdict(run.Fingerprint, run.Parts)' 'c.Quarantine.Verdict(run.Fingerprint, nil)' internal/gateway TestMessageThatCrashesEnginesIsHeld
mutant culprits_hide_behind_long_lists internal/quarantine/guard.go \
	'		rand.Shuffle(len(parts), func(a, b int) { parts[a], parts[b] = parts[b], parts[a] })' '		rand.Shuffle(0, nil)' internal/quarantine TestLongListsOfPartsAreBounded
mutant parts_of_a_crash_unbounded internal/quarantine/guard.go \
	'parts = parts[:maxCrashParts]' '' internal/quarantine TestLongListsOfPartsAreBounded
