package peer

import (
	"context"
	"crypto/rand"
	"crypto/subtle"
	"sync"
	"time"

	"github.com/hamba/avro/v2"
	"github.com/panjf2000/gnet/v2"
	"github.com/pkg/errors"

	"topazpulley/internal/avrocodec"
	"topazpulley/internal/failure"
)

// silenceTimeout is how long calls on a link may be outstanding without any answer
// before the link is closed. Connections can stop passing data without a reset while
// new ones work. It has to exceed the time for which a handler may delay its answer,
// two seconds.
const silenceTimeout = 2500 * time.Millisecond

// link is the calling side of one connection. mutex guards connection, nextID,
// pending, isBroken and unansweredSince.
type link struct {
	address    string
	connection gnet.Conn
	nonce      []byte
	challenge  []byte
	isOpen     bool
	// ready is closed after the handshake, failed when the link breaks.
	ready  chan struct{}
	failed chan struct{}

	mutex    sync.Mutex
	nextID   int64
	pending  map[int64]chan envelope
	isBroken bool
	// unansweredSince is when the first call after the last answer was sent. It is zero
	// while no call is outstanding.
	unansweredSince time.Time
}

// linkEvents handles the gnet events of all links.
type linkEvents struct {
	gnet.BuiltinEventEngine
	transport *Transport
}

// OnTraffic implements gnet.EventHandler.
func (e *linkEvents) OnTraffic(connection gnet.Conn) gnet.Action {
	peerLink, ok := connection.Context().(*link)
	if !ok {
		return gnet.Close
	}
	return readFrames(connection, peerLink.frameLimit, func(body []byte) bool { return e.transport.handleClientFrame(peerLink, connection, body) })
}

// frameLimit returns the maximum size of the next frame in bytes.
func (l *link) frameLimit() int { return frameLimit(l.isOpen) }

// OnClose implements gnet.EventHandler.
func (e *linkEvents) OnClose(connection gnet.Conn, _ error) gnet.Action {
	if peerLink, ok := connection.Context().(*link); ok {
		e.transport.removeLink(peerLink)
	}
	return gnet.None
}

// handleClientFrame handles a frame on the calling side: the challenge, the confirmation
// of the hello, then answers. It returns false to close the connection.
func (t *Transport) handleClientFrame(peerLink *link, connection gnet.Conn, body []byte) bool {
	switch {
	case peerLink.challenge == nil:
		return t.answerChallenge(peerLink, connection, body)
	case !peerLink.isOpen:
		expected := authenticate(t.key, peerLink.nonce, peerLink.challenge)
		if subtle.ConstantTimeCompare(expected, body) != 1 {
			t.refused.Add(1)
			return false
		}
		peerLink.isOpen = true
		close(peerLink.ready)
		return true
	}
	answer := envelope{}
	if avrocodec.Unmarshal(envelopeSchema, body, &answer) != nil {
		return false
	}
	peerLink.deliver(answer)
	return true
}

// answerChallenge sends the hello.
func (t *Transport) answerChallenge(peerLink *link, connection gnet.Conn, challenge []byte) bool {
	peerLink.challenge = challenge
	peerLink.setConnection(connection)
	opening := hello{Version: ProtocolVersion, Name: t.name, Nonce: peerLink.nonce}
	opening.MAC = authenticate(t.key, challenge, peerLink.nonce, []byte(t.name))
	encoded, err := avro.Marshal(helloSchema, opening)
	if err != nil {
		return false
	}
	_, err = connection.Write(frame(encoded))
	return err == nil
}

// deliver passes an answer to its call.
func (l *link) deliver(answer envelope) {
	l.mutex.Lock()
	answers, known := l.pending[answer.ID]
	delete(l.pending, answer.ID)
	l.unansweredSince = time.Time{}
	if len(l.pending) > 0 {
		l.unansweredSince = time.Now()
	}
	l.mutex.Unlock()
	if known {
		answers <- answer
	}
}

// register returns an id and an answer channel for a call, or false if the link is
// broken.
func (l *link) register() (int64, chan envelope, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.isBroken {
		return 0, nil, false
	}
	if l.unansweredSince.IsZero() {
		l.unansweredSince = time.Now()
	}
	l.nextID++
	answers := make(chan envelope, 1)
	l.pending[l.nextID] = answers
	return l.nextID, answers, true
}

func (l *link) unregister(id int64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.pending, id)
}

// isSilent reports whether calls have been outstanding without any answer for
// silenceTimeout.
func (l *link) isSilent(now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return !l.unansweredSince.IsZero() && now.Sub(l.unansweredSince) >= silenceTimeout
}

