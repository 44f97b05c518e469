# Mechanisms of the order of waiting.
mutant waiting_late_asks_as_before internal/slotqueue/slotqueue.go \
	'if !request.IsOverdue() || fleet.FreedSlots <= 0 {' 'if true {' internal/slotqueue TestOverloadServesOnTimeRequests
mutant waiting_no_late_share internal/slotqueue/slotqueue.go \
	'overdue := max(target-onTime, (target+onTime)*overdueShare)' 'overdue := target + onTime' internal/slotqueue TestOverdueUsesSpareSlots
mutant waiting_never_crowded internal/slotqueue/slotqueue.go \
	'return s.MeanWait() > time.Duration(float64(objective)*overloadShare)' 'return false' internal/slotqueue TestOverloadServesOnTimeRequests
mutant waiting_late_hurries internal/slotqueue/slotqueue.go \
	'return max(pause, LongestPause)' 'return max(pause, OverduePause)' internal/slotqueue TestOverdueUsesSpareSlots
mutant waiting_alone internal/serving/await.go \
	'pause := slotqueue.Pause(request, fleet)' 'pause := slotqueue.PauseWithoutStats(request)' internal/serving TestLateRequestMakesWay
mutant waiting_queues_in_the_end internal/serving/await.go \
	'if ctx.Err() == nil && e.isTurnedAway() {' 'if false {' internal/serving TestLateRequestMakesWay
mutant waiting_turns_streams_away internal/serving/await.go \
	'e.lastEvent > 0 || e.ran.MayHaveRun() {' 'e.ran.MayHaveRun() {' internal/serving TestInterruptedStreamIsNotLate
mutant waiting_before_batch internal/serving/await.go \
	'if !fleet.IsOverloaded(e.request.Route.Objective) || e.mayPreempt() {' 'if !fleet.IsOverloaded(e.request.Route.Objective) {' internal/serving TestBatchItemsGiveWayBeforeAnyoneIsTurnedAway
mutant waiting_turns_runs_away internal/serving/await.go \
	'e.lastEvent > 0 || e.ran.MayHaveRun() {' 'e.lastEvent > 0 {' internal/serving TestRequestThatMayHaveRunIsNotTurnedAway
mutant waiting_switch internal/serving/await.go \
	'if !e.core.OrdersWaiting || e.lastEvent > 0 ||' 'if e.lastEvent > 0 ||' internal/serving TestOrderIsOffWhereItIsSwitchedOff
mutant waiting_sums_not_told internal/exchange/message.go \
	'QueueStats: queueStatsRecords(loads.queueStats)' 'QueueStats: []queueStatsRecord{}' internal/exchange TestQueueStatsRoundTrip
mutant waiting_sums_not_added internal/exchange/message.go \
	'l.queueStats = addQueueStats(l.queueStats, other.queueStats)' '' internal/exchange TestRelayAddsQueueStats
mutant waiting_own_sums_told_back internal/exchange/message.go \
	'queueStatsWithout(l.queueStats, part.queueStats)' 'l.queueStats' internal/exchange TestRelayAddsQueueStats
mutant waiting_never_leaves internal/backend/waiting.go \
	'delete(w.set.wait(w.service).onTimeUntil, w)' '' internal/backend TestSumsOfWhatWaits
mutant waiting_nothing_freed internal/backend/lease.go \
	'	if hadPlace {' '	if hadPlace && false {' internal/backend TestSumsOfWhatWaits
mutant waiting_peers_kept internal/backend/waiting.go \
	'delete(s.peerQueueStats, peer)' '' internal/backend TestSumsOfWhatWaits
mutant waiting_refused_frees_places internal/backend/lease.go \
	'	if hadPlace {' '	if hadPlace || true {' internal/backend TestSumsOfWhatWaits
