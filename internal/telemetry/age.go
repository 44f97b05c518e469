package telemetry

import "time"

// maxShownAge is logged for greater ages, and for the age of what was never confirmed.
const maxShownAge = time.Hour

// AgeMillis returns an age in milliseconds, as it is logged.
func AgeMillis(age time.Duration) int64 { return min(age, maxShownAge).Milliseconds() }
