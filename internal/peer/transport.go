package peer

import (
	"context"
	"crypto/rand"
	"crypto/subtle"
	"encoding/binary"
	"log/slog"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hamba/avro/v2"
	"github.com/panjf2000/gnet/v2"
	"github.com/pkg/errors"

	"topazpulley/internal/avrocodec"
	"topazpulley/internal/failure"
	"topazpulley/internal/membership"
)

const (
	nonceBytes  = 16
	bootTimeout = 5 * time.Second
	// restartPause is the pause between the end of an event loop and the start of the next.
	restartPause     = 50 * time.Millisecond
	handshakeTimeout = 2 * time.Second
	dialTimeout      = time.Second
	// maxConcurrentCalls is how many calls the daemon answers at a time; further ones fail.
	maxConcurrentCalls = 256
)

// CodeNoMethod is the error code of a call to a daemon that does not know the method, because its
// build is older.
const CodeNoMethod = "no_method"

// handler decodes and answers the calls of one method. from is the caller's name.
type handler func(ctx context.Context, from string, body []byte) ([]byte, error)

// Transport serves the peer protocol over UDP and TCP on one address and keeps one
// connection (link) to each daemon that is called.
type Transport struct {
	gnet.BuiltinEventEngine

	name     string
	address  string
	key      []byte
	log      *slog.Logger
	handlers map[string]handler
	onPacket func(membership.Packet)

	booted chan error
	// hasBooted, isLost and bootFailure belong to the goroutine of serve: an event loop was
	// started; the last one ended; why one was not started.
	hasBooted   bool
	isLost      bool
	bootFailure error
	stopOnce    sync.Once
	// udp is nil while there is no event loop. Datagrams sent then are dropped.
	udp     atomic.Pointer[net.UDPConn]
	context context.Context
	cancel  context.CancelFunc
	// callSlots holds an element for each call that is being answered.
	callSlots chan struct{}

	dialer *gnet.Client
	mutex  sync.Mutex
	// engine is the running event loop. mutex guards it and links.
	engine  gnet.Engine
	links   map[string]*link
	refused atomic.Uint64
}

// NewTransport returns a transport for the daemon's name, listen address and cluster
// key. Methods must be registered with Handle before Start.
func NewTransport(name, address string, key []byte, log *slog.Logger) *Transport {
	ctx, cancel := context.WithCancel(context.Background())
	return &Transport{
		name: name, address: address, key: key, log: log,
		handlers: map[string]handler{},
		booted:   make(chan error, 1),
		context:  ctx, cancel: cancel,
		callSlots: make(chan struct{}, maxConcurrentCalls),
		links:     map[string]*link{},
	}
}

// Handle registers the function that answers a method.
func Handle[Q, A Message](transport *Transport, method string, answer func(ctx context.Context, from string, request Q) (A, error)) {
	transport.handlers[method] = func(ctx context.Context, from string, body []byte) ([]byte, error) {
		var request Q
		if err := avrocodec.Unmarshal(request.Schema(), body, &request); err != nil {
			return nil, err
		}
		reply, err := answer(ctx, from, request)
		if err != nil {
			return nil, err
		}
		encoded, err := avro.Marshal(reply.Schema(), reply)
		return encoded, errors.WithStack(err)
	}
}

// OnPacket sets the function that receives authenticated packets. It is called from
// the event loop and must not block. Set it before Start.
func (t *Transport) OnPacket(receive func(membership.Packet)) { t.onPacket = receive }

// Refused returns how many datagrams and connections failed authentication or were
// malformed.
func (t *Transport) Refused() uint64 { return t.refused.Load() }

// Start starts to listen and serve. It returns when the listeners are bound.
func (t *Transport) Start() error {
	go t.serve()
	select {
	case err := <-t.booted:
		if err != nil {
			return failure.Wrap(err, failure.KindUnavailable, "peer_listen", "cannot listen on %s: choose a free address", t.address)
		}
	case <-time.After(bootTimeout):
		return failure.New(failure.KindUnavailable, "peer_listen", "listener on %s did not start in time", t.address)
	}
	return t.startDialer()
}

