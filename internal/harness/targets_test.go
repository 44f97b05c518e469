package harness_test

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/emulator"
	"topazpulley/internal/failure"
	"topazpulley/internal/harness"
)

// TestInvalidFileIDRejected checks that a file id with path or URL syntax is rejected, so
// that it cannot name another tenant's file or another object of the store.
func TestInvalidFileIDRejected(t *testing.T) {
	running := start(t, []string{"a"}, 1, 1)
	caller := running.Caller(0, harness.ExampleKey)
	content, err := caller.Call("POST", "/v1/files", []byte(harness.ExampleItems(2, 2)))
	require.NoError(t, err)
	var file struct {
		ID string `json:"id"`
	}
	require.NoError(t, json.Unmarshal(content, &file))
	complete, err := caller.Call("GET", "/v1/files/"+file.ID+"/content", nil)
	require.NoError(t, err)
	require.Equal(t, harness.ExampleItems(2, 2), string(complete))
	for _, id := range []string{"../example/" + file.ID, "x/../" + file.ID, file.ID + "?a", file.ID + "#a", "./" + file.ID, file.ID + "\r\n", ""} {
		asked, err := json.Marshal(map[string]string{"input_file_id": id, "endpoint": "/v1/completions"})
		require.NoError(t, err)
		_, err = caller.Call("POST", "/v1/batches", asked)
		require.True(t, failure.HasCode(err, "no_file"), "%q: %v", id, err)
	}
	status, answer := callRaw(t, running.Daemons[0].HTTPAddress(), "GET", "/v1/files/%252e%252e/example/"+file.ID+"/content")
	require.Equal(t, 404, status)
	require.Contains(t, answer, "no_file")
}

// callRaw sends a request target unchanged; package client normalizes paths.
func callRaw(t *testing.T, address, method, target string) (int, string) {
	t.Helper()
	connection, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { _ = connection.Close() }()
	_, err = io.WriteString(connection, method+" "+target+" HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer "+harness.ExampleKey+"\r\nContent-Length: 4\r\n\r\nbody")
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.StatusCode, string(content)
}

// TestPlainServiceTargetUnchanged checks that the engine receives the path without
// decoding, and the query.
func TestPlainServiceTargetUnchanged(t *testing.T) {
	running := start(t, []string{"a"}, 1, 1)
	address := running.Daemons[0].HTTPAddress()
	for target, want := range map[string]string{
		"": "/", "/": "/", "/a%2Fb/../c?d=e%0d%0af&g=": "/a%2Fb/../c?d=e%0d%0af&g=", "//a/%0d%0aX-Call-Method:%20GET": "//a/%0d%0aX-Call-Method:%20GET",
	} {
		status, content := callRaw(t, address, "POST", "/v1/services/"+harness.ExamplePlainService+target)
		require.Equal(t, 200, status, content)
		var answer emulator.PlainAnswer
		require.NoError(t, json.Unmarshal([]byte(content), &answer))
		require.Equal(t, want, answer.Path)
	}
	status, content := callRaw(t, address, "POST", "/v1/services/"+strings.Replace(harness.ExamplePlainService, "m", "%6d", 1)+"/a")
	require.Equal(t, 400, status)
	require.Contains(t, content, "bad_target")
}

// TestAbsoluteFormTargetRejected checks that absolute-form targets and other invalid
// targets are rejected.
func TestAbsoluteFormTargetRejected(t *testing.T) {
	running := start(t, []string{"a"}, 1, 1)
	address := running.Daemons[0].HTTPAddress()
	for target, code := range map[string]string{"http://" + address + "/v1/models": "target", "/v1/models#a": "target", "*": "bad_http"} {
		status, content := callRaw(t, address, "GET", target)
		require.Equal(t, 400, status, "%s: %s", target, content)
		require.Contains(t, content, `"code":"`+code+`"`)
	}
	status, content := callRaw(t, address, "GET", "/v1/models?a=b")
	require.Equal(t, 200, status, content)
}
