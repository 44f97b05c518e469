# Mutants of attempts that fall silent and of answers that have begun; mutants.sh sources this.
mutant ended_before_another_is_found internal/serving/standby.go \
	'	found := running.searcher' '	s.endAttempt()
	found := running.searcher' platform TestBegunStreamOutlivesSilenceWhileOthersAreFull
mutant begun_answers_bounded_like_others internal/serving/exchange.go \
	'	if e.outlivesRefusals() {
		e.pace(ctx)' '	if false {
		e.pace(ctx)' platform TestBegunStreamOfCrashedBackendWaitsForRoom
mutant search_ends_with_its_first_probe internal/serving/successor.go \
	'		if !periodic.SleepAbout(probing, searchPause(probes)) {' '		if true {' platform TestBegunStreamOfDeadBackendWaitsForRoom
mutant silent_backends_are_successors internal/serving/successor.go \
	'	maps.Copy(e.excluded, e.silent)' '' platform TestPlainRequestOutlivesSilenceOfAllBackends
