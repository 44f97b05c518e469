//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// crashWhole ends one of six runners as a process while it streams the outputs of items.
func crashWhole(w *world) (bool, error) {
	const (
		jobID     = "7c41e09b52d6a3f8"
		items     = 60
		itemEvent = 30
		runners   = 6
		slots     = 4
		pause     = 100 * time.Millisecond
		awayFor   = 4500 * time.Millisecond
	)
	w.configure(7, streamRoute("r-chat", chatPrefix), bulkRoute())
	started := []*processRunner{}
	defer func() {
		for _, each := range started {
			each.crash()
		}
	}()
	for number := range runners {
		made, err := w.addProcessRunner(fmt.Sprintf("i-7f3a91c%d", number), slots, pause)
		if err != nil {
			return false, err
		}
		started = append(started, made)
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
	time.Sleep(1600 * time.Millisecond)
	if w.hasTrouble {
		w.line("SIGKILL to runner %s", started[0].id)
		started[0].crash()
		time.Sleep(awayFor)
		made, err := w.addProcessRunner("i-7f3a91d0", slots, pause)
		if err != nil {
			return false, err
		}
		started = append(started, made)
	}
	time.Sleep(finishTime)
	texts, states, total, err := w.readTexts(jobID)
	if err != nil {
		return false, err
	}
	partial := 0
	for id, text := range texts {
		if whole := wholeText(id, itemEvent); states[id] == "completed" && text != whole {
			partial++
			w.line("client: item %s is listed as completed with %d of %d events, %d of %d bytes", id, strings.Count(text, "\n")+1, itemEvent, len(text), len(whole))
		}
	}
	w.line("listed %d of %d; completed with a part of their output: %d", len(texts), total, partial)
	return partial > 0, nil
}

// readTexts reads the texts and states of a job's results from the start, at daemons in turn.
func (w *world) readTexts(id string) (texts, states map[string]string, total int, err error) {
	texts, states = map[string]string{}, map[string]string{}
	for from, tries := 0, 0; ; tries++ {
		ctx, cancel := context.WithTimeout(context.Background(), 2500*time.Millisecond)
		status, body, callErr := call(ctx, http.MethodGet, w.daemons[tries%len(w.daemons)].front, fmt.Sprintf("/-/lots/%s?after_rev=%d", id, from), "", nil, 0)
		cancel()
		page, decodeErr := decodePage(body)
		if callErr != nil || status != http.StatusOK || decodeErr != nil {
			if tries > 20 {
				return nil, nil, 0, fmt.Errorf("job %s can't be read: status %d, %v", id, status, callErr)
			}
			time.Sleep(200 * time.Millisecond)
			continue
		}
		for _, each := range page.Results {
			texts[each.ID], states[each.ID] = each.Text, each.State
		}
		total, from = page.Total, page.Next
		if len(page.Results) == 0 {
			return texts, states, total, nil
		}
	}
}
