package frontend

import (
	"time"

	"topazpulley/internal/settings"
	"topazpulley/internal/table"
)

const (
	// sendReserve is the part of the drain time that is left for a request on its way to a backend.
	sendReserve = 200 * time.Millisecond
	// entryReturn is the time after the last call that found the store away within which the entries of
	// sound backends that expired are written again: two seconds after the store's return, which is a
	// call's interval later.
	entryReturn = 2*time.Second + time.Second/instanceWatches
	// lapsingHeartbeats is the number of heartbeat intervals that the store has to be away for an
	// outage. Entries expire after three, one of which may be almost over when the store goes away.
	lapsingHeartbeats = 2.5
)

// absenceBounds returns the times by which missing entries of backends are judged.
func absenceBounds(process settings.Settings) table.AbsenceBounds {
	return table.AbsenceBounds{
		Present: max(time.Duration(process.BackendDrain)-sendReserve, 0), Return: entryReturn,
		Outage: time.Duration(lapsingHeartbeats * float64(process.BackendHeartbeat)),
	}
}
