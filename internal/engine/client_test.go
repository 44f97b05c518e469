package engine_test

import (
	"bytes"
	"testing"

	"topazpulley/internal/engine"
)

func FuzzDecodeEvents(f *testing.F) {
	f.Add([]byte("data: {\"attempt_id\":\"a\",\"index\":0,\"token\":\"x\"}\n\ndata: {\"end\":true}\n\n"))
	f.Add([]byte("data: {"))
	f.Fuzz(func(_ *testing.T, content []byte) {
		_ = engine.DecodeEvents(bytes.NewReader(content), func(engine.Event) {})
	})
}
