# Mutants of the exchange of state, complete or in sections, in large fleets; mutants.sh sources this.
mutant whole_table_outgrown internal/table/resize.go \
	'return rows > maxFullTableRows' 'return false' internal/table TestSectionFollowsTableSize
mutant part_told_as_the_whole internal/table/replica.go \
	'if r.section.IsPart {' 'if false {' internal/table TestReplicaOfSection
mutant changes_elsewhere_kept internal/table/replica.go \
	'kept := r.section.Of(rows)' 'kept := rows' internal/table TestFollowerOfSection
mutant gap_at_a_second_read internal/table/resize.go \
	'isUpstream := f.Upstream != nil && f.Upstream.Serves()' 'isUpstream := false' internal/table TestRereadLeavesNoGapInChanges
mutant part_of_the_changes_told_on internal/table/replica.go \
	'r.store(rows, version)
	r.recent.reset(version)' 'r.store(rows, version)' internal/table TestReplicaOfSection
mutant part_given_as_a_copy internal/frontend/source.go \
	'if !isOffered || offered.replica.Section().IsPart {' 'if !isOffered {' internal/frontend TestSectionIsNotServedAsCompleteTable
mutant section_never_grows internal/frontend/section.go \
	'isShort := isOverloaded ||' 'isShort := false &&' internal/frontend TestSectionWidensWhenShort
mutant rare_services_forgotten internal/frontend/section.go \
	'if usable[service] < p.wantedOf(service) {' 'if usable[service] < 0 {' internal/frontend TestSectionHasEnoughOfEachService
mutant all_told_directly internal/topology/topology.go \
	'if other != daemon && distance <= width*sectionMargin {' 'if other != daemon {' internal/topology TestNeighborsAreBounded
mutant two_upstreams_for_any_zone internal/topology/topology.go \
	'return max(needed, minUpstreams)' 'return max(min(needed, 1), minUpstreams)' internal/topology TestUpstreamCount
mutant bulk_gossiped internal/membership/sync.go \
	'if len(members) < bulkMembers {' 'if true {' internal/membership/simulation TestLargeSimultaneousStartConverges
mutant schema_changed internal/quota/messages.go \
	'"name":"' '"name":"x' internal/command TestSchemasMatchTestdata
mutant refusing_upstream_not_passed_by internal/frontend/upstream.go \
	'upstreamTries = 3' 'upstreamTries = 1' internal/frontend TestRefusingUpstreamIsSkipped
mutant all_read_all_claims internal/table/follower.go \
	'f.hasManyPartitions = len(partitions) > deferThreshold' 'f.hasManyPartitions = false' internal/table TestReadOfManyPartitionsIsDeferred
