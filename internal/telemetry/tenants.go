package telemetry

import (
	"sort"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
)

const (
	// shownTenants is the number of tenants with series of their own, those with the most
	// requests. The others are summed under otherTenants.
	shownTenants = 10
	otherTenants = "other"
	// countedTenants is the maximum number of tenants with a count of their own. Further
	// tenants are counted as others until the daemon restarts.
	countedTenants = 4096
	// admittedOutcome and refusedOutcome are the values of the label outcome.
	admittedOutcome = "admitted"
	refusedOutcome  = "refused"
)

// tenantCounts are one tenant's requests since the daemon started.
type tenantCounts struct {
	admitted, refused float64
}

// Tenants counts the requests of tenants with a limit, with a bounded number of series. mutex
// guards the fields after it.
type Tenants struct {
	description *prometheus.Desc
	decisions   *prometheus.CounterVec
	granted     prometheus.Gauge

	mutex    sync.Mutex
	byTenant map[string]tenantCounts
	others   tenantCounts
}

var _ prometheus.Collector = (*Tenants)(nil)

// NewTenants registers the metrics of the tenants' rate limits.
func NewTenants(registry *prometheus.Registry) *Tenants {
	made := &Tenants{
		description: prometheus.NewDesc(namespace+"_tenant_requests_total", "Requests of tenants with a limit: the busiest tenants, and the rest.", []string{"tenant", "outcome"}, nil),
		decisions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "limit_decisions_total", Help: "Requests of tenants with a limit by who decided on them.",
		}, []string{"source", "outcome"}),
		granted: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: namespace, Name: "limit_granted_share", Help: "How much of its parts of limits this daemon grants, by the part of the fleet that it reaches.",
		}),
		byTenant: map[string]tenantCounts{},
	}
	registry.MustRegister(made, made.decisions, made.granted)
	return made
}

// SetGranted sets the fraction of its shards of limits that this daemon grants.
func (t *Tenants) SetGranted(share float64) { t.granted.Set(share) }

// CountDecision counts one request by the source of the decision.
func (t *Tenants) CountDecision(source string, isAdmitted bool) {
	outcome := admittedOutcome
	if !isAdmitted {
		outcome = refusedOutcome
	}
	t.decisions.WithLabelValues(source, outcome).Inc()
}

// Count counts one request of a tenant.
func (t *Tenants) Count(name string, isAdmitted bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	counts, isCounted := t.byTenant[name]
	if !isCounted && len(t.byTenant) >= countedTenants {
		t.others.add(isAdmitted)
		return
	}
	counts.add(isAdmitted)
	t.byTenant[name] = counts
}

func (c *tenantCounts) add(isAdmitted bool) {
	if isAdmitted {
		c.admitted++
		return
	}
	c.refused++
}

// Describe implements prometheus.Collector.
func (t *Tenants) Describe(descriptions chan<- *prometheus.Desc) { descriptions <- t.description }

// Collect implements prometheus.Collector.
func (t *Tenants) Collect(metrics chan<- prometheus.Metric) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	names := make([]string, 0, len(t.byTenant))
	for name := range t.byTenant {
		names = append(names, name)
	}
	sort.Slice(names, func(a, b int) bool {
		first, second := t.byTenant[names[a]], t.byTenant[names[b]]
		return first.admitted+first.refused > second.admitted+second.refused
	})
	rest := t.others
	for index, name := range names {
		counts := t.byTenant[name]
		if index < shownTenants {
			t.emit(metrics, name, counts)
			continue
		}
		rest.admitted += counts.admitted
		rest.refused += counts.refused
	}
	t.emit(metrics, otherTenants, rest)
}

func (t *Tenants) emit(metrics chan<- prometheus.Metric, name string, counts tenantCounts) {
	metrics <- prometheus.MustNewConstMetric(t.description, prometheus.CounterValue, counts.admitted, name, admittedOutcome)
	metrics <- prometheus.MustNewConstMetric(t.description, prometheus.CounterValue, counts.refused, name, refusedOutcome)
}
