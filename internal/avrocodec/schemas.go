package avrocodec

import (
	"encoding/hex"
	"slices"
	"sync"

	"github.com/hamba/avro/v2"
)

// registered are the schemas of this build; mutex guards them.
var (
	mutex      sync.Mutex
	registered []avro.Schema
)

// MustParse parses and registers a schema of messages between daemons or of records in the
// store. Both cross from one build to another: while a fleet is upgraded, builds with
// different schemas run side by side and read each other's records. A record carries no
// schema, so a registered schema never changes. A message that needs other fields gets a
// new name of its method or key, and records in the store a new table, which older builds
// do not ask for.
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
