//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Further bounds of the small deployments' sheets.
const (
	contactTime = 3 * time.Second
	ackTime     = 4 * time.Second
	cancelTime  = 3 * time.Second
)

// withdrawn is a job that its client ended before it was accepted.
type withdrawn struct {
	id, itemPrefix string
	answer         int
	endedAt        time.Time
	// latest is the time after which no item of it may begin, whatever counts as the acknowledgement of its
	// end: the answer, or ack_ms of steady state after it.
	latest time.Time
}

const (
	withdrawnItems = 100
	freezeTime     = 4 * time.Second
	unreadTime     = time.Second
)

// lateAccept freezes one machine after the other while clients hand in jobs there. Each client gets no response
// and ends its job at another daemon, before anything of it was accepted.
func lateAccept(w *world) (bool, error) {
	const (
		jobsEach   = 2
		betweenFor = 4 * time.Second
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
	all := []*withdrawn{}
	for turn, frozen := range w.daemons {
		wokeAt := time.Now().Add(freezeTime)
		if w.hasTrouble {
			frozen.signal(syscall.SIGSTOP)
			w.line("SIGSTOP to %s", frozen.name)
		}
		jobs := make([]*withdrawn, jobsEach)
		var group sync.WaitGroup
		for number := range jobs {
			jobs[number] = &withdrawn{id: fmt.Sprintf("7c41e09b52d6%02x%02x", turn, number), itemPrefix: fmt.Sprintf("e5b2907c%02x%02x", turn, number)}
			group.Go(func() { w.handInAndEnd(jobs[number], frozen, w.daemons[(turn+1)%len(w.daemons)]) })
		}
		group.Wait()
		time.Sleep(time.Until(wokeAt))
		if w.hasTrouble {
			frozen.signal(syscall.SIGCONT)
			w.line("SIGCONT to %s", frozen.name)
		}
		for _, each := range jobs {
			if each.answer != http.StatusNotFound && each.answer != http.StatusOK {
				return false, fmt.Errorf("the end of job %s was answered %d", each.id, each.answer)
			}
			each.latest = wokeAt.Add(contactTime + ackTime + cancelTime)
		}
		all = append(all, jobs...)
		time.Sleep(betweenFor)
	}
	time.Sleep(2 * finishTime)
	late := 0
	for _, each := range all {
		after, beyond, runs := w.runsOf(each)
		w.line("job %s: its end was answered %d; items that began later than %.0f s after that: %d; later than %.1f s after it, which allows for contact_ms and ack_ms: %d; all runs: %d",
			each.id, each.answer, cancelTime.Seconds(), after, each.latest.Sub(each.endedAt).Seconds(), beyond, runs)
		late += beyond
	}
	return late > 0, nil
}

// handInAndEnd hands a job in at one daemon, and ends it at another one.
func (w *world) handInAndEnd(own *withdrawn, first, second *daemon) {
	items := newItems(withdrawnItems, 20*tokensAnEvent)
	for index := range items {
		items[index].ID = fmt.Sprintf("%s%04x", own.itemPrefix, index)
	}
	w.jobCall(http.MethodPost, first, bulkPrefix+own.id[:6], own.id, map[string]any{"items": items}, unreadTime)
	own.answer = w.endJob(second, own.id)
	own.endedAt = time.Now()
}

// runsOf counts the runs of a job's items: those that began cancel_ms after the answer to its end, those that
// began after its latest time, and all.
func (w *world) runsOf(own *withdrawn) (after, beyond, all int) {
	for _, each := range w.runners {
		each.mutex.Lock()
		for _, made := range each.runs {
			if !strings.HasPrefix(made.id, own.itemPrefix) {
				continue
			}
			all++
			if made.began.After(own.endedAt.Add(cancelTime)) {
				after++
			}
			if made.began.After(own.latest) {
				beyond++
			}
		}
		each.mutex.Unlock()
	}
	return after, beyond, all
}
