# What shows that an attempt did not run, and whose answer an answer is.
mutant every_send_forgotten internal/runrecord/runrecord.go \
	'return each == send' 'return true' internal/runrecord TestNeverRanSpeaksOfOneAttempt
mutant copied_record_shared internal/runrecord/runrecord.go \
	'open: slices.Clone(r.open)' 'open: r.open' internal/runrecord TestNeverRanSpeaksOfOneAttempt
mutant copy_of_reservation_believed platform/sender.go \
	'if echoed == "" && a.repeatsReservation() {' 'if false {' platform TestLateCopyOfReservationIsNotTheRequestsAnswer
mutant every_grant_is_a_copy platform/reserve.go \
	'return err == nil && slices.Contains(a.connection.granted, name)' 'return err == nil && (true || slices.Contains(a.connection.granted, name))' platform TestUnnamedGrantOfOtherIsNoCopy
mutant reservation_taken_twice platform/pool.go \
	'if slices.Contains(c.granted, name) {' 'if false {' platform TestLateCopyOfReservationIsNoFurtherReservation
mutant receipt_of_failure_dropped platform/sender.go \
	'	failed.Receipt = a.receipt' '' platform TestFailedAttemptTellsWhatShowedIt
