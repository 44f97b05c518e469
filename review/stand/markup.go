//go:build review

package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The item with a long answer: 98 events of 408 bytes, together below the 328 events of 450
// bytes that the site file of mwangaza-joto gives as the most.
const (
	markupService = "scribe"
	markupEvents  = 98
	longItem      = 3
	itemCount     = 12
	eventPause    = 10 * time.Millisecond
	longPause     = 4 * time.Millisecond
	// finishTime is finish_s, calmTime and quietTime are the times in the rule.
	finishTime = 18 * time.Second
	calmTime   = 5 * time.Second
	quietTime  = 3 * time.Second
)

// runs records when runners had items.
type runs struct {
	mutex    sync.Mutex
	running  int
	lastHad  time.Time
	finished map[string]time.Time
	texts    map[string]string
}

func (r *runs) change(by int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.running += by
	r.lastHad = time.Now()
}

// eventData is the data of one event of an item: markup, or letters of the same length.
func eventData(item string, number int, isMarkup bool) string {
	if !isLong(item) {
		return fmt.Sprintf("%s part %d", item, number)
	}
	if !isMarkup {
		return strings.Repeat("plain text ", 38)[:408]
	}
	return strings.Repeat("<td>17.25</td><td>3</td><th>kWh</th>", 12)[:408]
}

func isLong(item string) bool { return item == itemID(longItem) }

// markup submits one job. The answer to one of its items is markup of some 40 KB.
func markup(w *world, hasTrouble bool) ([]string, error) {
	seen := &runs{finished: map[string]time.Time{}, texts: map[string]string{}}
	for index, zone := range []string{"a", "b", "c", "a"} {
		made, err := w.startRunner(fmt.Sprintf("i-%04d", index+1), markupService, zone, 8)
		if err != nil {
			return nil, err
		}
		made.handle = func(c *runnerConnection, request *http.Request, _ []byte) bool {
			return streamItem(c, request, seen, hasTrouble)
		}
		go made.serve()
		w.list(made, "ready")
	}
	w.store.Set("op", "config", map[string]any{
		"version": 1, "limits": limits,
		"routes":   []map[string]any{{"name": "r-bulk", "host": host, "path_prefix": "/bulk/", "kind": "bulk", "timeout_ms": 30000, "goal_ms": 400, "due_ms": 20000, "max_wait_s": 60, "priority": 2, "service": markupService, "max_attempts": 3, "resumable": true, "sticky": true}},
		"services": []map[string]any{{"name": markupService, "health_path": "/health", "max_conns": 300, "protocol": "h1", "tls": false, "engine": map[string]any{"slots": 8, "hold_ms": 2000.0}}},
	})
	if err := w.startDaemons("a", "b", "c"); err != nil {
		return nil, err
	}
	items := []map[string]any{}
	for index := range itemCount {
		prompt, most := 540, 1300
		if index == longItem {
			most = 20100 // two bytes a token
		}
		items = append(items, map[string]any{"id": itemID(index), "path": "/bulk/x", "tokens": prompt + most, "body": base64.StdEncoding.EncodeToString([]byte("read the substation")),
			"headers": map[string]string{"X-Topazpulley-Model": "m", "X-Topazpulley-Token-Count": fmt.Sprintf("%d,%d", prompt, most), "X-Topazpulley-Prompt-Prefix": "9c2e41:300,5d07b8:240"}})
	}
	body, _ := json.Marshal(map[string]any{"items": items})
	const id = "7c41e09b52d6a3f8"
	status, _, err := w.call(w.daemons[0], http.MethodPost, "/bulk/7c41e0", id, body)
	if err != nil || status != http.StatusAccepted {
		return nil, fmt.Errorf("the job was not accepted: %d %v", status, err)
	}
	accepted := time.Now()
	w.note("job %s with %d items: 202; no further traffic", id, itemCount)
	listed := 0
	for time.Since(accepted) < finishTime+4*time.Second && listed < itemCount {
		time.Sleep(500 * time.Millisecond)
		listed = max(listed, w.countListed(id, listed))
	}
	return judgeMarkup(w, seen, id, accepted)
}

func itemID(index int) string { return fmt.Sprintf("e5b2907c14da6f%02d", index) }

