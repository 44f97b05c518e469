package avrocodec

import (
	"testing"

	"github.com/hamba/avro/v2"
	"github.com/stretchr/testify/require"
)

// Guards against a record that was cut off and decodes as a whole one.
func TestTruncatedRecordIsRefused(t *testing.T) {
	whole, err := avro.Marshal(listSchema, list{Parts: []part{{Name: "first"}, {Name: "second"}}, Body: []byte("body of the record")})
	require.NoError(t, err)
	for size := range whole {
		var read list
		require.Error(t, Unmarshal(listSchema, whole[:size], &read), "%d of %d bytes: %+v", size, len(whole), read)
	}
	var read list
	require.NoError(t, Unmarshal(listSchema, whole, &read))
}

// A record of a build that does not know the last fields is whole, and only that.
func TestRecordWithoutFieldsThatHaveDefaultsIsRead(t *testing.T) {
	type message struct {
		Name  string `avro:"name"`
		Parts []part `avro:"parts"`
		Count int    `avro:"count"`
	}
	const fields = `{"type":"record","name":"message","fields":[{"name":"name","type":"string"}`
	older := avro.MustParse(fields + `]}`)
	newer := avro.MustParse(fields + `,{"name":"parts","type":{"type":"array","items":{"type":"record","name":"part_of","fields":[
		{"name":"name","type":"string"}]}},"default":[]},{"name":"count","type":"int","default":0}]}`)
	short, err := avro.Marshal(older, message{Name: "first"})
	require.NoError(t, err)
	var read message
	require.NoError(t, Unmarshal(newer, short, &read))
	require.Equal(t, message{Name: "first"}, message{Name: read.Name, Count: read.Count})
	whole, err := avro.Marshal(newer, message{Name: "first", Parts: []part{{Name: "a"}, {Name: "b"}}, Count: 7})
	require.NoError(t, err)
	isOlder := map[int]bool{len(short): true, len(whole) - 1: true}
	for size := range whole {
		var cut message
		require.Equal(t, isOlder[size], Unmarshal(newer, whole[:size], &cut) == nil, "%d of %d bytes", size, len(whole))
	}
}
