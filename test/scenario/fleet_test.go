package scenario

import (
	"crypto/ed25519"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/valyala/fasthttp"

	"topazpulley/internal/bundle"
	"topazpulley/internal/client"
	"topazpulley/internal/emulator"
	"topazpulley/internal/gateway"
	"topazpulley/internal/harness"
	"topazpulley/internal/storage"
)

const (
	waitTimeout  = 60 * time.Second
	pollInterval = 50 * time.Millisecond
	clusterKey   = "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"
	token        = "scenario-operator-token"
	operator     = "amina"
)

// lastNetwork is the number of the latest fleet's network. Each fleet has its own network in
// 127.0.0.0/8.
var lastNetwork atomic.Int32

type fleetKey struct{}

// process is a process of a fleet with the arguments to restart it.
type process struct {
	command   *exec.Cmd
	arguments []string
}

// daemonSpec is the name, zone, addresses and settings file of a daemon. Other daemons
// reach its peer address through the relay at the relayed address.
type daemonSpec struct {
	name    string
	zone    string
	http    string
	peer    string
	relayed string
	config  string
}

// fleet is the processes, jobs and load of one script.
type fleet struct {
	dir       string
	path      string
	network   int
	processes map[string]*process
	daemons   []daemonSpec
	engines   []string
	key       ed25519.PrivateKey
	jobs      map[string]submittedJob
	load      *onlineLoad
}

func newFleet(env *testscript.Env) *fleet {
	f := &fleet{
		dir: env.WorkDir, path: env.Getenv("PATH"), network: int(lastNetwork.Add(1)),
		processes: map[string]*process{}, jobs: map[string]submittedJob{},
	}
	env.Defer(f.killAll)
	return f
}

func (f *fleet) address(host, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", 10+os.Getpid()%200, f.network, host, port)
}

func (f *fleet) platformURL() string { return "http://" + f.address(1, 7000) }
func (f *fleet) engineControl() string {
	return "http://" + f.address(2, 7000)
}
func (f *fleet) relayControl() string { return "http://" + f.address(3, 7000) }

// run starts a program as a process of the fleet, with its output in NAME.log.
func (f *fleet) run(name, program string, arguments ...string) error {
	found, err := lookPath(f.path, program)
	if err != nil {
		return err
	}
	command := exec.Command(found, arguments...)
	output, err := os.OpenFile(filepath.Join(f.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		return err
	}
	f.processes[name] = &process{command: command, arguments: append([]string{program}, arguments...)}
	return nil
}

func lookPath(path, program string) (string, error) {
	for _, dir := range filepath.SplitList(path) {
		candidate := filepath.Join(dir, program)
		if info, err := os.Stat(candidate); err == nil && !info.IsDir() {
			return candidate, nil
		}
	}
	return "", exec.ErrNotFound
}

func (f *fleet) signal(name string, signal syscall.Signal) error {
	started, known := f.processes[name]
	if !known {
		return fmt.Errorf("no process %s", name)
	}
	return started.command.Process.Signal(signal)
}

// end sends a signal to a process and waits until it has exited.
func (f *fleet) end(name string, signal syscall.Signal) error {
	if err := f.signal(name, signal); err != nil {
		return err
	}
	_ = f.processes[name].command.Wait()
	return nil
}

func (f *fleet) restart(name string) error {
	started := f.processes[name]
	return f.run(name, started.arguments[0], started.arguments[1:]...)
}

func (f *fleet) killAll() {
	if f.load != nil {
		f.load.stop()
	}
	for _, started := range f.processes {
		_ = started.command.Process.Signal(syscall.SIGCONT)
		_ = started.command.Process.Kill()
		_ = started.command.Wait()
	}
}

// start starts the platform, the relay, the engines and the daemons.
func (f *fleet) start(zones []string, perZone, engines, plain int, timeScale float64) error {
	publicKey, privateKey, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return err
	}
	f.key = privateKey
	if err := f.run("platform", "topazbench", "emulate", "platform", "--address", f.address(1, 7000)); err != nil {
		return err
	}
	f.describeDaemons(zones, perZone)
	if err := f.startRelay(); err != nil {
		return err
	}
	if err := waitHTTP(f.platformURL() + storage.PathMachines); err != nil {
		return err
	}
	if err := f.startEngines(zones, engines, plain, timeScale); err != nil {
		return err
	}
	return f.startDaemons(hex.EncodeToString(publicKey))
}

func (f *fleet) describeDaemons(zones []string, perZone int) {
	for zoneIndex, zone := range zones {
		for index := range perZone {
			host := 10 + zoneIndex*10 + index
			f.daemons = append(f.daemons, daemonSpec{
				name: fmt.Sprintf("%s-%d", zone, index), zone: zone,
				http: f.address(host, 8080), peer: f.address(host, 7400), relayed: f.address(host+100, 7400),
			})
		}
	}
}

func (f *fleet) startRelay() error {
	routes := []string{}
	for _, spec := range f.daemons {
		routes = append(routes, spec.relayed+"="+spec.peer+"@"+spec.zone)
	}
	return f.run("relay", "topazbench", "emulate", "relay", "--routes", strings.Join(routes, ","), "--control", f.address(3, 7000))
}

