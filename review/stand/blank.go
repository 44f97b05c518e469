//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// blank submits a job whose items are answered with text that has blank lines: an event's data then
// has several lines. With the disruption such an event begins with the line feeds, as the token of
// a new paragraph does; without it they are in its middle.
func blank(w *world, hasTrouble bool) ([]string, error) {
	seen := &runs{finished: map[string]time.Time{}, texts: map[string]string{}}
	if err := w.startItemRunners(func(c *runnerConnection, request *http.Request, _ []byte) bool {
		pieces := []string{"Reading is sound.", "Two values", " differ:\n\nsee below.", "17.25 kWh"}
		if hasTrouble {
			pieces = []string{"Reading is sound.", "Two values", "\n\nsee below.", "17.25 kWh"}
		}
		return streamPieces(c, request, seen, pieces)
	}); err != nil {
		return nil, err
	}
	items := []map[string]any{}
	for index := range 6 {
		items = append(items, map[string]any{"id": itemID(index), "path": "/bulk/x", "tokens": 580, "body": "AAAA", "headers": map[string]string{"X-Topazpulley-Model": "m", "X-Topazpulley-Token-Count": "540,40"}})
	}
	body, _ := json.Marshal(map[string]any{"items": items})
	const id = "7c41e09b52d6a3f8"
	status, _, err := w.call(w.daemons[0], http.MethodPost, "/bulk/7c41e0", id, body)
	if err != nil || status != http.StatusAccepted {
		return nil, fmt.Errorf("the job was not accepted: %d %v", status, err)
	}
	accepted := time.Now()
	for listed := 0; time.Since(accepted) < finishTime && listed < len(items); {
		time.Sleep(500 * time.Millisecond)
		listed = max(listed, w.countListed(id, listed))
	}
	return judgeItems(w, seen, id, accepted, len(items))
}
