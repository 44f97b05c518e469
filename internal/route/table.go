package route

import (
	"slices"
	"sort"
	"strings"
	"sync/atomic"
	"time"

	"topazpulley/internal/tenant"
)

// Table is a compiled Config. It is immutable.
type Table struct {
	config   Config
	byHost   map[string][]*Route
	services map[string]*Service
	tenants  *tenant.Directory
	// targetsChangedAt is when the targets of a route last changed; zero if they did not since
	// the first table of this process.
	targetsChangedAt map[routeKey]time.Time
}

// routeKey identifies a route in different versions of the configuration.
type routeKey struct{ host, prefix string }

func (r *Route) key() routeKey { return routeKey{host: r.Host, prefix: r.Prefix} }

// noteTargetChanges records which routes have other targets than in the table before.
func (t *Table) noteTargetChanges(before *Table, now time.Time) {
	t.targetsChangedAt = map[routeKey]time.Time{}
	if before == nil {
		return
	}
	earlier := map[routeKey]*Route{}
	for index := range before.config.Routes {
		each := &before.config.Routes[index]
		earlier[each.key()] = each
	}
	for index := range t.config.Routes {
		each := &t.config.Routes[index]
		same, isKnown := earlier[each.key()]
		switch {
		case !isKnown || !slices.Equal(same.Targets, each.Targets):
			t.targetsChangedAt[each.key()] = now
		case !before.targetsChangedAt[each.key()].IsZero():
			t.targetsChangedAt[each.key()] = before.targetsChangedAt[each.key()]
		}
	}
}

// Compile builds the table of a configuration.
func Compile(config Config) *Table {
	table := &Table{config: config, byHost: map[string][]*Route{}, services: map[string]*Service{}, tenants: tenant.NewDirectory(config.Tenants)}
	for index := range config.Routes {
		compiled := &config.Routes[index]
		table.byHost[compiled.Host] = append(table.byHost[compiled.Host], compiled)
	}
	for _, routes := range table.byHost {
		sort.SliceStable(routes, func(a, b int) bool { return len(routes[a].Prefix) > len(routes[b].Prefix) })
	}
	for index := range config.Services {
		table.services[config.Services[index].Name] = &config.Services[index]
	}
	return table
}

// Version returns the version of the configuration.
func (t *Table) Version() int64 { return t.config.Version }

// Limits returns the limits on incoming requests.
func (t *Table) Limits() Limits { return t.config.Limits }

// Tenants returns the directory of tenants.
func (t *Table) Tenants() *tenant.Directory { return t.tenants }

// Match returns the host's route with the longest prefix of the path. The host may include a
// port.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, candidate := range t.byHost[canonicalHost(host)] {
		if strings.HasPrefix(path, candidate.Prefix) {
			return candidate, true
		}
	}
	return nil, false
}

// TargetServices returns the services with a positive weight in any route, each once.
func (t *Table) TargetServices() []string {
	seen, services := map[string]bool{}, []string{}
	for _, each := range t.config.Routes {
		for _, target := range each.Targets {
			if target.Weight > 0 && !seen[target.Service] {
				seen[target.Service] = true
				services = append(services, target.Service)
			}
		}
	}
	return services
}

// JobRoutes returns the routes that take jobs.
func (t *Table) JobRoutes() []*Route {
	found := []*Route{}
	for index := range t.config.Routes {
		if t.config.Routes[index].Kind == KindJob {
			found = append(found, &t.config.Routes[index])
		}
	}
	return found
}

// Service returns the configuration of a service.
func (t *Table) Service(name string) (*Service, bool) {
	service, found := t.services[name]
	return service, found
}

func canonicalHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

// Holder holds the current table. The zero value holds none. It is safe for concurrent use.
type Holder struct {
	// OnTargetsChanged is called when the targets of a known route have changed; nil for none.
	// It must be set before the first table is applied.
	OnTargetsChanged func()

	current   atomic.Pointer[Table]
	appliedAt atomic.Int64
}

// Current returns the current table, or nil if none was applied yet.
func (h *Holder) Current() *Table { return h.current.Load() }

// Apply replaces the table if config has a higher version than the current one. It reports
// whether it did.
func (h *Holder) Apply(config Config, now time.Time) bool {
	next := Compile(config)
	for {
		current := h.current.Load()
		if current != nil && current.Version() >= config.Version {
			return false
		}
		next.noteTargetChanges(current, now)
		if h.current.CompareAndSwap(current, next) {
			h.appliedAt.Store(now.UnixNano())
			h.reportChangedTargets(next, now)
			return true
		}
	}
}

func (h *Holder) reportChangedTargets(applied *Table, now time.Time) {
	if h.OnTargetsChanged == nil {
		return
	}
	for _, at := range applied.targetsChangedAt {
		if at.Equal(now) {
			h.OnTargetsChanged()
			return
		}
	}
}

// TargetsChangedAt returns when the targets of a route last changed; zero if they did not since
// the first table.
func (h *Holder) TargetsChangedAt(changed *Route) time.Time {
	current := h.Current()
	if current == nil {
		return time.Time{}
	}
	return current.targetsChangedAt[changed.key()]
}

// Age returns the time since the current table was applied.
func (h *Holder) Age(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, h.appliedAt.Load()))
}
