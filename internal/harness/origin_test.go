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

// logText keeps what the daemons log.
type logText struct {
	mutex sync.Mutex
	text  strings.Builder
}

func (l *logText) Write(line []byte) (int, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.text.Write(line)
}

var logField = regexp.MustCompile(`(\w+)=("[^"]*"|\S*)`)

// with returns the fields of the lines that hold a text.
func (l *logText) with(text string) []map[string]string {
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

// startLogged is start with the lines of all daemons kept.
func startLogged(t *testing.T, zones []string, engines int) (*harness.Harness, *logText) {
	lines := &logText{}
	running, err := harness.Start(harness.Config{
		Zones: zones, Region: "region", DaemonsPerZone: 1, Engines: harness.ExampleEngines(engines, len(zones), fastEngine),
		BundleText: harness.ExampleBundle("1"), Host: "127.0.0.1", ProbeInterval: 200 * time.Millisecond, StopLinger: 500 * time.Millisecond,
		Log: slog.New(slog.NewTextHandler(lines, nil)),
	})
	require.NoError(t, err)
	t.Cleanup(running.Stop)
	return running, lines
}

// setFaults harms all engines.
func setFaults(t *testing.T, running *harness.Harness, faults emulator.EngineFaults) {
	t.Helper()
	for _, name := range []string{"assistant-00", "assistant-01"} {
		found, known := running.Fleet.Engine(name)
		require.True(t, known)
		found.SetFaults(faults)
	}
}

// requireSenders checks that each attempt which an engine began has one line that names
// its sender, and returns how many lines there are of each event and kind.
func requireSenders(t *testing.T, running *harness.Harness, lines *logText) map[string]int {
	t.Helper()
	kinds := map[string]int{}
	for _, started := range running.Fleet.Ledger() {
		senders := slices.DeleteFunc(lines.with("attempt_id="+started.AttemptID+" "), func(line map[string]string) bool { return line["msg"] == "attempt_failed" })
		require.NotEmpty(t, senders, "no daemon's log tells who sent %s to %s", started.AttemptID, started.Engine)
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

// TestOriginOfEngineWorkIsInTheLog: an engine knows an attempt's id only, and no daemon
// wrote who had sent it. From that id each kind of request leads to its caller's
// connection, or to the job, item, owner's epoch and attempt.
func TestOriginOfEngineWorkIsInTheLog(t *testing.T) {
	running, lines := startLogged(t, []string{"a"}, 2)
	caller := running.Caller(0, harness.ExampleKey)
	require.NoError(t, ask(caller, "first", 8))
	_, err := caller.Call("POST", "/v1/services/"+harness.ExamplePlainService+"/x", []byte("body"))
	require.NoError(t, err)
	require.Equal(t, map[string]int{"request_sent first": 2}, requireSenders(t, running, lines))
	setFaults(t, running, emulator.EngineFaults{RefuseShare: 0.5})
	require.Eventually(t, func() bool {
		_ = ask(caller, "retried", 8)
		return requireSenders(t, running, lines)["request_sent retry"] > 0
	}, wideBound, pollEvery)
	for _, line := range lines.with("kind=retry") {
		failed := lines.with("msg=attempt_failed daemon=a-0 id=" + line["id"] + " ")
		require.NotEmpty(t, failed, "why %s was sent again is not told", line["id"])
		require.Equal(t, "full", failed[0]["code"])
		require.Equal(t, "not_run", failed[0]["outcome"])
	}
	setFaults(t, running, emulator.EngineFaults{TruncateShare: 1})
	require.Eventually(t, func() bool {
		_ = ask(caller, "resumed", 8)
		return requireSenders(t, running, lines)["request_sent resumption"] > 0
	}, wideBound, pollEvery)
	job := submit(t, caller, 20, 8, "job")
	require.Eventually(t, func() bool {
		return requireSenders(t, running, lines)["item_sent resumption"] > 0
	}, wideBound, pollEvery)
	setFaults(t, running, emulator.EngineFaults{})
	waitEnded(t, caller, job.ID)
	require.Positive(t, requireSenders(t, running, lines)["item_sent first"])
}

// TestOriginIsKnownThroughAnotherZone: the daemon of the other zone gives a forwarded
// request an id of its own, which led to no caller.
func TestOriginIsKnownThroughAnotherZone(t *testing.T) {
	running, lines := startLogged(t, []string{"a", "b"}, 2)
	lost, known := running.Fleet.Engine("assistant-00")
	require.True(t, known)
	lost.SetFaults(emulator.EngineFaults{Crashed: true})
	caller := running.Caller(0, harness.ExampleKey)
	forwarded := func() []map[string]string { return lines.with("msg=request_forwarded") }
	require.Eventually(t, func() bool {
		return ask(caller, "spill", 8, client.Header{Name: gateway.HeaderDeadline, Value: "5000"}) == nil && len(forwarded()) > 0
	}, wideBound, pollEvery)
	line := forwarded()[0]
	require.Contains(t, line["caller"], "127.0.0.1:")
	require.Equal(t, "b", line["zone"])
	sent := lines.with("msg=request_sent daemon=b-0 id=" + line["answered_as"] + " ")
	require.Len(t, sent, 1, "%v", line)
	require.Equal(t, "a", sent[0]["from_zone"])
}

// TestRefusedInputIsCountedHereToo: as on the other interface.
func TestRefusedInputIsCountedHereToo(t *testing.T) {
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
