// Package avrocodec decodes Avro records from outside the process. An encoded record
// states the length of each field or list before its content. Unmarshal allocates no more
// than a record of that size may contain, and a malformed record does not crash the
// process. MustParse parses and registers the schemas.
package avrocodec

import (
	"io"
	"sync"

	"github.com/hamba/avro/v2"
	"github.com/pkg/errors"

	"topazpulley/internal/failure"
)

const (
	// datagramBytes, frameBytes and contentBytes are the maximum sizes of records in
	// datagrams, in calls between daemons and in the contents of jobs.
	datagramBytes = 64 << 10
	frameBytes    = 1 << 20
	contentBytes  = 64 << 20
	// maxElements is the maximum number of elements of a list.
	maxElements = 1 << 20
)

// reader decodes records of at most size bytes.
type reader struct {
	size int
	// decoders is a pool of *avro.Reader.
	decoders *sync.Pool
}

// readers are ordered by size. The memory that a reader allocates for a malformed record
// is proportional to its size.
var readers = []reader{newReader(datagramBytes), newReader(frameBytes), newReader(contentBytes)}

// newReader returns a reader. A list has at most size elements, as each element has at
// least one byte.
func newReader(size int) reader {
	config := avro.Config{MaxByteSliceSize: size, MaxSliceAllocSize: min(size, maxElements)}.Freeze()
	return reader{size: size, decoders: &sync.Pool{New: func() any {
		return avro.NewReader(nil, 0, avro.WithReaderConfig(config))
	}}}
}

// decode decodes a record. Unlike avro.Unmarshal it refuses one that was cut off. A record of a
// build that does not know the last fields is whole if all of these have defaults.
func (r reader) decode(schema avro.Schema, content []byte, target any) error {
	isWhole, _, err := r.decodeFields(schema, content, target)
	for older := schema; err == nil && !isWhole; {
		older = withoutLastField(older)
		if older == nil {
			return errors.WithStack(io.ErrUnexpectedEOF)
		}
		hasFields, isAtEnd, olderErr := r.decodeFields(older, content, target)
		isWhole, err = hasFields && isAtEnd, olderErr
	}
	return err
}

// decodeFields decodes a record. It reports whether the content has all fields of the schema, and
// whether nothing follows them.
func (r reader) decodeFields(schema avro.Schema, content []byte, target any) (hasFields, isAtEnd bool, err error) {
	decoder := r.borrow(content)
	decoder.ReadVal(schema, target)
	if err = decoder.Error; err == nil {
		decoder.Peek()
		isAtEnd = errors.Is(decoder.Error, io.EOF)
	}
	r.giveBack(decoder)
	if errors.Is(err, io.EOF) {
		return false, false, nil
	}
	return err == nil, isAtEnd, errors.WithStack(err)
}

func (r reader) borrow(content []byte) *avro.Reader {
	decoder := r.decoders.Get().(*avro.Reader)
	decoder.Reset(content)
	decoder.Error = nil
	return decoder
}

func (r reader) giveBack(decoder *avro.Reader) {
	decoder.Reset(nil)
	r.decoders.Put(decoder)
}

// withoutLastField returns the schema of a record without its last field, or nil if that field has
// no default.
func withoutLastField(schema avro.Schema) avro.Schema {
	record, isRecord := schema.(*avro.RecordSchema)
	if !isRecord || len(record.Fields()) == 0 {
		return nil
	}
	last := len(record.Fields()) - 1
	if !record.Fields()[last].HasDefault() {
		return nil
	}
	older, err := avro.NewRecordSchema(record.Name(), record.Namespace(), record.Fields()[:last])
	if err != nil {
		return nil // the fields of a valid record are valid
	}
	return older
}

// Unmarshal decodes a record into target. The error is a *failure.Error.
func Unmarshal(schema avro.Schema, content []byte, target any) (err error) {
	defer func() {
		if recovered := recover(); recovered != nil {
			err = failure.New(failure.KindInvalid, "bad_avro", "the record cannot be decoded")
		}
	}()
	for _, each := range readers {
		if len(content) > each.size {
			continue
		}
		if err := each.decode(schema, content, target); err != nil {
			return failure.Wrap(err, failure.KindInvalid, "bad_avro", "the record cannot be decoded")
		}
		return nil
	}
	return failure.New(failure.KindTooLarge, "long_avro", "the record has %d bytes, more than %d", len(content), contentBytes)
}
