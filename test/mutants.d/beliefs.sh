# What shows that an attempt did not run, and whose answer an answer is.
mutant every_send_forgotten internal/runrecord/runrecord.go \
	'return each == send' 'return true' internal/runrecord TestNeverRanSpeaksOfOneAttempt
mutant copied_record_shared internal/runrecord/runrecord.go \
	'open: slices.Clone(r.open)' 'open: r.open' internal/runrecord TestNeverRanSpeaksOfOneAttempt
mutant copy_of_reservation_believed platform/sender.go \
	'if echoed == "" && a.belongsToReservation() {' 'if false {' platform TestLateCopyOfReservationIsNotTheRequestsAnswer
mutant every_grant_is_a_copy platform/reserve.go \
	'isDisplaced := a.connection.displaced > 0' 'isDisplaced := true' platform TestUnnamedGrantOfOtherIsNoCopy
mutant copy_of_refused_reservation_believed platform/reserve.go \
	'		a.connection.displaced++
' '' platform TestLateCopyOfRefusedReservationIsNotTheRequestsAnswer
mutant displaced_grant_believed platform/reserve.go \
	'return isDisplaced' 'return false' platform TestDisplacedGrantIsNotTheRequestsAnswer
mutant every_unnamed_refusal_skipped platform/reserve.go \
	'promisesNotRun(a.header.StatusCode()) && a.connection.displaced > 0' 'promisesNotRun(a.header.StatusCode())' platform TestUnnamedRefusalEndsTheAttemptAtOnce
mutant displaced_answers_due_for_ever platform/sender.go \
	'			a.connection.displaced = 0
' '' platform TestUnnamedRefusalEndsTheAttemptAtOnce
mutant skipped_answer_not_logged platform/skipped.go \
	'	r.log.Info(' '	r.log.Debug(' platform TestSkippedAnswersAreLogged
mutant reservation_taken_twice platform/pool.go \
	'if slices.Contains(c.granted, name) {' 'if false {' platform TestLateCopyOfReservationIsNoFurtherReservation
mutant receipt_of_failure_dropped platform/sender.go \
	'	failed.Receipt = a.receipt' '' platform TestFailedAttemptTellsWhatShowedIt
mutant unwatched_job_is_not_open internal/job/objects.go \
	'> maxUnwatchedTime' '> 100*maxUnwatchedTime' internal/job TestSweepKeepsTextsThatItDidNotWatch
