package quota

import (
	"github.com/hamba/avro/v2"

	"topazpulley/internal/avrocodec"
)

// Request asks an account's coordinator to commit operations.
type Request struct {
	Account    string      `avro:"account"`
	Limit      int64       `avro:"limit"`
	Config     int64       `avro:"config"`
	Operations []Operation `avro:"operations"`
}

// Answer holds the outcomes of a request's operations, in the same order.
type Answer struct {
	Outcomes []Outcome `avro:"outcomes"`
}

var (
	requestSchema = avrocodec.MustParse(`{"type":"record","name":"quota_request","fields":[{"name":"account","type":"string"},
		{"name":"limit","type":"long"},{"name":"config","type":"long"},
		{"name":"operations","type":{"type":"array","items":{"type":"record","name":"quota_operation","fields":[
		{"name":"kind","type":"int"},{"name":"job","type":"string"},{"name":"tokens","type":"long"},{"name":"holder","type":"string"},{"name":"epoch","type":"long"}]}}}]}`)
	answerSchema = avrocodec.MustParse(`{"type":"record","name":"quota_answer","fields":[
		{"name":"outcomes","type":{"type":"array","items":{"type":"record","name":"quota_outcome","fields":[
		{"name":"granted","type":"boolean"},{"name":"new","type":"boolean"},{"name":"waiting","type":"long"},{"name":"limit","type":"long"},{"name":"freed_per_second","type":"double"}]}}}]}`)
)

// Schema implements peer.Message.
func (Request) Schema() avro.Schema { return requestSchema }

// Schema implements peer.Message.
func (Answer) Schema() avro.Schema { return answerSchema }
