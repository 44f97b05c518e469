//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"topazpulley/platform/platformtest"
)

// Names of the emulated deployment.
const (
	host        = "ficu95.example"
	llmService  = "msaidizi-llm"
	bulkPrefix  = "/pule252/"
	chatPrefix  = "/pufi791/"
	digestRoute = "/lohu930/"
	zone        = "kurasini-hall"
	grace       = 8 * time.Second
	// daemonProgram is what the build line of the deploy file makes.
	daemonProgram = "target/topazpulley"
	clusterKey    = "746f70617a70756c6c65792d6f6e2d7468652d706c6174666f726d2d30303031"
)

// record is the file that tells what was sent, answered and run.
type record struct {
	mutex sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) line(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, values...))
}

// daemon is one process of the project.
type daemon struct {
	name, front, ready string
	settings           string
	command            *exec.Cmd
	exited             chan struct{}
	log                *os.File
}

// world is a small deployment: a store, daemons and runners on loopback addresses.
type world struct {
	*record
	hasTrouble bool
	folder     string
	store      *platformtest.Store
	daemons    []*daemon
	runners    []*runner
}

// newWorld starts a store, and prepares a record beside the script.
func newWorld(recordPath string) (*world, error) {
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	return &world{
		record: &record{file: file, began: time.Now()}, hasTrouble: os.Getenv("TROUBLE") != "0",
		folder: folder, store: platformtest.NewStore(),
	}, nil
}

// close ends all processes and stand-ins.
func (w *world) close() {
	for _, each := range w.daemons {
		each.signal(syscall.SIGCONT)
		each.signal(syscall.SIGKILL)
		<-each.exited
		_ = each.log.Close()
	}
	for _, each := range w.runners {
		each.close()
	}
	w.store.Close()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(w.folder)
	}
	_ = w.file.Close()
}

// addDaemons writes settings by the deploy file's template and starts the daemons.
func (w *world) addDaemons(count, memoryMegabytes int) error {
	const addressesEach = 4
	found := make([][addressesEach]string, count)
	seeds := []string{}
	for index := range found {
		for place := range found[index] {
			address, err := platformtest.FreeAddress(fmt.Sprintf("127.0.0.%d", 11+index))
			if err != nil {
				return err
			}
			found[index][place] = address
		}
		seeds = append(seeds, found[index][3])
	}
	for index, addresses := range found {
		made := &daemon{name: fmt.Sprintf("front-%s-%d", zone, index+1), front: addresses[0], ready: addresses[1]}
		text := fmt.Sprintf("name = %q\nzone = %q\nregion = \"dar-coast\"\nhttp_address = %q\nready_address = %q\nmetrics_address = %q\npeer_address = %q\nseeds = [\"%s\"]\nstore_address = %q\nstop_grace = \"8s\"\nmemory_megabytes = %d\nprobe_interval = \"500ms\"\ncluster_key = %q\n",
			made.name, zone, addresses[0], addresses[1], addresses[2], addresses[3], strings.Join(seeds[:min(3, len(seeds))], `","`), w.store.Address(), memoryMegabytes, clusterKey)
		made.settings = filepath.Join(w.folder, made.name+".toml")
		if err := os.WriteFile(made.settings, []byte(text), 0o600); err != nil {
			return err
		}
		log, err := os.Create(filepath.Join(w.folder, made.name+".log"))
		if err != nil {
			return err
		}
		made.log = log
		if err := made.start(); err != nil {
			return err
		}
		w.daemons = append(w.daemons, made)
		w.line("started %s", made.name)
	}
	return nil
}

func (d *daemon) start() error {
	d.command = exec.Command(daemonProgram, "serve", "--config", d.settings)
	d.command.Stdout, d.command.Stderr = d.log, d.log
	if err := d.command.Start(); err != nil {
		return err
	}
	d.exited = make(chan struct{})
	go func(command *exec.Cmd, exited chan struct{}) {
		_ = command.Wait()
		close(exited)
	}(d.command, d.exited)
	return nil
}

func (d *daemon) signal(sent syscall.Signal) { _ = d.command.Process.Signal(sent) }

// awaitReady waits until all daemons answer that they are ready.
func (w *world) awaitReady() error {
	deadline := time.Now().Add(15 * time.Second)
	for _, each := range w.daemons {
		for !each.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", each.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(4 * time.Second) // the daemons find each other, and list the runners
	w.line("all daemons are ready")
	return nil
}

var statusClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func (d *daemon) isReady() bool {
	answer, err := statusClient.Get("http://" + d.ready + "/-/ready")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// routeEntry is one route of the operator's configuration.
type routeEntry map[string]any

func bulkRoute() routeEntry {
	return routeEntry{"name": "r-bulk", "host": host, "path_prefix": bulkPrefix, "kind": "bulk", "timeout_ms": 15000, "goal_ms": 400, "due_ms": 20000, "max_wait_s": 60, "max_attempts": 3, "priority": 2, "service": llmService}
}

func streamRoute(name, prefix string) routeEntry {
	return routeEntry{"name": name, "host": host, "path_prefix": prefix, "kind": "streaming", "timeout_ms": 8000, "goal_ms": 300, "priority": 0, "service": llmService, "max_attempts": 1, "sticky": true, "resumable": false, "gap_target_ms": 500}
}

// configure writes a configuration, as the operator does; the store's answer acknowledges it.
func (w *world) configure(version int, routes ...routeEntry) {
	names := []string{}
	for _, each := range routes {
		names = append(names, fmt.Sprint(each["name"]))
	}
	w.store.Set("op", "config", map[string]any{
		"version": version, "routes": routes,
		"services": []any{map[string]any{"name": llmService, "health_path": "/health", "max_conns": 300, "protocol": "h1", "tls": false, "engine": map[string]any{"slots": 19, "kv_capacity": 171000, "hold_ms": 2000.0}}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	w.line("the store acknowledged configuration %d with the routes %s", version, strings.Join(names, ", "))
}

// call makes one call about a job on a new connection.
func call(ctx context.Context, method, address, path, id string, body any, deadlineMs int) (int, []byte, error) {
	var content []byte
	if body != nil {
		content, _ = json.Marshal(body)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(string(content)))
	if err != nil {
		return 0, nil, err
	}
	request.Host = host
	if id != "" {
		request.Header.Set("X-Topazpulley-Attempt-Id", id)
	}
	if deadlineMs > 0 {
		request.Header.Set("X-Topazpulley-Deadline-Ms", fmt.Sprint(deadlineMs))
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
	answer, err := client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = answer.Body.Close() }()
	read, err := readAll(answer.Body)
	return answer.StatusCode, read, err
}
