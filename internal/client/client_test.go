package client_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/client"
	"topazpulley/internal/httphead/headtest"
)

// Guards against an answer of a daemon whose status is none, and that counts as a success.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	sent := ""
	called := client.New("http://"+headtest.ServeCut(t, func() string { return sent }), "key")
	for _, line := range headtest.InvalidStatusLines() {
		sent = line + "\r\nContent-Length: 2\r\n\r\n{}"
		_, err := called.Call("GET", "/", nil)
		require.Error(t, err, "%q", line)
	}
}

// Guards against a part of an answer that counts as whole because it states no length.
func TestAnswerWithoutLengthIsNotWhole(t *testing.T) {
	called := client.New("http://"+headtest.ServeCut(t, func() string { return "HTTP/1.1 200 OK\r\n\r\n{}" }), "key")
	_, err := called.Call("GET", "/", nil)
	require.Error(t, err)
}
