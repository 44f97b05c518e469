# Mutants of the room for batch items beside online requests; mutants.sh sources this.

mutant batch_reserve internal/batchcapacity/capacity.go \
	'Deferrable: sight.Load.freeSlots(reserve), Reserve' 'Deferrable: sight.Load.freeSlots(0), Reserve' internal/batchcapacity TestItemsThatCanWaitLeaveWhatRequestsNeed
mutant batch_rhythm_room internal/batchcapacity/capacity.go \
	'decided.Deferrable = min(decided.Deferrable, deferrableSlots(sight))' '' internal/batchcapacity TestItemsThatCanWaitLeaveRoomForTheBurst
mutant batch_rhythm_turns internal/batchcapacity/demand.go \
	'turns(d.levels[end-2*lag:]) < minPeriodTurns' 'false' internal/batchcapacity TestNoRhythmIsSeenWhereThereIsNone
mutant batch_missed_samples internal/batchcapacity/demand.go \
	'for range missed {' 'for range 0 * missed {' internal/batchcapacity TestMissedSamplesKeepTheTime
mutant batch_backlog internal/batchcapacity/capacity.go \
	'queued >= timing.Spare || ' '' internal/batchcapacity TestItemsWithTimeToSpareWait
mutant batch_excess_room internal/batchcapacity/excess.go \
	'load.Online+load.Batch+FreeSlotsNeeded(load)-load.Slots' 'load.Online+load.Batch' internal/batchcapacity TestItemsStayWhereRequestsFindPlaces
mutant batch_excess_rise internal/batchcapacity/excess.go \
	'load.Online += sight.Demand.Rise(sight.Age)' '' internal/batchcapacity TestExcessIsWhatOnlineWorkHasRisenTo
mutant batch_gives_once internal/job/rooms.go \
	'known.given < known.owed ||' 'known.owed > 0 ||' internal/job TestOwnersPreemptTheirShareOnce
mutant batch_shortage_not_seen internal/job/rooms.go \
	' || known.declined >= mostDeclined' '' internal/job TestItemsPreemptedAfterRepeatedRequests
mutant batch_items_stay internal/job/rooms.go \
	'if known.given < known.owed' 'if true || known.given < known.owed' internal/job 'TestPreemptionsPerItemAreBounded|TestItemsPreemptedAfterRepeatedRequests'
mutant batch_excess_must_stand internal/job/yielding.go \
	'if !isRoomy || crowding(candidate) == 0 {' 'if true {' internal/job TestExcessMustPersistWithFreeSlots
