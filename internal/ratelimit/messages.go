package ratelimit

import (
	"github.com/hamba/avro/v2"

	"topazpulley/internal/avrocodec"
)

// Operation is the operation that a request executes.
type Operation int

// The operations.
const (
	// OperationTake takes a token for one request.
	OperationTake Operation = iota
	// OperationCharge takes a token unconditionally, for another attempt at an admitted request
	// that may already have run.
	OperationCharge
	// OperationReturn refunds the token of a request that never ran.
	OperationReturn
)

// Request is a request to the coordinator of a shard.
type Request struct {
	Operation Operation `avro:"operation"`
	Tenant    string    `avro:"tenant"`
	PerSecond float64   `avro:"per_second"`
	Burst     float64   `avro:"burst"`
	Config    int64     `avro:"config"`
}

// Answer is a coordinator's answer.
type Answer struct {
	IsGranted bool `avro:"granted"`
	// WaitMilliseconds is the retry delay of a refused request.
	WaitMilliseconds int64 `avro:"wait_milliseconds"`
	// Level is the number of tokens before the operation.
	Level float64 `avro:"level"`
	// Config is the version of the configuration whose limit was applied.
	Config int64 `avro:"config"`
	// IsBackup is true if the answering daemon is not a coordinator of the limit.
	IsBackup bool `avro:"stand_in"`
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
