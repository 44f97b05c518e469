// Package settings reads and validates the settings file of a daemon: its addresses,
// its zone, the address of the platform or store, and its keys. Settings apply to one
// process; configuration shared by the fleet is in the bundle.
package settings

import (
	"encoding/hex"
	"log/slog"
	"net"
	"os"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/pkg/errors"

	"topazpulley/internal/batchcapacity"
	"topazpulley/internal/failure"
	"topazpulley/internal/responsetimeout"
)

// Duration is a time.Duration written as text, such as "250ms".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return failure.Wrap(err, failure.KindInvalid, "bad_duration", "write a duration with a unit, such as \"250ms\"")
	}
	*d = Duration(parsed)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Settings holds the values of the settings file.
type Settings struct {
	// Name identifies the daemon; it is unique in the fleet.
	Name string `toml:"name"`
	// Zone is the failure domain that the machine is in.
	Zone string `toml:"zone"`
	// Region is the group of zones that the machine is in.
	Region string `toml:"region"`
	// HTTPAddress is the IP:port of the listener for callers and operators.
	HTTPAddress string `toml:"http_address"`
	// PeerAddress is the IP:port for UDP membership and TCP peer calls.
	PeerAddress string `toml:"peer_address"`
	// AdvertiseAddress is the IP:port at which other daemons reach PeerAddress.
	// Validate sets it to PeerAddress if empty.
	AdvertiseAddress string `toml:"advertise_address"`
	// PlatformURL is the base address of the table, object and machine services.
	PlatformURL string `toml:"platform_url"`
	// StoreAddress is the IP:port of the platform's store of configuration,
	// discovery and jobs. If it is set, the daemon serves callers on HTTPAddress
	// by that platform's protocol, and PlatformURL and the operator settings are
	// not used.
	StoreAddress string `toml:"store_address"`
	// ReadyAddress is the IP:port of the readiness endpoint; used with
	// StoreAddress.
	ReadyAddress string `toml:"ready_address"`
	// MetricsAddress is the IP:port of the metrics endpoint; used with
	// StoreAddress.
	MetricsAddress string `toml:"metrics_address"`
	// StopGrace limits the duration of a planned stop; used with StoreAddress.
	StopGrace Duration `toml:"stop_grace"`
	// BackendDrain is the time after the store has acknowledged that a backend leaves, by
	// its entry's state or removal, within which it may still get requests. BackendHeartbeat
	// is the interval at which backends renew their entries, which expire after three of
	// them. Both are used with StoreAddress.
	BackendDrain     Duration `toml:"backend_drain"`
	BackendHeartbeat Duration `toml:"backend_heartbeat"`
	// MemoryMegabytes limits the memory of the process; 0 means no limit.
	MemoryMegabytes int `toml:"memory_megabytes"`
	// HeldSubmissionsShare is the share of MemoryMegabytes for job submissions that are
	// buffered while the store is unavailable. With 0 none is buffered and each is
	// sent to the store separately.
	HeldSubmissionsShare float64 `toml:"held_submissions_share"`
	// LogLevel is "debug", "info", "warn" or "error".
	LogLevel string `toml:"log_level"`
	// Seeds are peer addresses to join if the machine list is unavailable.
	Seeds []string `toml:"seeds"`
	// ClusterKey is the key by which daemons authenticate each other: 32 bytes in
	// hexadecimal.
	ClusterKey string `toml:"cluster_key"`
	// OperatorKeys maps operator names to the Ed25519 public keys, in
	// hexadecimal, that may sign a bundle.
	OperatorKeys map[string]string `toml:"operator_keys"`
	// RequiredSignatures is the number of operators that must sign a bundle.
	RequiredSignatures int `toml:"required_signatures"`
	// OperatorToken authorizes operators' calls over HTTP.
	OperatorToken string `toml:"operator_token"`
	// TLSCertificateFile and TLSKeyFile enable TLS 1.3 if both are set.
	TLSCertificateFile string `toml:"tls_certificate_file"`
	TLSKeyFile         string `toml:"tls_key_file"`
	// RateWindow, RateToleranceShare and RateToleranceRequests set by how much a
	// tenant may exceed its limit: in any window of length RateWindow, by
	// RateToleranceShare of the requests that the limit allows in it plus
	// RateToleranceRequests.
	RateWindow            Duration `toml:"rate_window"`
	RateToleranceShare    float64  `toml:"rate_tolerance_share"`
	RateToleranceRequests float64  `toml:"rate_tolerance_requests"`
	// RevocationBound is the longest time for which a revoked key is still
	// accepted, also by a daemon that has not received the revocation; 0 means no
	// limit. Used with StoreAddress.
	RevocationBound Duration `toml:"revocation_bound"`
	// QuarantineCrashes is the number of backends that have to crash while they run
	// a request for it to be quarantined, and QuarantineTime is how long it stays so.
	QuarantineCrashes int      `toml:"quarantine_crashes"`
	QuarantineTime    Duration `toml:"quarantine_time"`
	// ResultRetention is how long the texts of long results are kept after their job is over.
	ResultRetention Duration `toml:"result_retention"`
	// ResponseTimeouts is how the response timeout of a repeatable request is set: from
	// the measured response times of the service ("learned"), as half of the objective
	// ("fixed"), or as three objectives, four for a stream ("objectives").
	ResponseTimeouts string `toml:"silence_patience"`
	// WaitingOrder is the order in which online requests get slots under overload:
	// WaitingOrderFleet or WaitingOrderNone.
	WaitingOrder string `toml:"waiting_order"`
	// BatchCapacity is the policy for the capacity that batch items may use: "free",
	// "once", "reserve" or "rhythm".
	BatchCapacity batchcapacity.Policy `toml:"batch_room"`
	// ProbeInterval is the time between two membership probes.
	ProbeInterval Duration `toml:"probe_interval"`
	// StopLinger is how long a stopping daemon still accepts requests.
	StopLinger Duration `toml:"stop_linger"`
	// PlatformOperationsPerSecond limits the daemon's calls to the platform.
	PlatformOperationsPerSecond float64 `toml:"platform_operations_per_second"`
	// MaxConnections limits the concurrent connections of callers.
	MaxConnections int `toml:"max_connections"`
	// MaxBodyBytes limits the size of a request body.
	MaxBodyBytes int `toml:"max_body_bytes"`
}

