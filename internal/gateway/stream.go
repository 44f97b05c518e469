package gateway

import (
	"bufio"
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"topazpulley/internal/httphead"
)

// streamBody answers with a body that is sent whenever write flushes it. If write
// returns an error, the connection is reset, so that the truncated body does not look
// complete. write is called once, after the call's handler has returned.
func (c *caller) streamBody(write func(output *bufio.Writer) error) {
	write = c.failingOnPanic(write)
	connection := c.call.Conn()
	if !c.call.Request.Header.IsHTTP11() {
		c.streamUntilClose(connection, write)
		return
	}
	c.call.SetBodyStreamWriter(func(output *bufio.Writer) {
		timed := bufio.NewWriter(&timedWriter{connection: connection, target: output, flush: output.Flush})
		if write(timed) != nil || timed.Flush() != nil {
			resetConnection(connection)
		}
	})
}

// bodyError is the reason for which a body is not whole.
type bodyError string

// Error implements error.
func (e bodyError) Error() string { return string(e) }

// errPanic is the error of a body whose writer ended with a programming error.
const errPanic bodyError = "the writer of the body panicked"

// failingOnPanic returns a writer of a body that returns an error in place of a panic, which would
// end the process with all other calls.
func (c *caller) failingOnPanic(write func(output *bufio.Writer) error) func(output *bufio.Writer) error {
	target := string(c.call.RequestURI()) // the call may be in use for another when the body is written
	return func(output *bufio.Writer) (err error) {
		defer func() {
			if cause := recover(); cause != nil {
				c.gateway.logPanic(target, cause)
				err = errPanic
			}
		}()
		return write(output)
	}
}

// streamUntilClose answers an HTTP/1.0 caller, which does not support chunked encoding
// (RFC 9112 section 7.1). The body ends when the connection closes. The connection is
// hijacked, because fasthttp sends every stream in chunks.
func (c *caller) streamUntilClose(connection net.Conn, write func(output *bufio.Writer) error) {
	message := httphead.NewAnswer(c.call.Response.StatusCode(), c.call.IsHead())
	message.Field(fasthttp.HeaderContentType, string(c.call.Response.Header.ContentType()))
	message.Field(fasthttp.HeaderConnection, "close")
	for name, value := range c.call.Response.Header.All() {
		if !isFraming(string(name)) {
			message.Field(string(name), string(value))
		}
	}
	head, hasBody, err := message.UntilClose()
	c.call.HijackSetNoResponse(true)
	c.call.Hijack(func(net.Conn) {
		httphead.ResetOnClose(connection)
		var target io.Writer = &timedWriter{connection: connection, target: connection}
		if err == nil {
			_, err = target.Write(head)
		}
		if !hasBody {
			target = io.Discard
		}
		output := bufio.NewWriter(target)
		if written := write(output); err != nil || written != nil || output.Flush() != nil {
			resetConnection(connection)
			return
		}
		httphead.FinishOnClose(connection)
	})
}

// isFraming reports whether streamUntilClose writes or omits a header field itself.
func isFraming(name string) bool {
	switch name {
	case fasthttp.HeaderContentType, fasthttp.HeaderContentLength, fasthttp.HeaderTransferEncoding, fasthttp.HeaderConnection:
		return true
	}
	return false
}

// timedWriter sets a new write deadline for each part of a stream. The server's own
// write timeout covers the entire answer and would truncate longer streams.
type timedWriter struct {
	connection net.Conn
	target     io.Writer
	// flush flushes the target; nil if the target is unbuffered.
	flush func() error
}

// Write implements io.Writer.
func (w *timedWriter) Write(part []byte) (int, error) {
	if err := w.connection.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	count, err := w.target.Write(part)
	if err == nil && w.flush != nil {
		err = w.flush()
	}
	return count, err
}

// resetConnection resets a connection, so that a truncated answer does not look
// complete.
func resetConnection(connection net.Conn) {
	httphead.ResetOnClose(connection)
	_ = httphead.Underlying(connection).Close()
}
