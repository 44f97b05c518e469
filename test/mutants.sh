#!/bin/sh
# Removes one mechanism at a time, in a scratch copy, and expects the named
# test to fail. A test that still passes, or a mechanism that is no longer
# found, is a failure of this script. The mutants are in this file and, by part of
# the system, in test/mutants.d.
#
#   sh test/mutants.sh            all of them, in several lanes in parallel
#   sh test/mutants.sh LANE       those of one lane, from 0 on
#   sh test/mutants.sh --check    only checks that the text that each mutant replaces is in its file
set -eu
cd "$(dirname "$0")/.."
# lanes is how many scratch copies are tested at once.
lanes=4

if [ $# = 0 ]; then
	results=$(mktemp -d)
	trap 'rm -rf "$results"' EXIT
	lane=0
	while [ $lane -lt $lanes ]; do
		(
			sh test/mutants.sh $lane >"$results/$lane" 2>&1 && verdict=noticed || verdict=unnoticed
			echo $verdict >"$results/$lane.verdict"
		) &
		lane=$((lane + 1))
	done
	wait
	status=0
	lane=0
	while [ $lane -lt $lanes ]; do
		cat "$results/$lane"
		[ "$(cat "$results/$lane.verdict")" = noticed ] || status=1
		lane=$((lane + 1))
	done
	exit $status
fi

lane=$1
isCheck=false
[ "$lane" != --check ] || isCheck=true
number=0
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
$isCheck || git ls-files -co --exclude-standard -- ':!journal' | tar -cf - -T - | tar -xf - -C "$work"
failed=0
unnoticed=""

# mutant NAME FILE OLD NEW PACKAGE TEST
mutant() {
	name=$1 file=$2 old=$3 new=$4 package=$5 test=$6
	if $isCheck; then
		OLD=$old perl -0ne 'exit(index($_, $ENV{OLD}) < 0)' "$file" || { failed=1; unnoticed="$unnoticed $name=NOT_FOUND"; }
		return 0
	fi
	number=$((number + 1))
	[ $((number % lanes)) = "$lane" ] || return 0
	cp "$work/$file" "$work/original"
	verdict=ok
	rm -f "$work/log"
	if ! OLD=$old NEW=$new perl -0pi -e 'BEGIN { $found = 0 } $found += s/\Q$ENV{OLD}\E/$ENV{NEW}/; END { exit($found ? 0 : 1) }' "$work/$file"; then
		verdict=NOT_FOUND
	elif (cd "$work" && go test -count=1 -run "$test" "./$package") >"$work/log" 2>&1; then
		verdict=SURVIVED
	elif ! grep -q -- '--- FAIL' "$work/log"; then
		verdict=DID_NOT_RUN
	fi
	[ "$verdict" = ok ] || { failed=1; unnoticed="$unnoticed $name=$verdict"; tail -20 "$work/log" 2>/dev/null || true; }
	echo "mutant name=$name test=$test verdict=$verdict"
	cp "$work/original" "$work/$file"
}

mutant no_chunk_condition internal/batch/store.go \
	'{Key: next.Key(), Version: claimed.Version},' '' internal/batch TestChunkModel
mutant no_job_condition internal/batch/store.go \
	'{Key: stateKey(next.Job), Version: claimed.JobVersion},' '' internal/batch 'TestChunkModel|TestCommitAfterCancelFails'
mutant no_intent_check internal/batch/chunk.go \
	'if exists {' 'if false {' internal/batch 'TestOnlyRefusedIntentIsReplaced'
mutant no_epoch_check internal/batch/chunk.go \
	'c.Owner != owner || c.Epoch != epoch' 'false' internal/batch TestChunkRejectsStaleEpoch
mutant no_insert_condition internal/revision/revision.go \
	'Conditions:  []storage.Condition{{Key: key(next.Number)}},' '' internal/revision TestOneWinnerBetweenReadAndWrite
mutant no_rise_check internal/revision/holder.go \
	'next.Number <= h.current.Number' 'false' internal/revision TestNeverReverts
mutant no_majority internal/revision/watcher.go \
	'return members/2 + 1 ' 'return 1 ' internal/revision TestQuorumsOverlap
mutant no_fence internal/emulator/engine.go \
	'order.Fence < e.fence' 'false' internal/emulator TestFenceNeverDecreases
mutant no_leaving_check internal/registry/registry.go \
	'!e.Machine.Leaving && ' '' internal/routing 'TestChosenEngineIsEligible|TestLeavingEngineIsNotChosen'
mutant no_wave_bound internal/rollout/rollout.go \
	'min(free, len(candidates))' 'max(free, len(candidates))' internal/rollout TestWaveKeepsUnavailableLimit
mutant no_guard internal/admission/window.go \
	'if onlineLoad > w.guard {' 'if false {' internal/admission TestWindowIsZeroAboveGuard
mutant no_seeds_after_start internal/membership/probe.go \
	'if !live[seed] {' 'if len(live) < 2 {' internal/membership/simulation TestSeparateGroupsMerge
mutant weak_digest internal/membership/member.go \
	'return value ^ value>>33' 'return value & 3' internal/membership/simulation TestPartitionedRegionRejoins
mutant no_item_digest internal/membership/core.go \
	'isSame = isSame && packet.ItemDigest' 'isSame = isSame || packet.ItemDigest' internal/membership/simulation TestRestartedMemberGetsZoneItems
mutant no_direct_accusation internal/membership/probe.go \
	'c.ownSuspects[name] = true' '' internal/membership/simulation TestSuspectsRefuteUnderHeavyLoss
mutant no_attempt_echo internal/engine/client.go \
	'if event.AttemptID != s.attemptID {' 'if false {' internal/harness TestForeignAnswersDropped
mutant no_end_marker internal/engine/client.go \
	'if event.Count != s.next {' 'if false {' internal/engine TestIncompleteAnswerIsRejected
mutant no_result_copy internal/gateway/results.go \
	'	g.copyToPeer(ctx, result)' '' internal/harness TestStoredAnswerSurvivesDaemonLossDuringOutage
mutant no_job_identity internal/batch/store.go \
	'Conditions:  []storage.Condition{{Key: jobKey(job.Tenant, job.Key)}, {Key: stateKey(job.ID)}},' '' internal/batch TestCreateReturnsExistingJob
mutant all_failures_not_run internal/engine/client.go \
	'return &AttemptError{Outcome: OutcomeUnknown, Code: CodeBroken, cause: err}' 'return &AttemptError{Outcome: OutcomeNotRun, Code: CodeBroken, cause: err}' internal/engine TestBrokenConnectionHasUnknownOutcome
mutant no_wait_at_stop internal/daemon/daemon.go \
	'	d.gateway.Wait(ctx)' '' internal/harness TestPlannedStopCompletesRequests
mutant no_pause_notice internal/membership/core.go \
	'	c.compensatePause(now)' '' internal/membership TestPauseRaisesNoSuspicion
mutant no_gossip_bound internal/membership/gossip.go \
	'	c.allowance -= float64(packetSize(datagram.Packet))' '' internal/membership TestGossipStaysWithinByteLimit
mutant no_claim_condition internal/job/commit.go \
	'Conditions: []table.Condition{{Table: tableClaim, Key: o.job.ID, Version: o.claim.version}},
	}
	size := 0' 'Conditions: []table.Condition{},
	}
	size := 0' internal/job TestOwnerWithoutWatchCommitsNothingAfterCancel
