//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"time"
)

// runnerWord is the first word of the command line of a runner that is a process of its own.
const runnerWord = "runner"

// processRunner is a runner that is a process of its own, so that it can crash as a process does. Its answers
// have no length and end with their connections.
type processRunner struct {
	id, address string
	command     *exec.Cmd
	exited      chan struct{}
	world       *world
}

// addProcessRunner starts a runner and lists it in the store.
func (w *world) addProcessRunner(id string, slots int, pause time.Duration) (*processRunner, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	address := listener.Addr().String()
	file, err := listener.(*net.TCPListener).File()
	if err != nil {
		return nil, err
	}
	made := &processRunner{id: id, address: address, exited: make(chan struct{}), world: w}
	made.command = exec.Command(os.Args[0], runnerWord, id, strconv.Itoa(slots), strconv.FormatInt(pause.Milliseconds(), 10))
	made.command.ExtraFiles = []*os.File{file}
	made.command.Stderr = os.Stderr
	output, err := made.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := made.command.Start(); err != nil {
		return nil, err
	}
	_, _ = file.Close(), listener.Close()
	go func() {
		lines := bufio.NewScanner(output)
		for lines.Scan() {
			w.line("%s", lines.Text())
		}
		_ = made.command.Wait()
		close(made.exited)
	}()
	go made.beatOn(slots)
	return made, nil
}

// beatOn keeps the runner's entry, as the runner does, until it ends; the entry goes three heartbeats later.
func (r *processRunner) beatOn(slots int) {
	for sequence := 1; ; sequence++ {
		r.world.store.Set("servers", r.id, map[string]any{
			"service": llmService, "address": r.address, "zone": zone, "version": "v1", "slots": slots, "state": "ready", "cold_left_ms": 0,
			"stage": "hybrid", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}, "call_seq": sequence,
		})
		select {
		case <-r.exited:
			time.Sleep(3 * beat)
			r.world.store.Unset("servers", r.id)
			return
		case <-time.After(beat):
		}
	}
}

// crash ends the process with SIGKILL.
func (r *processRunner) crash() {
	_ = r.command.Process.Kill()
	<-r.exited
}

// serveRunner is the main function of a runner's process. Its listener is file 3.
func serveRunner(words []string) int {
	slots, _ := strconv.Atoi(words[1])
	pause, _ := strconv.Atoi(words[2])
	listener, err := net.FileListener(os.NewFile(3, "listener"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	served := &runner{id: words[0], slots: slots, pause: time.Duration(pause) * time.Millisecond, holds: map[string]time.Time{}}
	server := &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) { served.serveUnframed(writer, request) }), IdleTimeout: 10 * time.Second}
	_ = server.Serve(listener)
	return exitHeld
}

// serveUnframed answers like runner.serve, but for the framing of streams.
func (r *runner) serveUnframed(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("X-Topazpulley-Attempt-Id")
	if id == "" || request.URL.Path == "/-/hold-take" || request.Header.Get("X-Topazpulley-Expect-Instance") != r.id {
		r.serve(writer, request)
		return
	}
	if _, err := readAll(request.Body); err != nil {
		return
	}
	if !r.admit(request.Header.Get("X-Topazpulley-Hold")) {
		writer.Header().Set("X-Topazpulley-Attempt-Id", id)
		writer.Header().Set("X-Topazpulley-Not-Run", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer r.leave()
	connection, buffered, err := writer.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = connection.Close() }()
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		_, _ = buffered.Peek(1) // the daemon sends no more on this connection: its end
	}()
	r.streamUnframed(connection, request, id, closed)
}

func (r *runner) streamUnframed(connection net.Conn, request *http.Request, id string, closed <-chan struct{}) {
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	events := tokensOut(request) / tokensAnEvent
	fmt.Printf("runner %s runs %s from event %d of %d\n", r.id, id, last+1, events)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Topazpulley-Attempt-Id: %s\r\nX-Topazpulley-Server-Stamp: 3e1b.07.%s.%s\r\nX-Topazpulley-Weight-Versions: 1\r\nX-Topazpulley-Server-Load: %s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", id, r.id, id, r.load())
	for number := last + 1; number <= events; number++ {
		select {
		case <-closed:
			fmt.Printf("runner %s ends %s: dropped, its connection closed, last event %d of %d\n", r.id, id, number-1, events)
			return
		case <-time.After(r.pause):
		}
		// A head and an event are one write each: the kernel has a whole event or none of it.
		if _, err := fmt.Fprintf(connection, "%sid: %d\ndata: %s\n\n", head, number, eventData(id, number)); err != nil {
			return
		}
		head = ""
	}
	if head != "" {
		_, _ = connection.Write([]byte(head))
	}
	fmt.Printf("runner %s ends %s: whole, %d events\n", r.id, id, events)
}

// wholeText is the whole output of an item.
func wholeText(id string, events int) string {
	lines := make([]string, 0, events)
	for number := 1; number <= events; number++ {
		lines = append(lines, eventData(id, number))
	}
	return strings.Join(lines, "\n")
}

// decodePage decodes one page of results.
func decodePage(body []byte) (jobPage, error) {
	var page jobPage
	err := json.Unmarshal(body, &page)
	return page, err
}
