package job

import (
	"time"

	"github.com/hamba/avro/v2"
	"github.com/pkg/errors"

	"topazpulley/internal/avrocodec"
	"topazpulley/internal/failure"
	"topazpulley/internal/routing"
	"topazpulley/internal/serving"
)

// jobSchema is the stored form of a job's content. Fields may only be added, each with
// a default.
var jobSchema = avrocodec.MustParse(`{"type":"record","name":"job","fields":[
	{"name":"id","type":"string"},{"name":"host","type":"string"},{"name":"submitted_ms","type":"long"},
	{"name":"due_ms","type":"long"},{"name":"give_up_ms","type":"long"},
	{"name":"items","type":{"type":"array","items":{"type":"record","name":"item","fields":[
		{"name":"id","type":"string"},{"name":"path","type":"string"},{"name":"tokens","type":"long"},{"name":"body","type":"bytes"},
		{"name":"fields","type":{"type":"array","items":{"type":"record","name":"field","fields":[
			{"name":"name","type":"string"},{"name":"value","type":"string"}]}}},
		{"name":"prompt","type":{"type":"array","items":{"type":"record","name":"part","fields":[
			{"name":"id","type":"string"},{"name":"tokens","type":"long"}]}}}]}}},
	{"name":"tenant","type":"string","default":""}]}`)

// jobRecord and the records below it are the Go forms of jobSchema. Tokens and prompt
// sizes are in tokens, times in milliseconds.
type jobRecord struct {
	ID          string       `avro:"id"`
	Host        string       `avro:"host"`
	SubmittedMs int64        `avro:"submitted_ms"`
	DueMs       int64        `avro:"due_ms"`
	GiveUpMs    int64        `avro:"give_up_ms"`
	Items       []itemRecord `avro:"items"`
	Tenant      string       `avro:"tenant"`
}

type itemRecord struct {
	ID     string        `avro:"id"`
	Path   string        `avro:"path"`
	Tokens int64         `avro:"tokens"`
	Body   []byte        `avro:"body"`
	Fields []fieldRecord `avro:"fields"`
	Prompt []partRecord  `avro:"prompt"`
}

type fieldRecord struct {
	Name  string `avro:"name"`
	Value string `avro:"value"`
}

type partRecord struct {
	ID     string `avro:"id"`
	Tokens int64  `avro:"tokens"`
}

func encodeJob(job Job) ([]byte, error) {
	record := jobRecord{
		ID: job.ID, Host: job.Host, SubmittedMs: job.SubmittedAt.UnixMilli(),
		DueMs: job.Due.Milliseconds(), GiveUpMs: job.GiveUpAfter.Milliseconds(), Items: []itemRecord{}, Tenant: job.Tenant,
	}
	for _, item := range job.Items {
		record.Items = append(record.Items, newItemRecord(item))
	}
	content, err := avro.Marshal(jobSchema, record)
	return content, errors.WithStack(err)
}

func newItemRecord(item Item) itemRecord {
	record := itemRecord{ID: item.ID, Path: item.Path, Tokens: int64(item.Tokens), Body: item.Body, Fields: []fieldRecord{}, Prompt: []partRecord{}}
	if record.Body == nil {
		record.Body = []byte{}
	}
	for _, field := range item.Fields {
		record.Fields = append(record.Fields, fieldRecord{Name: field.Name, Value: field.Value})
	}
	for _, part := range item.Prompt {
		record.Prompt = append(record.Prompt, partRecord{ID: part.ID, Tokens: int64(part.Tokens)})
	}
	return record
}

func decodeJob(content []byte) (Job, error) {
	var record jobRecord
	if err := avrocodec.Unmarshal(jobSchema, content, &record); err != nil {
		return Job{}, failure.Wrap(err, failure.KindInternal, "bad_job_content", "the content of a job cannot be read")
	}
	job := Job{
		ID: record.ID, Host: record.Host, Tenant: record.Tenant, SubmittedAt: time.UnixMilli(record.SubmittedMs),
		Due: milliseconds(record.DueMs), GiveUpAfter: milliseconds(record.GiveUpMs),
	}
	for _, item := range record.Items {
		job.Items = append(job.Items, newItem(item))
	}
	return job, nil
}

func newItem(record itemRecord) Item {
	item := Item{ID: record.ID, Path: record.Path, Tokens: int(record.Tokens), Body: record.Body}
	for _, field := range record.Fields {
		item.Fields = append(item.Fields, serving.Field{Name: field.Name, Value: field.Value})
	}
	for _, part := range record.Prompt {
		item.Prompt = append(item.Prompt, routing.PromptPart{ID: part.ID, Tokens: int(part.Tokens)})
	}
	return item
}

func milliseconds(count int64) time.Duration { return time.Duration(count) * time.Millisecond }
