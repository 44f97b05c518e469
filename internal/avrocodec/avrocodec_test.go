package avrocodec

import (
	"bytes"
	"runtime"
	"testing"

	"github.com/hamba/avro/v2"
	"github.com/stretchr/testify/require"

	"topazpulley/internal/failure"
)

type part struct {
	Name string `avro:"name"`
}

type list struct {
	Parts []part `avro:"parts"`
	Body  []byte `avro:"body"`
}

var listSchema = avro.MustParse(`{"type":"record","name":"list","fields":[
	{"name":"parts","type":{"type":"array","items":{"type":"record","name":"part","fields":[{"name":"name","type":"string"}]}}},
	{"name":"body","type":"bytes"}]}`)

// TestLongFieldsAreRead: by default the library encodes fields of more than 1 MiB but
// does not decode them, so that a job with such a body could not be read.
func TestLongFieldsAreRead(t *testing.T) {
	for _, size := range []int{0, 1, datagramBytes - 10, datagramBytes, frameBytes, 3 << 20} {
		wanted := list{Parts: []part{{Name: "a"}}, Body: bytes.Repeat([]byte{7}, size)}
		content, err := avro.Marshal(listSchema, wanted)
		require.NoError(t, err)
		var read list
		require.NoError(t, Unmarshal(listSchema, content, &read))
		require.Equal(t, wanted, read)
	}
	err := Unmarshal(listSchema, make([]byte, contentBytes+1), &list{})
	require.True(t, failure.HasCode(err, "long_avro"))
}

// TestClaimedLengthIsNotAllocated: a record of a few bytes that claims a list of
// billions of elements must not exhaust the memory.
func TestClaimedLengthIsNotAllocated(t *testing.T) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for _, content := range []string{"\xff\xed\xff\xed0", "\xfe\xff\xff\xff\xff\xff\xff\xff\xff\x01", "\x80\x80\x80\x80\x10", "\x02\x80\x80\x80\x80\x10"} {
		require.True(t, failure.HasCode(Unmarshal(listSchema, []byte(content), &list{}), "bad_avro"), "%q", content)
	}
	runtime.ReadMemStats(&after)
	require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(16<<20))
}

func FuzzUnmarshal(f *testing.F) {
	content, _ := avro.Marshal(listSchema, list{Parts: []part{{Name: "a"}, {Name: "b"}}, Body: []byte("body")})
	f.Add(content)
	f.Add([]byte("\xff\xed\xff\xed0"))
	f.Add([]byte("\x01\x7f"))
	f.Fuzz(func(t *testing.T, content []byte) {
		var read list
		if Unmarshal(listSchema, content, &read) == nil {
			require.LessOrEqual(t, len(read.Body), len(content))
		}
	})
}