// The values of Settings.WaitingOrder.
const (
	// WaitingOrderFleet gives slots to requests that can still be on time before
	// overdue ones, by the queue stats of all daemons.
	WaitingOrderFleet = "fleet"
	// WaitingOrderNone has each request attempt to get a slot independently.
	WaitingOrderNone = "none"
)

const (
	clusterKeyBytes                    = 32
	defaultProbeInterval               = Duration(time.Second)
	defaultStopLinger                  = Duration(2 * time.Second)
	defaultStopGrace                   = Duration(8 * time.Second)
	defaultBackendDrain                = Duration(2 * time.Second)
	defaultBackendHeartbeat            = Duration(1200 * time.Millisecond)
	defaultPlatformOperationsPerSecond = 50
	defaultMaxConnections              = 4096
	defaultMaxBodyBytes                = 64 << 20
	defaultRateWindow                  = Duration(5 * time.Second)
	defaultRateToleranceShare          = 0.1
	defaultRateToleranceRequests       = 20
	defaultQuarantineCrashes           = 3
	defaultHeldSubmissionsShare        = 0.05
	maxHeldSubmissionsShare            = 0.5
	defaultQuarantineTime              = Duration(10 * time.Minute)
	defaultResultRetention             = Duration(10 * time.Minute)
)

// Default returns the default settings. Required values are empty.
func Default() Settings {
	return Settings{
		RequiredSignatures:          1,
		ProbeInterval:               defaultProbeInterval,
		StopLinger:                  defaultStopLinger,
		StopGrace:                   defaultStopGrace,
		BackendDrain:                defaultBackendDrain,
		BackendHeartbeat:            defaultBackendHeartbeat,
		LogLevel:                    "info",
		PlatformOperationsPerSecond: defaultPlatformOperationsPerSecond,
		MaxConnections:              defaultMaxConnections,
		MaxBodyBytes:                defaultMaxBodyBytes,
		RateWindow:                  defaultRateWindow,
		RateToleranceShare:          defaultRateToleranceShare,
		RateToleranceRequests:       defaultRateToleranceRequests,
		QuarantineCrashes:           defaultQuarantineCrashes,
		QuarantineTime:              defaultQuarantineTime,
		ResultRetention:             defaultResultRetention,
		ResponseTimeouts:            string(responsetimeout.ModeObjectives),
		HeldSubmissionsShare:        defaultHeldSubmissionsShare,
		WaitingOrder:                WaitingOrderFleet,
		BatchCapacity:               batchcapacity.PolicyFree,
	}
}

