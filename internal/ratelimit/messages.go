package ratelimit

import (
	"github.com/hamba/avro/v2"

	"topazpulley/internal/avrocodec"
)

// Operation says what a request to a keeper does.
type Operation int

// The operations.
const (
	// OperationTake asks for room for one request.
	OperationTake Operation = iota
	// OperationCharge counts a run that nobody was asked for: one more attempt
	// at a request whose first may have run.
	OperationCharge
	// OperationReturn gives back what was granted to a request that never ran.
	OperationReturn
)

// Request asks the keeper of a part of a tenant's limit.
type Request struct {
	Operation Operation `avro:"operation"`
	Tenant    string    `avro:"tenant"`
	PerSecond float64   `avro:"per_second"`
	Burst     float64   `avro:"burst"`
	Config    int64     `avro:"config"`
}

// Answer is a keeper's.
type Answer struct {
	IsGranted bool `avro:"granted"`
	// WaitMilliseconds is when a refused request finds room.
	WaitMilliseconds int64 `avro:"wait_milliseconds"`
	// Level is how many requests there was room for, before this one.
	Level float64 `avro:"level"`
	// Config is the version of the configuration whose limit was applied.
	Config int64 `avro:"config"`
	// IsStandIn tells that the answering daemon is none of the keepers.
	IsStandIn bool `avro:"stand_in"`
}

var (
	requestSchema = avrocodec.MustParse(`{"type":"record","name":"rate_request","fields":[{"name":"operation","type":"int"},{"name":"tenant","type":"string"},
		{"name":"per_second","type":"double"},{"name":"burst","type":"double"},{"name":"config","type":"long"}]}`)
	answerSchema = avrocodec.MustParse(`{"type":"record","name":"rate_answer","fields":[{"name":"granted","type":"boolean"},{"name":"wait_milliseconds","type":"long"},
		{"name":"level","type":"double"},{"name":"config","type":"long"},{"name":"stand_in","type":"boolean"}]}`)
)

// Schema implements peer.Message.
func (Request) Schema() avro.Schema { return requestSchema }

// Schema implements peer.Message.
func (Answer) Schema() avro.Schema { return answerSchema }