mutant no_end_check_at_takeover internal/job/ownedjob.go \
	's.followed >= version && s.claims[id].version != version' 'false' internal/job TestJobCanceledDuringTakeoverIsNotRun
mutant job_taken_up_again internal/job/ownedjob.go \
	'if reason.losesClaim() {' 'if false {' internal/job TestFinishedJobIsNotOwnedAgain
mutant end_forgotten_with_its_caller internal/job/cancel.go \
	's.startCancellation(key, found, cancelTimeout, func(ctx context.Context) error {' 's.startCancellation(key, found, cancelTimeout, func(context.Context) error {' internal/job TestCancelContinuesWithoutCaller
mutant old_claims_believed internal/job/permit.go \
	'const claimsAgeLimit = 2 * time.Second' 'const claimsAgeLimit = time.Hour' internal/job TestStaleClaimsBlockNewItems
mutant age_noted_before_the_rows internal/table/follower.go \
	'f.passChanges(newerThan(changes.Rows, f.seen), changes.Version)
		f.seen' 'f.recordStoreAnswer(f.Now())
		f.passChanges(newerThan(changes.Rows, f.seen), changes.Version)
		f.seen' internal/table TestAgeIsUpperBound
mutant sources_asked_one_after_the_other internal/table/refresh.go \
	'if f.Peers == nil {' 'if f.Peers == nil || true {' internal/table TestCopyStaysFreshBehindFailingSources
