# Mutants of the batch capacity beside online requests; mutants.sh sources this.

mutant batch_reserve internal/batchcapacity/capacity.go \
	'Deferrable: observed.Load.freeSlots(reserve), Reserve' 'Deferrable: observed.Load.freeSlots(0), Reserve' internal/batchcapacity TestReservePolicyKeepsSlotsFree
mutant batch_rhythm_room internal/batchcapacity/capacity.go \
	'decided.Deferrable = min(decided.Deferrable, deferrableSlots(observed))' '' internal/batchcapacity TestPeriodicPolicyKeepsSlotsForBurst
mutant batch_rhythm_turns internal/batchcapacity/demand.go \
	'transitions(d.levels[end-2*lag:]) < minTransitions' 'false' internal/batchcapacity TestNoPeriodIsDetectedWithoutOne
mutant batch_missed_samples internal/batchcapacity/demand.go \
	'for range missed {' 'for range 0 * missed {' internal/batchcapacity TestMissedSamples
mutant batch_backlog internal/batchcapacity/capacity.go \
	'queued >= timing.Spare || ' '' internal/batchcapacity TestMustRun
mutant batch_excess_room internal/batchcapacity/excess.go \
	'load.Online+load.Batch+FreeSlotsNeeded(load)-load.Slots' 'load.Online+load.Batch' internal/batchcapacity TestNoExcessWithFreeSlots
mutant batch_excess_rise internal/batchcapacity/excess.go \
	'load.Online += observed.Demand.Rise(observed.Age)' '' internal/batchcapacity TestExcessFollowsOnlineRise
mutant batch_gives_once internal/job/capacitytracker.go \
	'known.preempted < known.toPreempt ||' 'known.toPreempt > 0 ||' internal/job TestOwnersPreemptTheirShareOnce
mutant batch_shortage_not_seen internal/job/capacitytracker.go \
	' || known.declined >= maxDeclined' '' internal/job TestItemsPreemptedAfterRepeatedRequests
mutant batch_items_stay internal/job/capacitytracker.go \
	'if known.preempted < known.toPreempt' 'if true || known.preempted < known.toPreempt' internal/job 'TestPreemptionsPerItemAreBounded|TestItemsPreemptedAfterRepeatedRequests'
mutant batch_excess_must_stand internal/job/preemption.go \
	'if !hasFreeSlots || batchExcess(candidate) == 0 {' 'if true {' internal/job TestExcessMustPersistWithFreeSlots
