package engine_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"topazpulley/internal/engine"
	"topazpulley/internal/httphead/headtest"
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

// readAll reads a generation to its end and returns the first error.
func readAll(t *testing.T, address string) error {
	client := engine.NewClient(30 * time.Second)
	stream, err := client.Generate(t.Context(), address, engine.GenerateRequest{AttemptID: "mine"})
	require.NoError(t, err)
	return readStream(t, stream)
}

// readStream reads a stream to its end, closes it and returns the first error.
func readStream(t *testing.T, stream *engine.Stream) error {
	t.Helper()
	defer stream.Close()
	for {
		event, err := stream.Next(t.Context())
		if err != nil || event.End {
			return err
		}
	}
}

// TestIncompleteAnswerIsRejected: an answer with missing tokens, without its end marker
// or with another attempt's id must not pass as complete.
func TestIncompleteAnswerIsRejected(t *testing.T) {
	token := engine.Event{AttemptID: "mine", Index: 0, Token: "a"}
	cases := map[string]struct {
		events []engine.Event
		code   string
	}{
		"complete":      {[]engine.Event{token, {AttemptID: "mine", End: true, Count: 1}}, ""},
		"wrong count":   {[]engine.Event{token, {AttemptID: "mine", End: true, Count: 2}}, engine.CodeIncomplete},
		"no end marker": {[]engine.Event{token}, engine.CodeIncomplete},
		"missing token": {[]engine.Event{{AttemptID: "mine", Index: 1, Token: "b"}}, engine.CodeIncomplete},
		"wrong id":      {[]engine.Event{{AttemptID: "yours", Index: 0, Token: "c"}}, engine.CodeWrongID},
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

// TestUnreachableEngineDidNotRun: a request of which no byte was sent may be retried.
func TestUnreachableEngineDidNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	_, err = engine.NewClient(time.Second).Generate(t.Context(), listener.Addr().String(), engine.GenerateRequest{AttemptID: "mine"})
	require.Equal(t, engine.OutcomeNotRun, engine.OutcomeOf(err))
}

// TestBrokenConnectionHasUnknownOutcome: the engine may have run a request that was
// sent.
func TestBrokenConnectionHasUnknownOutcome(t *testing.T) {
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

// TestCallWithInvalidHeaderIsNotSent: the HTTP library replaces line breaks in header
// values by spaces, so that the engine would receive another path.
func TestCallWithInvalidHeaderIsNotSent(t *testing.T) {
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

// Guards against an answer of a plain service that was cut off and counts as whole.
func TestCutCallAnswerIsNotComplete(t *testing.T) {
	const begin = "HTTP/1.1 200 OK\r\nConnection: close\r\n" + engine.HeaderAttempt + ": mine\r\n"
	for name, whole := range map[string]string{
		"length":   begin + "Content-Length: 6\r\n\r\nanswer",
		"chunked":  begin + "Transfer-Encoding: chunked\r\n\r\n6\r\nanswer\r\n0\r\n\r\n",
		"unframed": begin + "\r\nanswer",
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer func() { _ = listener.Close() }()
			for size := 0; size <= len(whole); size++ {
				go answerOnce(listener, whole[:size])
				answer, err := engine.NewClient(time.Second).Call(t.Context(), listener.Addr().String(), engine.CallRequest{AttemptID: "mine", Method: "POST", Path: "/a"})
				if name != "unframed" && size == len(whole) {
					require.NoError(t, err)
					require.Equal(t, "answer", string(answer.Body))
					continue
				}
				require.Equal(t, engine.OutcomeUnknown, engine.OutcomeOf(err), "%d of %d bytes", size, len(whole))
				require.Error(t, err)
			}
		})
	}
}

// Guards against an answer of a plain service whose head was cut off, and that has the body or the
// refusal of the answer behind it.
func TestCallAnswerBehindCutHeadIsNotComplete(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n" + engine.HeaderAttempt + ": mine\r\nContent-Type: text/plain\r\nServer: a\r\n\r\n"
	const fields = engine.HeaderAttempt + ": other\r\nContent-Type: text/css\r\n"
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	for _, other := range []string{
		"HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 5\r\n\r\nother",
		"HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 17\r\n\r\n{\"code\":\"full\"}  ",
	} {
		for _, begin := range []string{head, strings.Replace(head, "200 OK", "503 Service Unavailable", 1)} {
			for size := 1; size < len(begin); size++ {
				go answerOnce(listener, begin[:size]+other)
				_, err := engine.NewClient(time.Second).Call(t.Context(), listener.Addr().String(), engine.CallRequest{AttemptID: "mine", Method: "POST", Path: "/a"})
				require.Error(t, err, "%q", begin[:size])
				require.Equal(t, engine.OutcomeUnknown, engine.OutcomeOf(err), "%q", begin[:size])
			}
		}
	}
}

// Guards against an answer of an engine whose status is none, and that counts as a success or a refusal.
func TestInvalidStatusOfAnEngineIsNoAnswer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	address := listener.Addr().String()
	for _, line := range headtest.InvalidStatusLines() {
		for _, body := range []string{"answer", `{"code":"full"}`} {
			text := fmt.Sprintf("%s\r\n%s: mine\r\nContent-Length: %d\r\n\r\n%s", line, engine.HeaderAttempt, len(body), body)
			go answerOnce(listener, text)
			_, err := engine.NewClient(time.Second).Call(t.Context(), address, engine.CallRequest{AttemptID: "mine", Method: "POST", Path: "/a"})
			require.Error(t, err, "call, %q", line)
			require.Equal(t, engine.OutcomeUnknown, engine.OutcomeOf(err), "call, %q", line)
			go answerOnce(listener, text)
			_, err = engine.NewClient(time.Second).Generate(t.Context(), address, engine.GenerateRequest{AttemptID: "mine", Model: "m", MaxTokens: 1})
			require.Error(t, err, "generate, %q", line)
			require.Equal(t, engine.OutcomeUnknown, engine.OutcomeOf(err), "generate, %q", line)
			go answerOnce(listener, text)
			require.Error(t, engine.NewClient(time.Second).Order(address, engine.Order{}), "order, %q", line)
		}
	}
}