mutant announcements_ignored internal/table/refresh.go \
	'f.announced.Load() > f.seenVersion() || ' '' internal/table TestAnnouncedVersionIsRequestedFromPeers
mutant changes_not_announced internal/frontend/announcer.go \
	'a.spread(newestOf(rows))
}

// newestOf' '}

// newestOf' internal/frontend TestChangeIsAnnouncedToOtherDaemons
mutant silent_peers_awaited internal/frontend/newest.go \
	'askInterval = 100 * time.Millisecond' 'askInterval = time.Hour' internal/frontend TestFreshPeerIsFoundBesideSilentOnes
mutant outdated_peers_believed internal/frontend/newest.go \
	'conclusiveAge = time.Second' 'conclusiveAge = time.Hour' internal/frontend TestFreshPeerIsFoundBesideSilentOnes
mutant rows_awaited_from_one_peer internal/frontend/newest.go \
	'rowsInterval = 400 * time.Millisecond' 'rowsInterval = time.Hour' internal/frontend TestPeerSuspendedBeforeItsRowsIsPassedOver
mutant large_rows_not_limited internal/table/transfer.go \
	't.until = now.Add(t.last)' '' internal/table TestLargeRowsDelayNextCall
mutant every_version_kept internal/table/recent.go \
	'r.supersede(added.key())' '' internal/table TestReplicaKeepsOneVersionOfALargeRow
mutant every_configuration_decoded internal/frontend/consumers.go \
	'c.apply(row)
			return' 'c.apply(row)' internal/frontend TestOnlyNewestConfigurationIsDecoded
mutant claims_held_as_long_as_others internal/frontend/frontend.go \
	'RelayWait: relayWait, ' '' internal/frontend TestClaimsStayFreshWithoutChanges
mutant no_look_before_the_first_byte platform/sender.go \
	'if err := attempt.CheckSendable(ctx); err != nil {' 'if err := error(nil); err != nil {' platform TestAttemptWithoutPermitNotSent
mutant promise_unsettled internal/job/accept.go \
	'isUnsettled = isUnsettled || isUnknown(err)' '' internal/job TestUnsettledAcceptanceIsNotReportedNotRun
mutant no_checkpoint internal/job/ownedjob.go \
	'added.progress.restore(earlier.checkpoints[item.ID])' '' internal/job TestNextOwnerResumesAtCheckpoint
mutant no_stale_check internal/table/monotonic.go \
	'page.Version < atLeast' 'page.Version < atLeast-atLeast' internal/table TestStaleReadIsRefused
mutant no_configuration_rise internal/route/table.go \
	'current.Version() >= config.Version' 'false' platform TestRoutesFollowConfiguration
mutant pass_false_promises platform/sender.go \
	'case promisesNotRun(status):' 'case false:' platform TestUnsafeRequestNotReportedNotRun
mutant no_answer_id platform/sender.go \
	'if echoed != "" && echoed != a.id {' 'if false {' platform TestSafeRequestRetriedAtAnotherBackend
mutant no_caller_watch platform/ingress.go \
	'	leave()
}' '}' platform TestCallerDisconnectStopsRequest
mutant no_framing_check platform/fields.go \
	'if framings > 1 ||' 'if framings > 2 ||' platform TestBadRequests
mutant no_instance_check platform/sender.go \
	'request.Field(headerInstance, attempt.Instance.ID)' '' platform 'TestRequestAndAnswerUnchanged|TestDrainingBackendGetsNoRequests'
mutant relay_counts_own_work internal/exchange/relay.go \
	'return total.without(r.members[name].loads)' 'return total' internal/exchange TestRelaySendsLoadsOfOthers
mutant no_draw internal/routing/cost.go \
	'return *draw(model.preferred(near), random), true' 'return *near[0].candidate, true' internal/routing TestConcurrentChoicesSpread
mutant no_quota_window internal/job/placement.go \
	'if now.Sub(p.windowStart) < window {' 'if false {' internal/job TestOwnersDoNotOverfillWithinWindow
mutant no_failure_count internal/job/progress.go \
	'p.failures, p.savedFailures = from.Failures, from.Failures' '' internal/job TestFailureCountSurvivesTakeover
mutant no_settling internal/job/dispatch.go \
	'if isStopping || !isSettled ||' 'if isStopping || !isSettled && false ||' internal/job TestItemsWaitForPeerLoads
