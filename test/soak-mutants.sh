#!/bin/sh
# Removes one mechanism at a time, in a scratch copy, and expects the soak run to
# detect it within the given seconds per mutant. Not part of the tests: it takes minutes
# and uses new random seeds. Names after the seconds select mutants:
#   test/soak-mutants.sh 240 other_body other_id
# With --check it only checks that the text that each mutant replaces is in its file.
set -eu
cd "$(dirname "$0")/.."
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
failed=0
misquoted=0
isCheck=false
[ "${1:-}" != --check ] || { isCheck=true && shift; }
limit=${1:-240}
[ $# -eq 0 ] || shift
chosen=$*

# restore restores the original files.
restore() { git ls-files -co --exclude-standard -- ':!journal' | tar -cf - -T - | tar -xf - -C "$work"; }
$isCheck || restore

# replace FILE OLD NEW
replace() {
	if ! OLD=$2 perl -0ne 'exit(index($_, $ENV{OLD}) < 0)' "$1"; then
		echo "soak_mutant file=$1 verdict=NOT_FOUND text=$2"
		misquoted=1
	fi
	$isCheck || OLD=$2 NEW=$3 perl -0pi -e 's/\Q$ENV{OLD}\E/$ENV{NEW}/' "$work/$1"
}

# soak NAME [PLAY] plays new seeds until one violates a guarantee or limit seconds have passed.
soak() {
	$isCheck && return
	[ $misquoted = 0 ] || exit 1
	case " $chosen " in "  " | *" $1 "*) ;; *) restore && return ;; esac
	verdict=SURVIVED
	(cd "$work" && go build -o bin/ ./cmd/...)
	began=$(date +%s)
	while [ $(($(date +%s) - began)) -lt "$limit" ]; do
		if ! (cd "$work" && ./bin/topazbench soak --total 1s ${2:+--play "$2"}) >"$work/log" 2>&1; then
			verdict=$(grep -m1 -o 'promise="[^"]*"' "$work/log" || echo DID_NOT_RUN)
			break
		fi
	done
	case $verdict in SURVIVED | DID_NOT_RUN) failed=1 ;; esac
	at=$(grep -m1 -o 'at_ms=[0-9]*' "$work/log" || true)
	seed=$(grep -o 'soak seed=[0-9]*' "$work/log" | tail -1 || true)
	logs=$(grep -o 'logs directory=.*' "$work/log" | tail -1 || true)
	echo "soak_mutant name=$1 seconds=$(($(date +%s) - began)) verdict=$verdict last_seed_$at $seed $logs"
	restore
}

replace internal/table/absence.go 'until := c.presentAt.Add(bounds.Present)' 'until := now.Add(bounds.Present)'
soak grace_counts_from_the_arrival departures

replace internal/serving/stop.go 'if e.core.Stop.Admits(now, need) {' 'if true {'
soak late_work_taken stops

replace internal/stopping/stopping.go 'case p.wasReadLate(need) && need.Risk > RiskRetry:' 'case false:'
soak late_work_taken_by_habit stops

replace platform/transfer.go 'case a.isRequestCut():' 'case false:'
soak part_of_an_early_answer_is_whole

replace internal/httphead/joined.go 'if isFirst && !answerLine.Match(line) {' 'if false && !answerLine.Match(line) {'
soak status_zero_is_a_success

replace internal/serving/exchange.go 'if !isAllowed {' 'if isAllowed == e.hasBegun && e.hasBegun {'
soak no_not_run_rule

replace internal/serving/exchange.go 'LastEvent: e.lastEvent, Software:' 'LastEvent: 0, Software:'
replace internal/serving/relay.go 'event.ID != 0 && event.ID != e.lastEvent+1' 'false'
soak no_resume_check

replace internal/job/commit.go 'Conditions: []table.Condition{{Table: tableClaim, Key: o.job.ID, Version: o.claim.version}},
	}
	size := 0' 'Conditions: []table.Condition{},
	}
	size := 0'
replace internal/job/commit.go 'transaction.Conditions = append(transaction.Conditions, table.Condition{Table: tableResult, Key: key})' ''
soak no_fence

