package table

import "time"

// Source is the kind of sender from which a follower received rows.
type Source string

// The sources.
const (
	// SourceStore is the store itself.
	SourceStore Source = "store"
	// SourceUpstream is the daemon that is followed instead of the store.
	SourceUpstream Source = "upstream"
	// SourcePeer is another daemon that was asked because the table was out of date.
	SourcePeer Source = "peer"
)

// Origin describes the rows that a Consumer is receiving.
type Origin struct {
	Source Source
	// Daemon is the sender's address; empty for the store.
	Daemon string
	// Unconfirmed is Follower.Age before these rows: an upper bound of how late they are.
	Unconfirmed time.Duration
}

// Origin returns the origin of the rows that the consumer received last. It is set before the
// consumer is called.
func (f *Follower) Origin() Origin {
	last := f.origin.Load()
	if last == nil {
		return Origin{}
	}
	return *last
}

// receiveFrom records the origin and size of the rows that the consumer receives next.
func (f *Follower) receiveFrom(source Source, daemon string, rows []Row) {
	f.origin.Store(&Origin{Source: source, Daemon: daemon, Unconfirmed: f.Age()})
	if len(rows) > 0 && f.BytesPerSecond > 0 {
		f.transfer.record(rows, f.BytesPerSecond, time.Now())
	}
}