mutant no_shared_versions internal/frontend/frontend.go \
	'store.Raise(table.Version(event.Revision))' '' platform TestStaleReadsDetected
mutant no_total_condition internal/quota/plan.go \
	'Conditions: []table.Condition{{Table: tableTotal, Key: keyTotal, Version: v.totalVersion}},' 'Conditions: []table.Condition{},' internal/quota 'TestTotalStaysWithinLimit|TestConcurrentReservationsReachLimit'
mutant foreign_release internal/quota/plan.go \
	'operation.Kind == KindRelease && operation.Holder != r.Holder' 'false' internal/quota TestReleaseByFormerHolderIsIgnored
mutant no_settling_epoch internal/quota/plan.go \
	'operation.Kind == KindSettle && operation.Epoch < r.Epoch' 'false' internal/quota TestSettleWithLowerEpochIsIgnored
mutant no_newest_limit internal/quota/plan.go \
	'if limit.Config >= t.Config {' 'if true {' internal/quota TestNewerLimitAppliesToOutdatedDaemons
mutant release_of_earlier_tries internal/job/accounts.go \
	'if !reserved.isNew {' 'if !reserved.isBounded() {' internal/job TestRefusedAttemptKeepsUnsettledReservation
mutant no_void_condition internal/job/accept.go \
	', {Table: tableVoid, Key: submitted.ID, Version: reserved.voided}' '' internal/job 'TestReservationOfStoppedDaemonIsSwept|TestCancelBeforeAcceptancePreventsRun'
mutant resent_counts_twice internal/quota/plan.go \
	'isNew := current.Tokens == 0' 'isNew := true' internal/quota TestReleaseByFormerHolderIsIgnored
mutant no_place internal/serving/exchange.go \
	'e.excluded[e.last.ID] = true
			continue' 'continue' internal/serving TestRequestSentWhereReserved
mutant place_not_sent platform/sender.go \
	'request.Field(headerReservation, attempt.Reservation)' '' platform TestStreamsReserveSlotFirst
mutant no_crowded_signal internal/backend/lease.go \
	'if isOverloaded && known.batch > 0 {' 'if false {' internal/backend TestOverloadSignal
mutant items_queue internal/job/placement.go \
	'candidate.Closed || candidate.Waiting > 0' 'candidate.Closed' internal/job TestItemsAvoidFullBackends
mutant no_pace internal/table/follower.go \
	'return errors.WithStack(f.Pace.Wait(ctx))' 'return nil' internal/table TestPaceLimitsWatches
mutant no_forwarding internal/table/forwarding.go \
	'mayRepeat := isNotDone(err) || (isRead && isUnserved(err))' 'mayRepeat := false' internal/table TestCallsAreForwardedWhileStoreRefuses
mutant unknown_commit_repeated internal/table/forwarding.go \
	'(isRead && isUnserved(err))' 'isUnserved(err)' internal/table TestUnknownCommitIsNotRepeated
mutant helper_without_store internal/frontend/peerstore.go \
	'if !p.isServed() {' 'if false {' internal/frontend TestHelperMakesEveryCall
mutant stale_upstream internal/frontend/upstream.go \
	'if age >= upstreamAge {' 'if false {' internal/frontend TestUpstreamWithoutStoreRefuses
mutant preempted_twice internal/exchange/relay.go \
	'max(l.loads.inFlight[id].Batch-l.preempted[id], 0)' 'l.loads.inFlight[id].Batch' internal/exchange TestPreemptionsSelectDistinctItems
mutant no_preemption internal/serving/slotwait.go \
	'		e.preemptAt(chosen)' '' internal/serving TestWaitingRequestPreemptsItems
mutant no_pause_after_giving_way internal/job/dispatch.go \
	'	s.placer.pause(now.Add(preemptionPause))' '' internal/job 'TestOwnerPausesAfterPreemption|TestPauseAfterPreemptionVirtualTime'
mutant queues_without_waiting internal/serving/exchange.go \
	'if e.mustWaitForSlot() {' 'if false {' internal/serving TestRequestQueuesAfterSlotWait
mutant late_drop internal/job/ownedjob.go \
	'if s.owned[o.job.ID] == o {' 'if true {' internal/job TestStaleOwnershipDropKeepsNewOwnership
mutant no_give_back internal/job/takeover.go \
	's.releaseClaim(ctx, id, claimed)' '' internal/job TestUnreadableJobGoesToAnotherDaemon
