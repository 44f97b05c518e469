// Package avrocodec reads avro records that came from outside the process. A record
// names the lengths of its parts before them; here no part is made room for that is
// longer than the record can hold, and no malformed record ends the process.
package avrocodec

import (
	"github.com/hamba/avro/v2"

	"topazpulley/internal/failure"
)

const (
	// datagramBytes, frameBytes and contentBytes are the sizes up to which records
	// come: in datagrams, in calls between daemons and as contents of jobs.
	datagramBytes = 64 << 10
	frameBytes    = 1 << 20
	contentBytes  = 64 << 20
	// mostElements bounds the parts of a list; the largest jobs have 870,000 items.
	mostElements = 1 << 20
)

// reader reads records of up to a size.
type reader struct {
	size int
	api  avro.API
}

// readers are ordered by size. What a record's own words can make them allocate is
// in proportion to the size.
var readers = []reader{newReader(datagramBytes), newReader(frameBytes), newReader(contentBytes)}

// newReader makes a reader: a part takes at least one byte.
func newReader(size int) reader {
	return reader{size: size, api: avro.Config{MaxByteSliceSize: size, MaxSliceAllocSize: min(size, mostElements)}.Freeze()}
}

// Unmarshal reads a record. An error is a *failure.Error.
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
