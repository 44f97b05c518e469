package peer

import (
	"context"
	"crypto/rand"
	"crypto/subtle"
	"net"
	"sync"
	"time"

	"github.com/hamba/avro/v2"
	"github.com/panjf2000/gnet/v2"
	"github.com/pkg/errors"

	"topazpulley/internal/avrocodec"
	"topazpulley/internal/failure"
)

// silentTime is how long a link may leave a call without any answer before it is
// given up: connections can go silent without a reset while new ones work. Calls
// that are held by design end within two seconds.
const silentTime = 2500 * time.Millisecond

// link is the calling side of one connection. mutex guards connection,
// pending, broken and askedAt.
type link struct {
	address    string
	connection gnet.Conn
	nonce      []byte
	challenge  []byte
	isOpen     bool
	ready      chan struct{}
	failed     chan struct{}

	mutex   sync.Mutex
	nextID  int64
	pending map[int64]chan envelope
	broken  bool
	// askedAt is when the first call was made since anything was last heard; zero
	// means that nothing is waited for.
	askedAt time.Time
}

// linkEvents handles the traffic of all links.
type linkEvents struct {
	gnet.BuiltinEventEngine
	transport *Transport
}

// OnTraffic implements gnet.EventHandler.
func (e *linkEvents) OnTraffic(connection gnet.Conn) gnet.Action {
	held, ok := connection.Context().(*link)
	if !ok {
		return gnet.Close
	}
	return readFrames(connection, func(body []byte) bool { return e.transport.clientFrame(held, connection, body) })
}

// OnClose implements gnet.EventHandler.
func (e *linkEvents) OnClose(connection gnet.Conn, _ error) gnet.Action {
	if held, ok := connection.Context().(*link); ok {
		e.transport.dropLink(held)
	}
	return gnet.None
}

func (t *Transport) clientFrame(held *link, connection gnet.Conn, body []byte) bool {
	switch {
	case held.challenge == nil:
		return t.answerChallenge(held, connection, body)
	case !held.isOpen:
		expected := authenticate(t.key, held.nonce, held.challenge)
		if subtle.ConstantTimeCompare(expected, body) != 1 {
			t.refused.Add(1)
			return false
		}
		held.isOpen = true
		close(held.ready)
		return true
	}
	answer := envelope{}
	if avrocodec.Unmarshal(envelopeSchema, body, &answer) != nil {
		return false
	}
	held.deliver(answer)
	return true
}

func (t *Transport) answerChallenge(held *link, connection gnet.Conn, challenge []byte) bool {
	held.challenge = challenge
	held.setConnection(connection)
	opening := hello{Version: ProtocolVersion, Name: t.name, Nonce: held.nonce}
	opening.MAC = authenticate(t.key, challenge, held.nonce, []byte(t.name))
	encoded, err := avro.Marshal(helloSchema, opening)
	if err != nil {
		return false
	}
	_, err = connection.Write(frame(encoded))
	return err == nil
}

func (l *link) deliver(answer envelope) {
	l.mutex.Lock()
	waiting, known := l.pending[answer.ID]
	delete(l.pending, answer.ID)
	l.askedAt = time.Time{}
	if len(l.pending) > 0 {
		l.askedAt = time.Now()
	}
	l.mutex.Unlock()
	if known {
		waiting <- answer
	}
}

// register reserves an id for a call. It fails on a broken link.
func (l *link) register() (int64, chan envelope, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.broken {
		return 0, nil, false
	}
	if l.askedAt.IsZero() {
		l.askedAt = time.Now()
	}
	l.nextID++
	waiting := make(chan envelope, 1)
	l.pending[l.nextID] = waiting
	return l.nextID, waiting, true
}

func (l *link) unregister(id int64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.pending, id)
}

// isSilent reports whether calls on the link have gone without any answer for too
// long.
func (l *link) isSilent(now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return !l.askedAt.IsZero() && now.Sub(l.askedAt) >= silentTime
}

// dropLink forgets a link and fails its pending calls by closing their
// channels.
func (t *Transport) dropLink(held *link) {
	t.mutex.Lock()
	if t.links[held.address] == held {
		delete(t.links, held.address)
	}
	t.mutex.Unlock()
	held.mutex.Lock()
	defer held.mutex.Unlock()
	if !held.broken {
		close(held.failed)
	}
	held.broken = true
	for id, waiting := range held.pending {
		close(waiting)
		delete(held.pending, id)
	}
}