// Load reads a settings file; values that it does not set have their defaults. An
// unknown key, a wrong type or a wrong unit is an error with the line number. The
// settings are not validated.
func Load(path string) (Settings, error) {
	loaded := Default()
	text, err := os.ReadFile(path)
	if err != nil {
		return loaded, failure.Wrap(err, failure.KindInvalid, "settings_unreadable", "cannot read settings file %s", path)
	}
	if err := DecodeStrict(string(text), &loaded); err != nil {
		return loaded, err
	}
	return loaded, nil
}

// DecodeStrict decodes TOML into target and rejects unknown keys. Errors carry the
// line number.
func DecodeStrict(text string, target any) error {
	metadata, err := toml.Decode(text, target)
	if err != nil {
		return decodeError(err)
	}
	undecoded := metadata.Undecoded()
	if len(undecoded) == 0 {
		return nil
	}
	key := undecoded[0]
	line := lineOfKey(text, key)
	return failure.New(failure.KindInvalid, "unknown_key",
		"line %d: unknown key %q: remove it or correct its spelling", line, key.String()).WithLine(line)
}

func decodeError(err error) error {
	var parse toml.ParseError
	if errors.As(err, &parse) {
		return failure.Wrap(err, failure.KindInvalid, "bad_toml", "line %d: correct the value or syntax", parse.Position.Line).WithLine(parse.Position.Line)
	}
	line := lineInMessage(err.Error())
	return failure.Wrap(err, failure.KindInvalid, "bad_toml", "line %d: correct the value's type or unit", line).WithLine(line)
}

// lineNumberPattern matches the line number in the decoder's type errors, which have it
// only in their text.
var lineNumberPattern = regexp.MustCompile(`line (\d+)`)

// lineInMessage returns the line number in an error message, or 0.
func lineInMessage(message string) int {
	match := lineNumberPattern.FindStringSubmatch(message)
	if match == nil {
		return 0
	}
	line, err := strconv.Atoi(match[1])
	if err != nil {
		return 0
	}
	return line
}

// lineOfKey returns the number of the first line that starts with the last part of
// the key or ends with it after a dot, or 0.
func lineOfKey(text string, key toml.Key) int {
	last := key[len(key)-1]
	for index, line := range strings.Split(text, "\n") {
		trimmed := strings.Trim(strings.TrimSpace(line), "[]")
		if strings.HasPrefix(trimmed, last) || strings.HasSuffix(trimmed, "."+last) {
			return index + 1
		}
	}
	return 0
}

// Validate checks all values. The error names the key and a remedy. Validate sets an
// empty AdvertiseAddress to PeerAddress.
func (s *Settings) Validate() error {
	if s.Name == "" {
		return invalid("name", "give the daemon a unique name")
	}
	if s.Zone == "" {
		return invalid("zone", "give the zone of this machine")
	}
	if s.AdvertiseAddress == "" {
		s.AdvertiseAddress = s.PeerAddress
	}
	if err := s.validateAddresses(); err != nil {
		return err
	}
	if err := s.validateServices(); err != nil {
		return err
	}
	if key, err := hex.DecodeString(s.ClusterKey); err != nil || len(key) != clusterKeyBytes {
		return invalid("cluster_key", "give 32 bytes in hexadecimal")
	}
	if s.RequiredSignatures < 1 || s.RequiredSignatures > max(1, len(s.OperatorKeys)) {
		return invalid("required_signatures", "give a number from 1 to the number of operator_keys")
	}
	if s.ResultRetention <= 0 {
		return invalid("result_retention", "give a positive duration")
	}
	if s.ProbeInterval <= 0 {
		return invalid("probe_interval", "give a positive duration")
	}
	if s.PlatformOperationsPerSecond <= 0 {
		return invalid("platform_operations_per_second", "give a positive number")
	}
	if s.MaxConnections <= 0 || s.MaxBodyBytes <= 0 {
		return invalid("max_connections, max_body_bytes", "give positive numbers")
	}
	if err := s.validateLimits(); err != nil {
		return err
	}
	if s.WaitingOrder != WaitingOrderFleet && s.WaitingOrder != WaitingOrderNone {
		return invalid("waiting_order", "give fleet or none")
	}
	if (s.TLSCertificateFile == "") != (s.TLSKeyFile == "") {
		return invalid("tls_certificate_file, tls_key_file", "set both or neither")
	}
	return nil
}

