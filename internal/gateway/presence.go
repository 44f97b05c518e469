package gateway

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"topazpulley/internal/httphead"
)

// presencePollInterval is the interval of checks whether a waiting caller is still
// connected. fasthttp does not report disconnects while a handler runs. A check is one
// system call.
const presencePollInterval = 200 * time.Millisecond

// tcpEstablished is TCP_ESTABLISHED of Linux's net/tcp_states.h.
const tcpEstablished = 1

// callerLeftError is the cause of a context that ended because the caller closed its
// connection.
type callerLeftError struct{}

// Error implements error.
func (callerLeftError) Error() string { return "the caller closed the connection" }

// hasCallerLeft reports whether the context ended because the caller closed its
// connection.
func hasCallerLeft(ctx context.Context) bool {
	_, hasLeft := context.Cause(ctx).(callerLeftError)
	return hasLeft
}

// context returns the context of a request, which ends at the deadline. Without an
// idempotency key it also ends when the caller disconnects. With a key, the caller may
// ask for the answer later.
func (c *caller) context(request onlineRequest, deadline time.Time, key string) (context.Context, context.CancelFunc) {
	bounded, cancel := c.gateway.deadlineContext(request, deadline)
	if key != "" {
		return bounded, cancel
	}
	watched, endWork := context.WithCancelCause(bounded)
	go watchCaller(watched, c.call.Conn(), endWork)
	return watched, cancel
}

// watchCaller calls cancel when the caller closes the connection. It returns then or
// when the context ends.
func watchCaller(ctx context.Context, connection net.Conn, cancel context.CancelCauseFunc) {
	ticker := time.NewTicker(presencePollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if isClosedByCaller(connection) {
				cancel(callerLeftError{})
				return
			}
		}
	}
}

// isClosedByCaller reports whether the other side has closed the connection or the
// connection is lost. Unread bytes of a pipelined request do not affect the result.
func isClosedByCaller(connection net.Conn) bool {
	raw, hasRaw := httphead.Underlying(connection).(syscall.Conn)
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
