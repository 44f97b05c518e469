// Package harness runs an emulated platform, emulated engines and daemons in one
// process on loopback addresses. The dev command, the experiments and in-process
// tests use it. The command line starts the same components as separate processes.
package harness

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"topazpulley/internal/bundle"
	"topazpulley/internal/client"
	"topazpulley/internal/daemon"
	"topazpulley/internal/emulator"
	"topazpulley/internal/failure"
	"topazpulley/internal/gateway"
	"topazpulley/internal/revision"
	"topazpulley/internal/settings"
	"topazpulley/internal/storage"
)

// EngineGroup describes emulated engines of one service.
type EngineGroup struct {
	Service string
	Plain   bool
	// Count is the number of engines; they are assigned to the zones round-robin.
	Count int
	Model emulator.EngineModel
}

// Config describes a deployment.
type Config struct {
	Zones          []string
	Region         string
	DaemonsPerZone int
	Engines        []EngineGroup
	// BundleText is the bundle that Start signs and rolls out.
	BundleText string
	// Host is the loopback address of all listeners.
	Host string
	// Options are the experimental options of all daemons.
	Options daemon.Options
	// ProbeInterval is the membership probe interval.
	ProbeInterval time.Duration
	// StopLinger is how long a daemon lingers at a planned stop.
	StopLinger time.Duration
	// FirstDaemonPort is the first daemon's HTTP port; 0 selects a free one.
	FirstDaemonPort int
	Log             *slog.Logger
}

// OperatorName is the operator whose key signs the harness's bundle.
const OperatorName = "harness"

// Harness is a running deployment.
type Harness struct {
	Platform    *emulator.Platform
	PlatformURL string
	Fleet       *emulator.Fleet
	Daemons     []*daemon.Daemon
	Settings    []settings.Settings
	// OperatorToken authenticates operator calls.
	OperatorToken string
	// SigningKey is the harness operator's private key.
	SigningKey ed25519.PrivateKey

	config   Config
	context  context.Context
	cancel   context.CancelFunc
	listener net.Listener
}

const (
	secretBytes   = 32
	readyTimeout  = 60 * time.Second
	readyInterval = 20 * time.Millisecond
	anyBase       = -1
)

// Start starts the deployment and returns when every daemon is ready and every
// engine serves the bundle.
func Start(config Config) (*Harness, error) {
	h := &Harness{Platform: emulator.NewPlatform(), Fleet: emulator.NewFleet(), config: config}
	h.context, h.cancel = context.WithCancel(context.Background())
	if err := h.start(); err != nil {
		h.Stop()
		return nil, err
	}
	return h, nil
}

func (h *Harness) start() error {
	if err := h.startPlatform(); err != nil {
		return err
	}
	if err := h.startEngines(); err != nil {
		return err
	}
	if err := h.startDaemons(); err != nil {
		return err
	}
	if err := h.RollBundle(h.config.BundleText); err != nil {
		return err
	}
	return h.WaitServing()
}

func (h *Harness) startPlatform() error {
	listener, err := net.Listen("tcp", h.config.Host+":0")
	if err != nil {
		return errors.WithStack(err)
	}
	h.listener = listener
	h.PlatformURL = "http://" + listener.Addr().String()
	go func() { _ = h.Platform.Serve(listener) }()
	return nil
}

func (h *Harness) startEngines() error {
	for _, group := range h.config.Engines {
		for index := range group.Count {
			zone := h.config.Zones[index%len(h.config.Zones)]
			name := fmt.Sprintf("%s-%02d", group.Service, index)
			engine := emulator.NewEngine(name, zone, group.Service, group.Plain, group.Model)
			machine, err := h.Fleet.Start(h.context, engine, h.config.Host+":0", h.config.Region)
			if err != nil {
				return errors.WithStack(err)
			}
			h.Platform.SetMachine(machine)
		}
	}
	return nil
}

func (h *Harness) startDaemons() error {
	publicKey, privateKey, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return errors.WithStack(err)
	}
	h.SigningKey = privateKey
	h.OperatorToken = randomHex()
	clusterKey := randomHex()
	for _, zone := range h.config.Zones {
		for index := range h.config.DaemonsPerZone {
			process := settings.Default()
			process.Name = fmt.Sprintf("%s-%d", zone, index)
			process.Zone, process.Region = zone, h.config.Region
			process.PlatformURL = h.PlatformURL
			process.ClusterKey = clusterKey
			process.OperatorKeys = map[string]string{OperatorName: hex.EncodeToString(publicKey)}
			process.OperatorToken = h.OperatorToken
			process.ProbeInterval = settings.Duration(h.config.ProbeInterval)
			process.StopLinger = settings.Duration(h.config.StopLinger)
			h.Settings = append(h.Settings, process)
		}
	}
	for index := range h.Settings {
		if err := h.StartDaemon(index); err != nil {
			return err
		}
	}
	return nil
}

