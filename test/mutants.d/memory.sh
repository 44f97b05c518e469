# Callers who read slowly, and the account of what is held for callers.
mutant slow_caller_holds_a_place internal/serving/relay.go \
	'	answer.Detach()
	lease.Release()' '' platform TestCallersThatReadNothingHoldNoPlace
mutant slow_caller_waited_for platform/callerwriter.go \
	'kept := min(len(content), callerBufferBytes-len(w.pending))' 'kept := 0' platform TestWriterDoesNotWaitForItsCaller
mutant answers_not_counted platform/answer.go \
	'if full := r.answer.held.Grow(r.answer.ctx, count); full != nil {' 'if full := error(nil); full != nil {' platform TestManyCallersThatReadNothing
mutant large_requests_not_refused platform/ingress.go \
	'return held.TryGrow(size)' 'return true' platform TestLargeRequestIsRefusedWhereMemoryIsFull
mutant stalled_callers_kept internal/memory/account.go \
	'h.account.cutStalled(time.Now())' '' internal/memory TestSlowestReaderIsCutForOthers
mutant account_without_limit internal/memory/account.go \
	'account.total+size > account.limit' 'false' internal/memory 'TestAccountStaysWithinItsLimit|TestWaitForMemoryEnds'
