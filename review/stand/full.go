//go:build review

package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Jobs whose content is too large for rows are kept as objects. Their items are short ones with
// bodies of bodyBytes, below the 450,000 bytes that the site file of mwangaza-joto gives as the
// most for a request; a submission stays below max_body_bytes.
const (
	maxKeptBytes  = 400 << 20
	bodyBytes     = 350_000
	largeItems    = 8
	largeJobs     = 160
	fewLargeJobs  = 10
	largeAtOnce   = 4
	keptEvents    = 110
	keptEventSize = 410
)

// objects counts the bytes of the objects that the store keeps.
type objects struct {
	mutex   sync.Mutex
	sizes   map[string]int
	total   int
	refused int
	dropped int
}

// take reports whether an object may be kept.
func (o *objects) take(name string, size int) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.total >= maxKeptBytes {
		o.refused++
		return false
	}
	o.total += size - o.sizes[name]
	o.sizes[name] = size
	return true
}

func (o *objects) drop(name string) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.total -= o.sizes[name]
	delete(o.sizes, name)
	o.dropped++
}

// full fills the store's objects with the contents of jobs that are finished and read, then submits
// a small job of which one item has a long answer.
func full(w *world, hasTrouble bool) ([]string, error) {
	seen := &runs{finished: map[string]time.Time{}, texts: map[string]string{}}
	if err := w.startItemRunners(func(c *runnerConnection, request *http.Request, _ []byte) bool {
		id := request.Header.Get("X-Topazpulley-Attempt-Id")
		pieces := []string{"read", "done"}
		if strings.HasPrefix(id, "long") {
			pieces = pieces[:0]
			for number := range keptEvents {
				pieces = append(pieces, strings.Repeat(fmt.Sprintf("reading %03d ", number+1), keptEventSize)[:keptEventSize])
			}
		}
		return streamPieces(c, request, seen, pieces)
	}); err != nil {
		return nil, err
	}
	count := largeJobs
	if !hasTrouble {
		count = fewLargeJobs
	}
	if err := w.fill(count); err != nil {
		return nil, err
	}
	items := []map[string]any{}
	for index := range 6 {
		id := fmt.Sprintf("short%011d", index)
		if index == 0 {
			id = "long000000000000"
		}
		items = append(items, map[string]any{"id": id, "path": "/bulk/x", "tokens": 23540, "body": "AAAA", "headers": map[string]string{"X-Topazpulley-Model": "m", "X-Topazpulley-Token-Count": "540,23000"}})
	}
	body, _ := json.Marshal(map[string]any{"items": items})
	const id = "7c41e09b52d6a3f8"
	status, _, err := w.call(w.daemons[0], http.MethodPost, "/bulk/7c41e0", id, body)
	if err != nil || status != http.StatusAccepted {
		return nil, fmt.Errorf("the job was not accepted: %d %v", status, err)
	}
	accepted := time.Now()
	w.note("job %s with %d items: 202; no further traffic", id, len(items))
	listed := 0
	for time.Since(accepted) < finishTime+4*time.Second && listed < len(items) {
		time.Sleep(500 * time.Millisecond)
		listed = max(listed, w.countListed(id, listed))
	}
	return judgeItems(w, seen, id, accepted, len(items))
}

// startItemRunners starts four runners of items, the configuration and three daemons.
func (w *world) startItemRunners(handle func(*runnerConnection, *http.Request, []byte) bool) error {
	for index, zone := range []string{"a", "b", "c", "a"} {
		made, err := w.startRunner(fmt.Sprintf("i-%04d", index+1), markupService, zone, 8)
		if err != nil {
			return err
		}
		made.handle = handle
		go made.serve()
		w.list(made, "ready")
	}
	w.store.Set("op", "config", map[string]any{
		"version": 1, "limits": limits,
		"routes":   []map[string]any{{"name": "r-bulk", "host": host, "path_prefix": "/bulk/", "kind": "bulk", "timeout_ms": 30000, "goal_ms": 400, "due_ms": 20000, "max_wait_s": 60, "priority": 2, "service": markupService, "max_attempts": 3, "resumable": true, "sticky": true}},
		"services": []map[string]any{{"name": markupService, "health_path": "/health", "max_conns": 300, "protocol": "h1", "tls": false, "engine": map[string]any{"slots": 8, "hold_ms": 2000.0}}},
	})
	return w.startDaemons("a", "b", "c")
}

