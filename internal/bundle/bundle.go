// Package bundle defines the versioned, signed configuration of the fleet:
// services, models, adapters, tenants and scheduling policy. Parse decodes and
// validates a bundle; Sign and Verify handle operators' signatures.
package bundle

import (
	"sort"
	"strings"
	"time"

	"topazpulley/internal/failure"
	"topazpulley/internal/settings"
	"topazpulley/internal/tenant"
)

// Role says which phases of inference an engine performs.
type Role string

// The roles of an engine. Plain services have no phases and use RoleBoth.
const (
	RoleBoth    Role = "both"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// ServiceKind distinguishes language-model services from plain ones.
type ServiceKind string

// The kinds of service.
const (
	KindModel ServiceKind = "model"
	KindPlain ServiceKind = "plain"
)

// Bundle is one complete configuration of the fleet.
type Bundle struct {
	// Name is a description; the bundle is identified by its digest.
	Name string `toml:"name"`
	// Services by name.
	Services map[string]Service `toml:"services"`
	// Models by name.
	Models map[string]Model `toml:"models"`
	// Tenants by name.
	Tenants map[string]Tenant `toml:"tenants"`

	// directory finds tenants by key; Parse sets it.
	directory *tenant.Directory
}

// Service is a group of engines that serve the same requests.
type Service struct {
	// Kind is "model" or "plain".
	Kind ServiceKind `toml:"kind"`
	// Models lists the models that each engine of the service loads.
	Models []string `toml:"models"`
	// Role is the role of the service's engines.
	Role Role `toml:"role"`
	// Policy balances online latency against batch throughput.
	Policy Policy `toml:"policy"`
	// MaxUnavailable is how many engines per zone a rollout may take out of
	// service at once.
	MaxUnavailable int `toml:"max_unavailable"`
	// RefuseWhenCutOff makes a daemon that cannot confirm its revision refuse
	// the service's requests instead of serving them with its last revision.
	RefuseWhenCutOff bool `toml:"refuse_when_cut_off"`
}

// Policy contains the scheduling parameters of a service.
type Policy struct {
	// OnlineLimit is the maximum number of online requests at one engine,
	// running and waiting.
	OnlineLimit int `toml:"online_limit"`
	// BatchWindowMax is the maximum number of batch items in flight at one
	// engine.
	BatchWindowMax int `toml:"batch_window_max"`
	// BatchGuard is the number of online requests in flight at an engine
	// above which its batch window is zero.
	BatchGuard int `toml:"batch_guard"`
	// QueueTimeout is the longest time that a request waits for admission.
	QueueTimeout settings.Duration `toml:"queue_timeout"`
	// RequestTimeout is the time limit of a request without its own deadline.
	RequestTimeout settings.Duration `toml:"request_timeout"`
}

// Model is one model in one version with its adapters.
type Model struct {
	// Version is the version that engines load.
	Version string `toml:"version"`
	// Adapters lists adapters that are loaded with the model.
	Adapters []string `toml:"adapters"`
}

// Tenant is one customer, with its API key and limits.
type Tenant struct {
	// KeyDigest is the SHA-256, in hexadecimal, of the tenant's API key.
	KeyDigest string `toml:"key_digest"`
	// RequestsPerSecond is the sustained online rate, summed over all daemons; 0
	// means no limit.
	RequestsPerSecond float64 `toml:"requests_per_second"`
	// Concurrency is the maximum number of online requests in flight per daemon; 0
	// means no limit.
	Concurrency int `toml:"concurrency"`
	// BatchWeight is the tenant's relative share of batch capacity.
	BatchWeight int `toml:"batch_weight"`
}

const (
	defaultOnlineLimit    = 24
	defaultBatchWindowMax = 16
	defaultBatchGuard     = 4
	defaultQueueTimeout   = settings.Duration(500 * time.Millisecond)
	defaultRequestTimeout = settings.Duration(60 * time.Second)
	keyDigestLength       = 64
	maxLimit              = 1 << 20
)

// Parse decodes and validates a bundle.
func Parse(text string) (*Bundle, error) {
	parsed := &Bundle{}
	if err := settings.DecodeStrict(text, parsed); err != nil {
		return nil, err
	}
	parsed.setDefaults()
	if err := parsed.Validate(text); err != nil {
		return nil, err
	}
	directory, err := parsed.newDirectory()
	if err != nil {
		return nil, err
	}
	parsed.directory = directory
	return parsed, nil
}

// burstSeconds is the size of a tenant's burst in seconds of its rate.
const burstSeconds = 2

// newDirectory returns a directory of the tenants by their keys.
func (b *Bundle) newDirectory() (*tenant.Directory, error) {
	compiled := []tenant.Tenant{}
	for _, name := range sortedKeys(b.Tenants) {
		each := b.Tenants[name]
		digest, err := tenant.ParseDigest(each.KeyDigest)
		if err != nil {
			return nil, err
		}
		limit := tenant.Limit{PerSecond: each.RequestsPerSecond, Burst: each.RequestsPerSecond * burstSeconds}
		compiled = append(compiled, tenant.Tenant{Name: name, Keys: []tenant.Digest{digest}, Limit: limit})
	}
	return tenant.NewDirectory(compiled), nil
}

// Directory returns the directory of the bundle's tenants by key.
func (b *Bundle) Directory() *tenant.Directory { return b.directory }

// setDefaults sets the defaults of absent values.
func (b *Bundle) setDefaults() {
	for name, service := range b.Services {
		if service.Role == "" {
			service.Role = RoleBoth
		}
		if service.MaxUnavailable == 0 {
			service.MaxUnavailable = 1
		}
		service.Policy.setDefaults()
		b.Services[name] = service
	}
	for name, tenant := range b.Tenants {
		if tenant.BatchWeight == 0 {
			tenant.BatchWeight = 1
		}
		b.Tenants[name] = tenant
	}
}

func (p *Policy) setDefaults() {
	if p.OnlineLimit == 0 {
		p.OnlineLimit = defaultOnlineLimit
	}
	if p.BatchWindowMax == 0 {
		p.BatchWindowMax = defaultBatchWindowMax
	}
	if p.BatchGuard == 0 {
		p.BatchGuard = defaultBatchGuard
	}
	if p.QueueTimeout == 0 {
		p.QueueTimeout = defaultQueueTimeout
	}
	if p.RequestTimeout == 0 {
		p.RequestTimeout = defaultRequestTimeout
	}
}

// Validate checks values and references. The text is the source of the bundle, used
// for the line number in errors.
func (b *Bundle) Validate(text string) error {
	check := validator{text: text}
	if len(b.Services) == 0 {
		check.fail("services", "define at least one service")
	}
	for _, name := range sortedKeys(b.Services) {
		check.service(b, name)
	}
	for _, name := range sortedKeys(b.Models) {
		if b.Models[name].Version == "" {
			check.fail("models."+name, "give the model a version")
		}
	}
	for _, name := range sortedKeys(b.Tenants) {
		check.tenant(name, b.Tenants[name])
	}
	return check.first
}

// validator keeps the first error found.
type validator struct {
	text  string
	first error
}

func (v *validator) fail(key, remedy string) {
	if v.first != nil {
		return
	}
	line := v.lineOfTable(key)
	v.first = failure.New(failure.KindInvalid, "bad_bundle", "line %d: %s: %s", line, key, remedy).WithLine(line)
}

func (v *validator) lineOfTable(key string) int {
	for index, line := range strings.Split(v.text, "\n") {
		if strings.HasPrefix(strings.TrimSpace(line), "["+key) {
			return index + 1
		}
	}
	return 1
}

func (v *validator) service(b *Bundle, name string) {
	service := b.Services[name]
	key := "services." + name
	if service.Kind != KindModel && service.Kind != KindPlain {
		v.fail(key, "kind must be \"model\" or \"plain\"")
	}
	if service.Kind == KindModel && len(service.Models) == 0 {
		v.fail(key, "a model service needs at least one entry in models")
	}
	if service.Kind == KindPlain && len(service.Models) > 0 {
		v.fail(key, "a plain service has no models; remove them")
	}
	if service.Role != RoleBoth && service.Role != RolePrefill && service.Role != RoleDecode {
		v.fail(key, "role must be \"both\", \"prefill\" or \"decode\"")
	}
	for _, model := range service.Models {
		if _, known := b.Models[model]; !known {
			v.fail(key, "model \""+model+"\" is not defined under models")
		}
	}
	if service.MaxUnavailable < 1 {
		v.fail(key, "max_unavailable must be at least 1")
	}
	v.policy(key, service.Policy)
}

func (v *validator) policy(key string, policy Policy) {
	limits := []struct {
		name  string
		value int
	}{
		{"online_limit", policy.OnlineLimit},
		{"batch_window_max", policy.BatchWindowMax},
		{"batch_guard", policy.BatchGuard},
	}
	for _, limit := range limits {
		if limit.value < 1 || limit.value > maxLimit {
			v.fail(key+".policy", limit.name+" must be from 1 to 1048576")
		}
	}
	if policy.QueueTimeout < 0 || policy.RequestTimeout <= 0 {
		v.fail(key+".policy", "timeouts must be positive durations")
	}
}

func (v *validator) tenant(name string, tenant Tenant) {
	key := "tenants." + name
	if len(tenant.KeyDigest) != keyDigestLength || strings.Trim(tenant.KeyDigest, "0123456789abcdef") != "" {
		v.fail(key, "key_digest must be the SHA-256 of the API key, 64 lower-case hexadecimal digits")
	}
	if tenant.RequestsPerSecond < 0 || tenant.Concurrency < 0 || tenant.BatchWeight < 1 || tenant.BatchWeight > maxLimit {
		v.fail(key, "limits must not be negative and batch_weight must be from 1 to 1048576")
	}
}

func sortedKeys[V any](table map[string]V) []string {
	keys := make([]string, 0, len(table))
	for key := range table {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

// ServiceForModel returns the name of the first service, in name order, that
// serves the model.
func (b *Bundle) ServiceForModel(model string) (string, bool) {
	for _, name := range sortedKeys(b.Services) {
		for _, served := range b.Services[name].Models {
			if served == model {
				return name, true
			}
		}
	}
	return "", false
}

// ModelNames returns the names of all models in order.
func (b *Bundle) ModelNames() []string { return sortedKeys(b.Models) }

// ServiceNames returns the names of all services in order.
func (b *Bundle) ServiceNames() []string { return sortedKeys(b.Services) }