// serve runs event loops until the transport is stopped. An event loop ends when it cannot
// accept a connection, for example because the process has no file descriptors left. Without
// another one this daemon would hear no other daemon any more.
func (t *Transport) serve() {
	for {
		err := gnet.Rotate(t, []string{"tcp://" + t.address, "udp://" + t.address},
			gnet.WithReuseAddr(true), gnet.WithNumEventLoop(1), gnet.WithTCPNoDelay(gnet.TCPNoDelay), gnet.WithLogger(eventLoopLog{t.log}))
		t.closeUDP()
		if err == nil {
			err = t.bootFailure
		}
		switch {
		case t.context.Err() != nil:
			return
		case !t.hasBooted:
			t.booted <- err
			return
		case !t.isLost:
			t.isLost = true
			t.log.Error("peer_listener_lost", "address", t.address, "error", err)
		}
		time.Sleep(restartPause)
	}
}

func (t *Transport) startDialer() error {
	dialer, err := gnet.NewClient(&linkEvents{transport: t}, gnet.WithNumEventLoop(1), gnet.WithTCPNoDelay(gnet.TCPNoDelay), gnet.WithLogger(eventLoopLog{t.log}))
	if err != nil {
		return errors.WithStack(err)
	}
	t.dialer = dialer
	return errors.WithStack(dialer.Start())
}

// openUDP duplicates the listening UDP socket of an event loop, so that datagrams are sent
// from the listen address.
func (t *Transport) openUDP(engine gnet.Engine) error {
	descriptor, err := engine.DupListener("udp", t.address)
	if err != nil {
		return errors.WithStack(err)
	}
	file := os.NewFile(uintptr(descriptor), "udp")
	defer func() { _ = file.Close() }()
	packets, err := net.FilePacketConn(file)
	if err != nil {
		return errors.WithStack(err)
	}
	t.udp.Store(packets.(*net.UDPConn))
	return nil
}

// closeUDP closes the sending socket. As long as it is open, datagrams to the listen address
// may be delivered to it instead of the next event loop.
func (t *Transport) closeUDP() {
	if udp := t.udp.Swap(nil); udp != nil {
		_ = udp.Close()
	}
}

// Stop closes all listeners and connections. Further calls do nothing: gnet's client
// closes its file descriptors by number at each stop, and the numbers may have been
// reused by then.
func (t *Transport) Stop() { t.stopOnce.Do(t.stop) }

func (t *Transport) stop() {
	t.cancel()
	deadline, cancel := context.WithTimeout(context.Background(), bootTimeout)
	defer cancel()
	t.closeUDP()
	if t.dialer != nil {
		_ = t.dialer.Stop()
	}
	t.mutex.Lock()
	engine := t.engine
	t.mutex.Unlock()
	_ = engine.Stop(deadline)
}

// SendDatagram seals and sends a packet. Errors of sending are ignored, and packets to other than
// IP:port are not sent.
func (t *Transport) SendDatagram(datagram membership.Datagram) {
	udp := t.udp.Load()
	address, isAddress := parseAddress(datagram.Address)
	if udp == nil || !isAddress {
		return
	}
	sealed, err := SealDatagram(t.key, datagram.Packet)
	if err != nil {
		t.log.Error("datagram_encode_failed", "error", err)
		return
	}
	_, _ = udp.WriteToUDPAddrPort(sealed, address)
}

// OnBoot implements gnet.EventHandler.
func (t *Transport) OnBoot(engine gnet.Engine) gnet.Action {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.context.Err() != nil {
		return gnet.Shutdown // stop may have used the engine before already
	}
	if err := t.openUDP(engine); err != nil {
		t.bootFailure = err
		return gnet.Shutdown
	}
	t.engine, t.bootFailure = engine, nil
	switch {
	case !t.hasBooted:
		t.hasBooted = true
		t.booted <- nil
	case t.isLost:
		t.isLost = false
		t.log.Info("peer_listener_regained", "address", t.address)
	}
	return gnet.None
}

// serverConnection is the state of an accepted connection. isOpen is set after the handshake.
type serverConnection struct {
	nonce    []byte
	peerName string
	isOpen   bool
}

// frameLimit returns the maximum size of the next frame in bytes.
func (s *serverConnection) frameLimit() int { return frameLimit(s.isOpen) }

// frameLimit returns the maximum size of a frame in bytes, before or after the handshake.
func frameLimit(isOpen bool) int {
	if isOpen {
		return maxFrameBytes
	}
	return maxHandshakeBytes
}

// OnOpen implements gnet.EventHandler. It sends a random challenge.
func (t *Transport) OnOpen(connection gnet.Conn) ([]byte, gnet.Action) {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce)
	connection.SetContext(&serverConnection{nonce: nonce})
	return frame(nonce), gnet.None
}