// Guards against a part of an answer to an upload that counts as whole: the engine sends it before it has
// read the upload, and resets the connection.
func TestPartOfAnEarlyAnswerIsNotComplete(t *testing.T) {
	const begin = "HTTP/1.1 200 OK\r\n" + engine.HeaderAttempt + ": mine\r\n"
	for name, sent := range map[string]string{"unframed": begin + "\r\na part", "length": begin + "Content-Length: 9\r\n\r\na part", "events": begin + "\r\ndata: {\"attempt_id\":\"mine\",\"index\":0,\"token\":\"x\"}\n\n"} {
		t.Run(name, func(t *testing.T) {
			address := headtest.Serve(t, func(connection net.Conn) {
				_, _ = connection.Read(make([]byte, 1024))
				_, _ = connection.Write([]byte(sent))
				time.Sleep(20 * time.Millisecond)
				_ = connection.(*net.TCPConn).SetLinger(0)
				_ = connection.Close()
			})
			client := engine.NewClient(time.Second)
			_, err := client.Call(t.Context(), address, engine.CallRequest{AttemptID: "mine", Method: "POST", Path: "/a", Body: make([]byte, 4<<20)})
			require.Error(t, err)
			require.Equal(t, engine.OutcomeUnknown, engine.OutcomeOf(err))
			input, err := json.Marshal(strings.Repeat("x", 4<<20))
			require.NoError(t, err)
			stream, err := client.Generate(t.Context(), address, engine.GenerateRequest{AttemptID: "mine", Model: "m", MaxTokens: 2, Input: input})
			if err == nil {
				err = readStream(t, stream)
			}
			require.Error(t, err)
			require.Equal(t, engine.OutcomeUnknown, engine.OutcomeOf(err))
		})
	}
}

// answerOnce answers the first request of the next connection and closes it.
func answerOnce(listener net.Listener, answer string) {
	connection, err := listener.Accept()
	if err != nil {
		return
	}
	_, _ = connection.Read(make([]byte, 4096))
	_, _ = connection.Write([]byte(answer))
	_ = connection.Close()
}

// TestMoreTokensThanWantedAreRefused: an engine that does not end its answer must not fill the memory.
func TestMoreTokensThanWantedAreRefused(t *testing.T) {
	const wanted, sent = 3, 1000
	events := []engine.Event{}
	for index := range sent {
		events = append(events, engine.Event{AttemptID: "mine", Index: index, Token: "a"})
	}
	address := serveEvents(t, events...)
	client := engine.NewClient(30 * time.Second)
	opened, err := client.Generate(t.Context(), address, engine.GenerateRequest{AttemptID: "mine", MaxTokens: wanted})
	require.NoError(t, err)
	require.Equal(t, wanted, countTokens(t, opened))
}

// countTokens reads a stream until it fails, and returns the number of tokens.
func countTokens(t *testing.T, stream *engine.Stream) int {
	t.Helper()
	defer stream.Close()
	for count := 0; ; count++ {
		if _, err := stream.Next(t.Context()); err != nil {
			return count
		}
	}
}
