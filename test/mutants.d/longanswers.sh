# Mutants of the memory of long answers; mutants.sh sources this.
mutant length_beyond_bound_read platform/answer.go \
	'	if length > httphead.AnswerBytes {' '	if false {' platform TestAnswerBeyondTheBoundIsNotRead
mutant long_answers_without_share internal/memory/account.go \
	'	if size > AssuredBytes &&' '	if false &&' internal/memory TestLongAnswersWaitForTheirShare
mutant wait_for_memory_is_silence internal/serving/relay.go \
	'	if !mayWait || !long.IsLong() {' '	if mayWait || !long.IsLong() {' platform TestAnswersThatWaitForMemoryAreNotTheBackendsFault/safe
