package quarantine

import (
	"time"

	"github.com/hamba/avro/v2"
	"github.com/pkg/errors"

	"topazpulley/internal/avrocodec"
)

// Evidence records that a backend crashed while a request was in flight there.
type Evidence struct {
	Fingerprint Fingerprint
	// Instance identifies the incarnation of the backend: crashes of two incarnations
	// of one id count separately.
	Instance string
	// HadOutput is true if the request had produced output before the crash.
	HadOutput bool
	// At is the wall-clock time of the daemon that observed the crash.
	At time.Time
}

// Notice is the message that daemons send to each other.
type Notice struct {
	Evidence []Evidence
	// Cleared are fingerprints whose evidence was withdrawn.
	Cleared []Fingerprint
}

type evidenceRecord struct {
	Fingerprint    []byte `avro:"fingerprint"`
	Instance       string `avro:"instance"`
	HadOutput      bool   `avro:"had_output"`
	AtMilliseconds int64  `avro:"at_ms"`
}

type noticeRecord struct {
	Evidence []evidenceRecord `avro:"evidence"`
	Cleared  [][]byte         `avro:"cleared"`
}

const evidenceSchemaText = `{"type":"record","name":"evidence","fields":[{"name":"fingerprint","type":"bytes"},
	{"name":"instance","type":"string"},{"name":"had_output","type":"boolean"},{"name":"at_ms","type":"long"}]}`

var (
	evidenceSchema = avrocodec.MustParse(evidenceSchemaText)
	noticeSchema   = avrocodec.MustParse(`{"type":"record","name":"notice","fields":[
		{"name":"evidence","type":{"type":"array","items":` + evidenceSchemaText + `}},
		{"name":"cleared","type":{"type":"array","items":"bytes"}}]}`)
)

// BadFingerprintError reports a fingerprint of the wrong length. Length is in bytes.
type BadFingerprintError struct{ Length int }

// Error implements error.
func (e *BadFingerprintError) Error() string { return "fingerprint has the wrong length" }

func fingerprintFrom(content []byte) (Fingerprint, error) {
	if len(content) != fingerprintBytes {
		return Fingerprint{}, errors.WithStack(&BadFingerprintError{Length: len(content)})
	}
	return Fingerprint(content), nil
}

func (e Evidence) record() evidenceRecord {
	return evidenceRecord{Fingerprint: e.Fingerprint[:], Instance: e.Instance, HadOutput: e.HadOutput, AtMilliseconds: e.At.UnixMilli()}
}

func (r evidenceRecord) evidence() (Evidence, error) {
	fingerprint, err := fingerprintFrom(r.Fingerprint)
	if err != nil {
		return Evidence{}, err
	}
	return Evidence{Fingerprint: fingerprint, Instance: r.Instance, HadOutput: r.HadOutput, At: time.UnixMilli(r.AtMilliseconds)}, nil
}

// encodeEvidence returns evidence as the value of a row.
func encodeEvidence(evidence Evidence) ([]byte, error) {
	content, err := avro.Marshal(evidenceSchema, evidence.record())
	return content, errors.WithStack(err)
}

func decodeEvidence(content []byte) (Evidence, error) {
	var record evidenceRecord
	if err := avrocodec.Unmarshal(evidenceSchema, content, &record); err != nil {
		return Evidence{}, errors.WithStack(err)
	}
	return record.evidence()
}

// EncodeNotice encodes a notice as the payload of a hint.
func EncodeNotice(notice Notice) ([]byte, error) {
	record := noticeRecord{Evidence: []evidenceRecord{}, Cleared: [][]byte{}}
	for _, each := range notice.Evidence {
		record.Evidence = append(record.Evidence, each.record())
	}
	for _, each := range notice.Cleared {
		record.Cleared = append(record.Cleared, each[:])
	}
	content, err := avro.Marshal(noticeSchema, record)
	return content, errors.WithStack(err)
}

// DecodeNotice decodes the output of EncodeNotice.
func DecodeNotice(content []byte) (Notice, error) {
	var record noticeRecord
	if err := avrocodec.Unmarshal(noticeSchema, content, &record); err != nil {
		return Notice{}, errors.WithStack(err)
	}
	notice := Notice{}
	for _, each := range record.Evidence {
		evidence, err := each.evidence()
		if err != nil {
			return Notice{}, err
		}
		notice.Evidence = append(notice.Evidence, evidence)
	}
	for _, each := range record.Cleared {
		fingerprint, err := fingerprintFrom(each)
		if err != nil {
			return Notice{}, err
		}
		notice.Cleared = append(notice.Cleared, fingerprint)
	}
	return notice, nil
}
