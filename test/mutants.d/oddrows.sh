# Mutants of rows that other writers damaged; mutants.sh sources this.
mutant damaged_row_hides_others platform/storeanswer.go \
	'if json.Unmarshal(body, &answer) != nil {' 'if err = json.Unmarshal(body, &answer); false {' platform TestDamagedRowHidesNoOthers
mutant damaged_key_continues_the_read internal/table/paging.go \
	'return !strings.Contains(key, replacement)' 'return key != ""' internal/table TestReadGoesOnAfterDamagedKeys
mutant damaged_page_is_read_for_ever internal/table/paging.go \
	'strings.ReplaceAll(last, replacement, "\xff") + "\x00"
	if next <= from {' 'last + "\x00"
	if next < "" {' internal/table TestReadGoesOnAfterDamagedKeys
mutant odd_checkpoint_stops_the_takeover internal/job/progress.go \
	'				unreadable++
' '				return nil, err
' internal/job 'TestOddCheckpointDoesNotStopTakeover/empty'
mutant odd_checkpoint_counts_as_progress internal/job/progress.go \
	'if read.LastEvent < 0 {' 'if false {' internal/job 'TestOddCheckpointDoesNotStopTakeover/event'
mutant names_in_addresses_resolved internal/peer/link.go \
	'if !IsAddress(address) {' 'if address == "" {' internal/peer TestNamesInAddressesAreNotResolved
mutant odd_addresses_are_daemons internal/frontend/peers.go \
	'if row.Key != self && peer.IsAddress(address) {' 'if row.Key != self {' internal/frontend TestOddAddressesAreNoDaemons
mutant numbers_converted_as_they_come platform/config.go \
	'	return time.Duration(bounded(value, float64(maxDuration/time.Millisecond)) * float64(time.Millisecond))' '	return time.Duration(value * float64(time.Millisecond))' platform TestNumbersTooLargeInConfiguration
mutant header_limit_without_a_bound platform/config.go \
	'min(wire.Limits.HeaderBytes, maxHeaderBytes)' 'min(wire.Limits.HeaderBytes, 1<<16*maxHeaderBytes)' platform TestHeaderAndBodyLimitsAreBounded
mutant changes_too_large_are_asked_for_again platform/store.go \
	'if errors.As(err, &long) {
		// The same' 'if err == nil && errors.As(err, &long) {
		// The same' platform TestChangesTooLargeAreReadAsTable
mutant odd_keys_in_the_keyspace internal/table/keyspace.go \
	'	first = typicalKeys(first)
' '' internal/table TestOddKeysBesideThoseOfBackends
mutant odd_claim_is_not_listed internal/job/claims.go \
	'		if isClaimRow(row) {
			claims' '		if read := s.decodeClaim(row); read.claim != (claim{}) {
			claims' internal/job 'TestOddClaimDoesNotStopTakeover/empty_follower_false'
mutant odd_claim_change_is_ignored internal/job/claims.go \
	'	s.claims[row.Key] = s.decodeClaim(row)' '	if read := s.decodeClaim(row); read.claim != (claim{}) {
		s.claims[row.Key] = read
	}' internal/job 'TestOddClaimDoesNotStopTakeover/empty_follower_true'
mutant stray_claims_stay internal/job/takeover.go \
	'if !failure.Is(cause, failure.KindNotFound) {' 'if failure.Is(cause, failure.KindNotFound) {' internal/job TestClaimWithoutJobIsRemoved
