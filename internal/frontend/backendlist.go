package frontend

import (
	"time"

	"topazpulley/internal/streamorigin"
	"topazpulley/internal/table"
)

// backendList is this daemon's list of backends as streamorigin needs it. The follower is set
// before the daemon starts.
type backendList struct {
	follower *table.Follower
}

var _ streamorigin.List = (*backendList)(nil)

// Age implements streamorigin.List.
func (l *backendList) Age() time.Duration { return l.follower.Age() }
