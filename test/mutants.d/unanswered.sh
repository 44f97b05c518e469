# Mutants of the ways in which a request that was read ends without an answer; mutants.sh sources this.
mutant deadline_of_requests_ended platform/progress.go \
	'	c.state.Lock()
	defer c.state.Unlock()
	if c.progress.phase == phaseIdle {' '	if c.progress.phase == phaseIdle {' platform TestShutdownEndsNoRequestThatBegins
mutant idle_end_without_last_look platform/requestread.go \
	'	if isTimeout(err) && c.hasUnread() {' '	if false {' platform TestRequestBesideIdleEndIsAnswered
mutant panic_without_refusal platform/ingress.go \
	'	_ = respond.Refuse(serving.Refusal{Verdict: serving.VerdictUnknown, Code: serving.CodePanic})' '' platform TestPanicEndsOnlyItsRequest
mutant panic_refused_in_begun_answer platform/ingress.go \
	'	if respond.isBegun {' '	if false {' platform TestPanicEndsOnlyItsRequest
mutant panic_keeps_its_slot internal/serving/exchange.go \
	'	defer lease.Release()
	if e.remaining()' '	if e.remaining()' platform TestPanicEndsOnlyItsRequest
mutant old_requests_closed_unread platform/intake.go \
	'!isKnown || age > maxUnreadAge {' 'isKnown && age > time.Hour {' platform TestFullDaemonClosesNoOldRequestUnread
mutant late_connections_not_awaited platform/ingress.go \
	'	g.accepted.Add(1)' '	g.accepted.Add(0)' platform TestShutdownWaitsForConnectionThatStartsLate
mutant pipelined_requests_dropped platform/responder.go \
	'stop.HasBegun() && !r.expectsNext()' 'stop.HasBegun()' platform TestShutdownAnswersPipelinedRequests
mutant closed_with_input_unread platform/ingress.go \
	'	if respond.close && !respond.failed && c.hasUnread() {' '	if false {' platform TestAnswerIsWholeBesideUnreadInput
mutant half_closed_callers_not_refused internal/serving/verdict.go \
	'	if isGone && e.hasBegun {' '	if isGone {' platform TestHalfClosedCallerIsRefused
mutant stopped_beside_open_connections platform/serve.go \
	'	d.awaitNoCallers(ctx)
	d.frontend.AwaitCancellations' '	d.frontend.AwaitCancellations' platform 'TestShutdownCutsNoSilentStreams|TestSlowReadersGetWholeAnswersBesideChanges'
mutant panic_of_a_call_without_failure internal/gateway/gateway.go \
	'failure.KindInternal, serving.CodePanic' 'failure.KindInvalid, serving.CodePanic' internal/gateway TestPanicEndsOnlyItsCall
mutant panic_of_a_body_looks_whole internal/gateway/stream.go \
	'				err = errPanic' '' internal/gateway TestPanicEndsOnlyItsCall