replace internal/job/permit.go '	case isDropped:' '	case isDropped && age < 0:'
replace internal/job/permit.go 'case age > claimsAgeLimit:' 'case age < 0:'
replace internal/job/permit.go 'case s.cancellations.isBlocked(' 'case age < 0 && s.cancellations.isBlocked('
replace internal/job/permit.go 'isStale := age > claimsAgeLimit' 'isStale := age < 0'
replace internal/job/claims.go 'isLost = owned != nil && row.Version > owned.claim.version' 'isLost = owned == nil && row.Version < 0'
replace internal/job/claims.go 'case !exists:
			lost[id] = dropClaimRemoved' 'case !exists:'
replace internal/job/claims.go 'isEnded := owned != nil && owned.claim.version <= version' 'isEnded := owned != nil && version < 0'
soak runs_on_after_its_end

replace internal/job/cancel.go 'func(ctx context.Context) error {
			s.notifyOwner(ctx, key)' 'func(context.Context) error {
			s.notifyOwner(ctx, key)'
soak end_forgotten_with_its_caller

# The following mutants change what a backend receives of a request, or reuse its
# connection too early.
replace platform/sender.go 'httphead.NewRequest(attempt.Method, attempt.Target,' 'httphead.NewRequest(attempt.Method, attempt.Target+"?x=1",'
soak other_target

replace platform/sender.go 'request.Whole(attempt.Body)' 'request.Whole([]byte(strings.Repeat("z", len(attempt.Body))))'
soak other_body

replace platform/sender.go 'if !isManagedField(field.Name) {' 'if !isManagedField(field.Name) && field.Name != headerPrompt && field.Name != "X-Topazpulley-Model" {'
soak dropped_fields

replace platform/sender.go 'request.Field(headerRequestID, attempt.ID)' 'request.Field(headerRequestID, attempt.ID+"-x")'
soak other_id

replace platform/answer.go 'return false // answered before the complete request was read' 'return true'
soak reused_early

# The following mutants continue streams at any software version, or none that is taken up.
replace internal/serving/core.go 'request.pin.allowed(c.Backends.Candidates(request.Service, request.Prompt, time.Now()))' 'c.Backends.Candidates(request.Service, request.Prompt, time.Now())'
replace internal/serving/guarded.go 'if attempt.isAtOtherSoftware() {' 'if false {'
replace internal/serving/relay.go 'if isFirst && e.isOtherSoftware() {' 'if false {'
soak streams_of_two_versions

replace internal/streamorigin/keeper.go 'origin, finding := known.decide()' 'origin, finding := Origin{}, FindingUnknown'
soak streams_not_taken_up

# The following mutants take streams that broke off for whole ones.
replace internal/serving/transfer.go '	case t.PartialBytes > 0:' '	case false:'
soak cut_events_are_whole

replace internal/serving/transfer.go ' && !t.ClosedBeforeFirstEvent()' ''
soak empty_streams_are_whole

replace platform/responder.go '	if r.isHTTP10 {
		httphead.ResetOnClose(r.connection.Conn)
	}' ''
soak killed_daemons_end_streams

# The following mutants let a prompt part crash backends on, hold sound requests, or take a crowd.
replace internal/quarantine/guard.go 'return g.ledger.PartsVerdict(parts, now)' 'return Verdict{}, false'
soak parts_not_judged

replace internal/quarantine/cluster.go '	for _, member := range p.node.Members() {
		if member.Name != self {' '	for _, member := range p.node.Members() {
		if member.Name == self {'
replace internal/quarantine/cluster.go 'p.recorder.Write(notice.Evidence)' '_ = notice'
soak evidence_not_told

replace internal/quarantine/guard.go '	for _, part := range parts {
		g.recordSuccess(part)
	}' '	_ = parts'
replace internal/quarantine/ledger.go '	return unexplained < unexplainedCrashes' '	return false'
soak sound_parts_held

replace internal/intake/load.go 'case withoutConnection >= fullShare:' 'case withoutConnection > 1:'
soak crowd_is_taken

# The following mutants end answers because their sound backend is silent.
replace internal/serving/standby.go '	found := running.worker' '	s.endAttempt()
	found := running.worker'
soak ended_before_another_is_found

replace internal/serving/exchange.go '	if e.outlivesRefusals() {
		e.pace(ctx)' '	if false {
		e.pace(ctx)'
soak begun_answers_bounded_like_others

replace internal/serving/relay.go 'if isFirst && e.isOtherSoftware() {' 'if e.isOtherSoftware() {'
replace internal/backend/software.go '	if isListed && listed.Version != chosen.Version {' '	if !isListed || listed.Version != chosen.Version {'
soak version_of_begun_stream_read_from_rows
[ $misquoted = 0 ] || exit 1
exit $failed
