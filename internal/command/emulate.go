package command

import (
	"context"
	"flag"
	"fmt"
	"net"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/google/subcommands"
	"github.com/valyala/fasthttp"

	"topazpulley/internal/emulator"
	"topazpulley/internal/failure"
	"topazpulley/internal/settings"
	"topazpulley/internal/storage"

	"encoding/json"
)

// BenchCommands returns the subcommands of topazbench.
func BenchCommands() []group {
	emulate := newNested("emulate", "run emulators of the external systems", []subcommands.Command{&emulatePlatformCommand{}, &emulateEnginesCommand{}, &emulateRelayCommand{}})
	return []group{
		{"stand-ins", []subcommands.Command{emulate}},
		{"measurement", []subcommands.Command{&experimentCommand{}}},
		{"faults", []subcommands.Command{&chaosCommand{}, &soakCommand{}}},
		{"", []subcommands.Command{&versionCommand{}}},
	}
}

// emulatePlatformCommand runs the emulated platform.
type emulatePlatformCommand struct {
	address string
}

// Name implements subcommands.Command.
func (*emulatePlatformCommand) Name() string { return "platform" }

// Synopsis implements subcommands.Command.
func (*emulatePlatformCommand) Synopsis() string {
	return "run the table, object store and machine list"
}

// Usage implements subcommands.Command.
func (*emulatePlatformCommand) Usage() string {
	return "platform --address IP:PORT\n  Faults are set while running by PUT " + emulator.PathPlatformFaults + ".\n\nFlags:\n"
}

// SetFlags implements subcommands.Command.
func (e *emulatePlatformCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&e.address, "address", "127.0.0.1:7000", "listen `address`")
}

// Execute implements subcommands.Command.
func (e *emulatePlatformCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	listener, err := listenTCP(e.address)
	if err != nil {
		return fail(err)
	}
	fmt.Printf("platform=http://%s\n", listener.Addr())
	serveUntilSignal(func() error { return emulator.NewPlatform().Serve(listener) })
	return subcommands.ExitSuccess
}

func listenTCP(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, failure.Wrap(err, failure.KindUnavailable, "listen", "cannot listen on %s", address)
	}
	return listener, nil
}

// serveUntilSignal runs serve until it returns or the process receives SIGINT or
// SIGTERM.
func serveUntilSignal(serve func() error) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	ended := make(chan error, 1)
	go func() { ended <- serve() }()
	select {
	case <-signals:
	case <-ended:
	}
}

// EngineFile is the content of the TOML file that describes emulated engines.
type EngineFile struct {
	// PlatformURL is the base URL of the emulated platform, which lists the engines.
	PlatformURL string `toml:"platform_url"`
	// Region of all engines.
	Region string `toml:"region"`
	// ControlAddress is the listen address for setting faults and reading the ledger.
	ControlAddress string        `toml:"control_address"`
	Engines        []EngineEntry `toml:"engines"`
}

// EngineEntry is one emulated engine.
type EngineEntry struct {
	Name    string `toml:"name"`
	Address string `toml:"address"`
	Zone    string `toml:"zone"`
	Service string `toml:"service"`
	Plain   bool   `toml:"plain"`
	// TimeScale multiplies all times of the engine's model; 0 keeps the default.
	TimeScale float64 `toml:"time_scale"`
}

// emulateEnginesCommand runs emulated engines.
type emulateEnginesCommand struct {
	config string
}

// Name implements subcommands.Command.
func (*emulateEnginesCommand) Name() string { return "engines" }

// Synopsis implements subcommands.Command.
func (*emulateEnginesCommand) Synopsis() string { return "run emulated engines" }

// Usage implements subcommands.Command.
func (*emulateEnginesCommand) Usage() string {
	return "engines --config FILE\n  Faults are set while running by PUT " + emulator.PathEngineFaults + "?name=NAME on the control address.\n\nFlags:\n"
}

// SetFlags implements subcommands.Command.
func (e *emulateEnginesCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&e.config, "config", "", "engines `file` (TOML)")
}