mutant excess_answered_at_every_look internal/job/preemption.go \
	'handled.remaining = min(handled.remaining, excess)' 'handled.remaining = 0' internal/job TestOwnersAnswerExcessOnce
mutant key_passed_on platform/sender.go \
	'headerTenant, headerKey:' 'headerTenant:' platform TestAttemptSendsNoKey
mutant callers_tenant_believed platform/sender.go \
	'headerReservation, headerTenant, headerKey:' 'headerReservation, headerKey:' platform TestAttemptSendsNoKey
mutant key_stored platform/fields.go \
	'name != headerKey && ' '' platform TestJobStoresNoKey
mutant no_tenant_on_items internal/job/attempt.go \
	'Tenant: running.owner.job.Tenant, ' '' platform TestBackendsGetTenantWithoutKey
mutant jobs_of_all_tenants internal/job/tenant.go \
	'owner == "" || owner == caller' 'true' platform TestJobsBelongToTenant
mutant keys_trusted_for_ever internal/access/access.go \
	'age < g.RevocationBound-revocationReserve' 'true' internal/access TestUnconfirmedKeysAreRefused
mutant full_start internal/ratelimit/share.go \
	'start: startShare * excess' 'start: limit.Burst + excess' internal/ratelimit TestNoWindowExceedsLimit
mutant full_stand_in internal/ratelimit/share.go \
	'backupShare = 0.2' 'backupShare = 1.0' internal/ratelimit TestNoWindowExceedsLimit
mutant both_sides_of_a_cut_grant_all internal/ratelimit/share.go \
	'scaled(granted / float64(shards))' 'scaled(1 / float64(shards))' internal/ratelimit TestNoWindowExceedsLimit
mutant old_limit_wins internal/ratelimit/buckets.go \
	'limit.Config >= entry.limit.Config' 'true' internal/ratelimit TestOlderConfigDoesNotReplaceNewerLimit
mutant nothing_given_back internal/serving/admit.go \
	'		e.core.Limits.Return(e.admission, e.request.Tenant.Name, e.limit())' '' platform TestRequestsNotRunCostNoLimit
mutant silent_link_kept internal/peer/link.go \
	'if peerLink.isSilent(time.Now()) {' 'if false {' internal/peer TestSilentLinkIsReplaced
mutant every_refusal_promises internal/runrecord/runrecord.go \
	'return len(r.open) > 0' 'return false' internal/gateway 'TestNotRunAfterUnknownOutcome'
mutant sends_not_noted internal/serving/exchange.go \
	'	e.lastSend = e.ran.Sent()' '' internal/serving 'TestNotRunVerdictOverRandomAttempts|TestNotRunVerdictFollowsSentAttempts'
mutant generations_not_noted internal/gateway/generation.go \
	'	n.lastSend = n.ran.Sent()' '' internal/gateway TestNotRunAfterUnknownOutcome
mutant calls_not_noted internal/gateway/plain.go \
	'	n.lastSend = n.ran.Sent()' '' internal/gateway TestNotRunAfterUnknownOutcome
mutant refusals_not_noted internal/gateway/generation.go \
	'		n.ran.NeverRan(n.lastSend)' '' internal/gateway TestNotRunAfterUnknownOutcome
mutant odd_refusal_believed internal/engine/client.go \
	'	return &AttemptError{Outcome: OutcomeUnknown, Code: refusal.Code}
}' '	return &AttemptError{Outcome: OutcomeNotRun, Code: refusal.Code}
}' internal/gateway TestNotRunAfterUnknownOutcome
mutant status_promises internal/failure/failure.go \
	'if meansNotRun && !e.NotRun {' 'if meansNotRun && false {' internal/gateway TestRetryStatusRequiresNotRun
mutant unsent_taken_for_silent internal/serving/exchange.go \
	'|| attemptError(err).Outcome == OutcomeNotRun {' '{' internal/serving 'TestNotRunVerdictOverRandomAttempts|TestNotRunVerdictFollowsSentAttempts'
mutant stray_refusal_believed platform/sender.go \
	'echoed == "" && a.connection.isReused:' 'false:' platform TestStrayRefusalIgnored
mutant stray_failure_passed_on platform/sender.go \
	'echoed == "" && a.connection.isReused:' 'echoed == "" && a.connection.isReused && promisesNotRun(status):' platform TestStrayFailureIgnored
