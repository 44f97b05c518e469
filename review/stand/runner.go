//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
)

// runner is a stand-in of one runner. handle answers one request that names this runner, and
// reports whether the connection remains usable.
type runner struct {
	world                      *world
	id, service, zone, address string
	slots                      int
	handle                     func(connection *runnerConnection, request *http.Request, body []byte) bool
	listener                   net.Listener

	mutex sync.Mutex
	holds int
	busy  int
}

// runnerConnection is one connection to a runner.
type runnerConnection struct {
	net.Conn
	runner *runner
	// owed is what is sent where the next answer is due.
	owed string
}

func (w *world) startRunner(id, service, zone string, slots int) (*runner, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	made := &runner{world: w, id: id, service: service, zone: zone, slots: slots, listener: listener, address: listener.Addr().String()}
	return made, nil
}

func (r *runner) serve() {
	for {
		accepted, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serveConnection(&runnerConnection{Conn: accepted, runner: r})
	}
}

func (r *runner) serveConnection(connection *runnerConnection) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if connection.owed != "" {
			_, _ = io.WriteString(connection, connection.owed)
			connection.owed = ""
		}
		expected := request.Header.Get("X-Topazpulley-Expect-Instance")
		switch {
		case expected != "" && expected != r.id:
			connection.answer(421, request, "X-Topazpulley-Not-Run: 1\r\nX-Topazpulley-Instance-Id: "+r.id+"\r\n", "")
		case request.URL.Path == "/-/hold-take":
			r.mutex.Lock()
			r.holds++
			name := fmt.Sprintf("%s-h%d", r.id, r.holds)
			r.mutex.Unlock()
			connection.answer(200, request, "Content-Type: application/json\r\n", `{"hold":"`+name+`"}`)
		default:
			if !r.handle(connection, request, body) {
				return
			}
		}
	}
}

// encoded returns an answer with a length.
func encoded(status int, id, fields, body string) string {
	var text strings.Builder
	fmt.Fprintf(&text, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if id != "" {
		fmt.Fprintf(&text, "X-Topazpulley-Attempt-Id: %s\r\n", id)
	}
	fmt.Fprintf(&text, "%sContent-Length: %d\r\n\r\n%s", fields, len(body), body)
	return text.String()
}

func (c *runnerConnection) answer(status int, request *http.Request, fields, body string) {
	_, _ = io.WriteString(c, encoded(status, request.Header.Get("X-Topazpulley-Attempt-Id"), fields, body))
}

// stamp is the signature of a runner's answer.
func (r *runner) stamp(id string) string {
	return "X-Topazpulley-Server-Stamp: " + r.id + "." + id + "\r\n"
}
