//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// beat is the time between two heartbeats of a runner.
const beat = 1200 * time.Millisecond

func readAll(source io.Reader) ([]byte, error) { return io.ReadAll(source) }

// run is one run of a request at a runner.
type run struct {
	id       string
	first    int
	began    time.Time
	ended    time.Time
	lastSent int
	outcome  string
}

// runner is a sound model runner: slots, reservations, streams that go on after Last-Event-Id.
type runner struct {
	id       string
	slots    int
	pause    time.Duration
	world    *world
	listener net.Listener
	server   *http.Server
	stopped  chan struct{}
	once     sync.Once

	mutex   sync.Mutex
	running int
	holds   map[string]time.Time
	made    int
	beats   int
	runs    []*run
}

func (w *world) addRunner(id string, slots int, pause time.Duration) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	made := &runner{id: id, slots: slots, pause: pause, world: w, listener: listener, stopped: make(chan struct{}), holds: map[string]time.Time{}}
	made.server = &http.Server{Handler: http.HandlerFunc(made.serve), IdleTimeout: 10 * time.Second}
	go func() { _ = made.server.Serve(listener) }()
	made.list("ready")
	go made.beatOn()
	w.runners = append(w.runners, made)
	return nil
}

func (r *runner) close() {
	r.once.Do(func() {
		close(r.stopped)
		_ = r.server.Close()
	})
}

// list writes the runner's entry into the store.
func (r *runner) list(state string) {
	r.mutex.Lock()
	r.beats++
	sequence := r.beats
	r.mutex.Unlock()
	r.world.store.Set("servers", r.id, map[string]any{
		"service": llmService, "address": r.listener.Addr().String(), "zone": zone, "version": "v1", "slots": r.slots, "state": state, "cold_left_ms": 0,
		"stage": "hybrid", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}, "call_seq": sequence,
	})
}

func (r *runner) beatOn() {
	ticker := time.NewTicker(beat)
	defer ticker.Stop()
	for {
		select {
		case <-r.stopped:
			return
		case <-ticker.C:
			r.list("ready")
		}
	}
}

func (r *runner) serve(writer http.ResponseWriter, request *http.Request) {
	header := writer.Header()
	header.Set("Keep-Alive", "timeout=5")
	header.Set("X-Topazpulley-Server-Load", r.load())
	id := request.Header.Get("X-Topazpulley-Attempt-Id")
	if id != "" {
		header.Set("X-Topazpulley-Attempt-Id", id)
	}
	if request.URL.Path == "/health" {
		header.Set("X-Topazpulley-Instance-Id", r.id)
		return
	}
	if expected := request.Header.Get("X-Topazpulley-Expect-Instance"); expected != "" && expected != r.id {
		header.Set("X-Topazpulley-Not-Run", "1")
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if request.URL.Path == "/-/hold-take" {
		r.hold(writer, request)
		return
	}
	if id == "" {
		header.Set("X-Topazpulley-Not-Run", "1")
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := readAll(request.Body)
	if err != nil {
		return
	}
	if !r.admit(request.Header.Get("X-Topazpulley-Hold")) {
		header.Set("X-Topazpulley-Not-Run", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer r.leave()
	r.stream(writer, request, id, len(body))
}

func (r *runner) load() string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return fmt.Sprintf("%d,0,%d", r.running, r.slots)
}

func (r *runner) hold(writer http.ResponseWriter, request *http.Request) {
	var wanted struct {
		Tokens int   `json:"tokens"`
		TTLMs  int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(request.Body).Decode(&wanted) != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.dropLapsed()
	if r.running+len(r.holds) >= r.slots {
		writer.Header().Set("X-Topazpulley-Not-Run", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	r.made++
	name := fmt.Sprintf("%s-h%d", r.id, r.made)
	r.holds[name] = time.Now().Add(time.Duration(wanted.TTLMs) * time.Millisecond)
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(map[string]string{"hold": name})
}

// dropLapsed ends old reservations. mutex must be held.
func (r *runner) dropLapsed() {
	for name, until := range r.holds {
		if time.Now().After(until) {
			delete(r.holds, name)
		}
	}
}

func (r *runner) admit(hold string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.dropLapsed()
	delete(r.holds, hold)
	if r.running+len(r.holds) >= r.slots {
		return false
	}
	r.running++
	return true
}

func (r *runner) leave() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.running--
}

// tokensOut returns the most tokens that a request may generate.
func tokensOut(request *http.Request) int {
	_, out, _ := strings.Cut(request.Header.Get("X-Topazpulley-Token-Count"), ",")
	count, _ := strconv.Atoi(out)
	return max(count, tokensAnEvent)
}

// tokensAnEvent is how many tokens one event holds.
const tokensAnEvent = 5

// eventData is the data of one event of a request.
func eventData(id string, number int) string { return fmt.Sprintf("%s piece %d", id, number) }

// stream runs a request: one event after each pause, from Last-Event-Id on.
func (r *runner) stream(writer http.ResponseWriter, request *http.Request, id string, bodyBytes int) {
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	events := tokensOut(request) / tokensAnEvent
	current := &run{id: id, first: last + 1, began: time.Now(), lastSent: last, outcome: "at work"}
	r.mutex.Lock()
	r.runs = append(r.runs, current)
	r.mutex.Unlock()
	r.world.line("runner %s runs %s from event %d of %d (body %d bytes, deadline %s ms)", r.id, id, last+1, events, bodyBytes, request.Header.Get("X-Topazpulley-Deadline-Ms"))
	header := writer.Header()
	header.Set("X-Topazpulley-Server-Stamp", "3e1b.07."+r.id+"."+id)
	header.Set("X-Topazpulley-Weight-Versions", "1")
	header.Set("Content-Type", "text/event-stream")
	flusher, _ := writer.(http.Flusher)
	outcome := "whole"
	for number := last + 1; number <= events; number++ {
		select {
		case <-request.Context().Done():
			outcome = "dropped: its connection closed"
		case <-time.After(r.pause):
		}
		if outcome != "whole" {
			break
		}
		if _, err := fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", number, eventData(id, number)); err != nil {
			outcome = "dropped: its connection broke"
			break
		}
		flusher.Flush()
		r.mutex.Lock()
		current.lastSent = number
		r.mutex.Unlock()
	}
	r.mutex.Lock()
	current.ended, current.outcome = time.Now(), outcome
	sent := current.lastSent
	r.mutex.Unlock()
	r.world.line("runner %s ends %s: %s, last event %d of %d", r.id, id, outcome, sent, events)
}
