# Items under which backends end; mutants.sh sources this.
mutant broken_items_not_paced internal/job/attempt.go \
	'return i.broken.pause(rand.Float64(), slacks...)' 'return failedPause + 0*time.Duration(rand.Int64())' platform TestItemThatCrashesBackendsIsPaced
mutant pauses_of_broken_items_stay_short internal/job/brokenattempts.go \
	'nominal = min(2*nominal, maxBrokenPause)' 'count++' internal/job TestPausesGrowWithBrokenAttempts
mutant late_items_not_paced internal/job/brokenattempts.go \
	'		if slack > 0 {' '		if true {' internal/job TestPauseAfterBrokenAttemptsLeavesTimeToRun
mutant pause_past_the_due_time internal/job/brokenattempts.go \
	'			pause = min(pause, slack)' '' internal/job TestPauseAfterBrokenAttemptsLeavesTimeToRun
mutant sound_items_stay_paced internal/job/brokenattempts.go \
	'		b.inRow = 0' '' internal/job TestSoundAttemptEndsPauses