// fill submits large jobs, and reads each until all its items are listed.
func (w *world) fill(count int) error {
	content := base64.StdEncoding.EncodeToString([]byte(strings.Repeat("substation reading ", bodyBytes/19)))
	var running sync.WaitGroup
	var mutex sync.Mutex
	numbers, accepted, refused := make(chan int, count), 0, 0
	for number := range count {
		numbers <- number
	}
	close(numbers)
	for range largeAtOnce {
		running.Go(func() {
			for number := range numbers {
				status := w.fillOne(number, content)
				mutex.Lock()
				if status == http.StatusAccepted {
					accepted++
				} else {
					refused++
				}
				mutex.Unlock()
			}
		})
	}
	running.Wait()
	w.note("large jobs: %d accepted, and all their items listed; %d refused; the store keeps %d bytes of objects, refused %d of them with 507, and was asked to drop %d", accepted, refused, w.objects.total, w.objects.refused, w.objects.dropped)
	if accepted == 0 {
		return fmt.Errorf("no large job was accepted")
	}
	return nil
}

func (w *world) fillOne(number int, content string) int {
	id := fmt.Sprintf("b%015d", number)
	items := []map[string]any{}
	for index := range largeItems {
		items = append(items, map[string]any{"id": fmt.Sprintf("%s-%d", id[8:], index), "path": "/bulk/x", "tokens": 940, "body": content, "headers": map[string]string{"X-Topazpulley-Model": "m", "X-Topazpulley-Token-Count": "540,400"}})
	}
	body, _ := json.Marshal(map[string]any{"items": items})
	to := w.daemons[number%len(w.daemons)]
	status, _, err := w.call(to, http.MethodPost, "/bulk/b", id, body)
	if err != nil || status != http.StatusAccepted {
		w.note("large job %s to %s: %d %v", id, to.name, status, err)
		return status
	}
	for range 100 {
		if found, err := w.results(to, id); err == nil && len(found) == largeItems {
			return status
		}
		time.Sleep(100 * time.Millisecond)
	}
	w.note("large job %s is not finished after 10 s", id)
	return 0
}

// streamPieces runs an item whose answer has these pieces.
func streamPieces(c *runnerConnection, request *http.Request, seen *runs, pieces []string) bool {
	id := request.Header.Get("X-Topazpulley-Attempt-Id")
	last := 0
	_, _ = fmt.Sscan(request.Header.Get("Last-Event-Id"), &last)
	seen.change(1)
	defer seen.change(-1)
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Topazpulley-Attempt-Id: "+id+"\r\n"+c.runner.stamp(id)+"X-Topazpulley-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	for number := last + 1; number <= len(pieces); number++ {
		time.Sleep(eventPause / 5)
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", number, strings.ReplaceAll(pieces[number-1], "\n", "\ndata: "))
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	seen.mutex.Lock()
	seen.finished[id] = time.Now()
	seen.texts[id] = strings.Join(pieces, "\n")
	seen.mutex.Unlock()
	if !strings.Contains(id, "-") {
		c.runner.world.note("runner %s has finished item %s, %d bytes", c.runner.id, id, len(seen.texts[id]))
	}
	return err == nil
}

// judgeItems applies rules LOST and MIXED to a job when finish_s is over.
func judgeItems(w *world, seen *runs, id string, accepted time.Time, count int) ([]string, error) {
	broken := []string{}
	found, err := w.results(w.daemons[1], id)
	if err != nil {
		return nil, err
	}
	seen.mutex.Lock()
	defer seen.mutex.Unlock()
	last := time.Time{}
	for _, at := range seen.finished {
		if at.After(last) {
			last = at
		}
	}
	w.note("after %.1f s %s lists %d of %d items; runners had an item last %.1f s ago, and finished one last %.1f s ago; objects refused with 507 so far: %d",
		time.Since(accepted).Seconds(), w.daemons[1].name, len(found), count, time.Since(seen.lastHad).Seconds(), time.Since(last).Seconds(), w.objects.refused)
	isCalm := seen.running == 0 && time.Since(seen.lastHad) > calmTime && time.Since(last) > quietTime
	if len(found) < count && isCalm {
		broken = append(broken, fmt.Sprintf("LOST: %d of %d items of an open job are listed neither as completed nor as abandoned after finish_s", count-len(found), count))
	}
	for _, got := range found {
		if got.State == "completed" && got.Text != seen.texts[got.ID] {
			broken = append(broken, fmt.Sprintf("MIXED: item %s is completed with %q, its whole output is %q", got.ID, got.Text, seen.texts[got.ID]))
		}
	}
	return broken, nil
}
