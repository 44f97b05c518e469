package serving

import "log/slog"

// Framing is how the head of an answer delimits its body (RFC 9112 section 6.3).
type Framing string

// The framings. The zero value means that no head was read.
const (
	// FramingLength means that the head states the length, which may be zero.
	FramingLength Framing = "length"
	// FramingChunked means that the body is sent in chunks and ends with an empty one.
	FramingChunked Framing = "chunked"
	// FramingUntilClose means that the body ends when the backend closes the connection.
	FramingUntilClose Framing = "until_close"
)

// Stop is why reading an answer stopped.
type Stop string

// The reasons for which reading an answer stops. The zero value means that nothing stopped it.
const (
	// StopFramed means that the end that the framing announces was read.
	StopFramed Stop = "framed"
	// StopClosed means that the backend closed the connection (FIN).
	StopClosed Stop = "closed"
	// StopReset means that the connection was reset (RST).
	StopReset Stop = "reset"
	// StopLocal means that this daemon closed the connection: the caller or the time left.
	StopLocal Stop = "local"
	// StopTimeout means that nothing was received for too long.
	StopTimeout Stop = "timeout"
	// StopInvalid means that what was received is no valid answer.
	StopInvalid Stop = "invalid"
)

// Transfer is what was received of an answer.
type Transfer struct {
	Framing Framing
	Stop    Stop
	// IsStream is set if the answer was read as a series of events, and Events is the number of
	// whole events received, without comments.
	IsStream bool
	Events   int
	// PartialBytes is the number of bytes received of an event that did not end.
	PartialBytes int
	// Receipt tells on which connection the answer came and what shows that it is the attempt's.
	Receipt Receipt
}

// Receipt is what shows that an answer belongs to an attempt.
type Receipt struct {
	// Connection is the daemon's address on the connection; empty if none was made.
	Connection string
	// Requests and Reservations are the numbers of requests and of calls for reservations that the
	// connection had carried before.
	Requests, Reservations int
	// Skipped is the number of answers that came first and belonged to others.
	Skipped int
	// Status is the status of the answer; 0 if no head was read.
	Status int
	// IsNamed is set if the answer has the request's id.
	IsNamed bool
}

// LogValue implements slog.LogValuer.
func (t Transfer) LogValue() slog.Value {
	return slog.GroupValue(
		slog.String("framing", string(t.Framing)), slog.String("stop", string(t.Stop)), slog.Int("partial_bytes", t.PartialBytes), slog.String("ending", t.Ending().String()),
		slog.String("connection", t.Receipt.Connection), slog.Int("requests_before", t.Receipt.Requests), slog.Int("reservations_before", t.Receipt.Reservations),
		slog.Int("skipped", t.Receipt.Skipped), slog.Int("status", t.Receipt.Status), slog.Bool("named", t.Receipt.IsNamed))
}

// Ending returns what is known about the end of the answer.
func (t Transfer) Ending() Ending {
	switch {
	case t.Stop == "":
		return EndingNone
	case t.PartialBytes > 0:
		return EndingBroken
	case t.Stop == StopFramed:
		return EndingWhole
	case t.Framing == FramingUntilClose && t.Stop == StopClosed && !t.ClosedBeforeFirstEvent():
		return EndingPresumedWhole
	}
	return EndingBroken
}

// ClosedBeforeFirstEvent reports whether a stream that ends with its connection was closed without
// an event or a byte of one.
func (t Transfer) ClosedBeforeFirstEvent() bool {
	return t.IsStream && t.Framing == FramingUntilClose && t.Stop == StopClosed && t.Events == 0 && t.PartialBytes == 0
}

// Ending is what is known about the end of an answer.
type Ending uint8

// The endings.
const (
	// EndingNone means that the answer has not ended.
	EndingNone Ending = iota
	// EndingWhole means that the answer is whole by its framing.
	EndingWhole
	// EndingPresumedWhole means that the answer ended with its connection, which was its only
	// framing, and that nothing which was received shows that a part is missing. A stream with
	// events is presumed whole if it ended between two; one without events is not, because a
	// backend that crashes before its first event sends the same.
	EndingPresumedWhole
	// EndingBroken means that the answer was broken off.
	EndingBroken
)

// String returns the name used in logs and metrics.
func (e Ending) String() string {
	return [...]string{"none", "whole", "presumed_whole", "broken"}[e]
}