// Execute implements subcommands.Command.
func (e *emulateEnginesCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	content, err := readFile(e.config)
	if err != nil {
		return fail(err)
	}
	file := EngineFile{}
	if err := settings.DecodeStrict(string(content), &file); err != nil {
		return fail(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	fleet := emulator.NewFleet()
	for _, entry := range file.Engines {
		if err := startEntry(ctx, fleet, file, entry); err != nil {
			return fail(err)
		}
	}
	control, err := listenTCP(file.ControlAddress)
	if err != nil {
		return fail(err)
	}
	fmt.Printf("engines=%d control=http://%s\n", len(file.Engines), control.Addr())
	serveUntilSignal(func() error { return fleet.ServeControl(control) })
	return subcommands.ExitSuccess
}

func startEntry(ctx context.Context, fleet *emulator.Fleet, file EngineFile, entry EngineEntry) error {
	model := emulator.DefaultEngineModel()
	if entry.TimeScale > 0 {
		model.TimeScale = entry.TimeScale
	}
	machine, err := fleet.Start(ctx, emulator.NewEngine(entry.Name, entry.Zone, entry.Service, entry.Plain, model), entry.Address, file.Region)
	if err != nil {
		return failure.Wrap(err, failure.KindUnavailable, "engine_listen", "engine %s cannot listen on %s", entry.Name, entry.Address)
	}
	return announceMachine(file.PlatformURL, machine)
}

// announceMachine adds the machine to the emulated platform's machine list.
func announceMachine(platformURL string, machine storage.Machine) error {
	encoded, err := json.Marshal(machine)
	if err != nil {
		return failure.Wrap(err, failure.KindInternal, "encode", "cannot encode the machine")
	}
	return putJSON(platformURL+emulator.PathPlatformMachine, encoded)
}

func putJSON(address string, body []byte) error {
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPut)
	request.SetRequestURI(address)
	request.SetBodyRaw(body)
	if err := fasthttp.Do(request, response); err != nil || response.StatusCode() != fasthttp.StatusOK {
		return failure.Wrap(err, failure.KindUnavailable, "stand_in_unreachable", "%s did not accept the request", address)
	}
	return nil
}

// emulateRelayCommand runs a relay for peer traffic that can cut connections
// between zones.
type emulateRelayCommand struct {
	routes  string
	control string
}

// Name implements subcommands.Command.
func (*emulateRelayCommand) Name() string { return "relay" }

// Synopsis implements subcommands.Command.
func (*emulateRelayCommand) Synopsis() string { return "relay peer traffic and cut it by zone pair" }

// Usage implements subcommands.Command.
func (*emulateRelayCommand) Usage() string {
	return "relay --routes LISTEN=TARGET@ZONE,... --control IP:PORT\n  Each daemon advertises its LISTEN address. Cuts are set by PUT " + emulator.PathCuts + ".\n\nFlags:\n"
}

// SetFlags implements subcommands.Command.
func (e *emulateRelayCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&e.routes, "routes", "", "comma-separated `routes` LISTEN=TARGET@ZONE")
	flags.StringVar(&e.control, "control", "127.0.0.1:7100", "control `address`")
}

// Execute implements subcommands.Command.
func (e *emulateRelayCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	relay := emulator.NewRelay()
	for _, route := range strings.Split(e.routes, ",") {
		listen, rest, hasTarget := strings.Cut(route, "=")
		target, zone, hasZone := strings.Cut(rest, "@")
		if !hasTarget || !hasZone {
			return usageError("route %q is not LISTEN=TARGET@ZONE", route)
		}
		if err := relay.Add(listen, target, zone); err != nil {
			return fail(err)
		}
	}
	control, err := listenTCP(e.control)
	if err != nil {
		return fail(err)
	}
	fmt.Printf("relay control=http://%s\n", control.Addr())
	serveUntilSignal(func() error { return relay.ServeControl(control) })
	return subcommands.ExitSuccess
}
