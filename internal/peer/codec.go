// Package peer implements the protocol between daemons over gnet: Avro messages in
// UDP datagrams for membership, and in length-prefixed TCP frames for calls. Each
// datagram and the handshake of each connection are authenticated with the cluster
// key. Nothing is encrypted.
//
// A Transport serves one address. Handle registers the methods that it answers,
// and Call sends a request to another daemon.
package peer

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"

	"github.com/hamba/avro/v2"
	"github.com/pkg/errors"

	"topazpulley/internal/avrocodec"
	"topazpulley/internal/failure"
	"topazpulley/internal/membership"
)

// ProtocolVersion is carried by every datagram and hello.
const ProtocolVersion = 1

const (
	macBytes = 16
	// frameHeaderBytes is the size of a frame's length prefix.
	frameHeaderBytes = 4
	maxFrameBytes    = 32 << 20
	// maxHandshakeBytes limits the frames of the handshake, which anyone may send. A longer name would
	// not fit a datagram either.
	maxHandshakeBytes = maxDatagramSize
	maxDatagramSize   = 64 << 10
)

// Message is a type with a fixed Avro schema.
type Message interface {
	// Schema returns the Avro schema of the type.
	Schema() avro.Schema
}

// packetSchema encodes membership.Packet.
var packetSchema = avrocodec.MustParse(`{"type":"record","name":"Packet","fields":[
	{"name":"Kind","type":"int"},
	{"name":"From","type":"string"},
	{"name":"FromAddress","type":"string"},
	{"name":"Sequence","type":"long"},
	{"name":"Target","type":"string"},
	{"name":"TargetAddress","type":"string"},
	{"name":"Revision","type":"long"},
	{"name":"Digest","type":"long"},
	{"name":"ItemDigest","type":"long"},
	{"name":"Members","type":{"type":"array","items":` + memberSchemaText + `}},
	{"name":"Items","type":{"type":"array","items":` + itemSchemaText + `}}
]}`)

const memberSchemaText = `{"type":"record","name":"Member","fields":[
	{"name":"Name","type":"string"},
	{"name":"Address","type":"string"},
	{"name":"HTTPAddress","type":"string"},
	{"name":"Zone","type":"string"},
	{"name":"Region","type":"string"},
	{"name":"Incarnation","type":"long"},
	{"name":"State","type":"int"}
]}`

const itemSchemaText = `{"type":"record","name":"Item","fields":[
	{"name":"Key","type":"string"},
	{"name":"Version","type":"long"},
	{"name":"Zone","type":"string"},
	{"name":"Priority","type":"int"},
	{"name":"Payload","type":"bytes"}
]}`

// SealDatagram encodes a packet and prefixes the protocol version and the
// authentication code.
func SealDatagram(key []byte, packet membership.Packet) ([]byte, error) {
	body, err := avro.Marshal(packetSchema, packet)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	sealed := make([]byte, 0, 1+macBytes+len(body))
	sealed = append(sealed, ProtocolVersion)
	sealed = append(sealed, authenticate(key, body)...)
	return append(sealed, body...), nil
}

// OpenDatagram verifies and decodes a datagram.
func OpenDatagram(key, sealed []byte) (membership.Packet, error) {
	packet := membership.Packet{}
	if len(sealed) < 1+macBytes || sealed[0] != ProtocolVersion {
		return packet, failure.New(failure.KindInvalid, "bad_datagram", "datagram is too short or has another protocol version")
	}
	body := sealed[1+macBytes:]
	if subtle.ConstantTimeCompare(sealed[1:1+macBytes], authenticate(key, body)) != 1 {
		return packet, failure.New(failure.KindUnauthorized, "bad_datagram_key", "datagram is not authenticated with the cluster key")
	}
	if err := avrocodec.Unmarshal(packetSchema, body, &packet); err != nil {
		return membership.Packet{}, err
	}
	return packet, nil
}

// authenticate returns the authentication code of the concatenated parts.
func authenticate(key []byte, parts ...[]byte) []byte {
	mac := hmac.New(sha256.New, key)
	for _, part := range parts {
		_, _ = mac.Write(part)
	}
	return mac.Sum(nil)[:macBytes]
}

