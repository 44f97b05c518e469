package gateway

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// presencePoll is the pause between two looks at the connection of a caller that waits.
// The library that serves the connection tells nothing of it meanwhile; a look is one
// system call.
const presencePoll = 200 * time.Millisecond

// tcpEstablished is the state of a connection that neither side has closed
// (TCP_ESTABLISHED in Linux' net/tcp_states.h).
const tcpEstablished = 1

// callerLeftError ends the work for a caller that has closed its connection.
type callerLeftError struct{}

// Error implements error.
func (callerLeftError) Error() string { return "the caller closed the connection" }

// hasLeft reports whether the work's caller has closed its connection.
func hasLeft(ctx context.Context) bool {
	_, isLeft := context.Cause(ctx).(callerLeftError)
	return isLeft
}

// context returns the context of the call's work, which ends at the deadline. Unless
// the answer stays readable under a key, by which the caller may come back for it, it
// ends when the caller leaves: engines would work on for nobody.
func (c *caller) context(request onlineRequest, deadline time.Time, key string) (context.Context, context.CancelFunc) {
	bounded, cancel := c.gateway.untilDeadline(request, deadline)
	if key != "" {
		return bounded, cancel
	}
	watched, leave := context.WithCancelCause(bounded)
	go watchCaller(watched, c.call.Conn(), leave)
	return watched, cancel
}

// watchCaller calls leave when the connection is closed by its caller, and returns when
// the context ends.
func watchCaller(ctx context.Context, connection net.Conn, leave context.CancelCauseFunc) {
	ticker := time.NewTicker(presencePoll)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if isClosedByCaller(connection) {
				leave(callerLeftError{})
				return
			}
		}
	}
}

// isClosedByCaller reports whether the other side has closed the connection, or it was
// given up as lost. Bytes of a next request do not hide that.
func isClosedByCaller(connection net.Conn) bool {
	raw, hasRaw := bareConnection(connection).(syscall.Conn)
	if !hasRaw {
		return false
	}
	access, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	var info *unix.TCPInfo
	var failed error
	err = access.Control(func(descriptor uintptr) {
		info, failed = unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	return err == nil && failed == nil && info.State != tcpEstablished
}
