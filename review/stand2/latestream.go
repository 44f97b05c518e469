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
	"syscall"
	"time"
)

// streamClient is a client that keeps its connection for many requests.
type streamClient struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dialClient(address string) (*streamClient, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &streamClient{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// outcome is what a client saw of one request.
type outcome struct {
	id            string
	status        int
	events        int
	isWhole       bool
	closes        bool
	err           error
	sentAt, endAt time.Time
}

func (o outcome) String() string {
	return fmt.Sprintf("%s: status %d, %d events, whole %v, Connection: close %v, error %v, took %.2f s", o.id, o.status, o.events, o.isWhole, o.closes, o.err, o.endAt.Sub(o.sentAt).Seconds())
}

// ask sends one request for a stream, and reads its answer to the end.
func (c *streamClient) ask(prefix, id string, tokens, deadlineMs int) outcome {
	seen := outcome{id: id, sentAt: time.Now()}
	defer func() { seen.endAt = time.Now() }()
	body := "prompt of " + id
	text := fmt.Sprintf("POST %s2f HTTP/1.1\r\nHost: %s\r\nX-Topazpulley-Attempt-Id: %s\r\nX-Topazpulley-Model: m\r\nX-Topazpulley-Token-Count: 715,%d\r\nX-Topazpulley-Prompt-Prefix: 5c1e07a2:172,%s:543\r\nX-Topazpulley-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		prefix, host, id, tokens, id[len(id)-8:], deadlineMs, len(body), body)
	_ = c.conn.SetDeadline(time.Now().Add(time.Duration(deadlineMs) * time.Millisecond))
	if _, seen.err = io.WriteString(c.conn, text); seen.err != nil {
		seen.endAt = time.Now()
		return seen
	}
	answer, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		seen.err, seen.endAt = err, time.Now()
		return seen
	}
	seen.status, seen.closes = answer.StatusCode, answer.Close
	content, err := readAll(answer.Body)
	seen.events = strings.Count(string(content), "\n\n")
	seen.err, seen.isWhole, seen.endAt = err, err == nil, time.Now()
	return seen
}

// lateStream stops a daemon as planned. Clients whose streams were under way send their next request on
// their kept connections.
func lateStream(w *world) (bool, error) {
	const (
		clients       = 6
		warmUp        = 24
		shortTokens   = 12 * tokensAnEvent
		longTokens    = 49 * tokensAnEvent
		digestTokens  = 45 * tokensAnEvent
		eventPause    = 100 * time.Millisecond
		beforeStop    = time.Second
		latestRequest = 3 * time.Second
	)
	w.configure(7, streamRoute("r-chat", chatPrefix), streamRoute("r-digest", digestRoute))
	for number := range 3 {
		if err := w.addRunner(fmt.Sprintf("i-7f3a91c%d", number), 19, eventPause); err != nil {
			return false, err
		}
	}
	if err := w.addDaemons(3, 314); err != nil {
		return false, err
	}
	if err := w.awaitReady(); err != nil {
		return false, err
	}
	stopped := w.daemons[0]
	var group sync.WaitGroup
	for number := range warmUp {
		group.Go(func() {
			client, err := dialClient(stopped.front)
			if err != nil {
				w.line("client: %v", err)
				return
			}
			defer func() { _ = client.conn.Close() }()
			w.line("client: %v", client.ask(chatPrefix, fmt.Sprintf("9c41d07b%08x", number), shortTokens, 8000))
		})
	}
	group.Wait()
	var mutex sync.Mutex
	var stopAt time.Time
	lost := 0
	for number := range clients {
		group.Go(func() {
			client, err := dialClient(stopped.front)
			if err != nil {
				w.line("client: %v", err)
				return
			}
			defer func() { _ = client.conn.Close() }()
			first := client.ask(digestRoute, fmt.Sprintf("ab41d07b%08x", number), digestTokens, 8000)
			w.line("client %d, first request: %v", number, first)
			if !first.isWhole || first.closes {
				return
			}
			second := client.ask(chatPrefix, fmt.Sprintf("cd41d07b%08x", number), longTokens, 8000)
			mutex.Lock()
			defer mutex.Unlock()
			sentAfter := second.sentAt.Sub(stopAt)
			w.line("client %d, next request on the kept connection, sent %.2f s after SIGTERM: %v", number, sentAfter.Seconds(), second)
			wasRun := w.wasRun(second.id)
			if w.hasTrouble && !second.isWhole && wasRun && sentAfter > latestRequest && second.endAt.Sub(second.sentAt) < 7900*time.Millisecond {
				w.line("client %d: the request was read and passed on to a runner, and its connection ended without a complete answer", number)
				lost++
			}
		})
	}
	time.Sleep(beforeStop)
	mutex.Lock()
	stopAt = time.Now()
	mutex.Unlock()
	if w.hasTrouble {
		stopped.signal(syscall.SIGTERM)
		w.line("SIGTERM to %s", stopped.name)
	}
	group.Wait()
	if w.hasTrouble {
		select {
		case <-stopped.exited:
			w.line("%s ended %.2f s after SIGTERM", stopped.name, time.Since(stopAt).Seconds())
		case <-time.After(time.Until(stopAt.Add(grace))):
			w.line("%s still runs at the end of its grace", stopped.name)
		}
	}
	return lost > 0, nil
}

// wasRun reports whether a runner ran a request.
func (w *world) wasRun(id string) bool {
	for _, each := range w.runners {
		each.mutex.Lock()
		for _, made := range each.runs {
			if made.id == id {
				each.mutex.Unlock()
				return true
			}
		}
		each.mutex.Unlock()
	}
	return false
}
