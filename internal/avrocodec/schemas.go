package avrocodec

import (
	"encoding/hex"
	"slices"
	"sync"

	"github.com/hamba/avro/v2"
)

// registered contains the schemas of this build; mutex guards it.
var (
	mutex      sync.Mutex
	registered []avro.Schema
)

// MustParse parses and registers a schema of messages between daemons or of records in the
// store. While a fleet is upgraded, different builds run at the same time and read each
// other's records. An encoded record does not contain its schema, so a registered schema
// must never change. A message with other fields needs a new method or key name, and
// records in the store a new table, which older builds do not read.
func MustParse(text string) avro.Schema {
	schema := avro.MustParse(text)
	mutex.Lock()
	defer mutex.Unlock()
	registered = append(registered, schema)
	return schema
}

// Registered returns the schemas of this build, one line each with the name of the record
// and the fingerprint of its canonical form, in order.
func Registered() []string {
	mutex.Lock()
	defer mutex.Unlock()
	lines := make([]string, 0, len(registered))
	for _, schema := range registered {
		fingerprint := schema.Fingerprint()
		name := string(schema.Type())
		if named, isNamed := schema.(avro.NamedSchema); isNamed {
			name = named.FullName()
		}
		lines = append(lines, name+" "+hex.EncodeToString(fingerprint[:]))
	}
	slices.Sort(lines)
	return slices.Compact(lines)
}
