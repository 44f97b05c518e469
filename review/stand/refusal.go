//go:build review

package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// A faulty runner sends a second copy of some of its answers, late: where the next answer on the
// connection is due. Share and dose are those of the site file's
// { kind = "garble", how = "extra late", share = 0.6, x = 0.03, for_s = 5.0 }.
const (
	refusalService = "portal"
	refusalRunners = 2
	faultyRunners  = 1
	extraShare     = 0.03
	extraTime      = 5 * time.Second
	// A runner works on refusalSlots requests, and refusalQueue more wait there.
	refusalSlots = 2
	refusalQueue = 1
	workTime     = 30 * time.Millisecond
	burstSize    = 8
	burstPause   = 100 * time.Millisecond
	bursts       = 380
	// The disruption strikes extraTimes times, with extraPause between.
	extraTimes = 5
	extraPause = 3 * time.Second
)

// ledger counts the runs of requests.
type ledger struct {
	mutex sync.Mutex
	began time.Time
	// strike is the number of the present strike, to which answers and doubled belong.
	strike   int
	runs     map[string][]string
	answers  map[string]int
	doubled  map[string]int
	statuses map[int]int
}

// mayDouble counts an answer of a runner, and reports whether a second copy of it may be sent.
func (l *ledger) mayDouble(r *runner, isRefusal, isFaulty bool) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	strike := int(time.Since(l.began) / (extraTime + extraPause))
	isStruck := !l.began.IsZero() && strike < extraTimes && time.Since(l.began)%(extraTime+extraPause) < extraTime
	if !isFaulty || !isStruck {
		return false
	}
	if strike != l.strike {
		l.strike, l.answers, l.doubled = strike, map[string]int{}, map[string]int{}
	}
	l.answers[r.id]++
	if !isRefusal || float64(l.doubled[r.id]+1) > extraShare*float64(l.answers[r.id]) {
		return false
	}
	l.doubled[r.id]++
	return true
}

// refusal sends requests that may run once in bursts, of which the runners refuse a few.
func refusal(w *world, hasTrouble bool) ([]string, error) {
	seen := &ledger{runs: map[string][]string{}, answers: map[string]int{}, doubled: map[string]int{}, statuses: map[int]int{}}
	for index := range refusalRunners {
		made, err := w.startRunner(fmt.Sprintf("i-%04d", index+1), refusalService, string("abc"[index%3]), refusalSlots)
		if err != nil {
			return nil, err
		}
		isFaulty := hasTrouble && index < faultyRunners
		turn := make(chan struct{}, refusalSlots)
		made.handle = func(c *runnerConnection, request *http.Request, _ []byte) bool {
			return runOnce(c, request, seen, turn, isFaulty)
		}
		go made.serve()
		w.list(made, "ready")
	}
	w.store.Set("op", "config", map[string]any{
		"version": 1, "limits": limits,
		"routes":   []map[string]any{{"name": "r-once", "host": host, "path_prefix": "/once/", "kind": "unsafe", "timeout_ms": 4000, "goal_ms": 500, "priority": 0, "service": refusalService, "max_attempts": 2}},
		"services": []map[string]any{{"name": refusalService, "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": false}},
	})
	if err := w.startDaemons("a", "b", "c"); err != nil {
		return nil, err
	}
	seen.mutex.Lock()
	seen.began = time.Now()
	seen.mutex.Unlock()
	var sent sync.WaitGroup
	for burst := range bursts {
		for index := range burstSize {
			id := fmt.Sprintf("%04x%04x%08x", burst, index, rand.Uint32())
			sent.Go(func() { w.sendOnce(w.daemons[index%len(w.daemons)], id, seen) })
		}
		time.Sleep(burstPause)
	}
	sent.Wait()
	time.Sleep(time.Second)
	return judgeRefusal(w, seen)
}

// sendOnce sends one request. It is not sent again, whatever the answer.
func (w *world) sendOnce(to *daemon, id string, seen *ledger) {
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	request, _ := http.NewRequest(http.MethodPost, "http://"+to.http+"/once/x", nil)
	request.Host = host
	request.Header.Set("X-Topazpulley-Attempt-Id", id)
	request.Header.Set("X-Topazpulley-Deadline-Ms", "4000")
	answer, err := client.Do(request)
	status := 0
	if err == nil {
		_, _ = io.Copy(io.Discard, answer.Body)
		_ = answer.Body.Close()
		status = answer.StatusCode
	}
	w.note("client: request %s to %s is answered %d", id, to.name, status)
	seen.mutex.Lock()
	defer seen.mutex.Unlock()
	seen.statuses[status]++
}

// runOnce runs a request, or refuses it if the runner is full.
func runOnce(c *runnerConnection, request *http.Request, seen *ledger, turn chan struct{}, isFaulty bool) bool {
	r, id := c.runner, request.Header.Get("X-Topazpulley-Attempt-Id")
	r.mutex.Lock()
	isFull := r.busy >= refusalSlots+refusalQueue
	if !isFull {
		r.busy++
	}
	r.mutex.Unlock()
	if isFull {
		refused := encoded(503, id, "X-Topazpulley-Not-Run: 1\r\n", "")
		_, _ = io.WriteString(c, refused)
		if seen.mayDouble(r, true, isFaulty) {
			c.owed = refused
			r.world.note("runner %s refuses %s: 503, and will send that answer once more where the next one is due", r.id, id)
			return true
		}
		r.world.note("runner %s refuses %s: 503", r.id, id)
		return true
	}
	turn <- struct{}{}
	seen.mutex.Lock()
	seen.runs[id] = append(seen.runs[id], r.id)
	seen.mutex.Unlock()
	r.world.note("runner %s runs %s", r.id, id)
	time.Sleep(workTime)
	<-turn
	r.mutex.Lock()
	r.busy--
	r.mutex.Unlock()
	seen.mayDouble(r, false, isFaulty)
	_, err := io.WriteString(c, encoded(200, id, r.stamp(id), "answer to "+id))
	return err == nil
}

// judgeRefusal applies rule TWICE.
func judgeRefusal(w *world, seen *ledger) ([]string, error) {
	seen.mutex.Lock()
	defer seen.mutex.Unlock()
	broken := []string{}
	for id, at := range seen.runs {
		if len(at) > 1 {
			broken = append(broken, fmt.Sprintf("TWICE: request %s, which may run once, ran %d times, at %v", id, len(at), at))
		}
	}
	for id, count := range seen.answers {
		w.note("in the last strike runner %s gave %d answers, %d of them twice", id, count, seen.doubled[id])
	}
	w.note("%d requests ran; answers to clients by status: %v", len(seen.runs), seen.statuses)
	return broken, nil
}
