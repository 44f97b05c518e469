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
	nonceBytes       = 16
	bootTimeout      = 5 * time.Second
	handshakeTimeout = 2 * time.Second
	dialTimeout      = time.Second
	maxCallsAtOnce   = 256
)

// handler answers one method's calls with encoded bodies.
type handler func(ctx context.Context, from string, body []byte) ([]byte, error)

// Transport is the daemon's end of the peer protocol: a gnet engine that
// serves UDP and TCP on one address, and connections to other daemons.
type Transport struct {
	gnet.BuiltinEventEngine

	name     string
	address  string
	key      []byte
	log      *slog.Logger
	handlers map[string]handler
	onPacket func(membership.Packet)

	booted   chan error
	engine   gnet.Engine
	stopOnce sync.Once
	// udp is set once the transport has started; datagrams that come or go
	// before are lost.
	udp     atomic.Pointer[net.UDPConn]
	context context.Context
	cancel  context.CancelFunc
	limit   chan struct{}

	dialer  *gnet.Client
	mutex   sync.Mutex
	links   map[string]*link
	refused atomic.Uint64
}

// NewTransport makes a transport for the daemon's name and listen address. Methods
// must be registered with Handle before Start.
func NewTransport(name, address string, key []byte, log *slog.Logger) *Transport {
	ctx, cancel := context.WithCancel(context.Background())
	return &Transport{
		name: name, address: address, key: key, log: log,
		handlers: map[string]handler{},
		booted:   make(chan error, 1),
		context:  ctx, cancel: cancel,
		limit: make(chan struct{}, maxCallsAtOnce),
		links: map[string]*link{},
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

// OnPacket sets the receiver of authenticated datagrams. It is called from the
// event loop and must not block.
func (t *Transport) OnPacket(receive func(membership.Packet)) { t.onPacket = receive }

// Refused returns how many datagrams and connections failed authentication.
func (t *Transport) Refused() uint64 { return t.refused.Load() }

// Start serves until Stop. It returns once the listeners are bound.
func (t *Transport) Start() error {
	go func() {
		err := gnet.Rotate(t, []string{"tcp://" + t.address, "udp://" + t.address},
			gnet.WithReuseAddr(true), gnet.WithNumEventLoop(1), gnet.WithTCPNoDelay(gnet.TCPNoDelay), gnet.WithLogger(eventLoopLog{t.log}))
		if err != nil {
			select {
			case t.booted <- err:
			default:
			}
		}
	}()
	select {
	case err := <-t.booted:
		if err != nil {
			return failure.Wrap(err, failure.KindUnavailable, "peer_listen", "cannot listen on %s: choose a free address", t.address)
		}
	case <-time.After(bootTimeout):
		return failure.New(failure.KindUnavailable, "peer_listen", "listening on %s took too long", t.address)
	}
	if err := t.openUDP(); err != nil {
		return err
	}
	return t.startDialer()
}

func (t *Transport) startDialer() error {
	dialer, err := gnet.NewClient(&linkEvents{transport: t}, gnet.WithNumEventLoop(1), gnet.WithTCPNoDelay(gnet.TCPNoDelay), gnet.WithLogger(eventLoopLog{t.log}))
	if err != nil {
		return errors.WithStack(err)
	}
	t.dialer = dialer
	return errors.WithStack(dialer.Start())
}

// openUDP duplicates the listening socket, so that datagrams leave from the
// address on which they are answered.
func (t *Transport) openUDP() error {
	descriptor, err := t.engine.DupListener("udp", t.address)
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

// Stop closes all listeners and connections. Further calls do nothing: gnet's
// client closes its descriptors by number at each stop, and by then the numbers
// may belong to others.
func (t *Transport) Stop() { t.stopOnce.Do(t.stop) }

func (t *Transport) stop() {
	t.cancel()
	deadline, cancel := context.WithTimeout(context.Background(), bootTimeout)
	defer cancel()
	if udp := t.udp.Load(); udp != nil {
		_ = udp.Close()
	}
	if t.dialer != nil {
		_ = t.dialer.Stop()
	}
	_ = t.engine.Stop(deadline)
}

// SendDatagram seals and sends a packet. Loss is not reported.
func (t *Transport) SendDatagram(datagram membership.Datagram) {
	udp := t.udp.Load()
	if udp == nil {
		return
	}
	sealed, err := SealDatagram(t.key, datagram.Packet)
	if err != nil {
		t.log.Error("datagram_encode_failed", "error", err)
		return
	}
	address, err := net.ResolveUDPAddr("udp", datagram.Address)
	if err != nil {
		return
	}
	_, _ = udp.WriteTo(sealed, address)
}

// OnBoot implements gnet.EventHandler.
func (t *Transport) OnBoot(engine gnet.Engine) gnet.Action {
	t.engine = engine
	t.booted <- nil
	return gnet.None
}

// serverSide is the state of an accepted connection.
type serverSide struct {
	nonce    []byte
	peerName string
	isOpen   bool
}

// OnOpen implements gnet.EventHandler: it challenges the caller.
func (t *Transport) OnOpen(connection gnet.Conn) ([]byte, gnet.Action) {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce)
	connection.SetContext(&serverSide{nonce: nonce})
	return frame(nonce), gnet.None
}

// OnTraffic implements gnet.EventHandler.
func (t *Transport) OnTraffic(connection gnet.Conn) gnet.Action {
	side, isStream := connection.Context().(*serverSide)
	if !isStream {
		t.receiveDatagram(connection)
		return gnet.None
	}
	return readFrames(connection, func(body []byte) bool { return t.serverFrame(connection, side, body) })
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

// readFrames passes every complete frame to accept and closes the connection
// when accept declines or a frame is too long.
func readFrames(connection gnet.Conn, accept func(body []byte) bool) gnet.Action {
	for {
		head, err := connection.Peek(frameHeadBytes)
		if err != nil {
			return gnet.None
		}
		length := int(binary.BigEndian.Uint32(head))
		if length > maxFrameBytes {
			return gnet.Close
		}
		if connection.InboundBuffered() < frameHeadBytes+length {
			return gnet.None
		}
		whole, err := connection.Next(frameHeadBytes + length)
		if err != nil {
			return gnet.Close
		}
		body := append([]byte(nil), whole[frameHeadBytes:]...)
		if !accept(body) {
			return gnet.Close
		}
	}
}

func (t *Transport) serverFrame(connection gnet.Conn, side *serverSide, body []byte) bool {
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

func (t *Transport) acceptHello(connection gnet.Conn, side *serverSide, body []byte) bool {
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

func (t *Transport) dispatch(from string, call envelope) ([]byte, error) {
	select {
	case t.limit <- struct{}{}:
		defer func() { <-t.limit }()
	default:
		return nil, failure.New(failure.KindOverloaded, "peer_busy", "too many peer calls at once").WithNotRun()
	}
	answer, known := t.handlers[call.Method]
	if !known {
		return nil, failure.New(failure.KindNotFound, "no_method", "peer method %q is unknown", call.Method).WithNotRun()
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
