// Package intake decides whether a daemon takes a caller's new connection.
//
// What is in front of the daemons may hand most new connections to one of them, while each daemon
// has the same share of the backends' connections. A daemon that has none left, while others do,
// closes new connections with their first request unread: the caller knows that nothing ran, and
// connects to another daemon. If the others are as full, it takes the connection: a refusal tells the
// caller when to come back, a closed connection does not.
package intake

import "time"

const (
	// fullShare is the share of a daemon's requests from which a service without free
	// connections makes the daemon full.
	fullShare = 0.25
	// roomShare is the share of this daemon's load below which the mean load of others shows that
	// they have free connections.
	roomShare = 0.85
	// idleShare is the same for the processor. A daemon that is slow for another reason than its
	// callers has more requests in flight than others, too.
	idleShare = 0.5
	// LongDelay is the delay of accepted connections from which the processor is overloaded.
	LongDelay = 100 * time.Millisecond
)

// ServiceLoad is the load of a service's backends.
type ServiceLoad struct {
	Service string
	// Share is the share of this daemon's recent requests that go to the service.
	Share float64
	// HasConnection reports whether this daemon may send another request to some backend.
	HasConnection bool
	// Own is the number of this daemon's requests in flight, and Others the mean number of the
	// other daemons'.
	Own    int
	Others float64
}

// Load is what a daemon knows of its load and of that of others.
type Load struct {
	Services []ServiceLoad
	// HasPeers reports whether there are other daemons.
	HasPeers bool
	// StartDelay is the mean time between the acceptance of a connection and the first step of
	// its goroutine: how long work waits for the processor.
	StartDelay time.Duration
}

// Reason says why a connection is not taken. It is empty if the connection is taken.
type Reason string

// The reasons for which connections are not taken.
const (
	ReasonNoConnection Reason = "no_connection"
	ReasonProcessor    Reason = "processor"
)

// Full returns why the daemon takes no connection that another one could serve.
func (l Load) Full() Reason {
	if !l.HasPeers {
		return ""
	}
	withoutConnection, own, others := 0.0, 0, 0.0
	for _, each := range l.Services {
		own += each.Own
		others += each.Others
		if !each.HasConnection && each.Others < roomShare*float64(each.Own) {
			withoutConnection += each.Share
		}
	}
	switch {
	case withoutConnection >= fullShare:
		return ReasonNoConnection
	case l.StartDelay >= LongDelay && others < idleShare*float64(own):
		return ReasonProcessor
	}
	return ""
}
