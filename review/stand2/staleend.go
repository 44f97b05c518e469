//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// staleEnd freezes a machine while a client hands in a job there. The client gets no response, withdraws the
// job at another daemon, which answers that there is none, and hands it in again.
func staleEnd(w *world) (bool, error) {
	const (
		jobID     = "7c41e09b52d6a3f8"
		items     = 12
		itemEvent = 20
		unread    = time.Second
		freeze    = 4 * time.Second
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
	frozen := w.daemons[0]
	if w.hasTrouble {
		frozen.signal(syscall.SIGSTOP)
		w.line("SIGSTOP to %s", frozen.name)
		timer := time.AfterFunc(freeze, func() {
			frozen.signal(syscall.SIGCONT)
			w.line("SIGCONT to %s", frozen.name)
		})
		defer timer.Stop()
	}
	content := map[string]any{"items": newItems(items, itemEvent*tokensAnEvent)}
	status := w.jobCall(http.MethodPost, frozen, bulkPrefix+jobID[:6], jobID, content, unread)
	if status == 0 {
		if status = w.endJob(w.daemons[1], jobID); status != http.StatusNotFound {
			return false, fmt.Errorf("the withdrawal was answered %d: the first submission may have been accepted", status)
		}
		for tries := range 5 {
			if status = w.jobCall(http.MethodPost, w.daemons[1+(tries+1)%2], bulkPrefix+jobID[:6], jobID, content, 4*time.Second); status == http.StatusAccepted {
				break
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	if status != http.StatusAccepted {
		return false, fmt.Errorf("the job was not accepted: %d", status)
	}
	w.line("the job is accepted; no client sends anything but reads from now on")
	acceptedAt := time.Now()
	time.Sleep(finishTime)
	total, states, err := w.readJob(jobID)
	if err != nil {
		return false, err
	}
	busy, lastEnd := w.activity()
	w.line("%.1f s after the 202: listed %d of %d; running at runners: %d; runs seen by runners: %d", time.Since(acceptedAt).Seconds(), len(states), total, busy, w.runCount())
	if len(states) == total {
		return false, nil
	}
	return busy == 0 && (lastEnd.IsZero() || time.Since(lastEnd) > calmTime), nil
}

// endJob ends a job at a daemon, again after each failure, and returns the status: 200 or 404.
func (w *world) endJob(at *daemon, id string) int {
	status := 0
	for range 5 {
		status = w.jobCall(http.MethodDelete, at, "/-/lots/"+id, "", nil, 3*time.Second)
		if status == http.StatusNotFound || status == http.StatusOK {
			return status
		}
		time.Sleep(100 * time.Millisecond)
	}
	return status
}

// jobCall makes one call about a job and records it. It returns 0 if there was no response.
func (w *world) jobCall(method string, at *daemon, path, id string, body any, longest time.Duration) int {
	ctx, cancel := context.WithTimeout(context.Background(), longest)
	defer cancel()
	status, _, err := call(ctx, method, at.front, path, id, body, 0)
	if err != nil {
		w.line("client: %s %s at %s: no response: %v", method, path, at.name, err)
		return 0
	}
	w.line("client: %s %s at %s: %d", method, path, at.name, status)
	return status
}

// runCount returns how many runs the runners have begun.
func (w *world) runCount() int {
	count := 0
	for _, each := range w.runners {
		each.mutex.Lock()
		count += len(each.runs)
		each.mutex.Unlock()
	}
	return count
}
