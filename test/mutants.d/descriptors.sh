# Mutants of the servers' behavior without file descriptors; mutants.sh sources this.
mutant accept_failure_ends_server internal/acceptor/acceptor.go \
	'		case errors.Is(err, net.ErrClosed):' '		case errors.Is(err, net.ErrClosed) || err != nil:' internal/acceptor TestAcceptGoesOnAfterFailures
mutant readiness_ends_at_accept_failure platform/serve.go \
	'		d.listeners = append(d.listeners, acceptor.Retrying(listener, d.log))' '		_ = acceptor.Retrying
		d.listeners = append(d.listeners, listener)' platform TestServesAgainAfterDescriptorsRanOut
mutant peers_end_at_accept_failure internal/peer/transport.go \
	'		time.Sleep(restartPause)' '		return' platform TestServesAgainAfterDescriptorsRanOut
