package emulator

import (
	"context"
	"net"
	"sync"

	"github.com/valyala/fasthttp"

	"topazpulley/internal/storage"
)

// Paths of the fleet's control listener.
const (
	// PathEngineFaults sets the EngineFaults of the engine named in the query.
	PathEngineFaults = "/emulator/engine"
	// PathLedger returns the ledger of all engines.
	PathLedger = "/emulator/ledger"
)

// Fleet is a group of emulated engines in one process with a shared control listener.
type Fleet struct {
	mutex   sync.Mutex
	engines map[string]*Engine
}

// NewFleet returns an empty fleet.
func NewFleet() *Fleet { return &Fleet{engines: map[string]*Engine{}} }

// Start serves an engine on an address until the context ends and returns its entry for
// the platform's machine list.
func (f *Fleet) Start(ctx context.Context, started *Engine, address, region string) (storage.Machine, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return storage.Machine{}, err
	}
	f.mutex.Lock()
	f.engines[started.Name] = started
	f.mutex.Unlock()
	go func() { _ = started.Serve(ctx, listener) }()
	go func() {
		<-ctx.Done()
		_ = listener.Close()
	}()
	return storage.Machine{
		Name: started.Name, Kind: storage.MachineEngine, Address: listener.Addr().String(),
		Zone: started.Zone, Region: region, Service: started.Service, State: storage.MachineLive,
	}, nil
}

// Engine returns an engine by name.
func (f *Fleet) Engine(name string) (*Engine, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	found, known := f.engines[name]
	return found, known
}

// Ledger returns the ledger of all engines.
func (f *Fleet) Ledger() []LedgerEntry {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	entries := []LedgerEntry{}
	for _, one := range f.engines {
		entries = append(entries, one.Ledger()...)
	}
	return entries
}

// ServeControl serves the control calls until the listener is closed.
func (f *Fleet) ServeControl(listener net.Listener) error {
	server := &fasthttp.Server{Handler: f.handleControl, NoDefaultServerHeader: true}
	return server.Serve(listener)
}

func (f *Fleet) handleControl(call *fasthttp.RequestCtx) {
	switch string(call.Path()) {
	case PathLedger:
		writeJSON(call, f.Ledger())
	case PathEngineFaults:
		target, known := f.Engine(string(call.QueryArgs().Peek("name")))
		if !known {
			call.SetStatusCode(fasthttp.StatusNotFound)
			return
		}
		faults := EngineFaults{}
		if decodeBody(call, &faults) {
			target.SetFaults(faults)
		}
	default:
		call.SetStatusCode(fasthttp.StatusNotFound)
	}
}
