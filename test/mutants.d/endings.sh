# Mutants of how answers end; mutants.sh sources this.
mutant cut_event_is_whole internal/serving/transfer.go \
	'	case t.PartialBytes > 0:' '	case false:' platform FuzzBackendToCaller
mutant every_close_is_an_end internal/serving/transfer.go \
	't.Framing == FramingUntilClose && t.Stop == StopClosed' 't.Stop == StopClosed' internal/serving TestEndingOfTransfer
mutant empty_stream_is_whole internal/serving/transfer.go \
	' && !t.ClosedBeforeFirstEvent()' '' platform TestUnframedStreamWithoutEventsIsNotComplete
mutant comment_is_an_event platform/answer.go \
	'event.ID != 0 || len(event.Data) > 0' 'true' platform TestCommentIsNoEvent
mutant trailer_not_read platform/answer.go \
	'	if a.length() == chunked {
		if err' '	if false {
		if err' platform FuzzBackendToCaller
mutant causes_in_the_chain internal/serving/request.go \
	'// Verdict is the daemon' '// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error { return e.Cause }

// Verdict is the daemon' internal/serving TestCauseOfAttemptErrorIsNotInItsChain
mutant swallowed_reset_is_an_end platform/transfer.go \
	'	return err != nil' '	return false && err != nil' platform TestResetDuringWriteIsNoEnd
mutant write_in_progress_is_an_end platform/transfer.go \
	'	_ = a.connection.SetWriteDeadline(writeEnded)
	err := <-a.written
	a.written <- err
	return err != nil' '	select {
	case err := <-a.written:
		a.written <- err
		return err != nil
	case <-time.After(50 * time.Millisecond):
		return false
	}' platform 'TestPartOfAnEarlyAnswerIsNotWhole|TestLateResultOfAWriteDecidesHowAnAnswerEnded'
mutant request_in_the_kernel_is_read platform/transfer.go \
	'a.writeFailed() || hasUndelivered(a.connection.Conn)' 'a.writeFailed()' platform TestPartOfAnEarlyAnswerIsNotWhole
mutant swallowed_reset_ends_plain_answers platform/answer.go \
	'	if a.transfer.Ending() == serving.EndingBroken {
		return errors' '	if false {
		return errors' platform TestResetDuringWriteBreaksPlainAnswer
mutant relay_ends_broken_streams internal/serving/relay.go \
	'		if err != nil {
			return err
		}
		if ending != EndingNone {' '		if err != nil && ending == EndingNone {
			return err
		}
		if ending != EndingNone {' platform TestStreamCutInsideEventIsNotComplete
mutant items_end_broken_streams internal/job/attempt.go \
	'		if err != nil {
			return err
		}
		if ending != serving.EndingNone {' '		if err != nil && ending == serving.EndingNone {
			return err
		}
		if ending != serving.EndingNone {' platform TestItemCutInsideEventIsNotCompleted
mutant broken_stream_is_evidence internal/serving/guarded.go \
	'	case err != nil:
		a.sender.recordBroken(a.ctx, a.attempt, err, a.events)
	case ending' '	case ending' internal/serving TestBrokenStreamIsNoEvidenceForItsRequest
mutant items_await_an_end_for_ever internal/job/progress.go \
	'p.lastEvent > 0 && p.emptyAnswers >= maxEmptyAnswers' 'false' platform TestItemCompletesAfterLostEnd
mutant killed_daemon_ends_streams platform/responder.go \
	'	if r.isHTTP10 {
		httphead.ResetOnClose(r.connection.Conn)
	}' '' platform TestKilledDaemonResetsHTTP10Stream
mutant whole_streams_are_reset platform/responder.go \
	'	httphead.FinishOnClose(r.connection.Conn)' '' platform TestHTTP10CallerGetsNoChunks
mutant unframed_answer_forwarded internal/gateway/forward.go \
	'err = httphead.CheckFraming(&response.Header)' '_ = httphead.CheckFraming(&response.Header)' internal/gateway TestCutForwardedAnswerIsNotComplete
mutant forwarded_as_http10 internal/gateway/forward.go \
	'	request.Header.SetProtocol(protocol11)' '	// ' internal/gateway TestTruncatedForwardedAnswerIsIncomplete
mutant unframed_call_answer internal/engine/client.go \
	'err := httphead.CheckFraming(&response.Header)' 'err := error(nil)' internal/engine TestCutCallAnswerIsNotComplete
mutant cut_record_is_whole internal/avrocodec/avrocodec.go \
	'		return false, false, nil' '		return true, true, nil' internal/avrocodec TestTruncatedRecordIsRefused
mutant older_record_with_a_rest internal/avrocodec/avrocodec.go \
	'		isAtEnd = errors.Is(decoder.Error, io.EOF)' '		isAtEnd = true' internal/avrocodec TestRecordWithoutFieldsThatHaveDefaultsIsRead
mutant other_statuses_fail_items internal/job/attempt.go \
	'	return failed.Outcome == serving.OutcomeFailed && failed.Reason == serving.ReasonError' '	return failed.Reason == serving.ReasonError || failed.Reason == serving.ReasonStatus' internal/job TestOnlyServerErrorsAreFailuresOfItems
mutant joined_heads_are_one platform/sender.go \
	'err := httphead.CheckAnswer(a.connection.reader)' 'err := error(nil)' platform TestHeadJoinedToCutHeadIsNoAnswer
mutant joined_trailer_is_an_end platform/answer.go \
	'		if httphead.HoldsStatusLine(line) {' '		if false && httphead.HoldsStatusLine(line) {' platform TestTrailerJoinedToAnswerIsNoEnd
mutant first_answer_is_checked_only internal/httphead/joined.go \
	'	c.head, c.isChecked = nil, false
' '' internal/httphead TestEachAnswerOfAConnectionIsChecked
mutant dialled_connections_unchecked internal/httphead/joined.go \
	'		return &checkedConn{Conn: connection}, nil' '		return connection, nil' platform TestStoreAnswerBehindCutHeadIsUnknown
mutant cut_object_is_whole platform/store.go \
	'	if wanted.isRaw && response' '	if false && response' platform TestCutObjectIsUnknown
mutant cut_platform_object_is_whole internal/storage/http.go \
	'	if err := httphead.CheckFraming(&response.Header); err != nil {' '	if err := error(nil); err != nil {' internal/storage TestCutObjectIsNotRead
mutant rows_need_a_length platform/store.go \
	'	if wanted.isRaw && response' '	if response' platform TestRowsWithoutLengthAreReadWhole
