package scenario

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"topazpulley/internal/failure"
)

// onlineLoad sends online requests in the background until it is stopped.
type onlineLoad struct {
	stopped chan struct{}
	group   sync.WaitGroup
	mutex   sync.Mutex
	sent    int
	failed  []error
}

const loadWorkers = 4

func (l *onlineLoad) stop() {
	select {
	case <-l.stopped:
	default:
		close(l.stopped)
	}
	l.group.Wait()
}

// loadCommand: load start DAEMON,... TOKENS | load stop: no request has failed.
func loadCommand(f *fleet, args []string) error {
	if args[0] == "start" {
		f.load = startLoad(f, strings.Split(args[1], ","), parseNumber(args[2]))
		return nil
	}
	f.load.stop()
	if len(f.load.failed) > 0 {
		return fmt.Errorf("%d of %d requests failed, the first: %w", len(f.load.failed), f.load.sent, f.load.failed[0])
	}
	if f.load.sent == 0 {
		return fmt.Errorf("no request was sent")
	}
	return nil
}

func startLoad(f *fleet, daemons []string, tokens int) *onlineLoad {
	load := &onlineLoad{stopped: make(chan struct{})}
	for worker := range loadWorkers {
		load.group.Add(1)
		go func() {
			defer load.group.Done()
			for index := 0; ; index++ {
				select {
				case <-load.stopped:
					return
				default:
				}
				load.ask(f, daemons, fmt.Sprintf("load %d %d", worker, index), index+worker, tokens)
			}
		}()
	}
	return load
}

// ask sends one request to one of the daemons. It retries with the next daemon if the
// connection was refused or the request was rejected as not run.
func (l *onlineLoad) ask(f *fleet, daemons []string, prompt string, turn, tokens int) {
	var err error
	for try := range 2 * len(daemons) {
		err = streamComplete(f.callerAt(daemons[(turn+try)%len(daemons)]), prompt, tokens)
		if err == nil || !canRetry(err) {
			break
		}
		time.Sleep(pollInterval)
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.sent++
	if err != nil {
		l.failed = append(l.failed, err)
	}
}

func canRetry(err error) bool {
	return failure.From(err).NotRun || strings.Contains(err.Error(), "connection refused")
}