// removeLink removes a link and fails its pending calls by closing their channels.
func (t *Transport) removeLink(peerLink *link) {
	t.mutex.Lock()
	if t.links[peerLink.address] == peerLink {
		delete(t.links, peerLink.address)
	}
	t.mutex.Unlock()
	peerLink.mutex.Lock()
	defer peerLink.mutex.Unlock()
	if !peerLink.isBroken {
		close(peerLink.failed)
	}
	peerLink.isBroken = true
	for id, answers := range peerLink.pending {
		close(answers)
		delete(peerLink.pending, id)
	}
}

// connect returns the link to an address after its handshake. It dials if there is none.
func (t *Transport) connect(ctx context.Context, address string) (*link, error) {
	peerLink, err := t.linkTo(address)
	if err != nil {
		return nil, err
	}
	timer := time.NewTimer(dialTimeout + handshakeTimeout)
	defer timer.Stop()
	select {
	case <-peerLink.ready:
		return peerLink, nil
	case <-peerLink.failed:
		return nil, peerUnreachable(address).WithNotRun()
	case <-ctx.Done():
	case <-timer.C:
		t.closeLink(peerLink)
	}
	return nil, peerUnreachable(address)
}

func (t *Transport) closeLink(peerLink *link) {
	if connection := peerLink.currentConnection(); connection != nil {
		_ = connection.Close()
	}
	t.removeLink(peerLink)
}

func peerUnreachable(address string) *failure.Error {
	return failure.New(failure.KindUnavailable, "peer_unreachable", "daemon at %s cannot be reached", address)
}

// linkTo returns the link to an address. If there is none, it opens one in the
// background.
func (t *Transport) linkTo(address string) (*link, error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if peerLink, exists := t.links[address]; exists {
		return peerLink, nil
	}
	nonce := make([]byte, nonceBytes)
	if _, err := rand.Read(nonce); err != nil {
		return nil, errors.WithStack(err)
	}
	peerLink := &link{address: address, nonce: nonce, ready: make(chan struct{}), failed: make(chan struct{}), pending: map[int64]chan envelope{}}
	t.links[address] = peerLink
	go t.openLink(peerLink)
	return peerLink, nil
}

func (t *Transport) openLink(peerLink *link) {
	connection, err := t.dial(peerLink.address, peerLink)
	if err != nil {
		t.log.Debug("peer_dial_failed", "peer", peerLink.address, "error", err)
		t.removeLink(peerLink)
		return
	}
	peerLink.setConnection(connection)
}

// setConnection sets the link's connection. Both the dialling goroutine and the event
// loop that receives the challenge call it, in either order.
func (l *link) setConnection(connection gnet.Conn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.connection = connection
}

func (l *link) currentConnection() gnet.Conn {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.connection
}

// dial connects to an address from the IP address on which the daemon listens.
func (t *Transport) dial(address string, peerLink *link) (gnet.Conn, error) {
	if !IsAddress(address) {
		return nil, peerUnreachable(address)
	}
	dialer, err := t.netDialer()
	if err != nil {
		return nil, err
	}
	connection, err := dialer.Dial("tcp", address)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	enrolled, err := t.dialer.EnrollContext(connection, peerLink)
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

// roundTrip sends one call and waits for its answer. If the context ends first and
// the link is silent, the link is closed, so that the next call opens a new one.
func (t *Transport) roundTrip(ctx context.Context, address string, call envelope) (envelope, error) {
	peerLink, err := t.connect(ctx, address)
	if err != nil {
		return envelope{}, err
	}
	id, answers, usable := peerLink.register()
	if !usable {
		return envelope{}, peerUnreachable(address)
	}
	defer peerLink.unregister(id)
	call.ID = id
	encoded, err := encodeEnvelope(call)
	if err != nil {
		return envelope{}, err
	}
	if err := peerLink.currentConnection().AsyncWrite(encoded, nil); err != nil {
		return envelope{}, peerUnreachable(address)
	}
	select {
	case answer, open := <-answers:
		if !open {
			return envelope{}, peerUnreachable(address)
		}
		return answer, nil
	case <-ctx.Done():
		if peerLink.isSilent(time.Now()) {
			t.log.Info("peer_link_silent", "peer", address, "method", call.Method)
			t.closeLink(peerLink)
		}
		return envelope{}, failure.Wrap(ctx.Err(), failure.KindUnavailable, "peer_timeout", "daemon at %s did not answer in time", address)
	}
}