// streamItem runs an item.
func streamItem(c *runnerConnection, request *http.Request, seen *runs, isMarkup bool) bool {
	id := request.Header.Get("X-Topazpulley-Attempt-Id")
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	pause := eventPause
	if isLong(id) {
		pause = longPause // it ends first
	}
	seen.change(1)
	defer seen.change(-1)
	c.runner.world.note("runner %s runs item %s from event %d", c.runner.id, id, last+1)
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Topazpulley-Attempt-Id: "+id+"\r\n"+c.runner.stamp(id)+"X-Topazpulley-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	for number := last + 1; number <= markupEvents; number++ {
		time.Sleep(pause)
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", number, eventData(id, number, isMarkup))
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	seen.mutex.Lock()
	seen.finished[id] = time.Now()
	all := []string{}
	for number := 1; number <= markupEvents; number++ {
		all = append(all, eventData(id, number, isMarkup))
	}
	seen.texts[id] = strings.Join(all, "\n")
	seen.mutex.Unlock()
	c.runner.world.note("runner %s has finished item %s, %d bytes", c.runner.id, id, len(seen.texts[id]))
	return err == nil
}

// call makes one call on a new connection.
func (w *world) call(to *daemon, method, path, id string, body []byte) (int, []byte, error) {
	client := &http.Client{Timeout: 3500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(method, "http://"+to.http+path, strings.NewReader(string(body)))
	if err != nil {
		return 0, nil, err
	}
	request.Host = host
	if id != "" {
		request.Header.Set("X-Topazpulley-Attempt-Id", id)
	}
	request.Header.Set("Content-Type", "application/json")
	answer, err := client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = answer.Body.Close() }()
	content, err := io.ReadAll(answer.Body)
	return answer.StatusCode, content, err
}

type result struct {
	ID    string `json:"id"`
	State string `json:"state"`
	Text  string `json:"text"`
}

// results reads all results of a job at one daemon.
func (w *world) results(from *daemon, id string) ([]result, error) {
	found := []result{}
	for {
		status, content, err := w.call(from, http.MethodGet, fmt.Sprintf("/-/lots/%s?after_rev=%d", id, len(found)), "", nil)
		if err != nil || status != http.StatusOK {
			return found, fmt.Errorf("%s answers %d %v", from.name, status, err)
		}
		var page struct {
			Results []result `json:"results"`
		}
		if err := json.Unmarshal(content, &page); err != nil {
			return found, err
		}
		if len(page.Results) == 0 {
			return found, nil
		}
		found = append(found, page.Results...)
	}
}

// countListed reads a job's results at one daemon after the other, and returns their number.
func (w *world) countListed(id string, before int) int {
	at := w.daemons[int(time.Now().UnixMilli()/500)%len(w.daemons)]
	found, err := w.results(at, id)
	if err != nil {
		w.note("read at %s: %v", at.name, err)
	}
	if len(found) > before {
		w.note("%s lists %d of %d items", at.name, len(found), itemCount)
	}
	return len(found)
}

// judgeMarkup applies rule LOST when finish_s is over.
func judgeMarkup(w *world, seen *runs, id string, accepted time.Time) ([]string, error) {
	broken := []string{}
	listed := map[string]result{}
	for _, each := range w.daemons {
		found, err := w.results(each, id)
		if err != nil {
			return nil, err
		}
		w.note("after %.1f s %s lists %d of %d items", time.Since(accepted).Seconds(), each.name, len(found), itemCount)
		for _, one := range found {
			listed[one.ID] = one
		}
	}
	seen.mutex.Lock()
	defer seen.mutex.Unlock()
	last := time.Time{}
	for _, at := range seen.finished {
		if at.After(last) {
			last = at
		}
	}
	isCalm := seen.running == 0 && time.Since(seen.lastHad) > calmTime && time.Since(last) > quietTime
	w.note("runners had an item last %.1f s ago, and finished one last %.1f s ago", time.Since(seen.lastHad).Seconds(), time.Since(last).Seconds())
	missing := 0
	for index := range itemCount {
		item := itemID(index)
		got, isListed := listed[item]
		switch {
		case !isListed && isCalm:
			missing++
			w.note("item %s is not listed; a runner finished it %.1f s ago", item, time.Since(seen.finished[item]).Seconds())
		case isListed && (got.State != "completed" || got.Text != seen.texts[item]):
			broken = append(broken, fmt.Sprintf("MIXED: item %s is listed as %s with %d bytes of %d", item, got.State, len(got.Text), len(seen.texts[item])))
		}
	}
	if missing > 0 {
		broken = append(broken, fmt.Sprintf("LOST: %d of %d items of an open job are listed neither as completed nor as abandoned after finish_s; all were finished at runners; the store refused %d transactions", missing, itemCount, w.refused))
	}
	return broken, nil
}