// OnTraffic implements gnet.EventHandler.
func (t *Transport) OnTraffic(connection gnet.Conn) gnet.Action {
	side, isStream := connection.Context().(*serverConnection)
	if !isStream {
		t.receiveDatagram(connection)
		return gnet.None
	}
	return readFrames(connection, side.frameLimit, func(body []byte) bool { return t.handleServerFrame(connection, side, body) })
}

func (t *Transport) receiveDatagram(connection gnet.Conn) {
	sealed, err := connection.Next(-1)
	if err != nil || len(sealed) > maxDatagramSize {
		return
	}
	packet, err := OpenDatagram(t.key, sealed)
	if err != nil {
		t.refused.Add(1)
		return
	}
	if t.onPacket != nil {
		t.onPacket(packet)
	}
}

// readFrames passes the body of each complete frame to accept. It closes the
// connection if accept returns false or a frame exceeds the limit at that time.
func readFrames(connection gnet.Conn, limit func() int, accept func(body []byte) bool) gnet.Action {
	for {
		head, err := connection.Peek(frameHeaderBytes)
		if err != nil {
			return gnet.None
		}
		length := int(binary.BigEndian.Uint32(head))
		if length > limit() {
			return gnet.Close
		}
		if connection.InboundBuffered() < frameHeaderBytes+length {
			return gnet.None
		}
		framed, err := connection.Next(frameHeaderBytes + length)
		if err != nil {
			return gnet.Close
		}
		body := append([]byte(nil), framed[frameHeaderBytes:]...)
		if !accept(body) {
			return gnet.Close
		}
	}
}

// handleServerFrame handles a frame on the answering side: the hello, then calls. It returns
// false to close the connection.
func (t *Transport) handleServerFrame(connection gnet.Conn, side *serverConnection, body []byte) bool {
	if !side.isOpen {
		return t.acceptHello(connection, side, body)
	}
	call := envelope{}
	if avrocodec.Unmarshal(envelopeSchema, body, &call) != nil {
		return false
	}
	go t.answerCall(connection, side.peerName, call)
	return true
}

// acceptHello verifies the hello and sends the confirmation.
func (t *Transport) acceptHello(connection gnet.Conn, side *serverConnection, body []byte) bool {
	opening := hello{}
	err := avrocodec.Unmarshal(helloSchema, body, &opening)
	expected := authenticate(t.key, side.nonce, opening.Nonce, []byte(opening.Name))
	if err != nil || opening.Version != ProtocolVersion || subtle.ConstantTimeCompare(expected, opening.MAC) != 1 {
		t.refused.Add(1)
		t.log.Warn("peer_refused", "remote", connection.RemoteAddr().String())
		return false
	}
	side.isOpen = true
	side.peerName = opening.Name
	_, _ = connection.Write(frame(authenticate(t.key, opening.Nonce, side.nonce)))
	return true
}

func (t *Transport) answerCall(connection gnet.Conn, from string, call envelope) {
	answer := envelope{ID: call.ID, IsAnswer: true}
	body, err := t.dispatch(from, call)
	if err != nil {
		answer.Failure = []wireFailure{toWire(failure.From(err))}
	}
	answer.Body = body
	encoded, err := encodeEnvelope(answer)
	if err != nil {
		t.log.Error("peer_answer_encode_failed", "error", err)
		return
	}
	_ = connection.AsyncWrite(encoded, nil)
}

// dispatch runs the handler of a call unless too many calls are running.
func (t *Transport) dispatch(from string, call envelope) ([]byte, error) {
	select {
	case t.callSlots <- struct{}{}:
		defer func() { <-t.callSlots }()
	default:
		return nil, failure.New(failure.KindOverloaded, "peer_busy", "too many concurrent peer calls").WithNotRun()
	}
	answer, known := t.handlers[call.Method]
	if !known {
		return nil, failure.New(failure.KindNotFound, CodeNoMethod, "peer method %q is unknown", call.Method).WithNotRun()
	}
	return answer(t.context, from, call.Body)
}

func toWire(err *failure.Error) wireFailure {
	return wireFailure{
		Kind: string(err.Kind), Code: err.Code, Text: err.Message,
		NotRun: err.NotRun, RetryAfterMillis: err.RetryAfter.Milliseconds(),
	}
}

func fromWire(wire wireFailure) *failure.Error {
	rebuilt := failure.New(failure.Kind(wire.Kind), wire.Code, "%s", wire.Text)
	rebuilt.NotRun = wire.NotRun
	rebuilt.RetryAfter = time.Duration(wire.RetryAfterMillis) * time.Millisecond
	return rebuilt
}
