//go:build review

// Program stand plays one case of the review: it starts daemons as separate processes, and is
// their store, their runners and their clients.
package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"topazpulley/platform/platformtest"
)

// Limits of the platform's store, from the pages' example of settings and PROTOCOL.md.
const (
	rowBytes   = 65536
	maxEntries = 100
	maxTxBytes = 1 << 20
	host       = "review.example"
)

// world is the platform with its daemons, and the record of what happened.
type world struct {
	directory string
	began     time.Time
	mutex     sync.Mutex
	record    *os.File
	store     *platformtest.Store
	front     string
	daemons   []*daemon
	refused   int
	objects   objects
}

// daemon is one process of the project.
type daemon struct {
	name, http, ready string
	settings          string
	command           *exec.Cmd
	log               *os.File
}

func (w *world) note(format string, values ...any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, values...))
}

// newWorld starts the store. recordFile is written anew.
func newWorld(recordFile string) (*world, error) {
	record, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	directory, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	w := &world{directory: directory, began: time.Now(), record: record, store: platformtest.NewStore(), objects: objects{sizes: map[string]int{}}}
	if w.front, err = platformtest.FreeAddress("127.0.0.1"); err != nil {
		return nil, err
	}
	server := &http.Server{Addr: w.front, Handler: w.limited()}
	go func() { _ = server.ListenAndServe() }()
	return w, nil
}

// limited is the store with the bounds that the pages give for its transactions. A transaction
// beyond them changes nothing and is answered 400.
func (w *world) limited() http.Handler {
	target, _ := url.Parse("http://" + w.store.Address())
	pass := httputil.NewSingleHostReverseProxy(target)
	pass.ErrorHandler = func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) }
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/-/rows-tx" {
			body, err := io.ReadAll(request.Body)
			if err != nil {
				return
			}
			if fault := faultOf(body); fault != "" {
				w.refuseTx(fault)
				http.Error(writer, fault, http.StatusBadRequest)
				return
			}
			request.Body = io.NopCloser(bytes.NewReader(body))
		}
		if name, isPut := strings.CutPrefix(request.URL.Path, "/-/blob-put/"); isPut && !w.objects.take(name, int(request.ContentLength)) {
			http.Error(writer, "full", http.StatusInsufficientStorage)
			return
		}
		if name, isDrop := strings.CutPrefix(request.URL.Path, "/-/blob-drop/"); isDrop {
			w.objects.drop(name)
			return
		}
		pass.ServeHTTP(writer, request)
	})
}

func (w *world) refuseTx(fault string) {
	w.mutex.Lock()
	w.refused++
	count := w.refused
	w.mutex.Unlock()
	if count <= 5 || count%50 == 0 {
		w.note("store refuses transaction (number %d): %s", count, fault)
	}
}

// faultOf returns why the store does not take a transaction; empty if it takes it.
func faultOf(body []byte) string {
	var wire struct {
		Expect []json.RawMessage `json:"expect_rev"`
		Put    []struct {
			Table string `json:"table"`
			Key   string `json:"tls_key"`
			Value []byte `json:"value"`
		} `json:"put"`
		Remove []json.RawMessage `json:"remove"`
	}
	if json.Unmarshal(body, &wire) != nil {
		return "no JSON"
	}
	if len(body) > maxTxBytes {
		return fmt.Sprintf("%d bytes, 1 MB at most", len(body))
	}
	if len(wire.Expect)+len(wire.Put)+len(wire.Remove) > maxEntries {
		return "over 100 entries"
	}
	for _, each := range wire.Put {
		if len(each.Value) > rowBytes {
			return fmt.Sprintf("row %s of table %s has %d bytes, row_bytes is %d", each.Key, each.Table, len(each.Value), rowBytes)
		}
	}
	return ""
}

// startDaemons starts processes of the program that the deploy file builds, with the command of
// its role and settings filled as its template says.
func (w *world) startDaemons(zones ...string) error {
	addresses, peers := [][4]string{}, []string{}
	for range zones {
		var four [4]string
		for index := range four {
			free, err := platformtest.FreeAddress("127.0.0.1")
			if err != nil {
				return err
			}
			four[index] = free
		}
		addresses, peers = append(addresses, four), append(peers, four[2])
	}
	for index, zone := range zones {
		made := &daemon{name: fmt.Sprintf("front-%s-%d", zone, index+1), http: addresses[index][0], ready: addresses[index][1]}
		text := fmt.Sprintf("name = %q\nzone = %q\nregion = \"here\"\nhttp_address = %q\nready_address = %q\nmetrics_address = %q\npeer_address = %q\nseeds = [\"%s\"]\nstore_address = %q\nstop_grace = \"8s\"\nmemory_megabytes = 314\nprobe_interval = \"500ms\"\ncluster_key = \"746f70617a70756c6c65792d6f6e2d7468652d706c6174666f726d2d30303031\"\n",
			made.name, zone, made.http, made.ready, addresses[index][3], addresses[index][2], strings.Join(peers[:min(3, len(peers))], `","`), w.front)
		made.settings = filepath.Join(w.directory, made.name+".toml")
		if err := os.WriteFile(made.settings, []byte(text), 0o600); err != nil {
			return err
		}
		if err := w.start(made); err != nil {
			return err
		}
		w.daemons = append(w.daemons, made)
	}
	return w.awaitReady()
}

func (w *world) start(made *daemon) error {
	var err error
	if made.log, err = os.OpenFile(filepath.Join(w.directory, made.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	made.command = exec.Command("target/topazpulley", "serve", "--config", made.settings)
	made.command.Stdout, made.command.Stderr = made.log, made.log
	made.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := made.command.Start(); err != nil {
		return err
	}
	w.note("daemon %s started, clients at %s", made.name, made.http)
	return nil
}

func (w *world) awaitReady() error {
	end := time.Now().Add(15 * time.Second)
	for _, each := range w.daemons {
		for {
			answer, err := http.Get("http://" + each.ready + "/-/ready")
			if err == nil {
				_ = answer.Body.Close()
				if answer.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return errors.New(each.name + " is not ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(4 * time.Second) // the daemons find each other
	w.note("all %d daemons are ready", len(w.daemons))
	return nil
}

// end kills the daemons and removes the temporary folder, or names it if KEEP is set.
func (w *world) end() {
	for _, each := range w.daemons {
		if each.command != nil && each.command.Process != nil {
			_ = each.command.Process.Signal(syscall.SIGCONT)
			_ = each.command.Process.Kill()
			_ = each.command.Wait()
		}
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs in", w.directory)
		return
	}
	_ = os.RemoveAll(w.directory)
}

// limits are those of the example of a configuration on the pages.
var limits = map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}

// list writes a runner's entry.
func (w *world) list(r *runner, state string) {
	w.store.Set("servers", r.id, map[string]any{"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": r.slots, "state": state, "cold_left_ms": 0, "call_seq": 0})
}
