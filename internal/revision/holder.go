package revision

import (
	"sync"
	"time"

	"topazpulley/internal/bundle"
)

// Holder keeps the daemon's current revision, which is the one in effect, and the
// highest revision that it has stored for its zone. Neither number ever
// decreases, and the stored revision is never lower than the current one. mutex
// guards all fields.
type Holder struct {
	mutex       sync.RWMutex
	stored      Revision
	storedText  string
	current     Revision
	text        string
	active      *bundle.Bundle
	confirmedAt time.Time
	subscribers []func(Revision)
}

// NewHolder returns a holder without a revision.
func NewHolder() *Holder { return &Holder{} }

// Subscribe adds a function that is called after each change of the current
// revision.
func (h *Holder) Subscribe(subscriber func(Revision)) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.subscribers = append(h.subscribers, subscriber)
}

// Apply makes next the current revision if it is higher than the present one, and
// reports whether it did. text is the text of the revision's active bundle, or
// empty if it has none.
func (h *Holder) Apply(next Revision, text string) (bool, error) {
	var parsed *bundle.Bundle
	if next.Active != "" {
		var err error
		if parsed, err = bundle.Parse(text); err != nil {
			return false, err
		}
	}
	h.mutex.Lock()
	if next.Number <= h.current.Number {
		h.mutex.Unlock()
		return false, nil
	}
	h.current, h.text, h.active = next, text, parsed
	if next.Number > h.stored.Number {
		h.stored, h.storedText = next, text
	}
	subscribers := h.subscribers
	h.mutex.Unlock()
	for _, subscriber := range subscribers {
		subscriber(next)
	}
	return true, nil
}

// Store stores a revision, if it is higher than the stored one, without making it
// current.
func (h *Holder) Store(offered Revision, text string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if offered.Number > h.stored.Number {
		h.stored, h.storedText = offered, text
	}
}

// Stored returns the highest revision that this daemon has stored and the text
// of its bundle.
func (h *Holder) Stored() (Revision, string) {
	h.mutex.RLock()
	defer h.mutex.RUnlock()
	return h.stored, h.storedText
}

// Confirm records that the current revision was confirmed as the highest at now.
func (h *Holder) Confirm(now time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.confirmedAt = now
}

// ConfirmedAt returns when the current revision was last confirmed as the highest.
func (h *Holder) ConfirmedAt() time.Time {
	h.mutex.RLock()
	defer h.mutex.RUnlock()
	return h.confirmedAt
}

// Current returns the current revision and its active bundle, which may be nil.
func (h *Holder) Current() (Revision, *bundle.Bundle) {
	h.mutex.RLock()
	defer h.mutex.RUnlock()
	return h.current, h.active
}

// Text returns the current revision and the text of its active bundle.
func (h *Holder) Text() (Revision, string) {
	h.mutex.RLock()
	defer h.mutex.RUnlock()
	return h.current, h.text
}

// Services returns the service names of the active bundle.
func (h *Holder) Services() []string {
	_, active := h.Current()
	if active == nil {
		return nil
	}
	return active.ServiceNames()
}

// BatchPolicy returns the policy of a service, and whether the service runs batch
// items.
func (h *Holder) BatchPolicy(service string) (bundle.Policy, bool) {
	_, active := h.Current()
	if active == nil {
		return bundle.Policy{}, false
	}
	definition, known := active.Services[service]
	return definition.Policy, known && definition.Kind == bundle.KindModel
}

// TenantWeight returns a tenant's weight for batch capacity, at least 1.
func (h *Holder) TenantWeight(tenant string) int {
	_, active := h.Current()
	if active == nil {
		return 1
	}
	return max(active.Tenants[tenant].BatchWeight, 1)
}
