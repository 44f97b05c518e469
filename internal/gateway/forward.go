package gateway

import (
	"bufio"
	"context"
	"crypto/tls"
	"crypto/x509"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"topazpulley/internal/failure"
	"topazpulley/internal/httphead"
	"topazpulley/internal/membership"
	"topazpulley/internal/settings"
)

const (
	copyBufferBytes = 4 << 10
	protocol11      = "HTTP/1.1"
)

// forwardClient forwards calls to daemons of other zones. Each call has its own
// connection, which is closed if the caller disconnects.
type forwardClient struct{ tls *tls.Config }

func newForwardClient(process settings.Settings) *forwardClient {
	return &forwardClient{tls: forwardTLS(process)}
}

// scheme returns the URL scheme of other daemons, with its separator.
func (f *forwardClient) scheme() string {
	if f.tls != nil {
		return "https://"
	}
	return "http://"
}

// newCall returns a call to a daemon. It connects when the request is sent.
func (f *forwardClient) newCall(address string) *forwardedCall {
	call := &forwardedCall{}
	dial := fasthttp.DialFunc(call.dial)
	if f.tls == nil {
		dial = httphead.CheckedDial(dial)
	}
	call.client = &fasthttp.HostClient{
		Addr: address, IsTLS: f.tls != nil, TLSConfig: f.tls, Dial: dial,
		MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true, StreamResponseBody: true,
		DisablePathNormalizing: true, // the engine receives the target unchanged
	}
	return call
}

// forwardedCall is one call to a daemon of another zone.
type forwardedCall struct {
	client *fasthttp.HostClient

	// mutex guards the fields below.
	mutex      sync.Mutex
	connection net.Conn
	isClosed   bool
}

func (f *forwardedCall) dial(address string) (net.Conn, error) {
	connection, err := fasthttp.Dial(address)
	if err != nil {
		return nil, err // unwrapped: isDialFailure checks its type
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.connection = connection
	if f.isClosed {
		_ = connection.Close() // nothing has been sent on it
	}
	return connection, nil
}

// close closes the call's connection, now or as soon as it is made.
func (f *forwardedCall) close() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.isClosed = true
	if f.connection != nil {
		_ = f.connection.Close() // pending reads fail
	}
}

// closeWithCaller closes a forwarded call when its caller disconnects, until stop is
// called. A call with an idempotency key continues, because the caller may ask for its
// answer later.
func (c *caller) closeWithCaller(forwarded *forwardedCall) (stop func()) {
	if len(c.call.Request.Header.Peek(HeaderIdempotencyKey)) > 0 {
		return func() {}
	}
	watched, cancel := context.WithCancelCause(context.Background())
	go watchCaller(watched, c.call.Conn(), cancel)
	stopWatching := context.AfterFunc(watched, forwarded.close)
	return func() {
		stopWatching()
		cancel(nil)
	}
}

// forwardTLS returns the TLS configuration for calls to other daemons, or nil without
// TLS. It trusts the certificates in the daemon's certificate file, which must include
// the authority that all daemons of a fleet share.
func forwardTLS(process settings.Settings) *tls.Config {
	if process.TLSCertificateFile == "" {
		return nil
	}
	pool := x509.NewCertPool()
	if content, err := os.ReadFile(process.TLSCertificateFile); err == nil {
		pool.AppendCertsFromPEM(content)
	}
	return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}
}

// forwardTo forwards the call and copies the answer as it arrives. It returns false,
// with nothing written, only if the other daemon cannot have received the request.
func (c *caller) forwardTo(member membership.Member) bool {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	c.call.Request.CopyTo(request)
	request.URI().DisablePathNormalizing = true
	request.SetRequestURI(c.gateway.forward.scheme() + member.HTTPAddress + string(c.call.RequestURI()))
	request.Header.SetHost(member.HTTPAddress)
	request.Header.Set(HeaderHop, c.gateway.Settings.Zone)
	request.SetConnectionClose()
	request.Header.SetProtocol(protocol11) // answers to HTTP/1.0 state no end
	forwarded := c.gateway.forward.newCall(member.HTTPAddress)
	stop := c.closeWithCaller(forwarded)
	err := forwarded.client.DoDeadline(request, response, time.Now().Add(maxDeadline))
	stop()
	if err == nil {
		err = httphead.CheckFraming(&response.Header)
	}
	if err != nil {
		fasthttp.ReleaseResponse(response)
		c.gateway.Logger.Info("request_forward_failed", "zone", member.Zone, "to", member.Name, "caller", c.call.RemoteAddr().String(), "tenant", c.tenant, "error", err)
		return c.forwardFailed(err)
	}
	// The other daemon logs the request under its own id, answered_as.
	c.gateway.Logger.Info("request_forwarded", "zone", member.Zone, "to", member.Name, "status", response.StatusCode(),
		"answered_as", string(response.Header.Peek(HeaderRequestID)), "caller", c.call.RemoteAddr().String(), "tenant", c.tenant)
	c.copyAnswer(response)
	return true
}

// forwardFailed answers a call that failed after it may have been sent. It returns
// false if no connection was made.
func (c *caller) forwardFailed(err error) bool {
	if isDialFailure(err) {
		return false
	}
	c.gateway.writeFailure(c.call, failure.Wrap(err, failure.KindOutcomeUnknown, codeOutcomeUnknown, "the request was forwarded to another zone and its outcome is unknown"))
	return true
}

func isDialFailure(err error) bool {
	_, isDial := err.(*fasthttp.ErrDialWithUpstream)
	return isDial || err == fasthttp.ErrDialTimeout || err == fasthttp.ErrNoFreeConns
}

func (c *caller) copyAnswer(response *fasthttp.Response) {
	c.call.SetStatusCode(response.StatusCode())
	c.call.SetContentTypeBytes(append([]byte(nil), response.Header.ContentType()...))
	for _, name := range []string{HeaderRequestID, "Retry-After"} {
		if value := response.Header.Peek(name); len(value) > 0 {
			c.call.Response.Header.SetBytesV(name, value)
		}
	}
	c.streamBody(func(output *bufio.Writer) error {
		defer fasthttp.ReleaseResponse(response)
		return copyFlushing(output, response.BodyStream())
	})
}

// copyFlushing copies the input and flushes after every read, as streams need. It
// returns an error if the input is truncated or the output cannot be written.
func copyFlushing(output *bufio.Writer, input io.Reader) error {
	buffer := make([]byte, copyBufferBytes)
	for {
		count, err := input.Read(buffer)
		if _, writeErr := output.Write(buffer[:count]); writeErr != nil {
			return errors.WithStack(writeErr)
		}
		if flushErr := output.Flush(); flushErr != nil {
			return errors.WithStack(flushErr)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.WithStack(err)
		}
	}
}
