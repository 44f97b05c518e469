package harness_test

import (
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/client"
	"topazpulley/internal/emulator"
	"topazpulley/internal/gateway"
	"topazpulley/internal/harness"
)

// logRecorder records the log of all daemons.
type logRecorder struct {
	mutex sync.Mutex
	text  strings.Builder
}

func (l *logRecorder) Write(line []byte) (int, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.text.Write(line)
}

var logField = regexp.MustCompile(`(\w+)=("[^"]*"|\S*)`)

// matching returns the fields of each line that contains a text.
func (l *logRecorder) matching(text string) []map[string]string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	found := []map[string]string{}
	for line := range strings.Lines(l.text.String()) {
		if !strings.Contains(line, text) {
			continue
		}
		fields := map[string]string{}
		for _, field := range logField.FindAllStringSubmatch(line, -1) {
			fields[field[1]] = strings.Trim(field[2], `"`)
		}
		found = append(found, fields)
	}
	return found
}

// startRecorded starts a deployment and records the log of its daemons.
func startRecorded(t *testing.T, zones []string, engines int) (*harness.Harness, *logRecorder) {
	lines := &logRecorder{}
	running, err := harness.Start(harness.Config{
		Zones: zones, Region: "region", DaemonsPerZone: 1, Engines: harness.ExampleEngines(engines, len(zones), engineTimeScale),
		BundleText: harness.ExampleBundle("1"), Host: "127.0.0.1", ProbeInterval: 200 * time.Millisecond, StopLinger: 500 * time.Millisecond,
		Log: slog.New(slog.NewTextHandler(lines, nil)),
	})
	require.NoError(t, err)
	t.Cleanup(running.Stop)
	return running, lines
}

// setFaults sets the faults of all model engines.
func setFaults(t *testing.T, running *harness.Harness, faults emulator.EngineFaults) {
	t.Helper()
	for _, name := range []string{"assistant-00", "assistant-01"} {
		found, known := running.Fleet.Engine(name)
		require.True(t, known)
		found.SetFaults(faults)
	}
}

// requireSendersLogged checks that the sender of each attempt in the engines' ledger is logged,
// and returns the number of log lines by event and kind.
func requireSendersLogged(t *testing.T, running *harness.Harness, lines *logRecorder) map[string]int {
	t.Helper()
	kinds := map[string]int{}
	for _, started := range running.Fleet.Ledger() {
		senders := slices.DeleteFunc(lines.matching("attempt_id="+started.AttemptID+" "), func(line map[string]string) bool { return line["msg"] == "attempt_failed" })
		require.NotEmpty(t, senders, "no log line with the sender of %s to %s", started.AttemptID, started.Engine)
		for _, line := range senders {
			require.Equal(t, started.Engine, line["engine"])
			require.NotEmpty(t, line["daemon"])
			if line["msg"] == "item_sent" {
				require.NotEmpty(t, line["job"])
				require.NotEmpty(t, line["item"])
				require.NotEmpty(t, line["epoch"])
				require.NotEmpty(t, line["attempt"])
			} else {
				require.Equal(t, "request_sent", line["msg"])
				require.Contains(t, line["caller"], "127.0.0.1:")
				require.Equal(t, "example", line["tenant"])
				require.True(t, strings.HasPrefix(line["id"], "req-"), line["id"])
			}
			kinds[line["msg"]+" "+line["kind"]]++
		}
	}
	return kinds
}

// TestAttemptOriginLogged checks that the log maps each attempt id to the caller's
// connection, or to the job, item, owner epoch and attempt number.
func TestAttemptOriginLogged(t *testing.T) {
	running, lines := startRecorded(t, []string{"a"}, 2)
	caller := running.Caller(0, harness.ExampleKey)
	require.NoError(t, ask(caller, "first", 8))
	_, err := caller.Call("POST", "/v1/services/"+harness.ExamplePlainService+"/x", []byte("body"))
	require.NoError(t, err)
	require.Equal(t, map[string]int{"request_sent first": 2}, requireSendersLogged(t, running, lines))
	setFaults(t, running, emulator.EngineFaults{RefuseShare: 0.5})
	require.Eventually(t, func() bool {
		_ = ask(caller, "retried", 8)
		return requireSendersLogged(t, running, lines)["request_sent retry"] > 0
	}, waitTimeout, pollInterval)
	for _, line := range lines.matching("kind=retry") {
		failed := lines.matching("msg=attempt_failed daemon=a-0 id=" + line["id"] + " ")
		require.NotEmpty(t, failed, "no log line with the reason for the retry of %s", line["id"])
		require.Equal(t, "full", failed[0]["code"])
		require.Equal(t, "not_run", failed[0]["outcome"])
	}
	setFaults(t, running, emulator.EngineFaults{TruncateShare: 1})
	require.Eventually(t, func() bool {
		_ = ask(caller, "resumed", 8)
		return requireSendersLogged(t, running, lines)["request_sent resumption"] > 0
	}, waitTimeout, pollInterval)
	job := submit(t, caller, 20, 8, "job")
	require.Eventually(t, func() bool {
		return requireSendersLogged(t, running, lines)["item_sent resumption"] > 0
	}, waitTimeout, pollInterval)
	setFaults(t, running, emulator.EngineFaults{})
	waitEnded(t, caller, job.ID)
	require.Positive(t, requireSendersLogged(t, running, lines)["item_sent first"])
}

// TestForwardedRequestOriginLogged checks that the log maps the id that the other zone
// assigns to a forwarded request to the original request and its caller.
func TestForwardedRequestOriginLogged(t *testing.T) {
	running, lines := startRecorded(t, []string{"a", "b"}, 2)
	lost, known := running.Fleet.Engine("assistant-00")
	require.True(t, known)
	lost.SetFaults(emulator.EngineFaults{Crashed: true})
	caller := running.Caller(0, harness.ExampleKey)
	forwarded := func() []map[string]string { return lines.matching("msg=request_forwarded") }
	require.Eventually(t, func() bool {
		return ask(caller, "spill", 8, client.Header{Name: gateway.HeaderDeadline, Value: "5000"}) == nil && len(forwarded()) > 0
	}, waitTimeout, pollInterval)
	line := forwarded()[0]
	require.Contains(t, line["caller"], "127.0.0.1:")
	require.Equal(t, "b", line["zone"])
	sent := lines.matching("msg=request_sent daemon=b-0 id=" + line["answered_as"] + " ")
	require.Len(t, sent, 1, "%v", line)
	require.Equal(t, "a", sent[0]["from_zone"])
}

// TestMalformedRequestsCounted checks the malformed request metric of the HTTP interface.
func TestMalformedRequestsCounted(t *testing.T) {
	running := start(t, []string{"a"}, 1, 1)
	caller := running.Caller(0, harness.ExampleKey)
	_, err := caller.Call("POST", "/v1/completions", []byte(`{"model":`))
	require.Error(t, err)
	_, err = caller.Call("POST", "/v1/completions", []byte(`{}`))
	require.Error(t, err)
	response, err := http.Get("http://" + running.Daemons[0].HTTPAddress() + "/metrics")
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	shown, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	for _, kind := range []string{"bad_json", "no_model"} {
		require.Contains(t, string(shown), fmt.Sprintf(`topazpulley_malformed_requests_total{kind=%q} 1`, kind))
	}
}
