# Mutants of items whose route ends; mutants.sh sources this.
mutant route_ended_by_an_old_configuration internal/job/dispatch.go \
	' || !confirmedAt.After(owner.startedAt)' '' internal/job TestItemsAreAbandonedWhenTheirRouteEnds
mutant unknown_route_is_an_ended_one internal/job/dispatch.go \
	' || !waiting.hadRoute' '' internal/job TestItemsWaitForRoutesThatAreNotKnownYet
mutant ended_route_not_noticed internal/job/dispatch.go \
	'return s.abandonWithoutRoute(waiting)' 'return false' internal/job TestItemsAreAbandonedWhenTheirRouteEnds
