package batch

import (
	"github.com/hamba/avro/v2"

	"topazpulley/internal/avrocodec"
)

// Peer methods that coordinators handle.
const (
	MethodWork     = "batch.work"
	MethodProgress = "batch.progress"
	MethodNotify   = "batch.notify"
)

// WorkRequest requests up to Chunks chunks of a service from a shard's
// coordinator.
type WorkRequest struct {
	Worker  string
	Shard   int
	Service string
	Chunks  int
}

// WorkAnswer contains the chunks assigned to the worker.
type WorkAnswer struct {
	Assignments []AssignmentMessage
}

// AssignmentMessage identifies a chunk and, in progress reports, whether it is
// done or released.
type AssignmentMessage struct {
	Job      string
	Chunk    int
	Done     bool
	Released bool
}

// ProgressReport lists the chunks of a shard that a worker runs, has finished or
// has released.
type ProgressReport struct {
	Worker      string
	Shard       int
	Assignments []AssignmentMessage
}

// ProgressAnswer lists the reported jobs that are no longer tracked.
type ProgressAnswer struct {
	Ended []string
}

// JobNotice notifies a coordinator that a job was created or cancelled.
type JobNotice struct {
	Job string
}

// Backlog is the gossip record of a shard's waiting chunks.
type Backlog struct {
	Services []ServiceBacklog
}

// ServiceBacklog is the number of waiting chunks of one service.
type ServiceBacklog struct {
	Service string
	Chunks  int
}

const assignmentsSchemaText = `{"type":"array","items":{"type":"record","name":"Assignment","fields":[
	{"name":"Job","type":"string"},{"name":"Chunk","type":"int"},
	{"name":"Done","type":"boolean"},{"name":"Released","type":"boolean"}]}}`

var (
	workRequestSchema = avrocodec.MustParse(`{"type":"record","name":"WorkRequest","fields":[
		{"name":"Worker","type":"string"},{"name":"Shard","type":"int"},
		{"name":"Service","type":"string"},{"name":"Chunks","type":"int"}]}`)
	workAnswerSchema = avrocodec.MustParse(`{"type":"record","name":"WorkAnswer","fields":[
		{"name":"Assignments","type":` + assignmentsSchemaText + `}]}`)
	progressSchema = avrocodec.MustParse(`{"type":"record","name":"ProgressReport","fields":[
		{"name":"Worker","type":"string"},{"name":"Shard","type":"int"},
		{"name":"Assignments","type":` + assignmentsSchemaText + `}]}`)
	progressAnswerSchema = avrocodec.MustParse(`{"type":"record","name":"ProgressAnswer","fields":[
		{"name":"Ended","type":{"type":"array","items":"string"}}]}`)
	noticeSchema  = avrocodec.MustParse(`{"type":"record","name":"JobNotice","fields":[{"name":"Job","type":"string"}]}`)
	backlogSchema = avrocodec.MustParse(`{"type":"record","name":"Backlog","fields":[
		{"name":"Services","type":{"type":"array","items":{"type":"record","name":"ServiceBacklog","fields":[
			{"name":"Service","type":"string"},{"name":"Chunks","type":"int"}]}}}]}`)
)

// Schema implements peer.Message.
func (WorkRequest) Schema() avro.Schema { return workRequestSchema }

// Schema implements peer.Message.
func (WorkAnswer) Schema() avro.Schema { return workAnswerSchema }

// Schema implements peer.Message.
func (ProgressReport) Schema() avro.Schema { return progressSchema }

// Schema implements peer.Message.
func (ProgressAnswer) Schema() avro.Schema { return progressAnswerSchema }

// Schema implements peer.Message.
func (JobNotice) Schema() avro.Schema { return noticeSchema }
