package frontend

import (
	"context"
	"time"

	"topazpulley/internal/backend"
	"topazpulley/internal/route"
	"topazpulley/internal/streamorigin"
	"topazpulley/internal/table"
)

// backendList is this daemon's list of backends as streamorigin needs it, with the configuration
// that says which services a route has. The followers are set before the daemon starts.
type backendList struct {
	instances     *table.Follower
	configuration *table.Follower
	holder        *route.Holder
}

var _ streamorigin.List = (*backendList)(nil)

// Age implements streamorigin.List.
func (l *backendList) Age() time.Duration { return max(l.instances.Age(), l.configuration.Age()) }

// Confirm implements streamorigin.List.
func (l *backendList) Confirm(ctx context.Context) bool {
	isConfigured := make(chan bool, 1)
	go func() { isConfigured <- l.configuration.Confirm(ctx) }()
	isListed := l.instances.Confirm(ctx)
	return <-isConfigured && isListed
}

// Covers implements streamorigin.List.
func (l *backendList) Covers() bool { return l.instances.History.Covers(backend.SoftwareWindow) }

// IsSection implements streamorigin.List.
func (l *backendList) IsSection() bool {
	section, _, isKnown := l.instances.Section()
	return isKnown && section.IsPart
}

// Generation implements streamorigin.List.
func (l *backendList) Generation() uint64 { return l.instances.History.Generation() }

// Extend implements streamorigin.List.
func (l *backendList) Extend(generation uint64) {
	l.instances.History.Extend(generation, backend.SoftwareWindow)
}

// Configuration implements streamorigin.List.
func (l *backendList) Configuration() int64 {
	current := l.holder.Current()
	if current == nil {
		return 0
	}
	return current.Version()
}
