// Package avrocodec decodes Avro records from outside the process. An encoded record
// states the length of each field or list before its content. Unmarshal allocates no more
// than a record of that size may contain, and a malformed record does not crash the
// process. MustParse parses and registers the schemas.
package avrocodec

import (
	"github.com/hamba/avro/v2"

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
	api  avro.API
}

// readers are ordered by size. The memory that a reader allocates for a malformed record
// is proportional to its size.
var readers = []reader{newReader(datagramBytes), newReader(frameBytes), newReader(contentBytes)}

// newReader returns a reader. A list has at most size elements, as each element has at
// least one byte.
func newReader(size int) reader {
	return reader{size: size, api: avro.Config{MaxByteSliceSize: size, MaxSliceAllocSize: min(size, maxElements)}.Freeze()}
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
		if err := each.api.Unmarshal(schema, content, target); err != nil {
			return failure.Wrap(err, failure.KindInvalid, "bad_avro", "the record cannot be decoded")
		}
		return nil
	}
	return failure.New(failure.KindTooLarge, "long_avro", "the record has %d bytes, more than %d", len(content), contentBytes)
}