mutant pursued_end_promised internal/job/cancel.go \
	'return cancelUnknown(ctx.Err())' 'return unavailable(ctx.Err())' internal/job TestUnsettledCancelIsNotReportedNotDone
mutant unsettled_end_promised internal/job/cancel.go \
	'		if isUnsettled {' '		if false {' internal/job TestUnsettledCancelAtStopIsNotReportedNotDone
mutant first_claims_not_awaited internal/job/initialclaims.go \
	'	if s.hadCurrentClaims.Load() {' '	if true || s.hadCurrentClaims.Load() {' internal/job TestCallWaitsForFirstClaims
mutant confirmation_not_awaited internal/job/initialclaims.go \
	'	if s.hadCurrentClaims.Load() {' '	if s.followed > 0 || s.hadCurrentClaims.Load() {' internal/job TestCallWaitsForConfirmationOfFirstClaims
mutant stale_claims_awaited internal/job/initialclaims.go \
	'	if s.hadCurrentClaims.Load() {' '	if false {' internal/job TestStaleClaimsAreNotAwaited
mutant read_before_claims_believed internal/job/tenant.go \
	'	wasCurrent := s.hasCurrentClaims()' '	wasCurrent := s.hasCurrentClaims() || true' internal/job TestReadBeforeCurrentClaimsIsRepeated
mutant return_not_asked_for internal/job/buffering.go \
	'	case s.availability.Recheck(ctx):' '	case false:' internal/job TestLargeSubmissionAcceptedAfterStoreRecovery
mutant resent_job_refused_blindly internal/job/accept.go \
	'			refused = acceptanceUnknown(err)' '' internal/job TestResubmittedJobIsRefusedOnlyIfNew
mutant spilled_after_an_attempt internal/gateway/completions.go \
	'isUnserved && failure.From(err).NotRun' 'isUnserved' internal/gateway TestPossiblyRunRequestIsNotForwarded
mutant crash_alone_quarantines internal/quarantine/ledger.go \
	'l.weight(known) < known.needed*fullWeight' 'l.weight(known) < fullWeight' internal/quarantine TestThreeCrashesQuarantine
mutant explained_ends_accuse_others internal/quarantine/ledger.go \
	'		case l.attributed[instance] == 0:' '		case l.attributed[instance] >= 0:' internal/quarantine TestAttributedCrashesDoNotCountAgainstOthers
mutant culprits_hide_behind_others internal/quarantine/ledger.go \
	'		case !each.hadOutput:' '		case !each.hadOutput && l.attributed[instance] == 0:' internal/quarantine TestTwoCulpritsAtTheSameBackends
mutant evidence_not_spread internal/quarantine/guard.go \
	'	g.publish(counted)
	// Other' '	// Other' platform TestCrashingRequestQuarantined
mutant good_end_ignored internal/quarantine/guard.go \
	'	if isSuspect {' '	if isSuspect && false {' internal/quarantine TestSuccessLiftsQuarantine
mutant earlier_success_ignored internal/quarantine/guard.go \
	'	return isExcused
}' '	return false
}' internal/quarantine TestRecentSuccessExcusesSimultaneousCrashes
mutant good_end_excuses_all_later_ends internal/quarantine/successes.go \
	'	case now.Sub(group.began) > crashGroupTime:' '	case false:' internal/quarantine TestSuccessExcusesOneCrashGroup
mutant excused_ends_not_told internal/quarantine/guard.go \
	'	g.notify(excused)' '' internal/quarantine TestSuccessExcusesOneCrashGroup
mutant late_evidence_excused internal/quarantine/successes.go \
	'	case age > crashGroupTime:' '	case false:' internal/quarantine TestOldEvidenceIsNotExcused
mutant forwarded_call_outlives_its_caller internal/gateway/forward.go \
	'context.AfterFunc(watched, forwarded.close)' 'context.AfterFunc(context.Background(), forwarded.close)' internal/gateway TestDisconnectEndsForwardedAnswer
mutant quarantined_sent internal/serving/guarded.go \
	'if _, isQuarantined := s.guard.Verdict(attempt.Fingerprint, attempt.Parts); !isQuarantined {' 'if true {' internal/serving TestGuardedSenderRefusesQuarantined
mutant every_break_is_a_crash internal/serving/guarded.go \
	'	if !hasEnded {' '	if false {' platform TestBrokenAnswersAreNoEvidence
mutant items_suspected_of_crashes internal/quarantine/guard.go \
	'return run.IsItem })' 'return false })' internal/serving TestCrashIsNoEvidenceAgainstItems
