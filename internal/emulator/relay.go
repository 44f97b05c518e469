package emulator

import (
	"io"
	"net"
	"sync"

	"github.com/valyala/fasthttp"

	"topazpulley/internal/failure"
)

// PathCuts sets the relay's cuts.
const PathCuts = "/emulator/cuts"

// Cut drops the traffic from one zone to another.
type Cut struct {
	From string `json:"from"`
	To   string `json:"to"`
}

// Relay forwards the peer traffic of daemons and drops it by source and destination zone.
// Each daemon advertises an address of the relay. The relay identifies the source by its
// IP address, which must differ between daemons.
type Relay struct {
	mutex       sync.Mutex
	zones       map[string]string
	cuts        map[Cut]bool
	connections map[*relayed]bool
	listeners   []io.Closer
}

// relayed is a forwarded TCP connection.
type relayed struct {
	near, far net.Conn
	from, to  string
}

func (r *relayed) close() {
	_ = r.near.Close()
	_ = r.far.Close()
}

const relayBuffer = 64 << 10

// NewRelay returns a relay without routes or cuts.
func NewRelay() *Relay {
	return &Relay{zones: map[string]string{}, cuts: map[Cut]bool{}, connections: map[*relayed]bool{}}
}

// Add forwards UDP and TCP from a listen address to a target in a zone.
func (r *Relay) Add(listen, target, zone string) error {
	host, _, err := net.SplitHostPort(target)
	if err != nil {
		return failure.Wrap(err, failure.KindInvalid, "bad_target", "target %q is not IP:PORT", target)
	}
	r.mutex.Lock()
	r.zones[host] = zone
	r.mutex.Unlock()
	stream, err := net.Listen("tcp", listen)
	if err != nil {
		return failure.Wrap(err, failure.KindUnavailable, "relay_listen", "cannot listen on %s", listen)
	}
	packets, err := net.ListenPacket("udp", listen)
	if err != nil {
		return failure.Wrap(err, failure.KindUnavailable, "relay_listen", "cannot listen on %s", listen)
	}
	r.mutex.Lock()
	r.listeners = append(r.listeners, stream, packets)
	r.mutex.Unlock()
	go r.forwardPackets(packets, target, zone)
	go r.acceptStreams(stream, target, zone)
	return nil
}

// SetCuts replaces all cuts and closes the connections between the zones of a cut.
func (r *Relay) SetCuts(cuts []Cut) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.cuts = map[Cut]bool{}
	for _, cut := range cuts {
		r.cuts[cut] = true
	}
	for connection := range r.connections {
		if r.isSevered(connection.from, connection.to) {
			connection.close()
		}
	}
}

// isSevered reports whether a direction between two zones is cut, so that no connection between them
// lasts. mutex must be held.
func (r *Relay) isSevered(one, other string) bool {
	return r.cuts[Cut{one, other}] || r.cuts[Cut{other, one}]
}

// Close stops listening and closes all connections.
func (r *Relay) Close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, each := range r.listeners {
		_ = each.Close()
	}
	for connection := range r.connections {
		connection.close()
	}
}

func (r *Relay) zoneOf(address net.Addr) string {
	host, _, _ := net.SplitHostPort(address.String())
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.zones[host]
}

func (r *Relay) isCut(from, to string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.cuts[Cut{from, to}]
}

func (r *Relay) forwardPackets(packets net.PacketConn, target, zone string) {
	address, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return
	}
	buffer := make([]byte, relayBuffer)
	for {
		count, source, err := packets.ReadFrom(buffer)
		if err != nil {
			return
		}
		if !r.isCut(r.zoneOf(source), zone) {
			_, _ = packets.WriteTo(buffer[:count], address)
		}
	}
}

func (r *Relay) acceptStreams(listener net.Listener, target, zone string) {
	for {
		near, err := listener.Accept()
		if err != nil {
			return
		}
		go r.forwardStream(near, target, zone)
	}
}

// forwardStream forwards a connection unless one of its directions is cut.
func (r *Relay) forwardStream(near net.Conn, target, zone string) {
	from := r.zoneOf(near.RemoteAddr())
	if r.isCut(from, zone) || r.isCut(zone, from) {
		_ = near.Close()
		return
	}
	far, err := net.Dial("tcp", target)
	if err != nil {
		_ = near.Close()
		return
	}
	connection := &relayed{near: near, far: far, from: from, to: zone}
	if !r.keep(connection) {
		connection.close()
		return
	}
	go copyAndClose(connection, far, near)
	copyAndClose(connection, near, far)
	r.mutex.Lock()
	delete(r.connections, connection)
	r.mutex.Unlock()
}

// keep adds a connection to those that SetCuts closes. It reports false if one of its directions
// was cut meanwhile.
func (r *Relay) keep(connection *relayed) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.isSevered(connection.from, connection.to) {
		return false
	}
	r.connections[connection] = true
	return true
}

func copyAndClose(connection *relayed, to io.Writer, from io.Reader) {
	_, _ = io.Copy(to, from)
	connection.close()
}

// ServeControl serves the control calls until the listener is closed.
func (r *Relay) ServeControl(listener net.Listener) error {
	server := &fasthttp.Server{NoDefaultServerHeader: true, Handler: func(call *fasthttp.RequestCtx) {
		cuts := []Cut{}
		if string(call.Path()) != PathCuts {
			call.SetStatusCode(fasthttp.StatusNotFound)
			return
		}
		if decodeBody(call, &cuts) {
			r.SetCuts(cuts)
		}
	}}
	return server.Serve(listener)
}
