# Mutants of the ways in which a request that was read ends without an answer; mutants.sh sources this.
mutant deadline_of_requests_ended platform/ingress.go \
	'	c.idle.Lock()
	defer c.idle.Unlock()
	c.isIdle = false' '	c.isIdle = false' platform TestShutdownEndsNoRequestThatBegins
mutant idle_end_without_last_look platform/ingress.go \
	'	if isTimeout(err) && c.hasUnread() {' '	if false {' platform TestRequestBesideIdleEndIsAnswered
