# Mutants of the room for batch items beside online requests; mutants.sh sources this.

mutant batch_reserve internal/batchroom/room.go \
	'Lasting: sight.Load.room(reserve), Reserve' 'Lasting: sight.Load.room(0), Reserve' internal/batchroom TestItemsThatCanWaitLeaveWhatRequestsNeed
mutant batch_rhythm_room internal/batchroom/room.go \
	'decided.Lasting = min(decided.Lasting, lastingRoom(sight))' '' internal/batchroom TestItemsThatCanWaitLeaveRoomForTheBurst
mutant batch_rhythm_turns internal/batchroom/demand.go \
	'turns(d.levels[end-2*lag:]) < rhythmTurns' 'false' internal/batchroom TestNoRhythmIsSeenWhereThereIsNone
mutant batch_missed_samples internal/batchroom/demand.go \
	'for range missed {' 'for range 0 * missed {' internal/batchroom TestMissedSamplesKeepTheTime
mutant batch_backlog internal/batchroom/room.go \
	'queued >= timing.Spare || ' '' internal/batchroom TestItemsWithTimeToSpareWait
mutant batch_excess_room internal/batchroom/giveway.go \
	'load.Online+load.Batch+Roomy(load)-load.Slots' 'load.Online+load.Batch' internal/batchroom TestItemsStayWhereRequestsFindPlaces
mutant batch_excess_rise internal/batchroom/giveway.go \
	'load.Online += sight.Demand.Rise(sight.Age)' '' internal/batchroom TestExcessIsWhatOnlineWorkHasRisenTo
mutant batch_gives_once internal/job/rooms.go \
	'known.given < known.owed ||' 'known.owed > 0 ||' internal/job TestOwnersGiveTheirPartOfAnExcessOnce
mutant batch_shortage_not_seen internal/job/rooms.go \
	' || known.declined >= mostDeclined' '' internal/job TestItemsGiveWayToAShortageThatIsNotSeen
mutant batch_items_stay internal/job/rooms.go \
	'if known.given < known.owed' 'if true || known.given < known.owed' internal/job 'TestItemsStepAsideOnce|TestItemsGiveWayToAShortageThatIsNotSeen'
mutant batch_excess_must_stand internal/job/yielding.go \
	'if !isRoomy || crowding(candidate) == 0 {' 'if true {' internal/job TestExcessMustStandWhereThereIsRoom
