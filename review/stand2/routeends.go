//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// Bounds of the small deployments' sheets.
const (
	finishTime = 18 * time.Second
	calmTime   = 5 * time.Second
	idleTime   = 3 * time.Second
)

type jobItem struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    []byte            `json:"body"`
	Tokens  int               `json:"tokens"`
}

type jobPage struct {
	Total   int `json:"total"`
	Next    int `json:"next_token"`
	Results []struct {
		ID    string `json:"id"`
		State string `json:"state"`
		Text  string `json:"text"`
	} `json:"results"`
}

// newItems returns items that take the given number of tokens each.
func newItems(count, tokens int) []jobItem {
	items := []jobItem{}
	for number := range count {
		id := fmt.Sprintf("e5b2907c14da%04x", number)
		items = append(items, jobItem{
			ID: id, Path: bulkPrefix + "3/" + id, Body: []byte("reading " + id), Tokens: 540 + tokens,
			Headers: map[string]string{"X-Topazpulley-Model": "m", "X-Topazpulley-Token-Count": fmt.Sprintf("540,%d", tokens), "X-Topazpulley-Prompt-Prefix": fmt.Sprintf("9c2e41:300,%04x:240", number)},
		})
	}
	return items
}

// readJob reads all results of a job from the start, at daemons in turn.
func (w *world) readJob(id string) (total int, states map[string]string, err error) {
	states = map[string]string{}
	for from, tries := 0, 0; ; tries++ {
		ctx, cancel := context.WithTimeout(context.Background(), 2500*time.Millisecond)
		status, body, callErr := call(ctx, http.MethodGet, w.daemons[tries%len(w.daemons)].front, fmt.Sprintf("/-/lots/%s?after_rev=%d", id, from), "", nil, 0)
		cancel()
		var page jobPage
		if callErr != nil || status != http.StatusOK || json.Unmarshal(body, &page) != nil {
			if tries > 20 {
				return 0, nil, fmt.Errorf("job %s can't be read: status %d, %v", id, status, callErr)
			}
			time.Sleep(200 * time.Millisecond)
			continue
		}
		for _, each := range page.Results {
			states[each.ID] = each.State
		}
		total, from = page.Total, page.Next
		if len(page.Results) == 0 {
			return total, states, nil
		}
	}
}

// submit hands a job in until a daemon accepts it.
func (w *world) submit(id string, items []jobItem) error {
	for tries := range 5 {
		ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
		status, _, err := call(ctx, http.MethodPost, w.daemons[tries%len(w.daemons)].front, bulkPrefix+id[:6], id, map[string]any{"items": items}, 4000)
		cancel()
		w.line("client: job %s with %d items at %s: status %d, error %v", id, len(items), w.daemons[tries%len(w.daemons)].name, status, err)
		if err == nil && status == http.StatusAccepted {
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return fmt.Errorf("job %s was not accepted", id)
}

// routeEnds removes the route of an accepted job while most of its items wait.
func routeEnds(w *world) (bool, error) {
	const (
		jobID     = "7c41e09b52d6a3f8"
		items     = 60
		itemEvent = 20
	)
	w.configure(7, streamRoute("r-chat", chatPrefix), bulkRoute())
	for number := range 3 {
		if err := w.addRunner(fmt.Sprintf("i-7f3a91c%d", number), 4, 100*time.Millisecond); err != nil {
			return false, err
		}
	}
	if err := w.addDaemons(3, 314); err != nil {
		return false, err
	}
	if err := w.awaitReady(); err != nil {
		return false, err
	}
	if err := w.submit(jobID, newItems(items, itemEvent*tokensAnEvent)); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	if w.hasTrouble {
		w.configure(9, streamRoute("r-chat", chatPrefix))
	} else {
		changed := bulkRoute()
		changed["timeout_ms"] = 12000
		w.configure(9, streamRoute("r-chat", chatPrefix), changed)
	}
	changedAt := time.Now()
	w.line("no client sends anything from now on")
	time.Sleep(finishTime)
	total, states, err := w.readJob(jobID)
	if err != nil {
		return false, err
	}
	busy, lastEnd := w.activity()
	w.line("%.1f s after the change: %d of %d items are listed; running at runners: %d; the last run ended %.1f s ago", time.Since(changedAt).Seconds(), len(states), total, busy, time.Since(lastEnd).Seconds())
	isBroken := total == items && len(states) < total && busy == 0 && time.Since(lastEnd) > max(calmTime, idleTime)
	if isBroken {
		w.watchUntilListed(jobID, total, changedAt)
	}
	return isBroken, nil
}

// watchUntilListed records how the job goes on, for the reader of the record.
func (w *world) watchUntilListed(id string, total int, since time.Time) {
	for time.Since(since) < 75*time.Second {
		_, states, err := w.readJob(id)
		if err != nil {
			w.line("later: %v", err)
			return
		}
		counts := map[string]int{}
		for _, state := range states {
			counts[state]++
		}
		w.line("%.0f s after the change: listed %v of %d", time.Since(since).Seconds(), counts, total)
		if len(states) == total {
			return
		}
		time.Sleep(8 * time.Second)
	}
}

// activity returns how many runs are at work, and when the last one ended.
func (w *world) activity() (busy int, lastEnd time.Time) {
	for _, each := range w.runners {
		each.mutex.Lock()
		for _, made := range each.runs {
			if made.ended.IsZero() {
				busy++
			}
			if made.ended.After(lastEnd) {
				lastEnd = made.ended
			}
		}
		each.mutex.Unlock()
	}
	return busy, lastEnd
}
