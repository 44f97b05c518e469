# Mutants of the memory of long answers; mutants.sh sources this.
mutant length_beyond_bound_read platform/answer.go \
	'	if length > httphead.AnswerBytes {' '	if false {' platform TestAnswerBeyondTheBoundIsNotRead
mutant long_answers_without_share internal/memory/account.go \
	'	if size > AssuredBytes &&' '	if false &&' internal/memory TestLongAnswersWaitForTheirShare
