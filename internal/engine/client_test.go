package engine_test

import (
	"bytes"
	"encoding/json"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"topazpulley/internal/engine"
)

func FuzzDecodeEvents(f *testing.F) {
	f.Add([]byte("data: {\"attempt_id\":\"a\",\"index\":0,\"token\":\"x\"}\n\ndata: {\"end\":true}\n\n"))
	f.Add([]byte("data: {"))
	f.Fuzz(func(_ *testing.T, content []byte) {
		_ = engine.DecodeEvents(bytes.NewReader(content), func(engine.Event) {})
	})
}

// serveEvents answers every call with the given server-sent events.
func serveEvents(t *testing.T, events ...engine.Event) string {
	text := bytes.Buffer{}
	for _, event := range events {
		encoded, err := json.Marshal(event)
		require.NoError(t, err)
		text.WriteString("data: " + string(encoded) + "\n\n")
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		_ = fasthttp.Serve(listener, func(call *fasthttp.RequestCtx) { call.SetBody(text.Bytes()) })
	}()
	return listener.Addr().String()
}

// readAll reads a generation to its end or its first error.
func readAll(t *testing.T, address string) error {
	client := engine.NewClient(30 * time.Second)
	stream, err := client.Generate(t.Context(), address, engine.GenerateRequest{AttemptID: "mine"})
	require.NoError(t, err)
	defer stream.Close()
	for {
		event, err := stream.Next(t.Context())
		if err != nil || event.End {
			return err
		}
	}
}

func TestAnswerWithoutItsCountIsNotWhole(t *testing.T) {
	token := engine.Event{AttemptID: "mine", Index: 0, Token: "a"}
	cases := map[string]struct {
		events []engine.Event
		code   string
	}{
		"whole":         {[]engine.Event{token, {AttemptID: "mine", End: true, Count: 1}}, ""},
		"wrong count":   {[]engine.Event{token, {AttemptID: "mine", End: true, Count: 2}}, engine.CodeIncomplete},
		"no end marker": {[]engine.Event{token}, engine.CodeIncomplete},
		"gap":           {[]engine.Event{{AttemptID: "mine", Index: 1, Token: "b"}}, engine.CodeIncomplete},
		"another's":     {[]engine.Event{{AttemptID: "yours", Index: 0, Token: "c"}}, engine.CodeWrongID},
	}
	for name, each := range cases {
		t.Run(name, func(t *testing.T) {
			err := readAll(t, serveEvents(t, each.events...))
			require.Equal(t, each.code, engine.CodeOf(err))
			if each.code != "" {
				require.Equal(t, engine.OutcomeUnknown, engine.OutcomeOf(err))
			}
		})
	}
}

// TestEngineThatCannotBeReachedDidNotRun: no byte went out.
func TestEngineThatCannotBeReachedDidNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	_, err = engine.NewClient(time.Second).Generate(t.Context(), listener.Addr().String(), engine.GenerateRequest{AttemptID: "mine"})
	require.Equal(t, engine.OutcomeNotRun, engine.OutcomeOf(err))
}

// TestBrokenConnectionLeavesTheOutcomeUnknown: the request went out, and the
// engine may have run it.
func TestBrokenConnectionLeavesTheOutcomeUnknown(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	go func() {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = connection.Read(make([]byte, 4096))
		_ = connection.Close()
	}()
	_, err = engine.NewClient(time.Second).Generate(t.Context(), listener.Addr().String(), engine.GenerateRequest{AttemptID: "mine"})
	require.Equal(t, engine.OutcomeUnknown, engine.OutcomeOf(err))
}

// TestCallOfOtherWordsIsNotSent: the library that writes fields makes spaces of line
// breaks, so that an engine would get a path that nobody had sent.
func TestCallOfOtherWordsIsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	for _, call := range []engine.CallRequest{{Method: "POST", Path: "/a\r\nX-Call-Method: GET"}, {Method: "POST", Path: "/a b"}, {Method: "P\nST", Path: "/a"}} {
		_, err := engine.NewClient(time.Second).Call(t.Context(), listener.Addr().String(), call)
		require.Equal(t, engine.OutcomeInvalid, engine.OutcomeOf(err))
	}
	require.NoError(t, listener.(*net.TCPListener).SetDeadline(time.Now()))
	_, err = listener.Accept()
	require.Error(t, err, "a connection was made")
}
