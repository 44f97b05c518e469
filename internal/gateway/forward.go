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
	"topazpulley/internal/membership"
	"topazpulley/internal/settings"
)

const copyBufferBytes = 4 << 10

// forwardClient passes calls on to daemons of other zones, each on a connection of its
// own: closing it is how the other daemon learns that the caller has left.
type forwardClient struct{ tls *tls.Config }

func newForwardClient(process settings.Settings) *forwardClient {
	return &forwardClient{tls: forwardTLS(process)}
}

// scheme returns the beginning of other daemons' addresses.
func (f *forwardClient) scheme() string {
	if f.tls != nil {
		return "https://"
	}
	return "http://"
}

// start returns a call to a daemon, which has no connection yet.
func (f *forwardClient) start(address string) *forwardedCall {
	made := &forwardedCall{}
	made.client = &fasthttp.HostClient{
		Addr: address, IsTLS: f.tls != nil, TLSConfig: f.tls, Dial: made.dial,
		MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true, StreamResponseBody: true,
		DisablePathNormalizing: true, // the engine gets the target that its caller wrote
	}
	return made
}

// forwardedCall is one call to a daemon of another zone.
type forwardedCall struct {
	client *fasthttp.HostClient

	// mutex guards the fields behind it.
	mutex      sync.Mutex
	connection net.Conn
	isEnded    bool
}

func (f *forwardedCall) dial(address string) (net.Conn, error) {
	connection, err := fasthttp.Dial(address)
	if err != nil {
		return nil, err // the client tells failures to connect from others by their type
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.connection = connection
	if f.isEnded {
		_ = connection.Close() // nothing was sent on it
	}
	return connection, nil
}

// end closes the call's connection.
func (f *forwardedCall) end() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.isEnded = true
	if f.connection != nil {
		_ = f.connection.Close() // whoever reads from it sees the error
	}
}

// endWithCaller ends a forwarded call when its caller leaves, until stop is called. One
// with a key goes on: its caller may come back for the answer.
func (c *caller) endWithCaller(passed *forwardedCall) (stop func()) {
	if len(c.call.Request.Header.Peek(HeaderIdempotencyKey)) > 0 {
		return func() {}
	}
	watched, leave := context.WithCancelCause(context.Background())
	go watchCaller(watched, c.call.Conn(), leave)
	unhook := context.AfterFunc(watched, passed.end)
	return func() {
		unhook()
		leave(nil)
	}
}

// forwardTLS trusts the daemon's own certificate file: all daemons of a fleet
// share an authority, whose certificate the file must include.
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

// forwardTo passes the call on and copies the answer as it comes. It returns
// false only if the other daemon certainly did not run the request.
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
	passed := c.gateway.forward.start(member.HTTPAddress)
	stop := c.endWithCaller(passed)
	err := passed.client.DoDeadline(request, response, time.Now().Add(maxDeadline))
	stop()
	if err != nil {
		fasthttp.ReleaseResponse(response)
		c.gateway.Logger.Info("request_forward_failed", "zone", member.Zone, "to", member.Name, "caller", c.call.RemoteAddr().String(), "tenant", c.tenant, "error", err)
		return c.forwardFailed(err)
	}
	// The other daemon gives the request an id of its own, which its lines carry.
	c.gateway.Logger.Info("request_forwarded", "zone", member.Zone, "to", member.Name, "status", response.StatusCode(),
		"answered_as", string(response.Header.Peek(HeaderRequestID)), "caller", c.call.RemoteAddr().String(), "tenant", c.tenant)
	c.copyAnswer(response)
	return true
}

func (c *caller) forwardFailed(err error) bool {
	if isDialFailure(err) {
		return false
	}
	c.gateway.writeFailure(c.call, failure.Wrap(err, failure.KindOutcomeUnknown, codeOutcomeUnknown, "the request was forwarded to another zone and its outcome cannot be learnt"))
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

// copyFlushing passes every read on at once, as streams need. An error tells that the
// input broke off or that the output is not taken.
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
