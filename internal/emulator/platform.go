// Package emulator emulates the external systems: the platform's services, the engines and
// the network between daemons. The platform and the engines use the real protocols over
// HTTP. Tests and experiments inject faults at run time.
package emulator

import (
	"encoding/json"
	"math/rand/v2"
	"net"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/btree"
	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"topazpulley/internal/settings"
	"topazpulley/internal/storage"
)

// PlatformFaults are the injected faults of the emulated platform.
type PlatformFaults struct {
	// Down makes every call fail without effect.
	Down bool `json:"down"`
	// Latency is added to every call.
	Latency settings.Duration `json:"latency"`
	// LoseAnswerShare is the share of writes, 0 to 1, whose answer is lost after they
	// were applied.
	LoseAnswerShare float64 `json:"lose_answer_share"`
	// OperationsPerSecond is the rate limit of calls; 0 means none.
	OperationsPerSecond float64 `json:"operations_per_second"`
	// MachineListLag is the delay until a change appears in the machine list.
	MachineListLag settings.Duration `json:"machine_list_lag"`
}

// Platform is the emulated platform.
type Platform struct {
	mutex    sync.Mutex
	faults   PlatformFaults
	limiter  *rate.Limiter
	rows     *btree.BTreeG[storage.Row]
	version  storage.Version
	objects  map[string][]byte
	machines []machineChange
	calls    uint64
}

// machineChange is a change of the machine list and its time.
type machineChange struct {
	machine storage.Machine
	removed bool
	at      time.Time
}

const (
	tableDegree       = 32
	maxScanRows       = 1000
	platformBodyLimit = storage.MaxObjectBytes
	// PathPlatformFaults sets PlatformFaults.
	PathPlatformFaults = "/emulator/faults"
	// PathPlatformMachine adds or changes a machine (PUT) or removes it (DELETE).
	PathPlatformMachine = "/emulator/machine"
	// PathPlatformCalls returns the number of calls received.
	PathPlatformCalls = "/emulator/calls"
)

// NewPlatform returns an empty platform without faults.
func NewPlatform() *Platform {
	return &Platform{
		rows:    btree.NewG(tableDegree, func(a, b storage.Row) bool { return a.Key < b.Key }),
		objects: map[string][]byte{},
	}
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(faults PlatformFaults) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.faults = faults
	p.limiter = nil
	if faults.OperationsPerSecond > 0 {
		p.limiter = rate.NewLimiter(rate.Limit(faults.OperationsPerSecond), int(faults.OperationsPerSecond)+1)
	}
}

// SetMachine adds or changes a machine.
func (p *Platform) SetMachine(machine storage.Machine) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.machines = append(p.machines, machineChange{machine: machine, at: time.Now()})
}

// RemoveMachine removes a machine by name.
func (p *Platform) RemoveMachine(name string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.machines = append(p.machines, machineChange{machine: storage.Machine{Name: name}, removed: true, at: time.Now()})
}

// Calls returns the number of calls received, without control calls.
func (p *Platform) Calls() uint64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.calls
}

// Serve serves the platform's protocol and the control calls until the listener is closed.
func (p *Platform) Serve(listener net.Listener) error {
	server := &fasthttp.Server{Handler: p.handle, MaxRequestBodySize: platformBodyLimit, NoDefaultServerHeader: true}
	return server.Serve(listener)
}

