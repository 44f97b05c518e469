package serving_test

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/serving"
)

// Guards against items that lose their events where back ends reset connections or go silent.
func TestOnlyUnframedCloseIsClosedBeforeFirstEvent(t *testing.T) {
	closed := serving.Transfer{Framing: serving.FramingUntilClose, Stop: serving.StopClosed, IsStream: true}
	require.True(t, closed.ClosedBeforeFirstEvent())
	for _, stop := range []serving.Stop{serving.StopReset, serving.StopLocal, serving.StopTimeout, serving.StopFramed} {
		other := closed
		other.Stop = stop
		require.False(t, other.ClosedBeforeFirstEvent(), stop)
	}
	closed.Framing = serving.FramingChunked
	require.False(t, closed.ClosedBeforeFirstEvent())
}

// Guards against readers that take what ended a connection for how the attempt ended.
func TestCauseOfAttemptErrorIsNotInItsChain(t *testing.T) {
	for _, cause := range []error{io.EOF, net.ErrClosed, context.Canceled} {
		var failed error = &serving.AttemptError{Outcome: serving.OutcomeUnknown, Reason: serving.ReasonBroken, Cause: cause}
		require.False(t, errors.Is(failed, cause), cause)
	}
}

func TestEndingOfTransfer(t *testing.T) {
	for _, each := range []struct {
		name     string
		transfer serving.Transfer
		ending   serving.Ending
	}{
		{"not ended", serving.Transfer{Framing: serving.FramingChunked}, serving.EndingNone},
		{"framed", serving.Transfer{Framing: serving.FramingChunked, Stop: serving.StopFramed}, serving.EndingWhole},
		{"framed inside an event", serving.Transfer{Framing: serving.FramingLength, Stop: serving.StopFramed, PartialBytes: 1}, serving.EndingBroken},
		{"closed before the framed end", serving.Transfer{Framing: serving.FramingLength, Stop: serving.StopClosed}, serving.EndingBroken},
		{"closed without another end", serving.Transfer{Framing: serving.FramingUntilClose, Stop: serving.StopClosed}, serving.EndingPresumedWhole},
		{"closed inside an event", serving.Transfer{Framing: serving.FramingUntilClose, Stop: serving.StopClosed, PartialBytes: 9}, serving.EndingBroken},
		{"closed between events", serving.Transfer{Framing: serving.FramingUntilClose, Stop: serving.StopClosed, IsStream: true, Events: 1}, serving.EndingPresumedWhole},
		{"closed before the first event", serving.Transfer{Framing: serving.FramingUntilClose, Stop: serving.StopClosed, IsStream: true}, serving.EndingBroken},
		{"framed without events", serving.Transfer{Framing: serving.FramingChunked, Stop: serving.StopFramed, IsStream: true}, serving.EndingWhole},
		{"reset", serving.Transfer{Framing: serving.FramingUntilClose, Stop: serving.StopReset}, serving.EndingBroken},
		{"closed here", serving.Transfer{Framing: serving.FramingUntilClose, Stop: serving.StopLocal}, serving.EndingBroken},
		{"silent", serving.Transfer{Framing: serving.FramingUntilClose, Stop: serving.StopTimeout}, serving.EndingBroken},
		{"malformed", serving.Transfer{Framing: serving.FramingChunked, Stop: serving.StopInvalid}, serving.EndingBroken},
		{"closed before a head", serving.Transfer{Stop: serving.StopClosed}, serving.EndingBroken},
	} {
		require.Equal(t, each.ending, each.transfer.Ending(), each.name)
	}
}
