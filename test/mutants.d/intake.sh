# Connections that are not taken, and backends without a free connection; mutants.sh sources this.
mutant crowd_is_taken internal/intake/gate.go \
	'if g.decided != "" &&' 'if false &&' platform TestCrowdAtOneDaemonIsServed
mutant no_connection_is_taken internal/intake/gate.go \
	'now.Sub(g.takenAt) < takenInterval' 'true' internal/intake TestSomeConnectionsAreAlwaysTaken
mutant shed_beside_full_others internal/intake/load.go \
	'!each.HasConnection && each.Others < roomShare*float64(each.Own)' '!each.HasConnection' internal/intake TestFullOnlyIfOthersHaveRoom
mutant shed_alone internal/intake/load.go \
	'if !l.HasPeers {' 'if false {' internal/intake TestFullOnlyIfOthersHaveRoom
mutant exhausted_backends_chosen internal/serving/connections.go \
	'			each.Closed = true' '' internal/serving TestBackendWithoutConnectionIsNotChosen
mutant missing_connections_not_seen internal/serving/connections.go \
	'return !exhausted[each] })' 'return each.ID != "" })' internal/serving TestIntakeLoadShowsMissingConnections
mutant ended_backends_chosen internal/serving/connections.go \
	'	if closed == 0 || usable > 0 {' '	if true {' internal/serving TestEndedBackendIsNoFreeConnection
mutant ended_backends_have_connections internal/backend/serviceload.go \
	' && !now.Before(known.ejectedUntil)' ' || now.Before(known.ejectedUntil)' internal/serving TestEndedBackendIsNoFreeConnection
mutant job_calls_closed_unread platform/intake.go \
	' || matched.Kind == route.KindJob || isJobCall(path)' ' || matched.Kind == route.KindJob && isJobCall("")' platform TestFullDaemonReadsJobCalls