func (p *Platform) handle(call *fasthttp.RequestCtx) {
	path := string(call.Path())
	if strings.HasPrefix(path, "/emulator/") {
		p.handleControl(call, path)
		return
	}
	faults, limited := p.admit()
	if faults.Latency > 0 {
		time.Sleep(time.Duration(faults.Latency))
	}
	if faults.Down {
		call.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	if limited {
		call.SetStatusCode(fasthttp.StatusTooManyRequests)
		return
	}
	p.handleService(call, path)
	isWrite := !call.IsGet()
	if isWrite && rand.Float64() < faults.LoseAnswerShare {
		call.Response.Reset()
		call.SetStatusCode(fasthttp.StatusGatewayTimeout)
	}
}

func (p *Platform) admit() (PlatformFaults, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.calls++
	limited := p.limiter != nil && !p.limiter.Allow()
	return p.faults, limited
}

func (p *Platform) handleControl(call *fasthttp.RequestCtx, path string) {
	switch path {
	case PathPlatformFaults:
		faults := PlatformFaults{}
		if !decodeBody(call, &faults) {
			return
		}
		p.SetFaults(faults)
	case PathPlatformMachine:
		machine := storage.Machine{}
		if !decodeBody(call, &machine) {
			return
		}
		if call.IsDelete() {
			p.RemoveMachine(machine.Name)
			return
		}
		p.SetMachine(machine)
	case PathPlatformCalls:
		writeJSON(call, p.Calls())
	default:
		call.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (p *Platform) handleService(call *fasthttp.RequestCtx, path string) {
	query := call.QueryArgs()
	switch {
	case path == storage.PathTransact:
		transaction := storage.Transaction{}
		if decodeBody(call, &transaction) {
			writeJSON(call, p.Transact(transaction))
		}
	case path == storage.PathRow:
		writeJSON(call, p.row(string(query.Peek("key"))))
	case path == storage.PathScan:
		limit, _ := strconv.Atoi(string(query.Peek("limit")))
		writeJSON(call, p.scan(storage.ScanRequest{
			Prefix:  string(query.Peek("prefix")),
			After:   string(query.Peek("after")),
			Limit:   limit,
			Reverse: string(query.Peek("reverse")) == "true",
		}))
	case strings.HasPrefix(path, storage.PathObjects):
		p.handleObject(call, strings.TrimPrefix(path, storage.PathObjects))
	case path == storage.PathMachines:
		writeJSON(call, p.machineList(time.Now()))
		applyETag(call)
	default:
		call.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// Transact applies a transaction atomically.
func (p *Platform) Transact(transaction storage.Transaction) storage.TransactionResult {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	conflicts := []storage.Row{}
	for _, condition := range transaction.Conditions {
		present, _ := p.rows.Get(storage.Row{Key: condition.Key})
		present.Key = condition.Key
		if present.Version != condition.Version {
			conflicts = append(conflicts, present)
		}
	}
	if len(conflicts) > 0 {
		return storage.TransactionResult{Conflicts: conflicts}
	}
	p.version++
	for _, write := range transaction.Writes {
		if write.Delete {
			p.rows.Delete(storage.Row{Key: write.Key})
			continue
		}
		p.rows.ReplaceOrInsert(storage.Row{Key: write.Key, Value: write.Value, Version: p.version, OperationID: transaction.OperationID})
	}
	return storage.TransactionResult{Committed: true, Version: p.version}
}

func (p *Platform) row(key string) storage.Row {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	row, _ := p.rows.Get(storage.Row{Key: key})
	row.Key = key
	return row
}

func (p *Platform) scan(request storage.ScanRequest) []storage.Row {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	limit := min(max(request.Limit, 1), maxScanRows)
	found := []storage.Row{}
	collect := func(row storage.Row) bool {
		if !strings.HasPrefix(row.Key, request.Prefix) {
			return false
		}
		if row.Key != request.After {
			found = append(found, row)
		}
		return len(found) < limit
	}
	if request.Reverse {
		start := request.Prefix + "\xff"
		if request.After != "" {
			start = request.After
		}
		p.rows.DescendLessOrEqual(storage.Row{Key: start}, collect)
		return found
	}
	start := max(request.Prefix, request.After)
	p.rows.AscendGreaterOrEqual(storage.Row{Key: start}, collect)
	return found
}

func (p *Platform) handleObject(call *fasthttp.RequestCtx, name string) {
	if call.IsPut() {
		p.mutex.Lock()
		defer p.mutex.Unlock()
		if _, exists := p.objects[name]; !exists {
			p.objects[name] = append([]byte(nil), call.PostBody()...)
		}
		return
	}
	p.mutex.Lock()
	content, exists := p.objects[name]
	p.mutex.Unlock()
	if !exists {
		call.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	byteRange := call.Request.Header.Peek("Range")
	if len(byteRange) == 0 {
		call.SetBody(content)
		return
	}
	start, end, err := fasthttp.ParseByteRange(byteRange, len(content))
	if err != nil {
		call.SetStatusCode(fasthttp.StatusRequestedRangeNotSatisfiable)
		return
	}
	call.SetStatusCode(fasthttp.StatusPartialContent)
	call.SetBody(content[start : end+1])
}

// machineList returns the machines after all changes that are older than the lag.
func (p *Platform) machineList(now time.Time) []storage.Machine {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	visible := map[string]storage.Machine{}
	latest := now.Add(-time.Duration(p.faults.MachineListLag))
	for _, change := range p.machines {
		if change.at.After(latest) {
			continue
		}
		if change.removed {
			delete(visible, change.machine.Name)
			continue
		}
		visible[change.machine.Name] = change.machine
	}
	list := make([]storage.Machine, 0, len(visible))
	for _, machine := range visible {
		list = append(list, machine)
	}
	sort.Slice(list, func(a, b int) bool { return list[a].Name < list[b].Name })
	return list
}

// applyETag sets the ETag of the answer and answers 304 if the caller has that version.
func applyETag(call *fasthttp.RequestCtx) {
	tag := strconv.FormatUint(xxhash.Sum64(call.Response.Body()), 16)
	call.Response.Header.Set("ETag", tag)
	if string(call.Request.Header.Peek("If-None-Match")) == tag {
		call.Response.ResetBody()
		call.SetStatusCode(fasthttp.StatusNotModified)
	}
}

func decodeBody(call *fasthttp.RequestCtx, target any) bool {
	if err := json.Unmarshal(call.PostBody(), target); err != nil {
		call.Error(err.Error(), fasthttp.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(call *fasthttp.RequestCtx, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		call.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	call.SetContentType("application/json")
	call.SetBody(encoded)
}