// connect returns the open link to an address, dialling if there is none.
func (t *Transport) connect(ctx context.Context, address string) (*link, error) {
	held, err := t.linkTo(address)
	if err != nil {
		return nil, err
	}
	timer := time.NewTimer(dialTimeout + handshakeTimeout)
	defer timer.Stop()
	select {
	case <-held.ready:
		return held, nil
	case <-held.failed:
		return nil, peerUnreachable(address).WithNotRun()
	case <-ctx.Done():
	case <-timer.C:
		t.closeLink(held)
	}
	return nil, peerUnreachable(address)
}

func (t *Transport) closeLink(held *link) {
	if connection := held.opened(); connection != nil {
		_ = connection.Close()
	}
	t.dropLink(held)
}

func peerUnreachable(address string) *failure.Error {
	return failure.New(failure.KindUnavailable, "peer_unreachable", "daemon at %s cannot be reached", address)
}

// linkTo returns the link to an address, opening one in the background if
// there is none.
func (t *Transport) linkTo(address string) (*link, error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if held, exists := t.links[address]; exists {
		return held, nil
	}
	nonce := make([]byte, nonceBytes)
	if _, err := rand.Read(nonce); err != nil {
		return nil, errors.WithStack(err)
	}
	held := &link{address: address, nonce: nonce, ready: make(chan struct{}), failed: make(chan struct{}), pending: map[int64]chan envelope{}}
	t.links[address] = held
	go t.openLink(held)
	return held, nil
}

func (t *Transport) openLink(held *link) {
	connection, err := t.dial(held.address, held)
	if err != nil {
		t.log.Debug("peer_dial_failed", "peer", held.address, "error", err)
		t.dropLink(held)
		return
	}
	held.setConnection(connection)
}

// setConnection is called by whoever learns of the connection first: the
// dialling goroutine or the event loop that receives the challenge.
func (l *link) setConnection(connection gnet.Conn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.connection = connection
}

func (l *link) opened() gnet.Conn {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.connection
}

// dial connects from the daemon's own IP number, by which others know it.
func (t *Transport) dial(address string, held *link) (gnet.Conn, error) {
	host, _, err := net.SplitHostPort(t.address)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	dialer := net.Dialer{Timeout: dialTimeout, LocalAddr: &net.TCPAddr{IP: net.ParseIP(host)}}
	connection, err := dialer.Dial("tcp", address)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	enrolled, err := t.dialer.EnrollContext(connection, held)
	return enrolled, errors.WithStack(err)
}

// Call sends a request to the daemon at an address and waits for its answer.
func Call[Q, A Message](ctx context.Context, transport *Transport, address, method string, request Q) (A, error) {
	var reply A
	body, err := avro.Marshal(request.Schema(), request)
	if err != nil {
		return reply, errors.WithStack(err)
	}
	answer, err := transport.roundTrip(ctx, address, envelope{Method: method, Body: body})
	if err != nil {
		return reply, err
	}
	if len(answer.Failure) > 0 {
		return reply, fromWire(answer.Failure[0])
	}
	return reply, avrocodec.Unmarshal(reply.Schema(), answer.Body, &reply)
}

// roundTrip makes one call. A call that ends without an answer on a link that has
// long been silent closes the link, so that the next one opens another.
func (t *Transport) roundTrip(ctx context.Context, address string, call envelope) (envelope, error) {
	held, err := t.connect(ctx, address)
	if err != nil {
		return envelope{}, err
	}
	id, waiting, usable := held.register()
	if !usable {
		return envelope{}, peerUnreachable(address)
	}
	defer held.unregister(id)
	call.ID = id
	encoded, err := encodeEnvelope(call)
	if err != nil {
		return envelope{}, err
	}
	if err := held.opened().AsyncWrite(encoded, nil); err != nil {
		return envelope{}, peerUnreachable(address)
	}
	select {
	case answer, open := <-waiting:
		if !open {
			return envelope{}, peerUnreachable(address)
		}
		return answer, nil
	case <-ctx.Done():
		if held.isSilent(time.Now()) {
			t.log.Info("peer_link_silent", "peer", address, "method", call.Method)
			t.closeLink(held)
		}
		return envelope{}, failure.Wrap(ctx.Err(), failure.KindUnavailable, "peer_timeout", "daemon at %s did not answer in time", address)
	}
}