mutant items_with_held_part_all_at_once internal/job/heldparts.go \
	'now.Sub(h.triedAt[verdict.Fingerprint]) >= heldPartTrialInterval' 'true' internal/job TestHeldPartIsTriedOneItemAtATime
mutant quarantined_sent_to_engines internal/engine/quarantine.go \
	'if _, isQuarantined := c.Quarantine.Verdict(run.Fingerprint, run.Parts); !isQuarantined {' 'if true {' internal/gateway TestCrashingRequestIsQuarantined
mutant silent_store_connections_kept platform/store.go \
	'			s.client.CloseIdleConnections()' '' platform TestSilentStoreConnectionsCostOneCall
mutant silent_back_end_connections_kept platform/sender.go \
	'			s.pool.discardIdle(attempt.Instance)' '' platform TestSilentBackendConnectionsCostOneRequest
mutant hangup_ends_a_start cmd/topazpulley/main.go \
	'	_ "topazpulley/internal/command/ignorehangup" // before packages that initialize slowly' '' cmd/topazpulley TestHangupIgnoredDuringStartup
mutant sleep_leaves_time internal/serving/exchange.go \
	'time.Until(e.end) - e.core.Clock.SleptSince(e.arrived)' 'time.Until(e.end)' internal/serving TestRemainingTimeExcludesSuspension
mutant old_time_told internal/serving/request.go \
	'	if a.TimeLeft != nil {' '	if false {' internal/serving TestNotSentWhenDeadlinePassedDuringSuspension
mutant asleep_timers_believed internal/boottime/deadline.go \
	'max(time.Until(e.deadline)-slept, 0)' 'max(time.Until(e.deadline), 0)' internal/serving TestRequestEndsAfterSuspensionPastDeadline
mutant only_ended_times_noticed internal/boottime/deadline.go \
	'	if e.isStopped {' '	if e.isStopped || slept < time.Until(e.deadline) {' internal/serving TestRequestEndsAfterSuspensionPastDeadline
mutant asleep_timers_believed_by_the_gateway internal/gateway/deadline.go \
	'g.Wakeups.WithDeadline(g.lifetime, deadline, request.arrivedMark)' 'context.WithDeadline(g.lifetime, deadline)' internal/gateway TestDeadlineAppliesAfterSuspension
mutant engines_waited_for_after_a_sleep internal/engine/send.go \
	'	case <-ctx.Done():' '	case <-context.Background().Done():' internal/gateway TestDeadlineAppliesAfterSuspension
mutant sent_after_a_sleep internal/gateway/deadline.go \
	'isBounded && time.Until(deadline)' 'isBounded && false && time.Until(deadline)' internal/gateway TestNothingIsSentAfterDeadlineInSuspension
mutant good_ends_outlive_sleep internal/quarantine/guard.go \
	'g.successesOf(fingerprint).record(fingerprint, g.Clock.Now())' 'g.successesOf(fingerprint).record(fingerprint, g.Clock.Now().Add(time.Hour))' internal/quarantine TestSuccessesExpireDuringSleep
mutant asleep_is_settled internal/table/grace.go \
	'return until.Sub(boottime.Instant(f.confirmed.Load()))' 'return until.Sub(f.Now())' internal/table TestSuspendDelaysSettling
mutant alone_as_if_few_were internal/ratelimit/share.go \
	'isolatedShare = 1.0' 'isolatedShare = 0.25' internal/ratelimit TestSharesStayWithinTolerance
mutant connection_used_twice_for_a_request platform/pool.go \
	'if !found.sent.contains(id) {' 'if true {' platform TestLateCopyOfRefusalIsNotBelieved
mutant comments_without_end platform/answer.go \
	'a.commentBytes > maxCommentBytes' 'false' platform TestBytesWithoutEndAreGivenUp
mutant rested_over_a_sleep platform/pool.go \
	'p.clock.Now() < last.usedUntil' 'last.usedUntil > 0' platform TestConnectionsIdleOverSuspendUnused
mutant line_breaks_written internal/httphead/write.go \
	'	w.note(CheckField(name, value))' '' platform TestInvalidAttemptNotSent
mutant bare_line_feeds_let_in internal/httphead/read.go \
	'if !bytes.HasSuffix(line, []byte(lineEnd)) {' 'if false {' platform TestMalformedHeadRefused
mutant items_not_checked platform/jobs.go \
	'return item, item.Check()' 'return item, nil' platform TestJobWithLineBreaksRefused
