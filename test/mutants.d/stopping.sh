# Mutants of the decisions while a daemon stops; mutants.sh sources this.
mutant late_work_taken_without_a_look internal/stopping/stopping.go \
	'	return isKnown && longest' '	return isKnown || longest' internal/stopping TestWorkIsTakenByTheTimeLeft
mutant late_limit_ignored internal/stopping/stopping.go \
	'	case need.Limit <= left:' '	case false:' internal/stopping TestWorkIsTakenByTheTimeLeft
mutant few_durations_believed internal/stopping/stopping.go \
	'n.Recent.Count >= minRecent' 'n.Recent.Count >= 1' internal/stopping TestRequestReadEarlyIsTakenByTheLongestOfOthers
mutant late_work_taken_by_habit internal/stopping/stopping.go \
	'	case p.wasReadLate(need) && need.Risk > RiskRetry:' '	case false:' internal/stopping TestLateRequestIsTakenOnlyWithinItsOwnBound
mutant late_work_that_may_run_once_taken_by_habit internal/serving/stop.go \
	'	return stopping.RiskFailure' '	return stopping.RiskRetry' platform TestLateRequestIsNotTakenByTheDurationsOfOthers
mutant early_work_refused_once_it_has_waited internal/stopping/stopping.go \
	'return !need.ReadAt.Before(p.ListenUntil())' 'return true' internal/stopping TestRequestReadEarlyIsTakenByTheLongestOfOthers
mutant stop_without_decision internal/serving/stop.go \
	'	if e.core.Stop.Admits(now, need) {' '	if true {' platform TestPipelinedRequestIsNotCutByAStop
mutant end_of_stop_without_answers platform/serve.go \
	'	d.stopping.End()' '' platform TestRequestInFlightAtTheEndOfAStopIsAnswered
mutant end_of_stop_without_end_of_reading platform/serve.go \
	'	d.ingress.endReading()' '' platform 'TestRequestInFlightAtTheEndOfAStopIsAnswered|TestUploadAtTheEndOfAStopIsRefusedAsNotRun'
mutant unread_answers_not_handed_over platform/callerwriter.go \
	'	if w.stop.HasBegun() {' '	if false {' platform TestAnswerThatWaitsForItsReaderOutlivesAStop
mutant attempts_without_a_look_at_the_stop internal/serving/exchange.go \
	'		if e.refuseStopping() {
			return
		}
' '' internal/serving TestNoAttemptBeginsThatTheStopWouldCut
mutant requests_outlive_the_stop internal/serving/core.go \
	'	defer c.Stop.OnEnd(cancel)()' '' internal/serving TestStopEndsRequestsWithTheTruth
mutant gateway_sends_without_a_look_at_the_stop internal/gateway/deadline.go \
	'	return n.refuseStopping(ctx)' '	return nil' internal/gateway TestLateRequestIsNotSentWhileTheGatewayStops
mutant streams_close_before_pipelined_requests platform/responder.go \
	'r.isStream && r.connection.pipelines' 'false' platform TestRequestPipelinedWithinAStreamIsAnsweredInAStop
mutant send_buffer_counted_again platform/callerwriter.go \
	'len(w.pending) + w.waiting - w.spareBytes' 'len(w.pending) + w.waiting' platform TestSendBufferOfAStopTakesAndCountsEachByteOnce
mutant answered_callers_logged_as_cut platform/requestread.go \
	'	c.beginClosing()' '' platform TestUploadAtTheEndOfAStopIsRefusedAsNotRun
