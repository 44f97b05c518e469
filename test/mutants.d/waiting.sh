# Mutants of the order in which waiting requests get slots; mutants.sh sources this.
mutant waiting_late_asks_as_before internal/slotqueue/slotqueue.go \
	'if !request.IsOverdue() || fleet.FreedSlots <= 0 {' 'if true {' internal/slotqueue TestOverloadServesOnTimeRequests
mutant waiting_no_late_share internal/slotqueue/slotqueue.go \
	'overdue := max(target-onTime, (target+onTime)*overdueShare)' 'overdue := target + onTime' internal/slotqueue TestOverdueUsesSpareSlots
mutant waiting_never_crowded internal/slotqueue/slotqueue.go \
	'return s.MeanWait() > time.Duration(float64(objective)*overloadShare)' 'return false' internal/slotqueue TestOverloadServesOnTimeRequests
mutant waiting_late_hurries internal/slotqueue/slotqueue.go \
	'return max(pause, LongestPause)' 'return max(pause, OverduePause)' internal/slotqueue TestOverdueUsesSpareSlots
mutant waiting_alone internal/serving/slotwait.go \
	'pause := slotqueue.Pause(request, fleet)' 'pause := slotqueue.PauseWithoutStats(request)' internal/serving TestOverdueRequestYieldsAndIsRejected
mutant waiting_queues_in_the_end internal/serving/slotwait.go \
	'if ctx.Err() == nil && e.rejectIfOverloaded() {' 'if false {' internal/serving TestOverdueRequestYieldsAndIsRejected
mutant waiting_turns_streams_away internal/serving/slotwait.go \
	'e.lastEvent > 0 || e.ran.MayHaveRun() {' 'e.ran.MayHaveRun() {' internal/serving TestInterruptedStreamIsNotOverdue
mutant waiting_before_batch internal/serving/slotwait.go \
	'if !fleet.IsOverloaded(e.request.Route.Objective) || e.mayPreempt() {' 'if !fleet.IsOverloaded(e.request.Route.Objective) {' internal/serving TestBatchItemsPreemptedBeforeRejection
mutant waiting_turns_runs_away internal/serving/slotwait.go \
	'e.lastEvent > 0 || e.ran.MayHaveRun() {' 'e.lastEvent > 0 {' internal/serving TestRequestThatMayHaveRunIsNotRejected
mutant waiting_switch internal/serving/slotwait.go \
	'if !e.core.OrdersWaiting || e.lastEvent > 0 ||' 'if e.lastEvent > 0 ||' internal/serving TestOrdersWaitingDisabled
mutant waiting_sums_not_told internal/exchange/message.go \
	'QueueStats: queueStatsRecords(loads.queueStats)' 'QueueStats: []queueStatsRecord{}' internal/exchange TestQueueStatsRoundTrip
mutant waiting_sums_not_added internal/exchange/message.go \
	'l.queueStats = addQueueStats(l.queueStats, other.queueStats)' '' internal/exchange TestRelayAddsQueueStats
mutant waiting_own_sums_told_back internal/exchange/message.go \
	'queueStatsWithout(l.queueStats, part.queueStats)' 'l.queueStats' internal/exchange TestRelayAddsQueueStats
mutant waiting_never_leaves internal/backend/waiting.go \
	'delete(w.set.queueOf(w.service).onTimeUntil, w)' '' internal/backend TestQueueStats
mutant waiting_nothing_freed internal/backend/lease.go \
	'	if hadSlot {' '	if hadSlot && false {' internal/backend TestQueueStats
mutant waiting_peers_kept internal/backend/waiting.go \
	'delete(s.peerQueueStats, peer)' '' internal/backend TestQueueStats
mutant waiting_refused_frees_places internal/backend/lease.go \
	'	if hadSlot {' '	if hadSlot || true {' internal/backend TestQueueStats