mutant stored_items_not_checked internal/job/dispatch.go \
	'	if waiting.malformed != nil {' '	if false {' internal/job TestMalformedStoredItemIsAbandoned/path
mutant readers_not_asked internal/job/attempt.go \
	'&attempt, max(tokens, 1))' '&attempt, 0)' platform TestStalledBackendGetsNoCanceledItems
mutant hop_fields_passed_on platform/requests.go \
	' && !options[field]' ' && !options[""]' platform TestValidHeadForwardedUnchanged
mutant bodies_behind_answers_to_head internal/httphead/write.go \
	'isToHead || IsBodyless(status)' 'IsBodyless(status)' platform TestHeadAnswerHasNoBody
mutant file_ids_are_paths internal/gateway/files.go \
	'err != nil || !hasPrefix' 'err != nil && !hasPrefix && false' internal/harness TestInvalidFileIDRejected
mutant wanted_end_not_told internal/job/cancelrequest.go \
	'if !isOpen ||' 'if isOpen ||' internal/job TestOwnerContinuesCancelAfterReceiverStops
mutant successor_not_told internal/job/cancelrequest.go \
	'recipient = s.peers.Successor(key.job)' 'recipient = ""' internal/job TestCancelAtOwnerContinuesAfterOwnerStops
mutant unknown_job_not_told internal/job/cancelrequest.go \
	'if !isOpen || recipient == s.self.Name' 'if recipient == s.self.Name' internal/job TestCancelOfUnknownJobContinuesAfterReceiverStops
mutant next_owner_not_told internal/job/cancel.go \
	'	s.notifyOwner(ctx, key)
	return backoff.sleep(ctx)' '	return backoff.sleep(ctx)' internal/job TestCancelRequestReachesNextOwner
mutant wanted_end_begins_anew internal/job/cancelrequest.go \
	'min(request.Remaining, cancelTimeout)' 'cancelTimeout' internal/job TestForwardedCancelRequestExpires
mutant early_end_forgotten internal/job/cancel.go \
	'return versionedClaim{}, s.voidCancelled(ctx, key)' 'return versionedClaim{}, err' internal/job TestCancelBeforeAcceptancePreventsRun
mutant early_end_not_refused internal/job/accept.go \
	'if tries > 1 && ' 'if false && ' internal/job TestCancelRefusesPendingSubmission
mutant early_end_refuses_for_ever internal/job/accept.go \
	'if tries > 1 && ' 'if ' internal/job TestCancelBeforeAcceptancePreventsRun
mutant early_end_of_any_tenant internal/job/voidrow.go \
	'v.IsCancelled && mayAccess(tenant, v.Tenant)' 'v.IsCancelled' internal/job TestOtherTenantsCancelKeepsPendingSubmission
mutant void_once_only internal/job/voidrow.go \
	'		existing = conflict.Row(tableVoid, id)' '		return err' internal/job TestReservationOfEarlyCanceledJobIsSwept
mutant origin_of_requests_not_logged internal/serving/exchange.go \
	'e.logSent(attempt)' '' platform TestRequestOriginLogged
mutant epoch_of_items_not_logged internal/job/dispatch.go \
	'"epoch", epoch, ' '"at", epoch, ' platform TestItemOriginLogged
mutant beginning_taken_for_whole internal/httphead/body.go \
	'len(body) > limit' 'false' platform TestTooLongAnswerFails
mutant chunks_for_old_callers platform/ingress.go \
	'respond.isHTTP10 = !c.request.Header.IsHTTP11()' 'respond.isHTTP10 = false' platform TestHTTP10CallerGetsNoChunks
mutant cut_forward_looks_whole internal/gateway/stream.go \
	'resetConnection(connection)' '' internal/gateway TestTruncatedForwardedAnswerIsIncomplete
mutant stream_has_one_write_timeout internal/gateway/stream.go \
	'SetWriteDeadline(' 'SetReadDeadline(' internal/gateway TestLongStreamOutlastsWriteTimeout
mutant gone_caller_not_noticed internal/gateway/presence.go \
	'if isClosedByCaller(connection) {' 'if false {' internal/harness TestDisconnectCancelsUnstreamedRequest
for part in test/mutants.d/*.sh; do
	[ ! -f "$part" ] || . "./$part"
done
[ "$failed" = 0 ] || echo "mutants not noticed:$unnoticed"
exit $failed