// envelope is one call or answer. Failure holds at most one element.
type envelope struct {
	// ID matches an answer to its call.
	ID       int64
	IsAnswer bool
	Method   string
	Failure  []wireFailure
	Body     []byte
}

// wireFailure is a failure.Error on the wire.
type wireFailure struct {
	Kind             string
	Code             string
	Text             string
	NotRun           bool
	RetryAfterMillis int64
}

var envelopeSchema = avrocodec.MustParse(`{"type":"record","name":"Envelope","fields":[
	{"name":"ID","type":"long"},
	{"name":"IsAnswer","type":"boolean"},
	{"name":"Method","type":"string"},
	{"name":"Failure","type":{"type":"array","items":{"type":"record","name":"Failure","fields":[
		{"name":"Kind","type":"string"},
		{"name":"Code","type":"string"},
		{"name":"Text","type":"string"},
		{"name":"NotRun","type":"boolean"},
		{"name":"RetryAfterMillis","type":"long"}
	]}}},
	{"name":"Body","type":"bytes"}
]}`)

// hello is the first message from the calling side of a connection. MAC covers the
// challenge of the other side, Nonce and Name.
type hello struct {
	Version int
	Name    string
	Nonce   []byte
	MAC     []byte
}

var helloSchema = avrocodec.MustParse(`{"type":"record","name":"Hello","fields":[
	{"name":"Version","type":"int"},
	{"name":"Name","type":"string"},
	{"name":"Nonce","type":"bytes"},
	{"name":"MAC","type":"bytes"}
]}`)

// frame prefixes a body with its length as four big-endian bytes.
func frame(body []byte) []byte {
	framed := make([]byte, frameHeaderBytes, frameHeaderBytes+len(body))
	binary.BigEndian.PutUint32(framed, uint32(len(body)))
	return append(framed, body...)
}

func encodeEnvelope(message envelope) ([]byte, error) {
	body, err := avro.Marshal(envelopeSchema, message)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return frame(body), nil
}

// SyncRequestMessage, SyncAnswerMessage and SyncPushMessage carry full
// membership exchanges.
type (
	// SyncRequestMessage starts an exchange.
	SyncRequestMessage struct{ membership.SyncRequest }
	// SyncAnswerMessage carries the responder's members and items.
	SyncAnswerMessage struct{ membership.SyncAnswer }
	// SyncPushMessage carries the requester's members.
	SyncPushMessage struct{ membership.SyncPush }
	// Empty is an answer without content.
	Empty struct{}
)

var (
	syncRequestSchema = avrocodec.MustParse(`{"type":"record","name":"SyncRequest","fields":[
		{"name":"Zone","type":"string"},
		{"name":"Digests","type":{"type":"array","items":"long"}},
		{"name":"ItemDigest","type":"long"}
	]}`)
	syncAnswerSchema = avrocodec.MustParse(`{"type":"record","name":"SyncAnswer","fields":[
		{"name":"Digests","type":{"type":"array","items":"long"}},
		{"name":"Members","type":{"type":"array","items":` + memberSchemaText + `}},
		{"name":"Items","type":{"type":"array","items":` + itemSchemaText + `}}
	]}`)
	syncPushSchema = avrocodec.MustParse(`{"type":"record","name":"SyncPush","fields":[
		{"name":"Members","type":{"type":"array","items":` + memberSchemaText + `}}
	]}`)
	emptySchema = avrocodec.MustParse(`{"type":"record","name":"Empty","fields":[]}`)
)

// Schema implements Message.
func (SyncRequestMessage) Schema() avro.Schema { return syncRequestSchema }

// Schema implements Message.
func (SyncAnswerMessage) Schema() avro.Schema { return syncAnswerSchema }

// Schema implements Message.
func (SyncPushMessage) Schema() avro.Schema { return syncPushSchema }

// Schema implements Message.
func (Empty) Schema() avro.Schema { return emptySchema }
