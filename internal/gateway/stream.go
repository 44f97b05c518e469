package gateway

import (
	"bufio"
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"topazpulley/internal/httphead"
)

// streamBody answers with a body that is sent as write flushes it. An error of write
// tells that the body has been cut: the connection is reset, so that it cannot look
// complete. write is called once, after the handler of the call has returned.
func (c *caller) streamBody(write func(output *bufio.Writer) error) {
	connection := c.call.Conn()
	if !c.call.Request.Header.IsHTTP11() {
		c.streamUntilClose(connection, write)
		return
	}
	c.call.SetBodyStreamWriter(func(output *bufio.Writer) {
		passed := bufio.NewWriter(&timedWriter{connection: connection, target: output, flush: output.Flush})
		if write(passed) != nil || passed.Flush() != nil {
			resetConnection(connection)
		}
	})
}

// streamUntilClose answers a caller that asks in HTTP/1.0 and knows no chunks (RFC 9112
// section 7.1): the body ends with the connection. The library that serves the
// connection frames every stream in chunks, so that it is taken from it.
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
		}
	})
}

// isFraming names the fields that streamUntilClose writes itself or leaves out.
func isFraming(name string) bool {
	switch name {
	case fasthttp.HeaderContentType, fasthttp.HeaderContentLength, fasthttp.HeaderTransferEncoding, fasthttp.HeaderConnection:
		return true
	}
	return false
}

// timedWriter gives each part of a stream its own time to be taken by the caller. Left
// alone, the server's limit counts from the beginning of the answer, and cuts every
// stream that lasts longer.
type timedWriter struct {
	connection net.Conn
	target     io.Writer
	// flush sends on what the target holds back; nil where it holds nothing back.
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

// layered is a connection that runs within another one, as with TLS.
type layered interface{ NetConn() net.Conn }

// bareConnection is the connection at the bottom of others.
func bareConnection(connection net.Conn) net.Conn {
	for {
		upper, isLayered := connection.(layered)
		if !isLayered {
			return connection
		}
		connection = upper.NetConn()
	}
}

// resetConnection closes a connection so that what was sent on it cannot look complete.
func resetConnection(connection net.Conn) {
	bare := bareConnection(connection)
	if tcp, isTCP := bare.(*net.TCPConn); isTCP {
		_ = tcp.SetLinger(0)
	}
	_ = bare.Close()
}