// validateLimits checks the rate, quarantine, timeout, batch and revocation settings.
func (s *Settings) validateLimits() error {
	if s.RateWindow <= 0 {
		return invalid("rate_window", "give a positive duration")
	}
	if s.RateToleranceShare < 0 || s.RateToleranceRequests < 0 {
		return invalid("rate_tolerance_share, rate_tolerance_requests", "give numbers that are not negative")
	}
	if s.QuarantineCrashes < 1 || s.QuarantineTime <= 0 {
		return invalid("quarantine_crashes, quarantine_time", "give a positive number and a positive duration")
	}
	if !responsetimeout.Mode(s.ResponseTimeouts).IsValid() {
		return invalid("silence_patience", "give learned, fixed or objectives")
	}
	if !s.BatchCapacity.IsKnown() {
		return invalid("batch_room", "give free, once, reserve or rhythm")
	}
	if s.RevocationBound < 0 {
		return invalid("revocation_bound", "give a positive duration, or leave it out for no bound")
	}
	return nil
}

// validateServices checks the platform or store, stop, memory and log settings.
func (s *Settings) validateServices() error {
	if s.PlatformURL == "" && s.StoreAddress == "" {
		return invalid("platform_url", "give the platform's base address, such as \"http://127.0.0.1:7000\", or store_address")
	}
	if s.PlatformURL != "" && s.StoreAddress != "" {
		return invalid("platform_url, store_address", "set one of them")
	}
	if s.StopGrace <= 0 {
		return invalid("stop_grace", "give a positive duration")
	}
	if s.BackendDrain <= 0 {
		return invalid("backend_drain", "give a positive duration")
	}
	if s.BackendHeartbeat <= 0 {
		return invalid("backend_heartbeat", "give a positive duration")
	}
	if s.MemoryMegabytes < 0 {
		return invalid("memory_megabytes", "give a positive number, or 0 for no bound")
	}
	if s.HeldSubmissionsShare < 0 || s.HeldSubmissionsShare > maxHeldSubmissionsShare {
		return invalid("held_submissions_share", "give a number from 0 to 0.5")
	}
	var level slog.Level
	if err := level.UnmarshalText([]byte(s.LogLevel)); err != nil {
		return invalid("log_level", "give debug, info, warn or error")
	}
	return nil
}

func (s *Settings) validateAddresses() error {
	addresses := []address{
		{"http_address", s.HTTPAddress},
		{"peer_address", s.PeerAddress},
		{"advertise_address", s.AdvertiseAddress},
	}
	if s.StoreAddress != "" {
		addresses = append(addresses, address{"store_address", s.StoreAddress}, address{"ready_address", s.ReadyAddress}, address{"metrics_address", s.MetricsAddress})
	}
	for _, setting := range addresses {
		host, _, err := net.SplitHostPort(setting.value)
		if err != nil || net.ParseIP(host) == nil {
			return invalid(setting.key, "give an IP address and port, such as \"127.0.0.1:8080\"")
		}
	}
	return nil
}

// address is the key and value of a setting that holds an address.
type address struct{ key, value string }

// ClusterKeyBytes returns the decoded cluster key of validated settings.
func (s *Settings) ClusterKeyBytes() []byte {
	key, _ := hex.DecodeString(s.ClusterKey)
	return key
}

func invalid(key, remedy string) error {
	return failure.New(failure.KindInvalid, "bad_setting", "setting %s: %s", key, remedy)
}
