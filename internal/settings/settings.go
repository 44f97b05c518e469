// Package settings holds the process settings of a daemon: its addresses, its
// zone, where the platform is and which keys it trusts. Settings belong to one
// process; what the whole fleet shares stands in the bundle instead.
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

// Settings is the typed form of the settings file.
type Settings struct {
	// Name identifies the daemon; it is unique in the fleet.
	Name string `toml:"name"`
	// Zone is the failure domain of the machine.
	Zone string `toml:"zone"`
	// Region groups zones.
	Region string `toml:"region"`
	// HTTPAddress is the IP:port of the callers' and operators' listener.
	HTTPAddress string `toml:"http_address"`
	// PeerAddress is the IP:port for UDP membership and TCP peer calls.
	PeerAddress string `toml:"peer_address"`
	// AdvertiseAddress is the IP:port that other daemons are told; it is
	// PeerAddress when empty.
	AdvertiseAddress string `toml:"advertise_address"`
	// PlatformURL is the base address of the table, object and machine services.
	PlatformURL string `toml:"platform_url"`
	// StoreAddress is the IP:port of a store that holds configuration,
	// discovery and jobs. When it is set, the daemon answers callers on
	// HTTPAddress by the protocol of the platform that runs the store, and
	// PlatformURL and the operators' settings are not used.
	StoreAddress string `toml:"store_address"`
	// ReadyAddress is the IP:port at which the daemon says whether it may get
	// requests; used with StoreAddress.
	ReadyAddress string `toml:"ready_address"`
	// MetricsAddress is the IP:port of the metrics; used with StoreAddress.
	MetricsAddress string `toml:"metrics_address"`
	// StopGrace is the longest time that a planned stop may take; used with
	// StoreAddress.
	StopGrace Duration `toml:"stop_grace"`
	// MemoryMegabytes is the memory that the process may use; 0 means no
	// bound.
	MemoryMegabytes int `toml:"memory_megabytes"`
	// HeldSubmissionsShare is the part of MemoryMegabytes that submissions of jobs may
	// take which are held while the store is away; 0 holds none and tries each by itself.
	HeldSubmissionsShare float64 `toml:"held_submissions_share"`
	// LogLevel is "debug", "info", "warn" or "error".
	LogLevel string `toml:"log_level"`
	// Seeds are peer addresses to join when the machine list is unreachable.
	Seeds []string `toml:"seeds"`
	// ClusterKey authenticates daemons to each other: 32 bytes in hexadecimal.
	ClusterKey string `toml:"cluster_key"`
	// OperatorKeys are the Ed25519 public keys, in hexadecimal by operator
	// name, whose signatures on a bundle count.
	OperatorKeys map[string]string `toml:"operator_keys"`
	// RequiredSignatures is how many operators must sign a bundle.
	RequiredSignatures int `toml:"required_signatures"`
	// OperatorToken admits operators' calls over HTTP.
	OperatorToken string `toml:"operator_token"`
	// TLSCertificateFile and TLSKeyFile switch TLS 1.3 on when both are set.
	TLSCertificateFile string `toml:"tls_certificate_file"`
	TLSKeyFile         string `toml:"tls_key_file"`
	// RateWindow, RateToleranceShare and RateToleranceRequests tell by how much the
	// requests of a tenant may pass its limit: by a part of what the limit allows
	// in any window of that length, and by some requests.
	RateWindow            Duration `toml:"rate_window"`
	RateToleranceShare    float64  `toml:"rate_tolerance_share"`
	RateToleranceRequests float64  `toml:"rate_tolerance_requests"`
	// RevocationBound is how long after a key was taken away no daemon may serve
	// it any more, whether or not it has heard of that; 0 means no bound. Used
	// with StoreAddress.
	RevocationBound Duration `toml:"revocation_bound"`
	// QuarantineCrashes is how many backends must have ended under a request for it
	// to be sent to no further one, and QuarantineTime how long that holds.
	QuarantineCrashes int      `toml:"quarantine_crashes"`
	QuarantineTime    Duration `toml:"quarantine_time"`
	// ResponseTimeouts is how long a repeatable request waits for a silent backend: by
	// what the service's answers take ("learned"), for half of its objective ("fixed"),
	// or for three objectives, four with a stream ("objectives").
	ResponseTimeouts string `toml:"silence_patience"`
	// WaitingOrder tells in what order online requests get places while there are too
	// few: WaitingOrderFleet or WaitingOrderNone.
	WaitingOrder string `toml:"waiting_order"`
	// BatchCapacity is the policy of the room for batch items: "free", "once", "reserve" or "rhythm".
	BatchCapacity batchcapacity.Policy `toml:"batch_room"`
	// ProbeInterval is the time between two membership probes.
	ProbeInterval Duration `toml:"probe_interval"`
	// StopLinger is how long a stopping daemon goes on accepting requests.
	StopLinger Duration `toml:"stop_linger"`
	// PlatformOperationsPerSecond bounds the daemon's calls to the platform.
	PlatformOperationsPerSecond float64 `toml:"platform_operations_per_second"`
	// MaxConnections bounds concurrent callers' connections.
	MaxConnections int `toml:"max_connections"`
	// MaxBodyBytes bounds one request body.
	MaxBodyBytes int `toml:"max_body_bytes"`
}

// The orders of waiting.
const (
	// WaitingOrderFleet has requests that cannot be in time any more make way for
	// those that can, by what all daemons tell.
	WaitingOrderFleet = "fleet"
	// WaitingOrderNone has each request ask for a place by itself.
	WaitingOrderNone = "none"
)