func (f *fleet) startEngines(zones []string, engines, plain int, timeScale float64) error {
	text := fmt.Sprintf("platform_url = %q\nregion = \"coast\"\ncontrol_address = %q\n", f.platformURL(), f.address(2, 7000))
	add := func(service string, index int, isPlain bool) {
		name := fmt.Sprintf("%s-%02d", service, index)
		f.engines = append(f.engines, name)
		text += fmt.Sprintf("[[engines]]\nname = %q\naddress = %q\nzone = %q\nservice = %q\nplain = %t\ntime_scale = %g\n",
			name, f.address(4, 7001+len(f.engines)), zones[index%len(zones)], service, isPlain, timeScale)
	}
	for index := range engines {
		add("assistant", index, false)
	}
	for index := range plain {
		add("meter", index, true)
	}
	config := filepath.Join(f.dir, "engines.toml")
	if err := os.WriteFile(config, []byte(text), 0o644); err != nil {
		return err
	}
	if err := f.run("engines", "topazbench", "emulate", "engines", "--config", config); err != nil {
		return err
	}
	return waitHTTP(f.engineControl() + emulator.PathLedger)
}

func (f *fleet) startDaemons(publicKey string) error {
	for index := range f.daemons {
		spec := &f.daemons[index]
		spec.config = filepath.Join(f.dir, spec.name+".toml")
		text := fmt.Sprintf("name = %q\nzone = %q\nregion = \"coast\"\nhttp_address = %q\npeer_address = %q\nadvertise_address = %q\nplatform_url = %q\n"+
			"cluster_key = %q\noperator_token = %q\nprobe_interval = \"300ms\"\nstop_linger = \"1s\"\nseeds = [%q, %q]\n[operator_keys]\n%s = %q\n",
			spec.name, spec.zone, spec.http, spec.peer, spec.relayed, f.platformURL(), clusterKey, token,
			f.daemons[0].relayed, f.daemons[len(f.daemons)-1].relayed, operator, publicKey)
		if err := os.WriteFile(spec.config, []byte(text), 0o644); err != nil {
			return err
		}
		if err := f.run(spec.name, "topazpulley", "serve", "--config", spec.config); err != nil {
			return err
		}
	}
	return f.awaitReady()
}

func (f *fleet) awaitReady() error {
	for _, spec := range f.daemons {
		if err := waitHTTP("http://" + spec.http + "/readyz"); err != nil {
			return fmt.Errorf("%s: %w", spec.name, err)
		}
	}
	return nil
}

// poll waits until a condition holds, or fails after waitTimeout.
func poll(what string, condition func() bool) error {
	deadline := time.Now().Add(waitTimeout)
	for time.Now().Before(deadline) {
		if condition() {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return fmt.Errorf("timed out after %s waiting for %s", waitTimeout, what)
}

func waitHTTP(url string) error {
	return poll(url, func() bool {
		status, _, err := fasthttp.GetTimeout(nil, url, time.Second)
		return err == nil && status == fasthttp.StatusOK
	})
}

func put(url string, value any) error {
	encoded, err := json.Marshal(value)
	if err != nil {
		return err
	}
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(fasthttp.MethodPut)
	request.SetRequestURI(url)
	request.SetBody(encoded)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	if err := fasthttp.DoTimeout(request, response, 5*time.Second); err != nil {
		return err
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return fmt.Errorf("%s answered %d", url, response.StatusCode())
	}
	return nil
}

func (f *fleet) spec(name string) daemonSpec {
	for _, spec := range f.daemons {
		if spec.name == name {
			return spec
		}
	}
	return daemonSpec{}
}

func (f *fleet) operatorAt(name string) *client.Client {
	return client.New("http://"+f.spec(name).http, token)
}

func (f *fleet) callerAt(name string) *client.Client {
	return client.New("http://"+f.spec(name).http, harness.ExampleKey)
}

// change submits a change through a daemon and returns the number of the new revision.
func (f *fleet) change(daemon string, request gateway.ChangeRequest) (int64, error) {
	request.Operator, request.Base = operator, -1
	made, err := f.operatorAt(daemon).Change(request)
	return made.Number, err
}

// roll signs, submits and rolls a bundle with a model version, and returns the revision.
func (f *fleet) roll(daemon, version string) (int64, error) {
	text := harness.ExampleBundle(version)
	accept := gateway.ChangeRequest{Kind: "accept", Text: text, Signatures: []bundle.Signature{bundle.Sign(text, operator, f.key)}}
	if _, err := f.change(daemon, accept); err != nil {
		return 0, err
	}
	return f.change(daemon, gateway.ChangeRequest{Kind: "roll", Digest: bundle.Digest(text)})
}

// awaitServing waits until the daemons have the revision and report every engine
// of their zone as serving it.
func (f *fleet) awaitServing(revision int64, daemons []string) error {
	for _, name := range daemons {
		err := poll(fmt.Sprintf("%s to serve revision %d", name, revision), func() bool {
			status, err := f.operatorAt(name).Status()
			if err != nil || !status.Ready || status.Revision < revision || len(status.Engines) == 0 {
				return false
			}
			for _, engine := range status.Engines {
				if engine.Up && (engine.State != "ready" || engine.Fence < revision) {
					return false
				}
			}
			return true
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) ledger() ([]emulator.LedgerEntry, error) {
	_, body, err := fasthttp.GetTimeout(nil, f.engineControl()+emulator.PathLedger, 10*time.Second)
	entries := []emulator.LedgerEntry{}
	if err != nil {
		return nil, err
	}
	return entries, json.Unmarshal(body, &entries)
}

func (f *fleet) names() []string {
	names := []string{}
	for _, spec := range f.daemons {
		names = append(names, spec.name)
	}
	return names
}
