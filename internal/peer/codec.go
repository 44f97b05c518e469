// Package peer is the protocol between daemons: avro messages in sealed UDP
// datagrams for membership and in length-prefixed TCP frames for calls, both
// over gnet. Every datagram and every connection's hello is authenticated with
// the cluster key; unknown peers get nothing.
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
	macBytes        = 16
	frameHeadBytes  = 4
	maxFrameBytes   = 32 << 20
	maxDatagramSize = 64 << 10
)

// Message is a type with a fixed avro schema.
type Message interface {
	// Schema returns the schema by which the type is encoded.
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

// SealDatagram encodes and authenticates a packet.
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

// OpenDatagram checks and decodes a packet.
func OpenDatagram(key, sealed []byte) (membership.Packet, error) {
	packet := membership.Packet{}
	if len(sealed) < 1+macBytes || sealed[0] != ProtocolVersion {
		return packet, failure.New(failure.KindInvalid, "bad_datagram", "the datagram is short or of another version")
	}
	body := sealed[1+macBytes:]
	if subtle.ConstantTimeCompare(sealed[1:1+macBytes], authenticate(key, body)) != 1 {
		return packet, failure.New(failure.KindUnauthorized, "bad_datagram_key", "the datagram is not sealed with the cluster key")
	}
	if err := avrocodec.Unmarshal(packetSchema, body, &packet); err != nil {
		return membership.Packet{}, err
	}
	return packet, nil
}

func authenticate(key []byte, parts ...[]byte) []byte {
	mac := hmac.New(sha256.New, key)
	for _, part := range parts {
		_, _ = mac.Write(part)
	}
	return mac.Sum(nil)[:macBytes]
}

// envelope frames one call or answer.
type envelope struct {
	// ID pairs an answer with its call.
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

// hello opens a connection from the calling side.
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

// frame prefixes a body with its length.
func frame(body []byte) []byte {
	framed := make([]byte, frameHeadBytes, frameHeadBytes+len(body))
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
	// SyncRequestMessage opens an exchange.
	SyncRequestMessage struct{ membership.SyncRequest }
	// SyncAnswerMessage is the responder's side.
	SyncAnswerMessage struct{ membership.SyncAnswer }
	// SyncPushMessage is the requester's side.
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