const (
	clusterKeyBytes       = 32
	defaultProbeInterval  = Duration(time.Second)
	defaultStopLinger     = Duration(2 * time.Second)
	defaultStopGrace      = Duration(8 * time.Second)
	defaultOperations     = 50
	defaultMaxConnections = 4096
	defaultMaxBodyBytes   = 64 << 20
	// What tenants may pass their limits by, unless the operator says otherwise.
	defaultRateWindow            = Duration(5 * time.Second)
	defaultRateToleranceShare    = 0.1
	defaultRateToleranceRequests = 20
	// Three ends of different backends with no good end between them are hardly
	// chance; ten minutes let an engineer see the request and mend its cause.
	defaultQuarantineCrashes = 3
	// A twentieth of 144 MB holds some sixteen jobs of 150 KB, the mean; in an outage of
	// seven seconds a daemon gets one or two.
	defaultHeldSubmissionsShare = 0.05
	mostHeldSubmissionsShare    = 0.5
	defaultQuarantineTime       = Duration(10 * time.Minute)
)

// Default returns settings with every optional value filled in.
func Default() Settings {
	return Settings{
		RequiredSignatures:          1,
		ProbeInterval:               defaultProbeInterval,
		StopLinger:                  defaultStopLinger,
		StopGrace:                   defaultStopGrace,
		LogLevel:                    "info",
		PlatformOperationsPerSecond: defaultOperations,
		MaxConnections:              defaultMaxConnections,
		MaxBodyBytes:                defaultMaxBodyBytes,
		RateWindow:                  defaultRateWindow,
		RateToleranceShare:          defaultRateToleranceShare,
		RateToleranceRequests:       defaultRateToleranceRequests,
		QuarantineCrashes:           defaultQuarantineCrashes,
		QuarantineTime:              defaultQuarantineTime,
		ResponseTimeouts:            string(responsetimeout.ModeObjectives),
		HeldSubmissionsShare:        defaultHeldSubmissionsShare,
		WaitingOrder:                WaitingOrderFleet,
		BatchCapacity:               batchcapacity.PolicyFree,
	}
}

// Load reads a settings file over the defaults. An unknown key, a wrong type
// or a wrong unit is an error that names the key and the line.
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

// DecodeStrict decodes TOML into target and refuses unknown keys. Errors carry
// the line.
func DecodeStrict(text string, target any) error {
	metadata, err := toml.Decode(text, target)
	if err != nil {
		return decodeFailure(err)
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

func decodeFailure(err error) error {
	var parse toml.ParseError
	if errors.As(err, &parse) {
		return failure.Wrap(err, failure.KindInvalid, "bad_toml", "line %d: correct the value or syntax", parse.Position.Line).WithLine(parse.Position.Line)
	}
	line := lineInMessage(err.Error())
	return failure.Wrap(err, failure.KindInvalid, "bad_toml", "line %d: correct the value's type or unit", line).WithLine(line)
}

// typeErrorLine finds the line in the decoder's errors about types, which carry
// it in their text only.
var typeErrorLine = regexp.MustCompile(`line (\d+)`)

func lineInMessage(message string) int {
	match := typeErrorLine.FindStringSubmatch(message)
	if match == nil {
		return 0
	}
	line, err := strconv.Atoi(match[1])
	if err != nil {
		return 0
	}
	return line
}

// lineOfKey finds the first line that assigns the last part of the key.
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

// Validate checks every value and says which key to change.
func (s *Settings) Validate() error {
	if s.Name == "" {
		return invalid("name", "give the daemon a unique name")
	}
	if s.Zone == "" {
		return invalid("zone", "name the zone this machine stands in")
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

// validateLimits checks what the operator allows tenants.
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

// validateServices checks what the daemon needs to know of its store or of the
// platform's services.
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
	if s.MemoryMegabytes < 0 {
		return invalid("memory_megabytes", "give a positive number, or 0 for no bound")
	}
	if s.HeldSubmissionsShare < 0 || s.HeldSubmissionsShare > mostHeldSubmissionsShare {
		return invalid("held_submissions_share", "give a number from 0 to 0.5")
	}
	var level slog.Level
	if err := level.UnmarshalText([]byte(s.LogLevel)); err != nil {
		return invalid("log_level", "give debug, info, warn or error")
	}
	return nil
}

func (s *Settings) validateAddresses() error {
	named := []address{
		{"http_address", s.HTTPAddress},
		{"peer_address", s.PeerAddress},
		{"advertise_address", s.AdvertiseAddress},
	}
	if s.StoreAddress != "" {
		named = append(named, address{"store_address", s.StoreAddress}, address{"ready_address", s.ReadyAddress}, address{"metrics_address", s.MetricsAddress})
	}
	for _, each := range named {
		host, _, err := net.SplitHostPort(each.value)
		if err != nil || net.ParseIP(host) == nil {
			return invalid(each.key, "give an address by IP number, such as \"127.0.0.1:8080\"")
		}
	}
	return nil
}

// address is a setting that holds an address.
type address struct{ key, value string }

// ClusterKeyBytes returns the decoded cluster key. Validate has checked it.
func (s *Settings) ClusterKeyBytes() []byte {
	key, _ := hex.DecodeString(s.ClusterKey)
	return key
}

func invalid(key, remedy string) error {
	return failure.New(failure.KindInvalid, "bad_setting", "setting %s: %s", key, remedy)
}