// StartDaemon starts or restarts the daemon with an index.
func (h *Harness) StartDaemon(index int) error {
	process := h.Settings[index]
	if err := h.chooseAddresses(&process, index); err != nil {
		return err
	}
	if err := process.Validate(); err != nil {
		return err
	}
	h.Settings[index] = process
	started := daemon.New(process, h.config.Options, h.config.Log.With("daemon", process.Name))
	if err := started.Start(); err != nil {
		return err
	}
	if index < len(h.Daemons) {
		h.Daemons[index] = started
	} else {
		h.Daemons = append(h.Daemons, started)
	}
	h.Platform.SetMachine(storage.Machine{
		Name: process.Name, Kind: storage.MachineDaemon, Address: process.AdvertiseAddress,
		Zone: process.Zone, Region: process.Region, State: storage.MachineLive,
	})
	return nil
}

func (h *Harness) chooseAddresses(process *settings.Settings, index int) error {
	if process.HTTPAddress != "" {
		return nil
	}
	var err error
	if process.PeerAddress, err = freeAddress(h.config.Host); err != nil {
		return err
	}
	process.AdvertiseAddress = process.PeerAddress
	if index == 0 && h.config.FirstDaemonPort != 0 {
		process.HTTPAddress = fmt.Sprintf("%s:%d", h.config.Host, h.config.FirstDaemonPort)
		return nil
	}
	process.HTTPAddress, err = freeAddress(h.config.Host)
	return err
}

// Daemons listen on ports from firstPort to firstPort+portCount-1. The range is below
// the kernel's ephemeral ports, so that no outgoing connection can take the port of a
// daemon while it restarts.
const (
	firstPort = 12000
	portCount = 20000
	portTries = 1000
)

// nextPort is the offset of the last port tried by this process.
var nextPort atomic.Uint32

func freeAddress(host string) (string, error) {
	for range portTries {
		offset := (uint32(os.Getpid())*131 + nextPort.Add(1)) % portCount
		address := fmt.Sprintf("%s:%d", host, firstPort+offset)
		listener, err := net.Listen("tcp", address)
		if err == nil {
			return address, errors.WithStack(listener.Close())
		}
	}
	return "", failure.New(failure.KindUnavailable, "no_port", "no free port on %s", host)
}

func randomHex() string {
	secret := make([]byte, secretBytes)
	_, _ = rand.Read(secret)
	return hex.EncodeToString(secret)
}

// KeyDigest returns the hex SHA-256 digest that identifies an API key in a bundle.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Operator returns a client of a daemon that uses the operator token.
func (h *Harness) Operator(index int) *client.Client {
	return client.New("http://"+h.Settings[index].HTTPAddress, h.OperatorToken)
}

// Caller returns a client of a daemon that uses an API key.
func (h *Harness) Caller(index int, key string) *client.Client {
	return client.New("http://"+h.Settings[index].HTTPAddress, key)
}

// RollBundle signs a bundle, submits it to the first daemon and rolls it out.
func (h *Harness) RollBundle(text string) error {
	operator := h.Operator(0)
	accept := gateway.ChangeRequest{
		Kind: revision.KindAccept, Text: text, Operator: OperatorName, Base: anyBase,
		Signatures: []bundle.Signature{bundle.Sign(text, OperatorName, h.SigningKey)},
	}
	if _, err := operator.Change(accept); err != nil {
		return err
	}
	_, err := operator.Change(gateway.ChangeRequest{Kind: revision.KindRoll, Digest: bundle.Digest(text), Operator: OperatorName, Base: anyBase})
	return err
}

// WaitServing waits until every daemon has the same revision and reports every engine
// of its zone as serving it.
func (h *Harness) WaitServing() error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		if h.allServing() {
			return nil
		}
		time.Sleep(readyInterval)
	}
	return failure.New(failure.KindUnavailable, "not_serving", "the deployment was not serving within %s", readyTimeout)
}

func (h *Harness) allServing() bool {
	highest := int64(0)
	statuses := []gateway.Status{}
	for index := range h.Daemons {
		status, err := h.Operator(index).Status()
		if err != nil {
			return false
		}
		highest = max(highest, status.Revision)
		statuses = append(statuses, status)
	}
	for _, status := range statuses {
		if !isServing(status, highest, h.enginesIn(status.Zone), len(h.Daemons)) {
			return false
		}
	}
	return true
}

func (h *Harness) enginesIn(zone string) int {
	count := 0
	for _, group := range h.config.Engines {
		for index := range group.Count {
			if h.config.Zones[index%len(h.config.Zones)] == zone {
				count++
			}
		}
	}
	return count
}

func isServing(status gateway.Status, revision int64, engines, members int) bool {
	if !status.Ready || status.Revision != revision || len(status.Engines) != engines || len(status.Members) != members {
		return false
	}
	for _, engine := range status.Engines {
		if !engine.Up || engine.State != "ready" || engine.Fence != revision {
			return false
		}
	}
	return true
}

// Stop kills all daemons and stops the engines and the platform.
func (h *Harness) Stop() {
	for _, one := range h.Daemons {
		_ = one.Kill()
	}
	h.cancel()
	if h.listener != nil {
		_ = h.listener.Close()
	}
}
