# Mutants of slow readers and of the account of memory for callers; mutants.sh sources this.
mutant slow_caller_holds_a_place internal/serving/relay.go \
	'	answer.Detach()
	lease.Release()' '' platform TestUnreadAnswerHoldsNoSlot
mutant slow_caller_waited_for platform/callerwriter.go \
	'kept := min(len(content), callerBufferBytes-len(w.pending))' 'kept := 0' platform TestWriterBuffersForCaller
mutant large_requests_not_refused platform/ingress.go \
	'!c.ingress.memory.HasRoom(max(size, 0))' 'false' platform TestLargeRequestRefusedAtMemoryLimit
mutant deadline_outlives_the_drain platform/callerwriter.go \
	'_ = w.connection.SetWriteDeadline(time.Time{})' '' platform TestDrainResetsWriteDeadline
mutant no_piece_where_memory_is_full platform/callerwriter.go \
	'kept = min(kept, memory.SmallBytes-len(w.pending))' 'kept = 0' platform TestWriterAtMemoryLimit
mutant account_without_limit internal/memory/account.go \
	'a.total+size <= a.limit' 'true' internal/memory 'TestAccountStaysWithinLimit|TestAnswersAreCountedBeyondLimit'
