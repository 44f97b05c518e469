package revision

import (
	"sync"
	"time"

	"topazpulley/internal/bundle"
)

// Holder holds the revision in force on this daemon and the highest one that it
// has stored for its zone. Both only ever rise, and the stored one is never
// below the one in force. mutex guards all fields.
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

// Subscribe adds a function that is called after each rise.
func (h *Holder) Subscribe(subscriber func(Revision)) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.subscribers = append(h.subscribers, subscriber)
}

// Apply puts a revision in force if it is higher than the present one. The
// text is that of the revision's active bundle, or empty if it has none.
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

// Store keeps a revision for the zone without putting it in force.
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

// Confirm records that the revision was found to be the highest.
func (h *Holder) Confirm(now time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.confirmedAt = now
}

// ConfirmedAt returns when the revision was last found to be the highest.
func (h *Holder) ConfirmedAt() time.Time {
	h.mutex.RLock()
	defer h.mutex.RUnlock()
	return h.confirmedAt
}

// Current returns the revision in force and its bundle, or nil.
func (h *Holder) Current() (Revision, *bundle.Bundle) {
	h.mutex.RLock()
	defer h.mutex.RUnlock()
	return h.current, h.active
}

// Text returns the revision in force and the text of its bundle.
func (h *Holder) Text() (Revision, string) {
	h.mutex.RLock()
	defer h.mutex.RUnlock()
	return h.current, h.text
}

// Services returns the names of the services in force.
func (h *Holder) Services() []string {
	_, active := h.Current()
	if active == nil {
		return nil
	}
	return active.ServiceNames()
}

// BatchPolicy returns the policy of a service that runs batch items.
func (h *Holder) BatchPolicy(service string) (bundle.Policy, bool) {
	_, active := h.Current()
	if active == nil {
		return bundle.Policy{}, false
	}
	definition, known := active.Services[service]
	return definition.Policy, known && definition.Kind == bundle.KindModel
}

// TenantWeight returns a tenant's share of batch capacity.
func (h *Holder) TenantWeight(tenant string) int {
	_, active := h.Current()
	if active == nil {
		return 1
	}
	return max(active.Tenants[tenant].BatchWeight, 1)
}
